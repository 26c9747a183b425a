//! Planned stops abort no requests.

use std::collections::{BTreeSet, HashMap, HashSet};

use model::{Cause, Outcome, name};

use crate::{Event, Request, Violation};

/// Checks that a planned stop completes every request in progress.
///
/// Requests that arrive after the stop began may be refused.
#[derive(Debug, Default)]
pub struct Shutdown {
    stopping: HashSet<name::Instance>,
    running: HashMap<name::Instance, BTreeSet<Request>>,
    instances: HashMap<Request, name::Instance>,
}

impl Shutdown {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Vec<Violation> {
        match event {
            Event::Asked {
                request, instance, ..
            } => {
                if !self.stopping.contains(instance) {
                    let running = self.running.entry(instance.clone()).or_default();
                    running.insert(*request);
                    self.instances.insert(*request, instance.clone());
                }
                Vec::new()
            }
            Event::Answered {
                request, answer, ..
            } => self
                .answered(*request, answer.outcome)
                .into_iter()
                .collect(),
            Event::Stopping { instance } => {
                self.stopping.insert(instance.clone());
                Vec::new()
            }
            Event::Stopped { instance } => {
                self.stopping.remove(instance);
                let cut = self.forget(instance);
                let cut = cut.into_iter().map(|request| Violation::Cut {
                    instance: instance.clone(),
                    request,
                    cause: None,
                });
                cut.collect()
            }
            Event::Crashed { instance } => {
                self.stopping.remove(instance);
                self.forget(instance);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn forget(&mut self, instance: &name::Instance) -> BTreeSet<Request> {
        let running = self.running.remove(instance).unwrap_or_default();
        for request in &running {
            self.instances.remove(request);
        }
        running
    }

    fn answered(&mut self, request: Request, outcome: Outcome) -> Option<Violation> {
        let instance = self.instances.remove(&request)?;
        self.running.get_mut(&instance)?.remove(&request);
        let cause = match outcome {
            Outcome::NotRun(cause @ Cause::Stopping) => cause,
            Outcome::Unknown(cause @ Cause::Stopping) => cause,
            _ => return None,
        };
        Some(Violation::Cut {
            instance,
            request,
            cause: Some(cause),
        })
    }
}
