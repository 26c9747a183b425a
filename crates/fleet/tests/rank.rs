//! Assignments by rendezvous hashing.

use fleet::Assignments;
use wire::Node;

fn nodes(count: u64) -> Vec<Node> {
    (0..count)
        .map(|number| Node(number.to_le_bytes()))
        .collect()
}

fn assignments(nodes: &[Node]) -> Assignments {
    let mut assignments = Assignments::open(3);
    for key in 0..500 {
        assignments.add(&format!("database-{key}"), nodes);
    }
    assignments
}

fn all(assignments: &Assignments) -> Vec<Vec<Node>> {
    let key = |key| assignments.nodes(&format!("database-{key}"));
    (0..500).map(key).collect()
}

#[test]
fn incremental_assignments_equal_a_full_ranking() {
    let members = nodes(40);
    let mut updated = assignments(&members[..30]);
    for &node in &members[30..] {
        updated.join(node);
        updated.join(node);
    }
    assert_eq!(all(&updated), all(&assignments(&members)));
    for gone in 0..20 {
        updated.leave(members[gone], &members[gone + 1..]);
    }
    assert_eq!(all(&updated), all(&assignments(&members[20..])));
}

#[test]
fn an_added_node_moves_only_its_share() {
    let members = nodes(40);
    let before = all(&assignments(&members[..39]));
    let after = all(&assignments(&members));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    // Three of forty nodes for each of 500 keys: 37.5 are expected to move.
    assert!((20..60).contains(&moved), "{moved}");
    let last = members[39];
    for (before, after) in before.iter().zip(&after) {
        let remaining = after.iter().filter(|&&node| node != last);
        assert!(
            remaining.eq(before
                .iter()
                .take(after.iter().filter(|&&n| n != last).count()))
        );
    }
    let of_last = assignments(&members);
    assert_eq!(of_last.keys_of(last).count(), moved);
}

#[test]
fn few_nodes_share_all_keys() {
    let members = nodes(2);
    let mut assignments = assignments(&members);
    assert!(all(&assignments).iter().all(|nodes| nodes.len() == 2));
    assignments.leave(members[0], &members[1..]);
    assignments.leave(members[1], &[]);
    assert!(all(&assignments).iter().all(Vec::is_empty));
    assignments.remove("database-1");
    assert!(assignments.nodes("database-1").is_empty());
}
