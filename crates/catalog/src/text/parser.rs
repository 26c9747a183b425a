//! Parser state: the errors found so far and the positions of values.

use std::collections::{BTreeMap, BTreeSet};

use model::name;
use toml::de::DeTable;

use crate::{
    Catalog, Database, Entry, PriorityLevel, ReadFreshness, Tenant, Upstream,
    fault::{Item, Kind, Located, Place, Problem},
    limit,
};

use super::{Error, section::Section};

const ROOT_KEYS: &[&str] = &["tenant", "database", "entry"];
const TENANT_KEYS: &[&str] = &["users"];
const DATABASE_KEYS: &[&str] = &["dbname", "upstream"];
const UPSTREAM_KEYS: &[&str] = &["address", "zone", "slots", "connections", "leaving"];
const ENTRY_KEYS: &[&str] = &[
    "tenant",
    "database",
    "freshness",
    "staleness_ms",
    "idempotent",
    "priority",
    "connections",
    "queue",
    "deadline_ms",
];

const FRESHNESS: &[&str] = &["current", "read-your-writes", "age"];
const FRESHNESS_VALUES: [ReadFreshness; 3] = [
    ReadFreshness::Current,
    ReadFreshness::ReadYourWrites,
    ReadFreshness::Age,
];
const PRIORITY: &[&str] = &["high", "normal", "low"];
const PRIORITY_VALUES: [PriorityLevel; 3] = [
    PriorityLevel::High,
    PriorityLevel::Normal,
    PriorityLevel::Low,
];

pub(super) struct Parser<'t> {
    text: &'t str,
    faults: Vec<(usize, Problem)>,
    /// Byte offsets of the parsed values.
    places: BTreeMap<Place, usize>,
    /// Tables declared in the text, including invalid ones.
    declared: BTreeSet<String>,
}

impl<'t> Parser<'t> {
    pub(super) fn new(text: &'t str) -> Self {
        Self {
            text,
            faults: Vec::new(),
            places: BTreeMap::new(),
            declared: BTreeSet::new(),
        }
    }

    pub(super) fn fault(&mut self, offset: usize, problem: Problem) {
        self.faults.push((offset, problem));
    }

    pub(super) fn record_offset(&mut self, place: Place, offset: usize) {
        self.places.insert(place, offset);
    }

    pub(super) fn is_faulty(&self) -> bool {
        !self.faults.is_empty()
    }

    /// Adds the violation of a rule at `place`.
    ///
    /// A tenant or database with an invalid table is missing from the catalogue
    /// that the rules check. References to it are declared all the same and are
    /// not reported.
    pub(super) fn add_violation(&mut self, place: &Place, problem: Problem) {
        if let Problem::Dangling { place, name, .. } = &problem {
            let kind = place.field.unwrap_or_default();
            if self.declared.contains(&declared_key(kind, name)) {
                return;
            }
        }
        let offset = self.offset(place);
        self.fault(offset, problem);
    }

    fn offset(&self, place: &Place) -> usize {
        let whole = Place::whole(place.item.clone());
        let found = self.places.get(place).or_else(|| self.places.get(&whole));
        found.copied().unwrap_or(0)
    }

    /// Converts places to lines and columns, in order.
    pub(super) fn locate<T>(&self, remarks: Vec<(Place, T)>) -> Vec<Located<T>> {
        let at = |(place, problem)| (self.offset(&place), problem);
        sort_and_locate(self.text, remarks.into_iter().map(at).collect())
    }

    pub(super) fn into_error(self) -> Error {
        Error {
            faults: sort_and_locate(self.text, self.faults),
        }
    }

    pub(super) fn catalog(&mut self, root: &DeTable<'_>) -> Catalog {
        let section = Section {
            item: Item::Catalog,
            offset: 0,
            table: root,
        };
        section.check_keys(self, ROOT_KEYS);
        Catalog {
            tenants: self.named_tables(&section, "tenant", name::Tenant::new, Self::tenant),
            databases: self.named_tables(&section, "database", name::Database::new, Self::database),
            entries: self.named_tables(&section, "entry", name::Entry::new, Self::entry),
        }
    }

    /// Parses the tables below `key`, skipping invalid ones.
    fn named_tables<N: Ord + Clone, T>(
        &mut self,
        parent: &Section<'_, '_>,
        key: &'static str,
        make: fn(&str) -> Result<N, name::Error>,
        read: fn(&mut Self, &N, usize, &DeTable<'_>) -> Option<T>,
    ) -> BTreeMap<N, T> {
        let mut all = BTreeMap::new();
        for (text, offset, table) in parent.tables(self, key) {
            self.declared.insert(declared_key(key, text));
            let Some(name) = self.table_name(key, text, offset, make) else {
                continue;
            };
            if let Some(value) = read(self, &name, offset, table) {
                all.insert(name, value);
            }
        }
        all
    }

    fn table_name<N>(
        &mut self,
        key: &'static str,
        text: &str,
        offset: usize,
        make: fn(&str) -> Result<N, name::Error>,
    ) -> Option<N> {
        match make(text) {
            Ok(name) => Some(name),
            Err(why) => {
                let found = text.to_owned();
                let role = key;
                self.fault(offset, Problem::Name { role, found, why });
                None
            }
        }
    }

    fn section<'a, 'i>(
        &mut self,
        item: Item,
        offset: usize,
        table: &'a DeTable<'i>,
        known: &'static [&'static str],
    ) -> Section<'a, 'i> {
        self.record_offset(Place::whole(item.clone()), offset);
        let section = Section {
            item,
            offset,
            table,
        };
        section.check_keys(self, known);
        section
    }

