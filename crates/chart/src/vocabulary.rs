//! The words that a machine lends to its chart.

use std::{fmt::Debug, hash::Hash};

/// A closed set of names, such as the states of one machine.
pub trait Word: Debug + Copy + Eq + Hash {
    /// The word with this name, or `None` if there is no such word.
    fn parse(name: &str) -> Option<Self>;
}

/// All that a machine's chart may speak of.
pub trait Vocabulary {
    /// Where the machine can be.
    type State: Word;
    /// What can happen to it.
    type Event: Word;
    /// What can be asked of it before a transition fires.
    type Guard: Word;
    /// What it can do.
    type Action: Word;
}

/// Declares an enum whose variants have names in a chart.
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
