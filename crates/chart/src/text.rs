//! Parsing and validation of a chart's text.

use std::collections::{HashMap, HashSet};

use serde::Deserialize;
use toml::Spanned;

use crate::{Chart, Error, Fault, Kind, Literal, Transition, Vocabulary, Word};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    initial: Option<Spanned<String>>,
    states: Vec<Spanned<String>>,
    #[serde(default, rename = "transition")]
    transitions: Vec<Spanned<Line>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    from: Vec<Spanned<String>>,
    on: Spanned<String>,
    #[serde(default, rename = "if")]
    guards: Vec<Spanned<String>>,
    #[serde(default, rename = "do")]
    actions: Vec<Spanned<String>>,
    to: Spanned<String>,
}

/// Maps byte offsets to lines and parses names with located errors.
struct Locator<'a> {
    text: &'a str,
}

impl Locator<'_> {
    fn line(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        1 + before.iter().filter(|&&b| b == b'\n').count()
    }

    fn error<T>(&self, at: &Spanned<T>, fault: Fault) -> Error {
        let line = self.line(at.span().start);
        Error { line, fault }
    }

    fn word<W: Word>(&self, at: &Spanned<String>, kind: Kind) -> Result<W, Error> {
        self.named(at, at.get_ref(), kind)
    }

    fn named<W: Word>(&self, at: &Spanned<String>, name: &str, kind: Kind) -> Result<W, Error> {
        W::parse(name).ok_or_else(|| {
            let name = name.to_owned();
            self.error(at, Fault::Unknown { kind, name })
        })
    }

    fn literal<W: Word>(&self, at: &Spanned<String>) -> Result<Literal<W>, Error> {
        let (name, expected) = match at.get_ref().strip_prefix('!') {
            Some(name) => (name, false),
            None => (at.get_ref().as_str(), true),
        };
        let guard = self.named(at, name, Kind::Guard)?;
        Ok(Literal { guard, expected })
    }

    fn declared<W: Word>(
        &self,
        at: &Spanned<String>,
        states: &HashMap<W, &Spanned<String>>,
    ) -> Result<W, Error> {
        let state = self.word(at, Kind::State)?;
        if !states.contains_key(&state) {
            return Err(self.error(at, Fault::Undeclared(at.get_ref().clone())));
        }
        Ok(state)
    }
}

pub(crate) fn read<V: Vocabulary>(text: &str) -> Result<Chart<V>, Error> {
    let locator = Locator { text };
    let parsed: Text = toml::from_str(text).map_err(|e| Error {
        line: locator.line(e.span().map_or(0, |s| s.start)),
        fault: Fault::Toml(e.message().to_owned()),
    })?;
    let states = states::<V>(&locator, &parsed.states)?;
    let Some(initial) = &parsed.initial else {
        let fault = Fault::NoInitial;
        return Err(Error { line: 1, fault });
    };
    let initial = locator.declared(initial, &states)?;
    let mut chart = Chart {
        initial,
        transitions: HashMap::new(),
    };
    let mut lines = HashMap::new();
    for line in &parsed.transitions {
        add_transition(&locator, &mut chart, &mut lines, &states, line)?;
    }
    check_reachable(&locator, &chart, &parsed.states)?;
    Ok(chart)
}

fn states<'a, V: Vocabulary>(
    locator: &Locator<'_>,
    names: &'a [Spanned<String>],
) -> Result<HashMap<V::State, &'a Spanned<String>>, Error> {
    let mut states = HashMap::new();
    for name in names {
        let state = locator.word(name, Kind::State)?;
        if states.insert(state, name).is_some() {
            return Err(locator.error(name, Fault::Duplicate(name.get_ref().clone())));
        }
    }
    Ok(states)
}

/// Lines of the transitions by source state and event, in order.
type Lines<V> = HashMap<(<V as Vocabulary>::State, <V as Vocabulary>::Event), Vec<usize>>;

fn add_transition<V: Vocabulary>(
    locator: &Locator<'_>,
    chart: &mut Chart<V>,
    lines: &mut Lines<V>,
    states: &HashMap<V::State, &Spanned<String>>,
    text: &Spanned<Line>,
) -> Result<(), Error> {
    let line = text.get_ref();
    let event = locator.word(&line.on, Kind::Event)?;
    let target = locator.declared(&line.to, states)?;
    let guards = line.guards.iter().map(|g| locator.literal(g));
    let guards: Vec<Literal<V::Guard>> = guards.collect::<Result<_, _>>()?;
    let actions = line.actions.iter().map(|a| locator.word(a, Kind::Action));
    let actions: Vec<V::Action> = actions.collect::<Result<_, _>>()?;
    for from in &line.from {
        let from = locator.declared(from, states)?;
        let existing = chart.transitions.entry((from, event)).or_default();
        let earlier = lines.entry((from, event)).or_default();
        if let Some(at) = existing
            .iter()
            .position(|t| !are_exclusive(&t.guards, &guards))
        {
            let fault = Fault::Ambiguous {
                earlier: earlier[at],
            };
            return Err(locator.error(&line.on, fault));
        }
        earlier.push(locator.line(line.on.span().start));
        existing.push(Transition {
            guards: guards.clone(),
            actions: actions.clone(),
            target,
        });
    }
    Ok(())
}

/// Returns true if one list requires a guard that the other list negates, so
/// that the two can never both be satisfied.
fn are_exclusive<G: Word>(one: &[Literal<G>], other: &[Literal<G>]) -> bool {
    let opposed = |a: &Literal<G>| {
        let guard = a.guard;
        other
            .iter()
            .any(|b| b.guard == guard && b.expected != a.expected)
    };
    one.iter().any(opposed)
}

fn check_reachable<V: Vocabulary>(
    locator: &Locator<'_>,
    chart: &Chart<V>,
    names: &[Spanned<String>],
) -> Result<(), Error> {
    let mut reached = HashSet::from([chart.initial]);
    let mut pending = vec![chart.initial];
    while let Some(state) = pending.pop() {
        let out = chart
            .transitions
            .iter()
            .filter(|((from, _), _)| *from == state);
        for target in out.flat_map(|(_, ts)| ts).map(|t| t.target) {
            if reached.insert(target) {
                pending.push(target);
            }
        }
    }
    for name in names {
        let state: V::State = locator.word(name, Kind::State)?;
        if !reached.contains(&state) {
            return Err(locator.error(name, Fault::Unreachable(name.get_ref().clone())));
        }
    }
    Ok(())
}
