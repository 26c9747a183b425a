//! The settings reference in the README equals the program's help text.

use argh::FromArgs;
use daemon::settings::Args;

const README: &str = include_str!("../../../README.md");

#[test]
fn the_readme_contains_the_printed_help() {
    let early = Args::from_args(&["dandelionlinkd"], &["--help"]).unwrap_err();
    assert!(early.status.is_ok());
    assert!(
        README.contains(early.output.trim()),
        "put this into README.md, under Settings:\n{}",
        early.output
    );
}
