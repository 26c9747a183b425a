use super::*;

const WAITED: Duration = Duration::from_secs(4);

fn leave() -> Leave {
    Leave {
        upstream: "i-1".into(),
        age: Duration::from_secs(2),
    }
}

fn batch(leaves: Vec<Leave>) -> Vec<u8> {
    let batch = ChangeBatch {
        incarnation: 1,
        seq: 2,
        known: 3,
        is_snapshot: false,
        changes: Vec::new(),
        catalog: None,
    };
    postcard::to_stdvec(&Response::ChangeBatch(batch, leaves, WAITED)).unwrap()
}

/// Decodes a batch and returns its sequence number, its leaves and the time that it waited.
fn decode(bytes: &[u8]) -> (u64, usize, Duration) {
    let decoded: Response = postcard::from_bytes(bytes).unwrap();
    let Response::ChangeBatch(batch, leaves, waited) = decoded else {
        panic!("{decoded:?}");
    };
    (batch.seq, leaves.len(), waited)
}

/// An instance can't follow a relay of the previous version if it insists on the field that this
/// version has added.
#[test]
fn a_batch_of_the_previous_version_has_no_leaving_upstreams() {
    let bytes = batch(Vec::new());
    let (before, added) = bytes.split_at(bytes.len() - 3);
    assert_eq!(added, [0, 4, 0], "the empty list and the wait");
    assert_eq!(decode(before), (2, 0, Duration::ZERO));
}

/// A follower takes a batch of the previous version, which doesn't tell for how long the request
/// waited, for one whose upstreams announced later than they did.
#[test]
fn a_batch_of_the_previous_version_has_not_waited() {
    let bytes = batch(vec![leave()]);
    let (before, added) = bytes.split_at(bytes.len() - 2);
    assert_eq!(added, [4, 0], "the wait");
    assert_eq!(decode(before), (2, 1, Duration::ZERO));
    assert_eq!(decode(&bytes), (2, 1, WAITED));
}

/// An instance of the previous version can't follow a relay if the added field changes what precedes
/// it.
#[test]
fn the_previous_version_reads_a_batch_with_leaving_upstreams() {
    let bytes = batch(vec![leave()]);
    let (_, body) = bytes.split_first().unwrap();
    let batch: ChangeBatch = postcard::from_bytes(body).unwrap();
    assert_eq!((batch.incarnation, batch.seq, batch.known), (1, 2, 3));
}
