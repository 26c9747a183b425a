//! What the daemon's runtime asks of the system.

mod rig;

use std::fs;

use rig::{Rig, run};

/// The users' machines forbid io_uring. The runtime library can use it, and
/// tries it first when it is built without its `tokio` feature.
#[test]
fn the_runtime_opens_no_io_uring() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        client.batch_execute("SELECT 1").await.unwrap();
        let open = fs::read_dir("/proc/self/fd").expect("the system tells");
        let names: Vec<String> = open
            .filter_map(|it| fs::read_link(it.ok()?.path()).ok())
            .map(|it| it.to_string_lossy().into_owned())
            .collect();
        assert!(
            names.iter().any(|it| it.starts_with("socket:")),
            "{names:?}"
        );
        assert!(
            names.iter().any(|it| it == "anon_inode:[eventpoll]"),
            "{names:?}"
        );
        assert!(!names.iter().any(|it| it.contains("io_uring")), "{names:?}");
    });
}
