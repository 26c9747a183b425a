//! Settings: flags override variables, all faults are reported together, and
//! `--check`.

use std::{collections::BTreeMap, process::Command};

use daemon::{
    Settings,
    settings::{Args, What},
};

fn valid_env() -> BTreeMap<&'static str, String> {
    BTreeMap::from([
        ("DANDELIONLINK_INSTANCE", "entry-1".to_owned()),
        ("DANDELIONLINK_ZONE", "nl-west-1".to_owned()),
        ("DANDELIONLINK_STORE", "127.0.0.1:2379".to_owned()),
        (
            "DANDELIONLINK_SESSION_KEYS",
            format!("1:{}", "5a".repeat(32)),
        ),
        ("DANDELIONLINK_PEER_KEYS", format!("1:{}", "3c".repeat(32))),
        ("DANDELIONLINK_UPSTREAM_USER", "proxy".to_owned()),
    ])
}

fn read(
    args: &Args,
    env: &BTreeMap<&'static str, String>,
) -> Result<Settings, Vec<daemon::settings::Fault>> {
    Settings::read(args, &|name| env.get(name).cloned())
}

#[test]
fn a_flag_overrides_its_variable() {
    let mut env = valid_env();
    env.insert("DANDELIONLINK_CALLERS", "7".to_owned());
    env.insert("DANDELIONLINK_LISTEN", "127.0.0.1:1".to_owned());
    let args = Args {
        listen: Some("127.0.0.1:2".to_owned()),
        ..Args::default()
    };
    let settings = read(&args, &env).expect("the settings are valid");
    assert_eq!(settings.listen.port(), 2);
    assert_eq!(settings.callers, 7);
    assert_eq!(settings.ops.port(), 6433);
}

#[test]
fn all_faults_are_reported_at_once_with_their_names() {
    let mut env = valid_env();
    env.remove("DANDELIONLINK_INSTANCE");
    let wrong = [
        ("DANDELIONLINK_LISTEN", "here"),
        ("DANDELIONLINK_ZONE", "no zone!"),
        ("DANDELIONLINK_STORE", "store:2379"),
        ("DANDELIONLINK_SESSION_KEYS", "1:5a"),
        ("DANDELIONLINK_PEERS", "10.0.0.1"),
        ("DANDELIONLINK_SEEDS", "10.0.0.2:1, there"),
        ("DANDELIONLINK_PEER_KEYS", "3c"),
        ("DANDELIONLINK_CALLERS", "0"),
        ("DANDELIONLINK_DRAIN_MS", "soon"),
        ("DANDELIONLINK_SEED", "x"),
    ];
    for (name, value) in wrong {
        env.insert(name, value.to_owned());
    }
    let faults = read(&Args::default(), &env).expect_err("the settings are invalid");
    let names: Vec<_> = faults.iter().map(|fault| fault.name).collect();
    let expected = [
        "listen",
        "peers",
        "seeds",
        "peer-keys",
        "instance",
        "zone",
        "store",
        "session-keys",
        "callers",
        "drain-ms",
        "seed",
    ];
    assert_eq!(names, expected);
    assert_eq!(faults[4].what, What::Missing);
    let callers = What::Number {
        text: "0".to_owned(),
        least: 1,
        most: 1_000_000,
    };
    assert_eq!(faults[8].what, callers);
    let text = faults[9].to_string();
    assert!(
        text.contains("--drain-ms") && text.contains("DANDELIONLINK_DRAIN_MS"),
        "{text}"
    );
    for (fault, secret) in [(&faults[3], "3c"), (&faults[7], "5a")] {
        let text = fault.to_string();
        assert!(
            !text.contains(secret),
            "the message contains a secret: {text}"
        );
    }
}

#[test]
fn the_check_flag_reports_faults_by_the_exit_code() {
    let check = |env: &BTreeMap<&'static str, String>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dandelionlinkd"));
        let output = command.env_clear().envs(env).arg("--check").output();
        output.expect("the program starts")
    };
    let output = check(&valid_env());
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
    let mut wrong = valid_env();
    wrong.remove("DANDELIONLINK_ZONE");
    wrong.insert("DANDELIONLINK_STORE", "x".to_owned());
    let output = check(&wrong);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("valid UTF-8");
    assert_eq!(text.lines().count(), 2, "{text}");
    assert!(
        text.contains("--zone") && text.contains("DANDELIONLINK_STORE"),
        "{text}"
    );
}
