//! Changes too large for one transaction.

mod common;

use catalog::{
    Catalog, Problem,
    layout::Snapshot,
    parts::{self, Error},
    plan::{self, MAX_BYTES, MAX_OPS},
};
use model::name;

use common::{Store, proposal, small};

/// `small(8)` repeated `count` times, each with names and addresses of its own.
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

/// Applies the parts one after the other, each read back from the store.
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
fn a_large_catalogue_is_loaded_and_removed_in_parts() {
    let mut store = Store::default();
    let repeated = repeated(300);
    let single_plan = plan::plan(&Snapshot::default(), &repeated, proposal(1));
    assert!(matches!(
        single_plan,
        Err(plan::Error::TooMany { ops: 902 })
    ));
    // 900 keys, of which a part takes 125 beside its head and records.
    assert_eq!(apply(&mut store, &repeated), 8);
    assert_eq!(store.snapshot().catalog, repeated);
    assert_eq!(apply(&mut store, &small(8)), 8);
    assert_eq!(store.snapshot().catalog, small(8));
    assert_eq!(apply(&mut store, &small(8)), 0);
}

#[test]
fn a_part_is_bounded_in_bytes_as_well() {
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

/// Symptom: a part of a change is in force and faulty by the rules, so that
/// every instance holds it back.
/// Events: a large change lowers a group's connections and its entries' alike;
/// the databases come a part before the entries.
/// Cause: parts that are whole by count only.
#[test]
fn a_change_without_a_faultless_way_is_refused() {
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
