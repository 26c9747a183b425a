//! A transaction is pinned to one connection.

use std::collections::HashMap;

use crate::{Connection, Event, Request, Transaction, Violation};

/// Checks that an open transaction has exclusive use of one connection.
#[derive(Debug, Default)]
pub struct Pinning {
    open: HashMap<Connection, Transaction>,
    connections: HashMap<Transaction, Connection>,
}

impl Pinning {
    /// Processes one event.
    pub fn observe(&mut self, event: &Event) -> Option<Violation> {
        match event {
            Event::Ran {
                request,
                connection,
                transaction,
                ..
            } => self.ran(*request, *connection, *transaction),
            Event::Ended { transaction } => {
                let connection = self.connections.remove(transaction)?;
                self.open.remove(&connection);
                None
            }
            Event::Closed { connection } => {
                let transaction = self.open.remove(connection)?;
                self.connections.remove(&transaction);
                None
            }
            _ => None,
        }
    }

    fn ran(
        &mut self,
        request: Request,
        connection: Connection,
        transaction: Option<Transaction>,
    ) -> Option<Violation> {
        let open = self.open.get(&connection).copied();
        if let Some(open) = open.filter(|&open| Some(open) != transaction) {
            return Some(Violation::Mixed {
                request,
                connection,
                open,
            });
        }
        let transaction = transaction?;
        let first = *self.connections.entry(transaction).or_insert(connection);
        if first != connection {
            return Some(Violation::Split {
                transaction,
                first,
                second: connection,
            });
        }
        self.open.insert(connection, transaction);
        None
    }
}
