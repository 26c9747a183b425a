//! State charts read from TOML text, checked when read, and interpreted.
//!
//! A machine defines the [`Vocabulary`] of its chart: the states, events,
//! guards and actions that the machine's code implements. Parsing a chart
//! checks every name against the vocabulary, so that a misspelt guard is an
//! error at start and not a transition that never fires.
//!
//! ```
//! chart::words! {
//!     /// States of a door.
//!     pub enum State { Open = "open", Shut = "shut" }
//! }
//! chart::words! {
//!     /// Events of a door.
//!     pub enum Event { Push = "push" }
//! }
//! chart::words! {
//!     /// Guards of a door's transitions.
//!     pub enum Guard { Locked = "locked" }
//! }
//! chart::words! {
//!     /// Actions of a door.
//!     pub enum Action { Creak = "creak" }
//! }
//! struct Door;
//! impl chart::Vocabulary for Door {
//!     type State = State;
//!     type Event = Event;
//!     type Guard = Guard;
//!     type Action = Action;
//! }
//!
//! let text = r#"
//! initial = "shut"
//! states = ["shut", "open"]
//!
//! [[transition]]
//! from = ["shut"]
//! on = "push"
//! if = ["!locked"]
//! do = ["creak"]
//! to = "open"
//! "#;
//! let chart = chart::Chart::<Door>::parse(text).unwrap();
//! let (target, actions) = chart.next(State::Shut, Event::Push, |_| false).unwrap();
//! assert_eq!((target, actions), (State::Open, &[Action::Creak][..]));
//! assert!(chart.next(State::Shut, Event::Push, |_| true).is_none());
//! ```

mod error;
mod text;
mod vocabulary;

use std::collections::HashMap;

pub use error::{Error, Fault, Kind};
pub use vocabulary::{Vocabulary, Word};

/// A validated state chart of one machine.
#[derive(Debug)]
pub struct Chart<V: Vocabulary> {
    initial: V::State,
    transitions: Transitions<V>,
}

/// Transitions by source state and event.
type Transitions<V> =
    HashMap<(<V as Vocabulary>::State, <V as Vocabulary>::Event), Vec<Transition<V>>>;

#[derive(Debug)]
struct Transition<V: Vocabulary> {
    guards: Vec<Literal<V::Guard>>,
    actions: Vec<V::Action>,
    target: V::State,
}

/// A guard, possibly negated: the transition fires only if the guard evaluates
/// to `expected`.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Literal<G> {
    guard: G,
    expected: bool,
}

impl<V: Vocabulary> Chart<V> {
    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// [`Error`] with the line of the first error: text that is not a chart, a
    /// name outside the vocabulary, an initial state or a target that is not
    /// declared, an unreachable state, or two transitions that could both fire.
    pub fn parse(text: &str) -> Result<Self, Error> {
        text::read(text)
    }

    /// The initial state.
    pub fn initial(&self) -> V::State {
        self.initial
    }

    /// The next state and the actions of the transition to that state, or
    /// `None` if no transition fires.
    ///
    /// At most one transition can fire, whatever `holds` returns:
    /// [`Chart::parse`] rejects charts in which two could.
    pub fn next(
        &self,
        state: V::State,
        event: V::Event,
        mut holds: impl FnMut(V::Guard) -> bool,
    ) -> Option<(V::State, &[V::Action])> {
        let transitions = self.transitions.get(&(state, event))?;
        let fires = |t: &&Transition<V>| t.guards.iter().all(|l| holds(l.guard) == l.expected);
        let transition = transitions.iter().find(fires)?;
        Some((transition.target, &transition.actions))
    }
}
