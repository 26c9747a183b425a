//! Pages for operators, assembled from the state of each duty.

use std::collections::{BTreeMap, HashSet};

use view::{Doubt, Duty, Phase, Primary, Sessions, Status, Store, Upstreams};

use crate::{
    duty,
    introspect::{self, Fleet, Group, Groups, Introspection, or_doubt},
};

/// Content of `/status`.
pub(super) async fn status(introspection: &Introspection, phase: duty::Phase) -> Status {
    let (fleet, primaries, groups, store) = tokio::join!(
        introspection.fleet.request(),
        introspection.primaries.request(),
        introspection.groups.request(),
        introspection.store.request(),
    );
    let mut doubts = Vec::new();
    if phase > duty::Phase::Run {
        doubts.push(Doubt::Stopping);
    }
    let fleet = or_doubt(fleet, Duty::Peers, &mut doubts);
    let primaries = or_doubt(primaries, Duty::Control, &mut doubts).unwrap_or_default();
    let groups = or_doubt(groups, Duty::Upstreams, &mut doubts);
    let store = or_doubt(store, Duty::Store, &mut doubts).unwrap_or(Store::Idle);
    if let Store::Silent { since_ms } = store {
        doubts.push(Doubt::StoreSilent { since_ms });
    }
    let fleet = fleet.unwrap_or_else(|| Fleet {
        revision: view::Revision::default(),
        applied_ms_ago: 0,
        members: Vec::new(),
        doubts: Vec::new(),
    });
    doubts.extend(fleet.doubts);
    let groups = groups.map_or_else(Vec::new, |it| it.groups);
    let primaries = confirmed_primaries(primaries, &groups);
    doubts.extend(primaries.iter().filter_map(missing_primary));
    doubts.extend(groups.into_iter().flat_map(|it| it.doubts));
    Status {
        instance: introspection.instance.clone(),
        zone: introspection.zone.clone(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        revision: fleet.revision,
        applied_ms_ago: fleet.applied_ms_ago,
        store,
        primaries,
        members: fleet.members,
        doubts,
    }
}

fn confirmed_primaries(primaries: Vec<introspect::Primary>, groups: &[Group]) -> Vec<Primary> {
    let confirmed: BTreeMap<_, _> = groups
        .iter()
        .map(|it| (&it.database, it.confirmed_ms_ago))
        .collect();
    let primary = |known: introspect::Primary| {
        let confirmed = confirmed.get(&known.database).copied().flatten();
        Primary {
            database: known.database,
            term: known.term,
            upstream: known.upstream,
            confirmed_ms_ago: confirmed,
        }
    };
    primaries.into_iter().map(primary).collect()
}

fn missing_primary(primary: &Primary) -> Option<Doubt> {
    let database = primary.database.clone();
    let none = primary.upstream.is_none();
    none.then_some(Doubt::NoPrimary { database })
}

/// Content of `/upstreams`; `None` if the duty does not answer.
pub(super) async fn upstreams(introspection: &Introspection) -> Option<Upstreams> {
    let Groups { groups, .. } = introspection.groups.request().await?;
    Some(Upstreams {
        instance: introspection.instance.clone(),
        upstreams: groups.into_iter().flat_map(|it| it.upstreams).collect(),
    })
}

/// Content of `/sessions`; `None` if the duty does not answer.
pub(super) async fn sessions(introspection: &Introspection) -> Option<Sessions> {
    let (callers, groups) = tokio::join!(
        introspection.callers.request(),
        introspection.groups.request()
    );
    let callers = callers?;
    let queued: HashSet<_> = groups
        .map_or_else(Vec::new, |it| it.queued)
        .into_iter()
        .collect();
    let sessions = callers.sessions.into_iter().map(|(caller, mut session)| {
        if session.phase == Phase::Running && queued.contains(&caller) {
            session.phase = Phase::Queued;
        }
        session
    });
    Some(Sessions {
        instance: introspection.instance.clone(),
        total: callers.total,
        sessions: sessions.collect(),
    })
}
