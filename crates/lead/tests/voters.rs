//! Voters of a record when upstreams leave and join.

use std::{collections::BTreeMap, time::Duration};

use lead::{Phase, Record};
use model::Term;

const SETTLED: Duration = Duration::from_secs(5);

fn record(voters: &[&str]) -> Record {
    Record {
        term: Term(1),
        upstream: "p".into(),
        phase: Phase::Stable,
        by: "one".into(),
        written: 0,
        replicas: 0,
        voters: voters.iter().map(|voter| (*voter).to_owned()).collect(),
        addresses: BTreeMap::new(),
        ordered: None,
    }
}

/// Revises the voters of a record after `left` have been gone for some seconds.
fn revised(voters: &[&str], listed: &[&str], left: &[(&str, u64)]) -> Option<Vec<String>> {
    record(voters).revised_voters(listed, SETTLED, |id| {
        let found = left.iter().find(|(voter, _)| *voter == id);
        found.map(|(_, seconds)| Duration::from_secs(*seconds))
    })
}

/// Guards against a majority that a fence counted over the new voters doesn't prevent among
/// those before: voters are exchanged one for one.
#[test]
fn a_voter_that_left_is_replaced_by_one_successor() {
    let voters = revised(&["p", "a", "b"], &["a", "c", "d", "p"], &[("b", 1)]);
    assert_eq!(voters.unwrap(), ["p", "a", "c"]);
    assert_eq!(revised(&["p", "a"], &["a", "c", "p"], &[]), None);
}

/// Guards against a group that loses a vote for good while a successor is still starting.
#[test]
fn a_vote_is_dropped_only_if_no_successor_joins_for_long() {
    assert_eq!(revised(&["p", "a", "b"], &["a", "p"], &[("b", 1)]), None);
    let voters = revised(&["p", "a", "b"], &["a", "p"], &[("b", 61)]);
    assert_eq!(voters.unwrap(), ["p", "a"]);
}

/// Guards against a group that no members can prove though replicas have joined.
#[test]
fn all_replicas_that_join_a_lone_primary_vote() {
    let voters = revised(&["p"], &["a", "b", "p"], &[]);
    assert_eq!(voters.unwrap(), ["p", "a", "b"]);
}

/// Guards against the loss of the primary's own vote while it is about to be replaced.
#[test]
fn the_voters_of_a_primary_that_left_are_not_revised() {
    assert_eq!(
        revised(&["p", "a"], &["a", "b"], &[("p", 99), ("a", 1)]),
        None
    );
}

/// Guards against a majority that doesn't hold the primary's own vote: its entry may have left the
/// list before it was recorded.
#[test]
fn all_voters_are_replicas_if_the_primary_is_not_among_them() {
    assert_eq!(record(&["a", "b"]).voting_replicas(), Some(2));
}

/// Guards against a replica without a vote for a whole term: a first record may be written before
/// all upstreams have registered.
#[test]
fn the_first_voters_are_named_once_the_list_has_settled() {
    let named = |listed: &[&str], unchanged_for| {
        record(&[]).revised_voters(listed, unchanged_for, |_| None)
    };
    let just_before = SETTLED - Duration::from_millis(1);
    assert_eq!(named(&["p", "a"], just_before), None);
    let all = ["p", "a", "b"];
    assert_eq!(named(&all, SETTLED), Some(all.map(str::to_owned).to_vec()));
    assert_eq!(named(&["a", "b"], SETTLED), None);
    let lone = record(&["p"]).revised_voters(&all, just_before, |_| None);
    assert_eq!(lone, None);
}
