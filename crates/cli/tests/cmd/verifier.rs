use super::workdir::{Workdir, catalog};

#[test]
fn a_generated_verifier_is_valid_in_a_catalogue() {
    let dir = Workdir::new();
    let run = dir.run_with_input(&["verifier"], "example\n");
    assert_eq!(run.code, 0, "{run:?}");
    let verifier = run.out.trim();
    assert!(!run.out.contains("example"));
    let text = catalog(8);
    let old = text.split('"').nth(1).unwrap();
    dir.file("c.toml", &text.replace(old, verifier));
    assert_eq!(dir.run(&["check", "c.toml"]).code, 0);

    let again = dir.run_with_input(&["verifier"], "example\n");
    assert_ne!(again.out, run.out, "each verifier has a different salt");
}

#[test]
fn an_empty_password_is_rejected() {
    for input in ["", "\n", "  \r\n"] {
        let run = Workdir::new().run_with_input(&["verifier"], input);
        assert_eq!(run.code, 1, "{input:?}");
        assert!(run.err.contains("holds no password"), "{run:?}");
    }
}
