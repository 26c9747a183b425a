//! Where reads run while replicas are behind: replays of three loads.

use std::{collections::BTreeMap, time::Duration};

use clock::Instant;
use lead::{
    Samples,
    reach::{Estimate, Reach},
    read::{Candidate, Choice, Role, earliest},
};
use model::{Position, Term};

/// Duration of a statement, and the number that an upstream runs at once.
const SERVICE_MS: u64 = 18;
const SLOTS: usize = 4;
const HOLD_MS: u64 = 300;
const CHOICE_INTERVAL_MS: u64 = 20;
const KEEP: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn position(lsn: u64) -> Position {
    Position::new(1, lsn)
}

/// How a refusal for the log is taken into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// Each read goes where its own floor allows.
    Estimate,
    /// The replica gets no read for a while, which doubles.
    Pause,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Write,
    /// A read of the session's own commits.
    Own,
    /// A read of data that may be this old.
    Bounded(u64),
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    kind: Kind,
    session: usize,
    arrived: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Choose(Statement),
    Answer(Statement, usize, u64, Option<Position>),
}

/// The first upstream is the primary.
struct Upstream {
    lag: u64,
    /// Moment from which the upstream receives nothing.
    detached: u64,
    slots: [u64; SLOTS],
    queued: usize,
    peak: usize,
    reach: Reach,
    paused: u64,
    pause: u64,
}

struct Load {
    rule: Rule,
    upstreams: Vec<Upstream>,
    samples: Samples,
    commits: Vec<u64>,
    own: Vec<Option<Position>>,
    events: BTreeMap<(u64, usize), Event>,
    scheduled: usize,
    /// Statements that were answered, by kind and upstream, and refusals by upstream.
    answered: BTreeMap<(Kind, usize), usize>,
    lagging: Vec<usize>,
    refused: usize,
}

impl Load {
    fn new(rule: Rule, lags: &[u64]) -> Self {
        let upstream = |lag: &u64| Upstream {
            lag: *lag,
            detached: u64::MAX,
            slots: [0; SLOTS],
            queued: 0,
            peak: 0,
            reach: Reach::default(),
            paused: 0,
            pause: 40,
        };
        Self {
            rule,
            upstreams: lags.iter().map(upstream).collect(),
            samples: Samples::default(),
            commits: Vec::new(),
            own: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            answered: BTreeMap::new(),
            lagging: vec![0; lags.len()],
            refused: 0,
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((time, self.scheduled), event);
    }

    /// Adds a session with a statement each 32 ms, of which 12 % are writes.
    fn add_session(&mut self, end: u64) {
        let session = self.own.len();
        self.own.push(None);
        let first = 8 * session as u64 + 4;
        for (count, arrived) in (first..end).step_by(32).enumerate() {
            let kind = match (count + 31 * session) * 12 % 100 < 12 {
                true => Kind::Write,
                false => Kind::Own,
            };
            let statement = Statement {
                kind,
                session,
                arrived,
            };
            self.schedule(arrived, Event::Choose(statement));
        }
    }

    /// Adds reads of data of alternating ages, one each `interval` ms.
    fn add_reads(&mut self, ages: &[u64], interval: u64, end: u64) {
        for (count, arrived) in (0..end).step_by(interval as usize).enumerate() {
            let kind = Kind::Bounded(ages[count % ages.len()]);
            let statement = Statement {
                kind,
                session: 0,
                arrived,
            };
            self.schedule(arrived, Event::Choose(statement));
        }
    }

    fn log(&self, upstream: usize, now: u64) -> Position {
        let Upstream { lag, detached, .. } = self.upstreams[upstream];
        let until = now.saturating_sub(lag).min(detached);
        position(self.commits.partition_point(|commit| *commit <= until) as u64)
    }

    fn floor(&self, statement: Statement) -> Option<Position> {
        let age = match statement.kind {
            Kind::Write => return None,
            Kind::Own => 1_500,
            Kind::Bounded(age) => age,
        };
        let floor = self
            .samples
            .floor(at(statement.arrived), Duration::from_millis(age))?;
        match statement.kind {
            Kind::Own => Some(floor.max(self.own[statement.session].unwrap_or_default())),
            _ => Some(floor),
        }
    }

    fn choice(&self, statement: Statement, floor: Position, now: u64) -> Choice {
        let candidates = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, upstream)| Candidate {
                role: if index == 0 {
                    Role::Primary
                } else {
                    Role::Replica
                },
                log: match (index, self.rule) {
                    (0, _) => Estimate::Reached,
                    (_, Rule::Pause) => match upstream.paused > now {
                        true => Estimate::Unknown(at(u64::MAX / 2_000)),
                        false => Estimate::Reached,
                    },
                    (_, Rule::Estimate) => {
                        let arrived = at(statement.arrived);
                        let samples = &self.samples;
                        upstream.reach.expect(floor, arrived, at(now), samples)
                    }
                },
                latency: Duration::from_millis(SERVICE_MS),
                queued: upstream.queued,
                slots: SLOTS,
                distance: Duration::ZERO,
            });
        let candidates: Vec<_> = candidates.collect();
        earliest(&candidates, at(now), at(statement.arrived + HOLD_MS)).unwrap()
    }

    fn choose(&mut self, statement: Statement, now: u64) {
        let floor = self.floor(statement);
        let choice = match floor {
            None => Choice {
                index: 0,
                wait: Duration::ZERO,
            },
            Some(floor) => self.choice(statement, floor, now),
        };
        if !choice.wait.is_zero() {
            let wait = (choice.wait.as_millis() as u64).clamp(1, CHOICE_INTERVAL_MS);
            return self.schedule(now + wait, Event::Choose(statement));
        }
        let upstream = &mut self.upstreams[choice.index];
        let slot = upstream.slots.iter_mut().min().unwrap();
        let start = now.max(*slot);
        if start > statement.arrived + HOLD_MS {
            self.refused += 1;
            return;
        }
        *slot = start + SERVICE_MS;
        upstream.reach.ask(at(start));
        upstream.queued += 1;
        upstream.peak = upstream.peak.max(upstream.queued);
        let answer = Event::Answer(statement, choice.index, start, floor);
        self.schedule(start + SERVICE_MS, answer);
    }

    fn answer(
        &mut self,
        statement: Statement,
        index: usize,
        asked: u64,
        floor: Option<Position>,
        now: u64,
    ) {
        if statement.kind == Kind::Write {
            self.commits.push(now);
        }
        let reached = self.log(index, now);
        if statement.kind == Kind::Write {
            self.own[statement.session] = Some(reached);
        }
        if index == 0 {
            self.samples.record(Term(1), at(asked), reached, KEEP);
        }
        let upstream = &mut self.upstreams[index];
        upstream.queued -= 1;
        upstream
            .reach
            .record((at(asked), at(now)), reached, &self.samples);
        if floor.is_none_or(|floor| reached.covers(floor)) {
            upstream.pause = 40;
            *self.answered.entry((statement.kind, index)).or_default() += 1;
            return;
        }
        upstream.paused = now + upstream.pause;
        upstream.pause = (upstream.pause * 2).min(640);
        self.lagging[index] += 1;
        self.schedule(now, Event::Choose(statement));
    }

    /// Runs until `end`, or until all statements are answered.
    fn run(&mut self, end: u64) {
        while let Some(event) = self
            .events
            .first_entry()
            .filter(|event| event.key().0 < end)
        {
            let ((now, _), event) = event.remove_entry();
            match event {
                Event::Choose(statement) => self.choose(statement, now),
                Event::Answer(statement, index, asked, floor) => {
                    self.answer(statement, index, asked, floor, now);
                }
            }
        }
    }

    /// Number of answered reads of others at `index`.
    fn bounded(&self, index: usize) -> usize {
        let answered = self.answered.iter();
        let bounded =
            answered.filter(|((kind, ran), _)| matches!(kind, Kind::Bounded(_)) && *ran == index);
        bounded.map(|(_, count)| count).sum()
    }

    fn restart_counts(&mut self) {
        self.answered.clear();
        self.lagging.fill(0);
        self.refused = 0;
        for upstream in &mut self.upstreams {
            upstream.peak = upstream.queued;
        }
    }
}

