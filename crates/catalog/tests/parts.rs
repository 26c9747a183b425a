//! Splitting of changes that are too large for one transaction.

mod common;

use catalog::{
    Catalog, Problem,
    layout::Snapshot,
    parts::{self, Error},
    plan::{self, MAX_BYTES, MAX_OPS},
};
use model::name;

use common::{Store, proposal, small};

/// `small(8)` repeated `count` times with distinct names and addresses.
fn repeated(count: u32) -> Catalog {
    let small = small(8);
    let mut repeated = Catalog::default();
    for n in 0..count {
        let tenant = name::Tenant::new(&format!("yard-{n}")).unwrap();
        let database = name::Database::new(&format!("core-{n}")).unwrap();
        let mut group = small.databases["core"].clone();
        for (at, upstream) in (0..).zip(group.upstreams.values_mut()) {
            let ip = std::net::Ipv4Addr::from(0x0a01_0000 + 4 * n + at);
            upstream.address = (ip, 5432).into();
        }
        let mut entry = small.entries["calendar"].clone();
        entry.tenant = tenant.clone();
        entry.database = database.clone();
        repeated
            .tenants
            .insert(tenant, small.tenants["yard"].clone());
        repeated.databases.insert(database, group);
        let name = name::Entry::new(&format!("calendar-{n}")).unwrap();
        repeated.entries.insert(name, entry);
    }
    repeated
}

/// Applies the parts one after the other and returns their number.
fn apply(store: &mut Store, to: &Catalog) -> usize {
    let from = store.snapshot().catalog;
    let parts = parts::split(&from, to).unwrap();
    for part in &parts {
        let plan = plan::plan(&store.snapshot(), part, proposal(9)).unwrap();
        store.run(&plan.txn).unwrap();
    }
    parts.len()
}

#[test]
fn a_large_catalogue_is_added_and_removed_in_parts() {
    let mut store = Store::default();
    let repeated = repeated(300);
    let single_plan = plan::plan(&Snapshot::default(), &repeated, proposal(1));
    assert!(matches!(
        single_plan,
        Err(plan::Error::TooMany { ops: 902 })
    ));
    // 900 keys; a part has up to 125 of them beside its head and records.
    assert_eq!(apply(&mut store, &repeated), 8);
    assert_eq!(store.snapshot().catalog, repeated);
    assert_eq!(apply(&mut store, &small(8)), 8);
    assert_eq!(store.snapshot().catalog, small(8));
    assert_eq!(apply(&mut store, &small(8)), 0);
}

#[test]
fn a_part_is_limited_in_bytes() {
    let mut repeated = repeated(6);
    let verifier = small(8).tenants["yard"].users["app"].clone();
    for tenant in repeated.tenants.values_mut() {
        let users = (0..4_000).map(|n| (format!("user-{n}"), verifier.clone()));
        tenant.users.extend(users);
    }
    let empty = Snapshot::default();
    let single_plan = plan::plan(&empty, &repeated, proposal(1));
    assert!(matches!(single_plan, Err(plan::Error::TooMuch { bytes }) if bytes > MAX_BYTES));
    let mut store = Store::default();
    assert_eq!(apply(&mut store, &repeated), 3);
    assert_eq!(store.snapshot().catalog, repeated);
}

/// Guards against putting an invalid intermediate catalogue in force, which all
/// instances would reject: a large change lowers the connections of databases
/// and entries alike, and the databases are in an earlier part than the entries.
#[test]
fn a_change_with_an_invalid_intermediate_catalogue_is_rejected() {
    let from = repeated(MAX_OPS as u32);
    let mut to = from.clone();
    for database in to.databases.values_mut() {
        for upstream in database.upstreams.values_mut() {
            upstream.connections = 2;
        }
    }
    for entry in to.entries.values_mut() {
        entry.connections = 6;
    }
    match parts::split(&from, &to) {
        Err(Error::Rules { fault, .. }) => {
            assert!(matches!(*fault, Problem::Connections { .. }), "{fault}");
        }
        other => panic!("{:?}", other.map(|parts| parts.len())),
    }
}
