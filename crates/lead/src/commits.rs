//! Positions of a session's own commits.

use model::Position;
use serde::{Deserialize, Serialize};

/// Position of a session's last commit on each service.
///
/// A session's route may lead to another service and back.
///
/// ```
/// use lead::Commits;
/// use model::Position;
///
/// let mut commits = Commits::default();
/// commits.committed("db", Some(Position::new(1, 7)));
/// commits.committed("other", Some(Position::new(1, 3)));
/// assert_eq!(commits.on("db"), Some(Position::new(1, 7)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commits(Vec<(String, Position)>);

impl Commits {
    /// Returns the position that the session's reads on `service` must have reached;
    /// [`Position::default`], which no commit has, if the position is unknown.
    pub fn on(&self, service: &str) -> Option<Position> {
        let commit = self.0.iter().find(|(of, _)| of == service);
        commit.map(|(_, position)| *position)
    }

    /// Records a commit on `service`; `None` if its answer told no position.
    pub fn committed(&mut self, service: &str, position: Option<Position>) {
        let position = position.unwrap_or_default();
        match self.0.iter_mut().find(|(of, _)| of == service) {
            Some((_, last)) if position == Position::default() => *last = position,
            Some((_, last)) => *last = position.max(*last),
            None => self.0.push((service.to_owned(), position)),
        }
    }

    /// Records a read on `service` that the proved primary ran at `position`.
    ///
    /// In a later term it shows all that is left of earlier commits, so its position replaces one
    /// that may be lost from every log, or that is unknown.
    pub fn read(&mut self, service: &str, position: Position) {
        let commit = self.0.iter_mut().find(|(of, _)| of == service);
        if let Some((_, last)) = commit.filter(|(_, last)| last.term < position.term) {
            *last = position;
        }
    }
}