    fn tenant(
        &mut self,
        name: &name::Tenant,
        offset: usize,
        table: &DeTable<'_>,
    ) -> Option<Tenant> {
        let item = Item::Tenant(name.clone());
        let section = self.section(item, offset, table, TENANT_KEYS);
        let value = section.required(self, "users")?;
        let Some(logins) = value.get_ref().as_table() else {
            section.type_fault(self, "users", value, Kind::Table);
            return None;
        };
        let mut users = BTreeMap::new();
        for (user, verifier) in logins {
            let user = user.get_ref().to_string();
            let item = Item::User(name.clone(), user.clone());
            self.record_offset(Place::whole(item), verifier.span().start);
            match verifier.get_ref().as_str() {
                Some(text) => {
                    users.insert(user, text.to_owned());
                }
                None => section.type_fault(self, "users", verifier, Kind::String),
            }
        }
        Some(Tenant { users })
    }

    fn database(
        &mut self,
        name: &name::Database,
        offset: usize,
        table: &DeTable<'_>,
    ) -> Option<Database> {
        let item = Item::Database(name.clone());
        let section = self.section(item, offset, table, DATABASE_KEYS);
        let faults = self.faults.len();
        let dbname = section.string(self, "dbname").map(str::to_owned);
        let mut upstreams = BTreeMap::new();
        for (text, offset, table) in section.tables(self, "upstream") {
            let Some(upstream) = self.table_name("upstream", text, offset, name::Upstream::new)
            else {
                continue;
            };
            let item = Item::Upstream(name.clone(), upstream.clone());
            if let Some(value) = self.upstream(item, offset, table) {
                upstreams.insert(upstream, value);
            }
        }
        // Without its invalid upstreams, the group would be smaller than declared,
        // and the rules would report spurious errors.
        let declared = section.table.get("upstream");
        let declared = declared.and_then(|value| value.get_ref().as_table());
        let declared = declared.map_or(0, |table| table.len());
        if declared > upstreams.len() || (declared == 0 && self.faults.len() > faults) {
            return None;
        }
        Some(Database {
            dbname: dbname?,
            upstreams,
        })
    }

    fn upstream(&mut self, item: Item, offset: usize, table: &DeTable<'_>) -> Option<Upstream> {
        let section = self.section(item, offset, table, UPSTREAM_KEYS);
        let address = section.string(self, "address");
        let zone = section.name(self, "zone", name::Zone::new);
        let slots = section.number(self, "slots", limit::SLOTS);
        let connections = section.number(self, "connections", limit::CONNECTIONS);
        let leaving = section.flag(self, "leaving");
        let address = address?;
        let Ok(parsed) = address.parse() else {
            let problem = Problem::Address {
                place: section.place("address"),
                found: address.to_owned(),
            };
            self.fault(section.offset_of("address"), problem);
            return None;
        };
        Some(Upstream {
            address: parsed,
            zone: zone?,
            slots: slots?,
            connections: connections?,
            leaving,
        })
    }

    fn entry(&mut self, name: &name::Entry, offset: usize, table: &DeTable<'_>) -> Option<Entry> {
        let item = Item::Entry(name.clone());
        let section = self.section(item, offset, table, ENTRY_KEYS);
        let tenant = section.name(self, "tenant", name::Tenant::new);
        let database = section.name(self, "database", name::Database::new);
        let freshness = section.word(self, "freshness", FRESHNESS);
        let staleness_ms = section.has("staleness_ms").then(|| {
            let bounds = limit::STALENESS_MS;
            section.number(self, "staleness_ms", bounds)
        });
        let idempotent = section.flag(self, "idempotent");
        let priority = section.has("priority").then(|| {
            let word = section.word(self, "priority", PRIORITY);
            word.map_or(PriorityLevel::default(), |at| PRIORITY_VALUES[at])
        });
        let connections = section.number(self, "connections", limit::CONNECTIONS);
        let queue = section.number(self, "queue", limit::QUEUE);
        let deadline_ms = section.number(self, "deadline_ms", limit::DEADLINE_MS);
        Some(Entry {
            tenant: tenant?,
            database: database?,
            freshness: FRESHNESS_VALUES[freshness?],
            staleness_ms: staleness_ms.flatten(),
            idempotent,
            priority: priority.unwrap_or_default(),
            connections: connections?,
            queue: queue?,
            deadline_ms: deadline_ms?,
        })
    }
}

fn declared_key(kind: &str, name: &str) -> String {
    format!("{kind}/{name}")
}

fn sort_and_locate<T>(text: &str, mut remarks: Vec<(usize, T)>) -> Vec<Located<T>> {
    remarks.sort_by_key(|&(offset, _)| offset);
    let newlines = text.match_indices('\n').map(|(at, _)| at + 1);
    let starts: Vec<_> = std::iter::once(0).chain(newlines).collect();
    let at = |(offset, kind)| {
        let line = starts.partition_point(|&start| start <= offset);
        let start = starts[line - 1];
        // The TOML parser should never return an offset past the end or within
        // a character; if it did, the column would be that of the line's start.
        let before = text.get(start..offset).unwrap_or_default();
        let column = before.chars().count() + 1;
        Located { line, column, kind }
    };
    remarks.into_iter().map(at).collect()
}
