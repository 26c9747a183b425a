//! Parsing of charts: accepted texts, and errors with their lines.

use chart::{Chart, Fault, Kind};

chart::words! {
    /// States of a lamp.
    pub enum State { Off = "off", On = "on" }
}
chart::words! {
    /// Events of a lamp.
    pub enum Event { Press = "press", Cut = "cut" }
}
chart::words! {
    /// Guards of a lamp's transitions.
    pub enum Guard { Powered = "powered", Whole = "whole" }
}
chart::words! {
    /// Actions of a lamp.
    pub enum Action { Shine = "shine" }
}

#[derive(Debug)]
struct Lamp;

impl chart::Vocabulary for Lamp {
    type State = State;
    type Event = Event;
    type Guard = Guard;
    type Action = Action;
}

const VALID: &str = r#"initial = "off"
states = ["off", "on"]
[[transition]]
from = ["off"]
on = "press"
if = ["powered", "whole"]
do = ["shine"]
to = "on"
[[transition]]
from = ["off"]
on = "press"
if = ["!powered"]
to = "off"
[[transition]]
from = ["on"]
on = "cut"
to = "off"
"#;

fn fault(text: &str) -> (usize, Fault) {
    let error = Chart::<Lamp>::parse(text).unwrap_err();
    (error.line, error.fault)
}

fn unknown(kind: Kind, name: &str) -> Fault {
    let name = name.to_owned();
    Fault::Unknown { kind, name }
}

#[test]
fn guards_choose_the_transition() {
    let chart = Chart::<Lamp>::parse(VALID).unwrap();
    assert_eq!(chart.initial(), State::Off);
    let lit = chart.next(State::Off, Event::Press, |_| true);
    assert_eq!(lit, Some((State::On, &[Action::Shine][..])));
    let dark = chart.next(State::Off, Event::Press, |g| g == Guard::Whole);
    assert_eq!(dark, Some((State::Off, &[][..])));
    let broken = chart.next(State::Off, Event::Press, |g| g == Guard::Powered);
    assert_eq!(broken, None);
    assert_eq!(chart.next(State::Off, Event::Cut, |_| true), None);
}

#[test]
fn unknown_names_are_reported_with_their_line() {
    let cases = [
        ("\"cut\"", "\"cot\"", 16, unknown(Kind::Event, "cot")),
        (
            "\"!powered\"",
            "\"!power\"",
            12,
            unknown(Kind::Guard, "power"),
        ),
        ("\"shine\"", "\"glow\"", 7, unknown(Kind::Action, "glow")),
        (
            "\"off\", \"on\"",
            "\"off\", \"dim\"",
            2,
            unknown(Kind::State, "dim"),
        ),
    ];
    for (from, to, line, expected) in cases {
        assert_eq!(fault(&VALID.replace(from, to)), (line, expected));
    }
}

#[test]
fn transitions_that_could_both_fire_are_ambiguous() {
    let text = VALID.replace("\"!powered\"", "\"whole\"");
    assert_eq!(fault(&text), (11, Fault::Ambiguous { earlier: 5 }));
}

#[test]
fn states_must_be_declared_once_and_reachable() {
    let text = VALID.replace("\"off\", \"on\"", "\"off\"");
    assert_eq!(fault(&text), (8, Fault::Undeclared("on".into())));
    let text = VALID.replace("\"off\", \"on\"", "\"off\", \"on\", \"on\"");
    assert_eq!(fault(&text), (2, Fault::Duplicate("on".into())));
    let text = VALID.replace("to = \"on\"", "to = \"off\"");
    assert_eq!(fault(&text), (2, Fault::Unreachable("on".into())));
}

#[test]
fn an_initial_state_is_required() {
    let text = VALID.replace("initial = \"off\"", "");
    assert_eq!(fault(&text), (1, Fault::NoInitial));
}

#[test]
fn text_that_is_not_a_chart_is_rejected() {
    let (line, fault) = fault(&VALID.replace("to = \"on\"", "goto = \"on\""));
    assert!(matches!(fault, Fault::Toml(_)), "{fault:?}");
    assert!(line >= 3);
}
