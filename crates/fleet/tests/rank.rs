//! Assignments by rendezvous hashing.

use fleet::Assignments;
use wire::Node;

fn nodes(count: u64) -> Vec<Node> {
    (0..count)
        .map(|number| Node(number.to_le_bytes()))
        .collect()
}

fn duties(nodes: &[Node]) -> Assignments {
    let mut duties = Assignments::open(3);
    for key in 0..500 {
        duties.add(&format!("database-{key}"), nodes);
    }
    duties
}

fn all(duties: &Assignments) -> Vec<Vec<Node>> {
    let key = |key| duties.nodes(&format!("database-{key}"));
    (0..500).map(key).collect()
}

#[test]
fn duties_kept_up_are_those_ranked_anew() {
    let everyone = nodes(40);
    let mut kept = duties(&everyone[..30]);
    for &node in &everyone[30..] {
        kept.join(node);
        kept.join(node);
    }
    assert_eq!(all(&kept), all(&duties(&everyone)));
    for gone in 0..20 {
        kept.leave(everyone[gone], &everyone[gone + 1..]);
    }
    assert_eq!(all(&kept), all(&duties(&everyone[20..])));
}

#[test]
fn one_node_more_moves_its_share_only() {
    let everyone = nodes(40);
    let before = all(&duties(&everyone[..39]));
    let after = all(&duties(&everyone));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    // Three of forty nodes for each of 500 keys: 37.5 are expected to move.
    assert!((20..60).contains(&moved), "{moved}");
    let last = everyone[39];
    for (before, after) in before.iter().zip(&after) {
        let kept = after.iter().filter(|&&node| node != last);
        assert!(
            kept.eq(before
                .iter()
                .take(after.iter().filter(|&&n| n != last).count()))
        );
    }
    let of_last = duties(&everyone);
    assert_eq!(of_last.keys_of(last).count(), moved);
}

#[test]
fn few_nodes_share_all_duties() {
    let everyone = nodes(2);
    let mut duties = duties(&everyone);
    assert!(all(&duties).iter().all(|nodes| nodes.len() == 2));
    duties.leave(everyone[0], &everyone[1..]);
    duties.leave(everyone[1], &[]);
    assert!(all(&duties).iter().all(Vec::is_empty));
    duties.remove("database-1");
    assert!(duties.nodes("database-1").is_empty());
}
