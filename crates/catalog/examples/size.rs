//! Measures the time and space that catalogues of several sizes take, and
//! prints one line of JSON per size.
//!
//! `cargo run --release -p catalog --example size -- 660 6600`: the arguments
//! are numbers of databases. Each database has three upstreams and two entries;
//! ten databases share one tenant.

use std::{env, error::Error, net::Ipv4Addr, time::Duration};

use catalog::{
    Catalog, Entry, PriorityLevel, ReadFreshness,
    head::Id,
    layout::{self, Pair, Snapshot},
    parts,
    plan::{self, Proposal},
};
use clock::Clock;
use model::name;
use serde_json::json;

const SIZES: [u32; 3] = [66, 660, 6_600];
const DATABASES_PER_TENANT: u32 = 10;
const ENTRIES_PER_DATABASE: u32 = 2;
const VERIFIER: &str = "SCRAM-SHA-256$4096:c2FsdA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=";

fn main() -> Result<(), Box<dyn Error>> {
    let mut sizes = Vec::new();
    for word in env::args().skip(1) {
        sizes.push(word.parse::<u32>()?);
    }
    if sizes.is_empty() {
        sizes.extend(SIZES);
    }
    sizes.into_iter().try_for_each(measure)
}

fn measure(databases: u32) -> Result<(), Box<dyn Error>> {
    let clock = Clock::open();
    let catalog = build_catalog(databases)?;
    let text = catalog.to_text()?;

    let start = clock.now();
    let parsed = Catalog::parse(&text)?;
    let parse = clock.now().since(start);

    let start = clock.now();
    let pairs = layout::encode(&parsed)?;
    let encode = clock.now().since(start);
    let bytes: usize = pairs
        .iter()
        .map(|(key, value)| key.to_string().len() + value.len())
        .sum();

    let mut stored: Vec<_> = pairs
        .into_iter()
        .map(|(key, value)| Pair {
            key: key.to_string(),
            value,
            revision: 1,
        })
        .collect();
    stored.push(head_pair());
    let start = clock.now();
    let snapshot = layout::decode(&stored)?;
    let decode = clock.now().since(start);

    let mut next = snapshot.catalog.clone();
    for entry in next.entries.values_mut().take(1) {
        entry.queue += 1;
    }
    let start = clock.now();
    let plan = plan::plan(&snapshot, &next, proposal())?;
    let planned = clock.now().since(start);

    let start = clock.now();
    let parts = parts::split(&Catalog::default(), &parsed)?.len();
    let split = clock.now().since(start);

    let line = json!({
        "databases": databases,
        "keys": stored.len(),
        "text_bytes": text.len(),
        "store_bytes": bytes,
        "parse_ms": millis(parse),
        "encode_ms": millis(encode),
        "decode_ms": millis(decode),
        "plan_one_entry_ms": millis(planned),
        "plan_one_entry_bytes": plan.txn.bytes(),
        "load_parts": parts,
        "split_ms": millis(split),
    });
    println!("{line}");
    Ok(())
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn proposal() -> Proposal {
    Proposal {
        change: Id(1),
        author: "size".to_owned(),
        message: "one entry's queue".to_owned(),
        time: "2026-01-01T00:00:00Z".to_owned(),
    }
}

/// Key and value of the head, as the first change of an empty store writes it.
fn head_pair() -> Pair {
    let plan = plan::renew(&Snapshot::default(), &Catalog::default(), proposal());
    let put = plan.map(|plan| plan.txn.puts[0].clone());
    let put = put.expect("an empty change fits the store");
    Pair {
        key: put.key,
        value: put.value,
        revision: 1,
    }
}

fn build_catalog(databases: u32) -> Result<Catalog, Box<dyn Error>> {
    let mut catalog = Catalog::default();
    for n in 0..databases {
        let tenant = name::Tenant::new(&format!("tenant-{}", n / DATABASES_PER_TENANT))?;
        let users = [("app".to_owned(), VERIFIER.to_owned())].into();
        catalog
            .tenants
            .insert(tenant.clone(), catalog::Tenant { users });

        let database = name::Database::new(&format!("database-{n}"))?;
        catalog
            .databases
            .insert(database.clone(), build_database(n)?);
        for k in 0..ENTRIES_PER_DATABASE {
            let name = name::Entry::new(&format!("entry-{n}-{k}"))?;
            let entry = Entry {
                tenant: tenant.clone(),
                database: database.clone(),
                freshness: ReadFreshness::Age,
                staleness_ms: Some(5_000),
                idempotent: true,
                priority: PriorityLevel::Low,
                connections: 16,
                queue: 200,
                deadline_ms: 2_000,
            };
            catalog.entries.insert(name, entry);
        }
    }
    Ok(catalog)
}

fn build_database(n: u32) -> Result<catalog::Database, Box<dyn Error>> {
    let mut upstreams = std::collections::BTreeMap::new();
    for k in 0..3u32 {
        let name = name::Upstream::new(&format!("upstream-{k}"))?;
        let ip = Ipv4Addr::from(0x0a00_0001 + 4 * n + k);
        let upstream = catalog::Upstream {
            address: (ip, 5432).into(),
            zone: name::Zone::new(&format!("zone-{}", (n + k) % 10))?,
            slots: 2,
            connections: 16,
            leaving: false,
        };
        upstreams.insert(name, upstream);
    }
    Ok(catalog::Database {
        dbname: format!("database_{n}"),
        upstreams,
    })
}
