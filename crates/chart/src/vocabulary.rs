//! The names that a machine's chart may use.

use std::{fmt::Debug, hash::Hash};

/// A closed set of names, such as the states of one machine.
pub trait Word: Debug + Copy + Eq + Hash {
    /// Parses `name`; `None` if the set has no such name.
    fn parse(name: &str) -> Option<Self>;
}

/// The names that a machine's chart may use.
pub trait Vocabulary {
    /// States of the machine.
    type State: Word;
    /// Events that the machine processes.
    type Event: Word;
    /// Conditions of transitions.
    type Guard: Word;
    /// Actions of transitions.
    type Action: Word;
}

/// Declares an enum and the names of its variants in a chart.
///
/// ```
/// use chart::Word;
///
/// chart::words! {
///     /// Colours of a light.
///     pub enum Light { Red = "red", Green = "green" }
/// }
/// assert_eq!(Light::parse("red"), Some(Light::Red));
/// assert_eq!(Light::parse("blue"), None);
/// ```
#[macro_export]
macro_rules! words {
    ($(#[$doc:meta])* $vis:vis enum $name:ident {
        $($(#[$note:meta])* $variant:ident = $text:literal),+ $(,)?
    }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        $vis enum $name {
            $($(#[$note])* #[doc = concat!("`", $text, "` in the chart.")] $variant,)+
        }

        impl $crate::Word for $name {
            fn parse(name: &str) -> Option<Self> {
                match name {
                    $($text => Some(Self::$variant),)+
                    _ => None,
                }
            }
        }
    };
}
