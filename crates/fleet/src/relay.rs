//! Watch of the store, while this instance is a relay of its zone.

use std::time::Duration;

use clock::Instant;
use rand::Rng;
use wire::{Change, Revision, State};

use crate::{
    Answer, Call, Fleet, Head, Notice, Request, Watch,
    fleet::{Discovery, Due},
    keys,
    mirror::Error,
};

/// Key for which relays are ranked.
pub(crate) const KEY: &str = "relay";
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between reads of the head, which detect a silent watch.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// First and maximum delay before a store that failed is called again.
const BACKOFF_MIN: Duration = Duration::from_secs(1);
const BACKOFF_MAX: Duration = Duration::from_secs(16);
/// Time that an instance continues to watch after another one became relay in
/// its place, so that flapping membership does not cost a new watch each time.
const RELEASE_DELAY: Duration = Duration::from_secs(5);

/// Stage of a relay's use of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Stage {
    /// The instance is no relay.
    #[default]
    Idle,
    /// A range over all keys was requested.
    Ranging(Call),
    /// A watch was requested.
    Starting(Call),
    /// The watch is established, and the head is read at intervals.
    Watching { watch: Call, check: Option<Call> },
    /// The store failed or was refused, and is called again later.
    Waiting,
}

/// State of an instance as a relay.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    stage: Stage,
    /// Mirrored revision at the last call of the store, whose answer must not
    /// be older. Rumours may have advanced the mirror since.
    asked_revision: Revision,
    /// Generation of the valid timer; timers of earlier generations are
    /// ignored.
    timer_generation: u64,
    failures: u32,
    outranked_since: Option<Instant>,
    cached: Option<CachedSelection>,
}

/// Cached ranking of this instance, valid for one version of its zone: ranking
/// a zone of 400 members each second was most of an instance's work.
#[derive(Debug, Clone, Copy)]
struct CachedSelection {
    version: u64,
    state: State,
    selection: Selection,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Selection {
    Relay,
    Other,
}

impl Relay {
    pub(crate) fn status(&self) -> Watch {
        match self.stage {
            Stage::Idle => Watch::Off,
            Stage::Ranging(_) | Stage::Starting(_) => Watch::Starting,
            Stage::Watching { .. } => Watch::On,
            Stage::Waiting => Watch::Failing,
        }
    }
}

impl Fleet {
    /// Starts or stops acting as a relay, according to the membership.
    pub(crate) fn update_relay(&mut self, now: Instant) {
        if self.discovery == Discovery::Waiting {
            return;
        }
        let selection = self.selection();
        let idle = self.relay.stage == Stage::Idle;
        if selection == Selection::Relay {
            self.relay.outranked_since = None;
            if idle {
                self.start_watch(now);
            }
            return;
        }
        if idle {
            return;
        }
        let since = *self.relay.outranked_since.get_or_insert(now);
        if now.since(since) >= RELEASE_DELAY || self.state != State::Alive {
            self.stop_relay();
        }
    }

    fn selection(&mut self) -> Selection {
        let version = self.table.version(&self.conf.zone);
        let state = self.state;
        let known = self
            .relay
            .cached
            .filter(|cached| (cached.version, cached.state) == (version, state));
        if let Some(cached) = known {
            return cached.selection;
        }
        let relays = self.relays(&self.conf.zone);
        let among = relays.iter().any(|member| member.node == self.node);
        let selection = if state == State::Alive && among {
            Selection::Relay
        } else {
            Selection::Other
        };
        self.relay.cached = Some(CachedSelection {
            version,
            state,
            selection,
        });
        selection
    }

    pub(crate) fn stop_relay(&mut self) {
        self.unwatch();
        self.relay = Relay {
            timer_generation: self.relay.timer_generation + 1,
            ..Relay::default()
        };
    }

    /// Reads all keys from the store again, after a peer had other content for
    /// the same revision.
    pub(crate) fn recheck_store(&mut self, now: Instant) {
        if let Stage::Watching { .. } = self.relay.stage {
            self.unwatch();
            self.start_range(now);
        }
    }

