//! State charts read from TOML text, checked when read, and interpreted.
//!
//! A machine lends the chart its [`Vocabulary`]: the states, events, guards
//! and actions that its code knows. Reading a chart checks every name against
//! it, so that a misspelt guard is an error at start and not a transition that
//! silently never fires at night.
//!
//! ```
//! chart::words! {
//!     /// States of a door.
//!     pub enum State { Open = "open", Shut = "shut" }
//! }
//! chart::words! {
//!     /// What happens to a door.
//!     pub enum Event { Push = "push" }
//! }
//! chart::words! {
//!     /// What is asked before the door moves.
//!     pub enum Guard { Locked = "locked" }
//! }
//! chart::words! {
//!     /// What the door does.
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

/// A checked state chart of one machine.
#[derive(Debug)]
pub struct Chart<V: Vocabulary> {
    initial: V::State,
    transitions: Transitions<V>,
}

/// Transitions by the state they leave and the event they answer.
type Transitions<V> =
    HashMap<(<V as Vocabulary>::State, <V as Vocabulary>::Event), Vec<Transition<V>>>;

#[derive(Debug)]
struct Transition<V: Vocabulary> {
    guards: Vec<Literal<V::Guard>>,
    actions: Vec<V::Action>,
    target: V::State,
}

/// A guard, and the answer to it that lets the transition fire.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Literal<G> {
    guard: G,
    expected: bool,
}

impl<V: Vocabulary> Chart<V> {
    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// [`Error`] tells the line, and what is wrong there: text that is not a
    /// chart, a name outside the vocabulary, an initial state or a target that
    /// is not declared, a state that can't be reached, or two transitions that
    /// could both fire.
    pub fn parse(text: &str) -> Result<Self, Error> {
        text::read(text)
    }

    /// The state in which the machine starts.
    pub fn initial(&self) -> V::State {
        self.initial
    }

    /// The state that follows and what to do on the way, or `None` if the
    /// event changes nothing here.
    ///
    /// At most one transition can fire, whatever `holds` answers: the reader
    /// refuses charts in which two could.
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
