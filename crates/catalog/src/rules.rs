//! Rules for a complete catalogue, read from text or from the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::RangeInclusive,
};

use model::name;

use crate::{
    Catalog, Database, Entry, ReadFreshness,
    fault::{Item, Lint, Place, Problem},
    limit, scram,
};

/// Number of similar names suggested for an undeclared name.
const NEAREST: usize = 3;

/// Violations of the rules with the places to correct.
pub(crate) fn faults(catalog: &Catalog) -> Vec<(Place, Problem)> {
    let mut faults = Vec::new();
    for (name, tenant) in &catalog.tenants {
        for (user, verifier) in &tenant.users {
            let item = Item::User(name.clone(), user.clone());
            faults.extend(user_fault(item, user, verifier));
        }
    }
    let mut seen = BTreeMap::new();
    for (name, database) in &catalog.databases {
        database_faults(name, database, &mut seen, &mut faults);
    }
    for (name, entry) in &catalog.entries {
        entry_faults(catalog, name, entry, &mut faults);
    }
    faults
}

/// Returns true if `text` is a valid PostgreSQL database or user name.
pub(crate) fn is_identifier(text: &str) -> bool {
    !text.is_empty() && text.len() <= name::MAX_LEN && !text.chars().any(char::is_control)
}

fn user_fault(item: Item, user: &str, verifier: &str) -> Option<(Place, Problem)> {
    let place = Place::whole(item.clone());
    if !is_identifier(user) {
        let problem = Problem::Identifier {
            place: place.clone(),
        };
        return Some((place, problem));
    }
    let why = scram::Verifier::parse(verifier).err()?;
    Some((place, Problem::Verifier { item, why }))
}

fn database_faults(
    name: &name::Database,
    database: &Database,
    seen: &mut BTreeMap<SocketAddr, Item>,
    faults: &mut Vec<(Place, Problem)>,
) {
    let group = Item::Database(name.clone());
    if !is_identifier(&database.dbname) {
        let place = Place::field(group.clone(), "dbname");
        let problem = Problem::Identifier {
            place: place.clone(),
        };
        faults.push((place, problem));
    }
    if database.upstreams.is_empty() {
        let problem = Problem::NoUpstream {
            item: group.clone(),
        };
        faults.push((Place::whole(group), problem));
    }
    for (upstream_name, upstream) in &database.upstreams {
        let item = Item::Upstream(name.clone(), upstream_name.clone());
        let address = upstream.address;
        let place = Place::field(item.clone(), "address");
        if !is_reachable(address) {
            let problem = Problem::Address {
                place: place.clone(),
                found: address.to_string(),
            };
            faults.push((place.clone(), problem));
        }
        if let Some(other) = seen.get(&address) {
            let problem = Problem::DuplicateAddress {
                place: place.clone(),
                address,
                other: other.clone(),
            };
            faults.push((place, problem));
        }
        seen.entry(address).or_insert_with(|| item.clone());
        let slots = upstream.slots.into();
        faults.extend(range_fault(&item, "slots", slots, limit::SLOTS));
        let connections = upstream.connections.into();
        let bounds = limit::CONNECTIONS;
        faults.extend(range_fault(&item, "connections", connections, bounds));
        if upstream.slots > upstream.connections {
            let place = Place::field(item, "slots");
            let problem = Problem::Slots {
                place: place.clone(),
                slots: upstream.slots,
                connections: upstream.connections,
            };
            faults.push((place, problem));
        }
    }
}

fn range_fault(
    item: &Item,
    field: &'static str,
    found: u32,
    bounds: RangeInclusive<u32>,
) -> Option<(Place, Problem)> {
    if bounds.contains(&found) {
        return None;
    }
    let place = Place::field(item.clone(), field);
    let problem = Problem::Range {
        place: place.clone(),
        min: *bounds.start(),
        max: *bounds.end(),
        found: found.to_string(),
    };
    Some((place, problem))
}

/// Returns true if `address` can be a connection's destination.
fn is_reachable(address: SocketAddr) -> bool {
    let ip = address.ip();
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
}

