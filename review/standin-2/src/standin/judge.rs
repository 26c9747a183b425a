//! Checks of what callers were told against the logs of the upstreams.
//!
//! The checkers of `check` expect a group that loses no acknowledged commit. Here a promotion
//! may roll back commits that callers have heard of, which then no longer count.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::group::Entry;

/// A term and a number in it.
type Place = (u64, u64);

/// Which commits a log contains: the last number of each of its terms.
type Spans = Vec<Place>;

/// The freshness that a route promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// All commits acknowledged before.
    Current,
    /// All commits acknowledged longer ago than this.
    Aged(Duration),
    /// As [`Freshness::Aged`], and the session's own commits.
    Own(Duration),
}

/// A statement as its caller sees it.
#[derive(Debug, Clone)]
pub struct Asked<'a> {
    pub id: &'a str,
    pub session: u64,
    pub freshness: Freshness,
    /// Time before the first byte of the statement, or of its transaction.
    pub begun: Instant,
}

#[derive(Debug)]
struct Commit {
    at: Place,
    /// Term that a promotion had begun before the commit.
    newer: Option<u64>,
}

#[derive(Debug)]
struct Acknowledged {
    id: String,
    at: Place,
    session: u64,
    heard: Instant,
}

/// Checks of what callers were told.
#[derive(Debug, Default)]
pub struct Judge {
    commits: HashMap<String, Commit>,
    reads: HashMap<String, Vec<Spans>>,
    /// The logs with which upstreams began their terms.
    promoted: Vec<(u64, Spans)>,
    acknowledged: Vec<Acknowledged>,
    /// Writes that callers were told not to be kept.
    refused: Vec<String>,
    /// Number of reads that were checked.
    pub checked_reads: usize,
    pub violations: Vec<String>,
}

/// Answers that promise that nothing is kept.
const PROMISES: [&str; 6] = [
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "TOOMANY",
];

fn spans(log: &[Entry]) -> Spans {
    let mut spans = Spans::new();
    for entry in log.iter().rev() {
        if spans.last().is_none_or(|(term, _)| *term != entry.term) {
            spans.push((entry.term, entry.number));
        }
    }
    spans
}

fn contains(spans: &Spans, at: Place) -> bool {
    spans
        .iter()
        .any(|(term, number)| *term == at.0 && *number >= at.1)
}

impl Judge {
    /// Number of acknowledged commits.
    pub fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    /// An upstream has committed the statement `id`.
    pub fn note_commit(&mut self, id: &str, at: Place) {
        let newest = self.promoted.iter().map(|(term, _)| *term).max();
        let newer = newest.filter(|term| *term > at.0);
        let commit = Commit { at, newer };
        let first = self.commits.insert(id.to_owned(), commit);
        if let Some(first) = first.filter(|first| !self.is_rolled_back(first.at)) {
            let first = first.at;
            self.violations
                .push(format!("TWICE: {id} at {first:?} and {at:?}"));
        }
    }

    /// An upstream with this log has run the read `id`.
    pub fn note_read(&mut self, id: &str, log: &[Entry]) {
        self.reads
            .entry(id.to_owned())
            .or_default()
            .push(spans(log));
    }

    /// An upstream with this log has begun to lead `term`.
    pub fn note_promotion(&mut self, term: u64, log: &[Entry]) {
        self.promoted.push((term, spans(log)));
    }

    fn is_rolled_back(&self, at: Place) -> bool {
        let mut later = self.promoted.iter().filter(|(term, _)| *term > at.0);
        later.any(|(_, spans)| !contains(spans, at))
    }

    /// A caller was told that its write or commit succeeded.
    pub fn note_acknowledged(&mut self, asked: &Asked<'_>) {
        let Some(commit) = self.commits.get(asked.id) else {
            return;
        };
        let (at, id) = (commit.at, asked.id);
        if let Some(newer) = commit.newer {
            self.violations.push(format!(
                "ONE: {id} was committed at {at:?} while term {newer} was led"
            ));
        }
        self.acknowledged.push(Acknowledged {
            id: id.to_owned(),
            at,
            session: asked.session,
            heard: Instant::now(),
        });
    }

    /// A caller was told that its write or commit failed.
    pub fn note_failed(&mut self, id: &str, status: &str) {
        if PROMISES.contains(&status) {
            self.refused.push(id.to_owned());
        }
    }

    /// A caller has received the rows of a read.
    pub fn note_rows(&mut self, asked: &Asked<'_>) {
        let Some(reads) = self.reads.remove(asked.id) else {
            return;
        };
        self.checked_reads += 1;
        let owed = |commit: &&Acknowledged| match asked.freshness {
            Freshness::Current => commit.heard < asked.begun,
            Freshness::Aged(age) => commit.heard + age < asked.begun,
            Freshness::Own(age) => {
                let is_own = commit.session == asked.session;
                commit.heard + if is_own { Duration::ZERO } else { age } < asked.begun
            }
        };
        let mut owed = self.acknowledged.iter().filter(owed);
        let missed = owed.find(|commit| {
            let is_missed = |read: &Spans| !contains(read, commit.at);
            reads.iter().all(is_missed) && !self.is_rolled_back(commit.at)
        });
        if let Some(missed) = missed {
            self.violations.push(format!(
                "STALE: {} ({:?}) ran on {reads:?} without {} at {:?}, acknowledged {:?} before",
                asked.id,
                asked.freshness,
                missed.id,
                missed.at,
                asked.begun - missed.heard
            ));
        }
    }

    /// Checks the promises that nothing is kept, and the order of the promotions, given by
    /// upstream, fencing token and lock holder.
    pub fn finish(&mut self, promotions: &[(String, u64, String)]) {
        for id in &self.refused {
            let commit = self.commits.get(id);
            if let Some(commit) = commit.filter(|commit| !self.is_rolled_back(commit.at)) {
                let at = commit.at;
                self.violations
                    .push(format!("REFUSED: {id} was committed at {at:?}"));
            }
        }
        for (place, (_, token, holder)) in promotions.iter().enumerate() {
            let earlier = &promotions[..place];
            if earlier.iter().any(|(_, other, _)| other > token) {
                self.violations
                    .push(format!("ONE: token {token} of {holder} after a higher one"));
            }
            if earlier.iter().any(|(_, t, h)| t == token && h != holder) {
                self.violations
                    .push(format!("ONE: token {token} of {holder} and another holder"));
            }
        }
    }
}
