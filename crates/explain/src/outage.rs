//! Times in which an instance could not answer, and wrote no line of what it was
//! sent.

use std::{collections::HashMap, fmt};

use crate::line::Line;

/// For how long callers are sent to a stopping instance before the balancer has
/// noticed, in seconds; sessions at rest are closed meanwhile.
const DRAIN_S: f64 = 4.0;

/// After how long without a word an instance counts as not heard, in seconds.
const HEARTBEAT_TIMEOUT_S: f64 = 1.0;

/// For how long callers go on trying one that is not heard, in seconds.
const UNREACHABLE_S: f64 = 5.0;

/// Over how long broken connections are counted for one line, in seconds.
const COUNT_WINDOW_S: f64 = 0.3;

/// Reason an instance could not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// It ended without a word: killed, or its machine is gone.
    Exited,
    /// It stood still.
    Stalled,
    /// It was stopping and closed sessions at rest.
    Stopping,
    /// It was not heard by so many others.
    Unreachable(usize),
    /// Connections of its callers broke.
    Disconnected,
}

/// A time in which an instance could not answer.
#[derive(Debug, Clone)]
pub(crate) struct Outage {
    /// When it began at the earliest, in seconds since the Unix epoch.
    pub(crate) from: f64,
    /// When it was over.
    pub(crate) to: f64,
    reason: Reason,
    /// The line that shows it.
    pub(crate) line: Line,
}

impl fmt::Display for Outage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, from, to) = (&self.line.instance, self.from, self.to);
        match self.reason {
            Reason::Exited => write!(
                f,
                "{name} ended without a word between {from:.3} and {to:.3}"
            ),
            Reason::Stalled => write!(f, "{name} stood still from {from:.3} to {to:.3}"),
            Reason::Unreachable(by) => {
                write!(f, "{name} was not heard by {by} others from {from:.3} on")
            }
            Reason::Disconnected => {
                write!(f, "connections of {name}'s callers broke before {to:.3}")
            }
            Reason::Stopping => write!(
                f,
                "{name} was stopping from {from:.3} on and closed sessions at rest"
            ),
        }
    }
}

/// The gaps of all instances.
pub(crate) fn outages(lines: &[Line]) -> Vec<Outage> {
    let mut last: HashMap<&str, &Line> = HashMap::new();
    let mut found = Vec::new();
    for line in lines {
        let before = last.insert(&line.instance, line);
        found.extend(outage(line, before));
    }
    found.extend(unreachable(lines));
    found
}

/// Instances that several others ceased to hear at about the same time. One that
/// hears nobody is itself the one that is cut off, and says nothing of the others.
fn unreachable(lines: &[Line]) -> Vec<Outage> {
    let mut found: Vec<Outage> = Vec::new();
    for line in lines.iter().filter(|it| it.message == "peers silent") {
        let from = line.at - HEARTBEAT_TIMEOUT_S;
        for name in line.text("names").split(' ') {
            let is_same = |outage: &&mut Outage| {
                outage.line.instance == name && from - outage.from < UNREACHABLE_S
            };
            if let Some(known) = found.iter_mut().find(is_same) {
                if let Reason::Unreachable(by) = &mut known.reason {
                    *by += 1;
                }
                continue;
            }
            let mut line = line.clone();
            line.instance = name.to_owned();
            found.push(Outage {
                from,
                to: line.at + UNREACHABLE_S,
                reason: Reason::Unreachable(1),
                line,
            });
        }
    }
    found.retain(|outage| matches!(outage.reason, Reason::Unreachable(by) if by > 1));
    found
}

/// The gap that `line` shows, where `before` is its instance's line before it.
fn outage(line: &Line, before: Option<&Line>) -> Option<Outage> {
    let (reason, from, to) = match line.message.as_str() {
        "started" if before.is_some_and(|it| it.message != "stopped") => {
            (Reason::Exited, before.map_or(line.at, |it| it.at), line.at)
        }
        "stood still" => {
            let span = line.number("ms").unwrap_or_default() as f64 / 1_000.0;
            (Reason::Stalled, line.at - span, line.at)
        }
        "callers lost" => (Reason::Disconnected, line.at - COUNT_WINDOW_S, line.at),
        "stopping" => (Reason::Stopping, line.at, line.at + DRAIN_S),
        _ => return None,
    };
    Some(Outage {
        from,
        to,
        reason,
        line: line.clone(),
    })
}
