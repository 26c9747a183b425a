//! Periods in which an instance could not answer and logged no requests.

use std::{collections::HashMap, fmt};

use crate::line::Line;

/// Time for which the load balancer still sends callers to a stopping instance, in seconds.
/// The instance closes idle sessions meanwhile.
const DRAIN_S: f64 = 4.0;

/// Silence after which an instance counts as unreachable, in seconds.
const HEARTBEAT_TIMEOUT_S: f64 = 1.0;

/// Time for which callers keep trying an unreachable instance, in seconds.
const UNREACHABLE_S: f64 = 5.0;

/// Period for which broken connections are summed up in one line, in seconds.
const COUNT_WINDOW_S: f64 = 0.3;

/// Reason for an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The process ended without a log line: it was killed or its machine was lost.
    Exited,
    /// The process was stalled.
    Stalled,
    /// The instance was stopping and closed idle sessions.
    Stopping,
    /// This number of other instances received no heartbeat.
    Unreachable(usize),
    /// Connections of callers broke.
    Disconnected,
}

/// Period in which an instance could not answer.
#[derive(Debug, Clone)]
pub(crate) struct Outage {
    /// Earliest start, in seconds since the Unix epoch.
    pub(crate) from: f64,
    /// End, in seconds since the Unix epoch.
    pub(crate) to: f64,
    reason: Reason,
    /// The line that reveals the outage.
    pub(crate) line: Line,
}

impl fmt::Display for Outage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, from, to) = (&self.line.instance, self.from, self.to);
        match self.reason {
            Reason::Exited => write!(
                f,
                "{name} exited without a log line between {from:.3} and {to:.3}"
            ),
            Reason::Stalled => write!(f, "{name} was stalled from {from:.3} to {to:.3}"),
            Reason::Unreachable(by) => {
                write!(
                    f,
                    "{name} was unreachable for {by} others from {from:.3} on"
                )
            }
            Reason::Disconnected => {
                write!(f, "connections of {name}'s callers broke before {to:.3}")
            }
            Reason::Stopping => write!(
                f,
                "{name} was stopping from {from:.3} on and closed idle sessions"
            ),
        }
    }
}

/// Finds the outages of all instances.
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

/// Finds instances that became unreachable for several others at about the same time. A single
/// report is ignored, because an instance that receives no heartbeats at all is itself
/// partitioned.
fn unreachable(lines: &[Line]) -> Vec<Outage> {
    let mut found: Vec<Outage> = Vec::new();
    for line in lines.iter().filter(|line| line.message == "peers silent") {
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

/// The outage that `line` reveals, where `before` is the previous line of the instance.
fn outage(line: &Line, before: Option<&Line>) -> Option<Outage> {
    let (reason, from, to) = match line.message.as_str() {
        "started" if before.is_some_and(|line| line.message != "stopped") => (
            Reason::Exited,
            before.map_or(line.at, |line| line.at),
            line.at,
        ),
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
