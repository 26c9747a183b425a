//! An in-memory store with etcd's transaction semantics, and a small catalogue.

use std::collections::BTreeMap;

use catalog::{
    Catalog,
    head::Id,
    layout::{self, Pair, Snapshot},
    plan::{Proposal, Txn},
};

#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) values: BTreeMap<String, (Vec<u8>, u64)>,
    pub(crate) revision: u64,
}

impl Store {
    /// Runs `txn` and returns the new revision, or none if a condition fails.
    pub(crate) fn run(&mut self, txn: &Txn) -> Option<u64> {
        let holds = txn.compares.iter().all(|compare| {
            let found = self.values.get(&compare.key).map_or(0, |value| value.1);
            found == compare.revision
        });
        if !holds {
            return None;
        }
        self.revision += 1;
        for put in &txn.puts {
            let value = (put.value.clone(), self.revision);
            self.values.insert(put.key.clone(), value);
        }
        for key in &txn.deletes {
            self.values.remove(key);
        }
        Some(self.revision)
    }

    pub(crate) fn pairs(&self, prefix: &str) -> Vec<Pair> {
        self.values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, revision))| Pair {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect()
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        layout::decode(&self.pairs(layout::PREFIX)).unwrap()
    }
}

pub(crate) fn proposal(change: u128) -> Proposal {
    Proposal {
        change: Id(change),
        author: "imena".to_owned(),
        message: "more room for calendars".to_owned(),
        time: "2026-12-02T18:00:00Z".to_owned(),
    }
}

/// A catalogue with one entry that is limited to `connections`.
pub(crate) fn small(connections: u16) -> Catalog {
    let text = format!(
        r#"
[tenant.yard.users]
app = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
[database.core]
dbname = "booking"
upstream.a = {{ address = "10.0.0.1:5432", zone = "z1", slots = 2, connections = 16 }}
upstream.b = {{ address = "10.0.0.2:5432", zone = "z2", slots = 2, connections = 16 }}
upstream.c = {{ address = "10.0.0.3:5432", zone = "z3", slots = 2, connections = 16 }}
[entry.calendar]
tenant = "yard"
database = "core"
freshness = "age"
staleness_ms = 5000
connections = {connections}
queue = 100
deadline_ms = 2000
"#
    );
    Catalog::parse(&text).unwrap()
}
