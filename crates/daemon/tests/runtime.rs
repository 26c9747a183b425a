//! System interfaces used by the daemon's runtime.

mod rig;

use std::fs;

use rig::{Rig, run};

/// Guards against the use of io_uring, which the target machines forbid. The
/// runtime library tries it first if it is built without its `tokio` feature.
#[test]
fn the_runtime_opens_no_io_uring() {
    let rig = Rig::open(1);
    run(async {
        let client = rig.connect(0, "slots").await;
        client.batch_execute("SELECT 1").await.unwrap();
        let open = fs::read_dir("/proc/self/fd").expect("/proc/self/fd can be read");
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
