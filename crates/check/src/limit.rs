//! Connection limits hold over all instances together.

use std::collections::HashMap;

use model::name;

use crate::{Connection, Event, Holder, Violation};

/// Checks that no upstream and no entry exceeds its connection limit.
#[derive(Debug, Default)]
pub struct Limit {
    limits: HashMap<Holder, u32>,
    open: HashMap<Holder, u32>,
    holders: HashMap<Connection, Vec<Holder>>,
}

impl Limit {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Vec<Violation> {
        match event {
            Event::Limited {
                holder,
                connections,
            } => {
                self.limits.insert(holder.clone(), *connections);
                Vec::new()
            }
            Event::Opened {
                connection,
                upstream,
                entry,
            } => self.opened(*connection, upstream, entry.as_ref()),
            Event::Closed { connection } => {
                for holder in self.holders.remove(connection).unwrap_or_default() {
                    if let Some(open) = self.open.get_mut(&holder) {
                        *open -= 1;
                    }
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn opened(
        &mut self,
        connection: Connection,
        upstream: &name::Upstream,
        entry: Option<&name::Entry>,
    ) -> Vec<Violation> {
        let mut holders = vec![Holder::Upstream(upstream.clone())];
        holders.extend(entry.cloned().map(Holder::Entry));
        let mut found = Vec::new();
        for holder in &holders {
            let open = self.open.entry(holder.clone()).or_default();
            *open += 1;
            let limit = self.limits.get(holder).copied();
            if let Some(limit) = limit.filter(|&limit| *open > limit) {
                found.push(Violation::LimitExceeded {
                    holder: holder.clone(),
                    open: *open,
                    limit,
                });
            }
        }
        self.holders.insert(connection, holders);
        found
    }
}