    pub(crate) fn on_store(&mut self, now: Instant, call: Call, answer: Answer) {
        match (self.relay.stage, answer) {
            (Stage::Ranging(own), Answer::Range { revision, changes }) if own == call => {
                self.on_range(now, revision, changes);
            }
            (Stage::Starting(own), Answer::Watching { revision }) if own == call => {
                self.on_watching(now, call, revision);
            }
            (Stage::Watching { watch, .. }, Answer::Changes { revision, changes })
                if watch == call =>
            {
                self.on_changes(now, revision, changes);
            }
            (
                Stage::Watching {
                    watch,
                    check: Some(check),
                },
                Answer::Head { revision, written },
            ) if check == call => self.on_head(now, watch, revision, written),
            (Stage::Starting(own), Answer::Compacted) if own == call => self.start_range(now),
            (Stage::Watching { watch, .. }, Answer::Compacted) if watch == call => {
                self.start_range(now)
            }
            (stage, Answer::Down) if stage.awaits(call) => self.on_store_down(now),
            // Answers to abandoned calls are ignored.
            _ => {}
        }
    }

    pub(crate) fn on_relay_due(&mut self, now: Instant, timer_generation: u64) {
        if timer_generation != self.relay.timer_generation {
            return;
        }
        match self.relay.stage {
            Stage::Idle => {}
            Stage::Ranging(_) | Stage::Starting(_) => self.on_store_down(now),
            Stage::Watching { check: Some(_), .. } => self.on_store_down(now),
            Stage::Watching { watch, check: None } => self.check_head(now, watch),
            Stage::Waiting => self.range_or_watch(now),
        }
    }

    fn range_or_watch(&mut self, now: Instant) {
        if self.relay.failures > 0 || self.mirror.is_empty() {
            self.start_range(now);
        } else {
            self.start_watch(now);
        }
    }

    fn start_range(&mut self, now: Instant) {
        self.relay.asked_revision = self.mirror.revision();
        let call = self.ask_store(Request::Range);
        self.relay.stage = Stage::Ranging(call);
        self.set_store_timer(now, CALL_TIMEOUT);
    }

    fn start_watch(&mut self, now: Instant) {
        if self.mirror.is_empty() {
            self.start_range(now);
            return;
        }
        self.watch_from(now, self.mirror.revision().number + 1);
    }

    fn watch_from(&mut self, now: Instant, from: u64) {
        self.relay.asked_revision = self.mirror.revision();
        let call = self.ask_store(Request::Watch { from });
        self.relay.stage = Stage::Starting(call);
        self.set_store_timer(now, CALL_TIMEOUT);
    }

    fn unwatch(&mut self) {
        if let Stage::Watching { watch, .. } | Stage::Starting(watch) = self.relay.stage {
            let request = Request::Unwatch;
            let store = crate::Store {
                call: watch,
                request,
            };
            self.out.push(crate::Action::Store(store));
        }
    }

    fn set_store_timer(&mut self, now: Instant, wait: Duration) {
        self.relay.timer_generation += 1;
        self.timer
            .subscribe(now + wait, Due::Relay(self.relay.timer_generation));
    }

    fn check_head(&mut self, now: Instant, watch: Call) {
        self.relay.asked_revision = self.mirror.revision();
        let check = Some(self.ask_store(Request::Head));
        self.relay.stage = Stage::Watching { watch, check };
        self.set_store_timer(now, CALL_TIMEOUT);
    }

    fn on_range(&mut self, now: Instant, revision: u64, mut changes: Vec<Change>) {
        changes.sort_by(|a, b| a.key.cmp(&b.key));
        let number = changes.iter().map(|change| change.revision).max();
        let to = Revision {
            epoch: self.epoch_in(&changes),
            number: number.unwrap_or(0),
        };
        let store = Revision {
            number: revision,
            ..to
        };
        if self.is_behind(store) || self.is_rewritten(to, &changes) {
            self.refuse_store(now, store);
            return;
        }
        self.on_store_back();
        // Peers may have advanced the mirror further by now. The watch below
        // then reports known changes, which are skipped.
        if to >= self.mirror.revision() {
            let result = self.replace(now, to, None, &changes);
            self.report(result);
        }
        self.watch_from(now, revision + 1);
    }

    /// Epoch in the head among `changes`, or else the mirrored epoch; never
    /// less than the latter.
    fn epoch_in(&self, changes: &[Change]) -> u32 {
        let head = changes.iter().find(|change| &*change.key == keys::HEAD);
        let value = head.and_then(|change| change.value.as_ref());
        let head = value.and_then(|value| Head::parse(value));
        let held = self.mirror.revision().epoch;
        head.map_or(held, |head| head.epoch.max(held))
    }