/// One replica is gone and the other one 150 ms behind, at 60 % of the capacity of both: half of the
/// statements are of sessions that read their own commits.
fn replay_sessions(rule: Rule) -> Load {
    let mut load = Load::new(rule, &[0, 150]);
    for _ in 0..4 {
        load.add_session(12_000);
    }
    load.add_reads(&[1_500, 2_500], 8, 12_000);
    load.run(3_000);
    load.restart_counts();
    load.run(u64::MAX);
    load
}

/// Guards against refusals of all reads at the primary because one read needs a commit that the
/// only replica lacks.
#[test]
fn reads_of_others_stay_on_a_replica_that_lacks_a_sessions_commit() {
    let load = replay_sessions(Rule::Estimate);
    assert_eq!(load.bounded(0), 0);
    assert!(
        load.upstreams[0].peak <= SLOTS,
        "{}",
        load.upstreams[0].peak
    );
    let paused = replay_sessions(Rule::Pause);
    assert!(paused.bounded(0) > 0);
    assert!(load.lagging[1] < paused.lagging[1]);
    assert_eq!(load.refused, 0);
}

/// Guards against reads at the primary though all replicas, 1 s behind, are young enough for them.
#[test]
fn reads_run_on_replicas_that_are_behind_by_less_than_their_age() {
    let mut load = Load::new(Rule::Estimate, &[0, 1_000, 1_000]);
    for _ in 0..4 {
        load.add_session(12_000);
    }
    load.add_reads(&[1_500], 4, 12_000);
    load.run(4_000);
    load.restart_counts();
    load.run(u64::MAX);
    assert_eq!(load.bounded(0), 0);
    assert!(
        load.upstreams[0].peak <= SLOTS,
        "{}",
        load.upstreams[0].peak
    );
}

/// Guards against reads that go on trying a replica which receives nothing any more, and against
/// reads of old data that avoid it.
#[test]
fn a_replica_that_receives_nothing_serves_what_it_has() {
    let mut load = Load::new(Rule::Estimate, &[0, 20]);
    load.upstreams[1].detached = 4_000;
    load.add_session(12_000);
    load.add_reads(&[2_500], 10, 12_000);
    load.run(4_000);
    load.restart_counts();
    load.run(6_200);
    assert_eq!(load.bounded(0), 0);
    load.run(8_000);
    load.restart_counts();
    load.run(u64::MAX);
    assert_eq!(load.bounded(1), 0);
    assert!(load.lagging[1] <= 8, "{}", load.lagging[1]);
}
