//! End-to-end test with an unmodified driver, the daemon, upstreams and the
//! store.

mod rig;

use rig::{Rig, run};

#[test]
fn a_booking_is_written_and_read_back() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        let insert = "INSERT INTO kv (key, value) VALUES ($1, $2)";
        let rows = client
            .execute(insert, &[&"arena-9", &"mila"])
            .await
            .unwrap();
        assert_eq!(rows, 1);
        let row = client
            .query_one("SELECT value FROM kv WHERE key = $1", &[&"arena-9"])
            .await;
        assert_eq!(row.unwrap().get::<_, &str>(0), "mila");
    });
}
