//! Changes that a statement makes to the settings of its session.

use route::statement::{Kind, classify, split};

use crate::job::Change;

/// Returns the changes that a text makes, in order.
///
/// The proxy stores the settings of each session, because a session runs on
/// many connections and a connection serves many sessions.
pub(super) fn changes(sql: &str) -> Vec<Change> {
    let mut found = Vec::new();
    for statement in split(sql) {
        append_changes(statement, &mut found);
    }
    found
}

/// Returns true if a text only changes settings.
pub(super) fn only_changes(sql: &str) -> bool {
    split(sql).all(|statement| {
        let mut found = Vec::new();
        append_changes(statement, &mut found);
        !found.is_empty() || classify(statement) == Kind::Empty
    })
}

fn append_changes(sql: &str, found: &mut Vec<Change>) {
    if let Kind::Set { name, value } = classify(sql) {
        found.push(assign(name, value));
        return;
    }
    let text = uncommented(sql);
    let words: Vec<&str> = text.split_whitespace().collect();
    let lower: Vec<String> = words.iter().map(|it| it.to_ascii_lowercase()).collect();
    let lower: Vec<&str> = lower.iter().map(String::as_str).collect();
    match lower.as_slice() {
        [
            "set",
            "session",
            "characteristics",
            "as",
            "transaction",
            modes @ ..,
        ] => {
            characteristics(modes, found);
        }
        ["set", "time", "zone", _] | ["set", "session", "time", "zone", _] => {
            found.push(time_zone(words[words.len() - 1]));
        }
        ["set", "names", _] => found.push(assign("client_encoding", unquoted(words[2]))),
        ["reset", "all"] | ["discard", "all"] => found.push(Change::ResetAll),
        ["reset", "time", "zone"] => found.push(Change::Reset("timezone".to_owned())),
        ["reset", "role"] | ["reset", "session", "authorization"] => {}
        ["reset", name] => found.push(Change::Reset((*name).to_owned())),
        _ => {}
    }
}

fn assign(name: &str, value: &str) -> Change {
    let name = name.to_ascii_lowercase();
    if value.eq_ignore_ascii_case("default") {
        return Change::Reset(name);
    }
    Change::Set(name, set_config_value(value))
}

fn time_zone(word: &str) -> Change {
    if word.eq_ignore_ascii_case("local") {
        return Change::Reset("timezone".to_owned());
    }
    assign("timezone", unquoted(word))
}

/// Appends the modes of later transactions, which are settings of their own.
fn characteristics(modes: &[&str], found: &mut Vec<Change>) {
    let mut set = |name: &str, value: &str| found.push(assign(name, value));
    let mut rest = modes;
    loop {
        rest = match rest {
            ["isolation", "level", "read", level, rest @ ..] => {
                set(
                    "default_transaction_isolation",
                    &format!("read {}", without_comma(level)),
                );
                rest
            }
            [
                "isolation",
                "level",
                "repeatable",
                "read" | "read,",
                rest @ ..,
            ] => {
                set("default_transaction_isolation", "repeatable read");
                rest
            }
            ["isolation", "level", level, rest @ ..] => {
                set("default_transaction_isolation", without_comma(level));
                rest
            }
            ["read", "only" | "only,", rest @ ..] => {
                set("default_transaction_read_only", "on");
                rest
            }
            ["read", "write" | "write,", rest @ ..] => {
                set("default_transaction_read_only", "off");
                rest
            }
            ["not", "deferrable" | "deferrable,", rest @ ..] => {
                set("default_transaction_deferrable", "off");
                rest
            }
            ["deferrable" | "deferrable,", rest @ ..] => {
                set("default_transaction_deferrable", "on");
                rest
            }
            _ => return,
        };
    }
}

fn without_comma(word: &str) -> &str {
    word.trim_end_matches(',')
}

fn unquoted(text: &str) -> &str {
    let inner = text.strip_prefix('\'').and_then(|it| it.strip_suffix('\''));
    inner.unwrap_or(text)
}

/// Returns a value in the form that `set_config` expects. In a list of quoted
/// items, whose outermost quotes are already removed, the items get double
/// quotes.
fn set_config_value(value: &str) -> String {
    if !value.contains("',") {
        return value.replace("''", "'");
    }
    let items = value.split(',').map(|it| it.trim().trim_matches('\''));
    let items: Vec<String> = items.map(|it| format!("\"{it}\"")).collect();
    items.join(", ")
}

/// Returns a text without block comments and without its last semicolon.
pub(super) fn uncommented(sql: &str) -> String {
    let mut text = String::new();
    let mut rest = sql;
    while let Some((before, after)) = rest.split_once("/*") {
        text.push_str(before);
        text.push(' ');
        rest = after.split_once("*/").map_or("", |(_, behind)| behind);
    }
    text.push_str(rest);
    text.trim().trim_end_matches(';').to_owned()
}