    /// Returns true if the store is older than the mirrored revision at the
    /// time of the call.
    ///
    /// A store restored from a backup answers like any other, with an old
    /// catalogue and old primaries, and instances would send writes to
    /// primaries that were replaced. The answers of such a store are accepted
    /// only with a raised epoch.
    fn is_behind(&self, store: Revision) -> bool {
        store < self.relay.asked_revision
    }

    /// Returns true if a key is older in the store than in the mirror, although
    /// the store's own revision has passed the mirrored one again since the
    /// store was restored.
    fn is_rewritten(&self, to: Revision, changes: &[Change]) -> bool {
        if to.epoch > self.mirror.revision().epoch {
            return false;
        }
        changes.iter().any(|change| {
            let held = self.mirror.find(&change.key);
            held.is_some_and(|(held, _)| {
                held > change.revision && held <= self.relay.asked_revision.number
            })
        })
    }

    fn refuse_store(&mut self, now: Instant, store: Revision) {
        let held = self.relay.asked_revision;
        self.notice(Notice::StoreBehind { store, held });
        self.unwatch();
        self.relay.failures = self.relay.failures.max(1);
        self.relay.stage = Stage::Waiting;
        self.set_store_timer(now, CHECK_INTERVAL);
    }

    fn on_watching(&mut self, now: Instant, watch: Call, revision: u64) {
        if self.is_number_behind(revision) {
            self.unwatch();
            self.start_range(now);
            return;
        }
        self.on_store_back();
        self.relay.stage = Stage::Watching { watch, check: None };
        self.wait_for_check(now);
    }

    /// Returns true if the store's revision, without an epoch, is lower than
    /// the mirrored one was. A range then reads the epoch.
    fn is_number_behind(&self, revision: u64) -> bool {
        revision < self.relay.asked_revision.number
    }

    fn on_head(&mut self, now: Instant, watch: Call, revision: u64, written: Option<u64>) {
        if self.is_number_behind(revision) {
            self.unwatch();
            self.start_range(now);
            return;
        }
        self.relay.stage = Stage::Watching { watch, check: None };
        if written.is_some_and(|written| written > self.mirror.revision().number) {
            self.unwatch();
            self.start_watch(now);
            return;
        }
        self.wait_for_check(now);
    }

    /// Schedules the next check with jitter, so that relays do not call the
    /// store at the same time.
    fn wait_for_check(&mut self, now: Instant) {
        let jitter = self.rng.random_range(0.8..1.2);
        self.set_store_timer(now, CHECK_INTERVAL.mul_f64(jitter));
    }

    fn on_changes(&mut self, now: Instant, revision: u64, mut changes: Vec<Change>) {
        changes.sort_by(|a, b| a.key.cmp(&b.key));
        let to = Revision {
            epoch: self.epoch_in(&changes),
            number: revision,
        };
        let from = self.mirror.revision();
        // A watch reports every revision in order, so the first one above the
        // mirrored revision is the next one. Revisions that peers sent earlier
        // are skipped.
        if to <= from {
            return;
        }
        let result = self.advance(now, from, to, None, changes);
        self.report(result);
    }

    fn report(&mut self, result: Result<(), Error>) {
        match result {
            Ok(()) | Err(Error::NotNewer { .. }) => {}
            Err(error) => self.notice(Notice::BadAnswer { error }),
        }
    }

    fn on_store_down(&mut self, now: Instant) {
        if self.relay.failures == 0 {
            self.notice(Notice::StoreDown);
        }
        self.unwatch();
        let backoff = BACKOFF_MIN * 2u32.saturating_pow(self.relay.failures);
        let jitter = self.rng.random_range(0.5..1.0);
        self.relay.failures = (self.relay.failures + 1).min(8);
        self.relay.stage = Stage::Waiting;
        self.set_store_timer(now, backoff.min(BACKOFF_MAX).mul_f64(jitter));
    }

    fn on_store_back(&mut self) {
        if self.relay.failures > 0 {
            self.relay.failures = 0;
            self.notice(Notice::StoreBack);
        }
    }
}

impl Stage {
    fn awaits(self, call: Call) -> bool {
        match self {
            Self::Idle | Self::Waiting => false,
            Self::Ranging(own) | Self::Starting(own) => own == call,
            Self::Watching { watch, check } => watch == call || check == Some(call),
        }
    }
}