fn entry_faults(
    catalog: &Catalog,
    name: &name::Entry,
    entry: &Entry,
    faults: &mut Vec<(Place, Problem)>,
) {
    let item = Item::Entry(name.clone());
    entry_ranges(&item, entry, faults);
    if !catalog.tenants.contains_key(&entry.tenant) {
        let place = Place::field(item.clone(), "tenant");
        let declared = catalog.tenants.keys();
        faults.push(dangling_name(place, entry.tenant.as_str(), declared));
    }
    match catalog.databases.get(&entry.database) {
        Some(database) => {
            // Leaving upstreams count as well: marking an upstream as leaving
            // in an emergency must not make the catalogue invalid.
            let offered = total_connections(database);
            if u32::from(entry.connections) > offered && offered > 0 {
                let place = Place::field(item.clone(), "connections");
                let problem = Problem::Connections {
                    place: place.clone(),
                    asked: entry.connections,
                    database: entry.database.clone(),
                    offered,
                };
                faults.push((place, problem));
            }
        }
        None => {
            let place = Place::field(item.clone(), "database");
            let declared = catalog.databases.keys();
            faults.push(dangling_name(place, entry.database.as_str(), declared));
        }
    }
    match (entry.freshness, entry.staleness_ms) {
        (ReadFreshness::Age, None) => {
            let place = Place::field(item.clone(), "freshness");
            faults.push((place, Problem::StalenessMissing { item }));
        }
        (ReadFreshness::Current | ReadFreshness::ReadYourWrites, Some(_)) => {
            let place = Place::field(item, "staleness_ms");
            let problem = Problem::StalenessUnused {
                place: place.clone(),
                freshness: entry.freshness,
            };
            faults.push((place, problem));
        }
        (ReadFreshness::Age, Some(_))
        | (ReadFreshness::Current | ReadFreshness::ReadYourWrites, None) => {}
    }
}

fn entry_ranges(item: &Item, entry: &Entry, faults: &mut Vec<(Place, Problem)>) {
    let connections = entry.connections.into();
    let bounds = limit::CONNECTIONS;
    faults.extend(range_fault(item, "connections", connections, bounds));
    faults.extend(range_fault(item, "queue", entry.queue, limit::QUEUE));
    let bounds = limit::DEADLINE_MS;
    faults.extend(range_fault(item, "deadline_ms", entry.deadline_ms, bounds));
    let Some(staleness) = entry.staleness_ms else {
        return;
    };
    let bounds = limit::STALENESS_MS;
    faults.extend(range_fault(item, "staleness_ms", staleness, bounds));
}

fn total_connections(database: &Database) -> u32 {
    database
        .upstreams
        .values()
        .map(|upstream| u32::from(upstream.connections))
        .sum()
}

fn dangling_name(
    place: Place,
    name: &str,
    declared: impl Iterator<Item = impl ToString>,
) -> (Place, Problem) {
    let mut nearest: Vec<_> = declared.map(|declared| declared.to_string()).collect();
    nearest.sort_by_cached_key(|declared| strsim::damerau_levenshtein(declared, name));
    nearest.truncate(NEAREST);
    let problem = Problem::Dangling {
        place: place.clone(),
        name: name.to_owned(),
        nearest,
    };
    (place, problem)
}

/// Warnings about a catalogue that satisfies the rules.
pub(crate) fn lints(catalog: &Catalog) -> Vec<(Place, Lint)> {
    let mut lints = Vec::new();
    for (name, database) in &catalog.databases {
        let item = Item::Database(name.clone());
        let count = database.upstreams.len();
        if count == 1 {
            let lint = Lint::SingleUpstream { item: item.clone() };
            lints.push((Place::whole(item.clone()), lint));
        }
        if count > 0 && count.is_multiple_of(2) {
            let lint = Lint::EvenUpstreams {
                item: item.clone(),
                count,
            };
            lints.push((Place::whole(item.clone()), lint));
        }
        if count > 0 && database.upstreams.values().all(|u| u.leaving) {
            let lint = Lint::AllLeaving { item: item.clone() };
            lints.push((Place::whole(item), lint));
        }
    }
    let owners: BTreeSet<_> = catalog.entries.values().map(|e| &e.tenant).collect();
    for (name, tenant) in &catalog.tenants {
        if owners.contains(name) && tenant.users.is_empty() {
            let item = Item::Tenant(name.clone());
            lints.push((Place::whole(item.clone()), Lint::NoUser { item }));
        }
    }
    lints
}
