use super::*;

fn batch(leaves: Vec<Leave>) -> Vec<u8> {
    let batch = ChangeBatch {
        incarnation: 1,
        seq: 2,
        known: 3,
        is_snapshot: false,
        changes: Vec::new(),
        catalog: None,
    };
    postcard::to_stdvec(&Response::ChangeBatch(batch, leaves)).unwrap()
}

/// An instance can't follow a relay of the previous version if it insists on the field that this
/// version has added.
#[test]
fn a_batch_of_the_previous_version_has_no_leaving_upstreams() {
    let mut bytes = batch(Vec::new());
    assert_eq!(bytes.pop(), Some(0), "the empty list");
    let decoded: Response = postcard::from_bytes(&bytes).unwrap();
    let Response::ChangeBatch(batch, leaves) = decoded else {
        panic!("{decoded:?}");
    };
    assert_eq!((batch.seq, leaves.len()), (2, 0));
}

/// An instance of the previous version can't follow a relay if the added field changes what precedes
/// it.
#[test]
fn the_previous_version_reads_a_batch_with_leaving_upstreams() {
    let leaves = vec![Leave {
        upstream: "i-1".into(),
        age: Duration::from_secs(2),
    }];
    let bytes = batch(leaves);
    let (_, body) = bytes.split_first().unwrap();
    let batch: ChangeBatch = postcard::from_bytes(body).unwrap();
    assert_eq!((batch.incarnation, batch.seq, batch.known), (1, 2, 3));
}
