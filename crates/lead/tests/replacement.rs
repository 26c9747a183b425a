//! Model of replacements of a primary: all orders of events are explored, for one instance that
//! proves primaries and two that replace them one after the other.
//!
//! A tick is half of a proof's span. Whoever isn't heard of in a path is unreachable there, so
//! partitions need no events of their own.

use std::{collections::HashSet, time::Duration};

use clock::Instant;
use lead::{
    Proof,
    absence::RETURN_TIME,
    proof::all_expired_at,
    quorum::{self, Connectivity},
};

const TICK: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(2);
const SPAN_TICKS: u8 = 2;

/// Ticks for which the effect of an order is waited for; it takes effect or is lost before.
const ORDER_TICKS: u8 = 2;

/// Ages are counted up to this number of ticks, by which no majority counts any more.
const OLD: u8 = 6;

/// The same for the time since the prover's last contact with the store, where a member counts as
/// ended by that time.
const OLD_CONTACT: u8 = 16;

/// Number of upstreams; the first one is the first primary.
const MEMBERS: usize = 5;

/// A wrong rule, or an assumption about the environment that doesn't hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    Correct,
    /// Majorities are counted over the list of each instance, not over the record's voters.
    CountsListed,
    /// A replica that is no voter is promoted though the old primary may lead on.
    PromotesAnyMember,
    /// A majority proves a primary whose proof has expired.
    RevivesProofs,
    /// A primary that was demoted isn't asked again before the order.
    TrustsDemotion,
    /// Replicas aren't asked again before the order.
    TrustsHolds,
    /// The order doesn't wait for proofs to expire.
    OrdersAtOnce,
    /// The reason predates the record, which may be changing already.
    ReturnsFromOldReason,
    /// The lock is looked at some time before the order is sent.
    LooksEarly,
    /// The voters are revised though none has left.
    AddsVoters,
    /// A replica without an entry counts as ended without being asked.
    TrustsList,
    /// A replica that has left the list, and that the replacing instances don't reach, answers.
    AnswersAfterLeaving,
    /// An instance without the store and without its peers proves primaries for any time.
    ProvesIsolated,
    /// A replica that announced its end counts as ended at once though an instance is silent.
    TrustsAnnouncement,
    /// The next holder of the lock begins while an order of the last one may take effect.
    BeginsEarly,
    /// An order to receive again arrives long after it was given up.
    LateResume,
    /// Replicas that hold are told to receive again without a look at the record.
    ReleasesUnread,
    /// An order to promote takes effect long after it was given up.
    LatePromotion,
    /// A member restarts and answers between the last question and the promotion.
    FastRestart,
}

/// Whether a member without an entry is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    Ended,
    /// It answers whoever asks it.
    Alive,
    /// It answers the proving instance only, and lost its entry when that one lost the store.
    Unreached,
}

/// The lists of the instances and the events that may occur.
#[derive(Debug, Clone, Copy)]
struct Setting {
    rule: Rule,
    prover_list: u8,
    replacer_lists: [u8; 2],
    voters: u8,
    /// The member without an entry. Once it counts as ended, the record's voters may be revised to
    /// the second replacer's list.
    absent: Option<(usize, Life)>,
    restarts: u8,
    proves_by: Source,
    /// Instances that replace the primary, one after the other.
    replacers: usize,
}

/// What the proving instance reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Store,
    /// It read the record before the replacement, and has lost the store since.
    Members,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Record {
    revision: u8,
    term: u8,
    primary: u8,
    is_changing: bool,
    voters: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Member {
    term: u8,
    held: u8,
    leads: bool,
}

/// A question to all members and the voters that have agreed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Question {
    age: u8,
    is_majority: bool,
    agreed: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Prover {
    record: Record,
    /// Ticks for which the proof is valid.
    proof: u8,
    confirmed: u8,
    question: Option<Question>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    Waiting,
    Fencing,
    Fenced {
        wait: u8,
        chosen: u8,
        is_partial: bool,
    },
    Looked {
        chosen: u8,
    },
    Ordered {
        age: u8,
        chosen: u8,
    },
    Over,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Replacer {
    stage: Stage,
    old: Record,
    ended: u8,
    /// Replicas that hold, by their answers.
    informed: u8,
    is_demoted: bool,
    may_return: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Order {
    chosen: u8,
    age: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct State {
    members: [Member; MEMBERS],
    record: Record,
    prover: Prover,
    replacers: [Replacer; 2],
    orders: [Option<Order>; 2],
    /// Members to which an order to receive again is on its way, and its age.
    resumes: (u8, u8),
    leader: u8,
    restarts: u8,
}

fn bit(member: usize) -> u8 {
    1 << member
}

fn count(set: u8) -> usize {
    set.count_ones() as usize
}

fn ticks(ticks: u8) -> Duration {
    TICK * u32::from(ticks)
}

fn now() -> Instant {
    Instant::from_millis(100_000)
}

/// Ticks from now until `moment`, at least.
fn ticks_until(moment: Instant) -> u8 {
    let ticks = moment.since(now()).as_millis().div_ceil(TICK.as_millis());
    u8::try_from(ticks).unwrap_or(u8::MAX)
}

impl Setting {
    /// The member without an entry that counts as ended at the replacing instances.
    fn left(&self, prover: &Prover) -> Option<usize> {
        let (member, life) = self.absent?;
        let counts = match life {
            Life::Ended => true,
            Life::Alive => self.rule == Rule::TrustsList,
            Life::Unreached => {
                let is_overdue = prover.confirmed >= ticks_until(now() + RETURN_TIME);
                is_overdue || self.rule == Rule::TrustsAnnouncement
            }
        };
        counts.then_some(member)
    }

    /// Largest number of ticks that the time since the prover's last contact is counted to.
    fn oldest_contact(&self) -> u8 {
        match self.absent {
            Some((_, Life::Unreached)) => OLD_CONTACT,
            _ => OLD,
        }
    }

    /// The member without an entry that answers the replacing instances, as a set.
    fn answering(&self) -> u8 {
        match self.absent {
            Some((member, Life::Alive)) if self.rule != Rule::TrustsList => bit(member),
            _ => 0,
        }
    }
}

impl State {
    fn new(setting: &Setting) -> Self {
        let record = Record {
            revision: 1,
            term: 1,
            primary: 0,
            is_changing: false,
            voters: setting.voters,
        };
        let member = |index: usize| Member {
            term: 1,
            held: 0,
            leads: index == 0,
        };
        let replacer = Replacer {
            stage: Stage::Waiting,
            old: record,
            ended: 0,
            informed: 0,
            is_demoted: false,
            may_return: false,
        };
        Self {
            members: std::array::from_fn(member),
            record,
            prover: Prover {
                record,
                proof: SPAN_TICKS,
                confirmed: 0,
                question: None,
            },
            replacers: [replacer; 2],
            orders: [None; 2],
            resumes: (0, 0),
            leader: 0,
            restarts: setting.restarts,
        }
    }

    fn term(&self) -> u8 {
        self.members[usize::from(self.leader)].term
    }

    /// Returns true if a replaced primary is proved.
    fn is_violated(&self) -> bool {
        self.prover.proof > 0 && self.prover.record.term < self.term()
    }

    /// Forgets what can't matter any more.
    fn without_past(mut self) -> Self {
        for replacer in &mut self.replacers {
            if replacer.stage == Stage::Over {
                *replacer = Replacer {
                    old: self.prover.record,
                    ended: 0,
                    informed: 0,
                    is_demoted: false,
                    may_return: false,
                    ..*replacer
                };
            }
        }
        self
    }

    /// All states that may follow.
    fn next(&self, setting: &Setting) -> Vec<Self> {
        let mut states = Vec::new();
        self.pass_time(setting, &mut states);
        self.prove(setting, &mut states);
        self.change_members(setting, &mut states);
        self.take_effect(setting, &mut states);
        self.revise(setting, &mut states);
        self.release(setting, &mut states);
        for index in 0..setting.replacers {
            self.replace(setting, index, &mut states);
        }
        states
    }

    fn pass_time(&self, setting: &Setting, states: &mut Vec<Self>) {
        let is_late = setting.rule == Rule::LatePromotion;
        let is_due = |order: &Option<Order>| order.is_some_and(|o| o.age + 1 >= ORDER_TICKS);
        if !is_late && self.orders.iter().any(is_due) {
            return;
        }
        let mut state = *self;
        let (mask, age) = self.resumes;
        state.resumes = match setting.rule {
            Rule::LateResume => (mask, 0),
            _ if age > 0 => (0, 0),
            _ => (mask, u8::from(mask != 0)),
        };
        let prover = &mut state.prover;
        prover.proof = prover.proof.saturating_sub(1);
        prover.confirmed = (prover.confirmed + 1).min(setting.oldest_contact());
        prover.question = prover.question.and_then(|question| {
            let age = question.age + 1;
            (age < SPAN_TICKS).then_some(Question { age, ..question })
        });
        for replacer in &mut state.replacers {
            replacer.stage = match replacer.stage {
                Stage::Fenced {
                    wait,
                    chosen,
                    is_partial,
                } => Stage::Fenced {
                    wait: wait.saturating_sub(1),
                    chosen,
                    is_partial,
                },
                Stage::Ordered { age, chosen } => Stage::Ordered {
                    age: (age + 1).min(ORDER_TICKS),
                    chosen,
                },
                stage => stage,
            };
            if !matches!(replacer.stage, Stage::Waiting | Stage::Over) {
                replacer.ended = (replacer.ended + 1).min(OLD);
            }
        }
        for order in state.orders.iter_mut().flatten() {
            order.age = (order.age + 1).min(ORDER_TICKS);
        }
        states.push(state);
    }

    fn prove(&self, setting: &Setting, states: &mut Vec<Self>) {
        let prover = self.prover;
        if setting.proves_by == Source::Store {
            let is_stable = !self.record.is_changing;
            let mut state = *self;
            state.prover = Prover {
                record: self.record,
                proof: if is_stable { SPAN_TICKS } else { 0 },
                confirmed: if is_stable { 0 } else { OLD },
                question: None,
            };
            states.push(state);
            return;
        }
        let Some(question) = prover.question else {
            let mut proof = Proof::default();
            let proved = match setting.rule {
                Rule::RevivesProofs => SPAN_TICKS,
                _ => prover.proof,
            };
            proof.extend(now(), ticks(proved));
            let confirmed = now() - ticks(prover.confirmed);
            let is_accepted = quorum::accepts_members(confirmed, Connectivity::Minority, now());
            if !is_accepted && setting.rule != Rule::ProvesIsolated {
                return;
            }
            let mut state = *self;
            state.prover.question = Some(Question {
                age: 0,
                is_majority: quorum::accepts_majority(confirmed, proof, now()),
                agreed: 0,
            });
            states.push(state);
            return;
        };
        for (index, member) in self.members.iter().enumerate() {
            if setting.prover_list & !question.agreed & bit(index) == 0 {
                continue;
            }
            let has_ended = setting.absent == Some((index, Life::Ended));
            if has_ended && setting.rule != Rule::AnswersAfterLeaving {
                continue;
            }
            let term = prover.record.term;
            let is_primary = usize::from(prover.record.primary) == index;
            let mut state = *self;
            if member.term > term || member.held > term || is_primary && !member.leads {
                state.prover.question = None;
                states.push(state);
                continue;
            }
            let agreed = question.agreed | bit(index);
            state.prover.question = Some(Question { agreed, ..question });
            let voters = match setting.rule {
                Rule::CountsListed => setting.prover_list,
                _ => prover.record.voters,
            };
            let replicas = count(voters) - 1;
            let needed = match question.is_majority {
                true => quorum::needed(replicas),
                false => replicas,
            };
            let leads = agreed & bit(usize::from(prover.record.primary)) != 0;
            let is_extended =
                !question.is_majority || prover.proof > 0 || setting.rule == Rule::RevivesProofs;
            if leads && count(agreed & voters) > needed && is_extended && needed > 0 {
                state.prover.question = None;
                state.prover.proof = prover.proof.max(SPAN_TICKS - question.age);
            }
            states.push(state);
        }
    }

    fn change_members(&self, setting: &Setting, states: &mut Vec<Self>) {
        let term = self.term();
        for (index, member) in self.members.iter().enumerate() {
            // In the other setting a member that doesn't know the next term agrees more often.
            if member.term < term && setting.proves_by == Source::Store {
                let mut state = *self;
                state.members[index] = Member {
                    term,
                    held: if member.held > term { member.held } else { 0 },
                    leads: false,
                };
                states.push(state);
            }
            let is_ordered = self.orders.iter().any(Option::is_some);
            let is_changed = member.held > 0 || usize::from(self.leader) == index && !member.leads;
            if self.restarts > 0 && is_changed && (!is_ordered || setting.rule == Rule::FastRestart)
            {
                let mut state = *self;
                state.restarts -= 1;
                state.members[index].held = 0;
                state.members[index].leads = usize::from(self.leader) == index;
                states.push(state);
            }
            if self.resumes.0 & bit(index) != 0 {
                let mut state = *self;
                state.resumes.0 &= !bit(index);
                state.members[index].held = 0;
                states.push(state);
            }
        }
    }

    /// Lets orders take effect or get lost.
    fn take_effect(&self, setting: &Setting, states: &mut Vec<Self>) {
        for (index, order) in self.orders.iter().enumerate() {
            let Some(order) = order else {
                continue;
            };
            let mut lost = *self;
            lost.orders[index] = None;
            states.push(lost);
            let chosen = usize::from(order.chosen);
            let mut state = lost;
            if order.chosen != self.leader || !self.members[chosen].leads {
                let term = self.term() + 1;
                for member in &mut state.members {
                    member.held = 0;
                }
                state.members[chosen] = Member {
                    term,
                    held: 0,
                    leads: true,
                };
                state.leader = order.chosen;
                if setting.proves_by == Source::Members {
                    // Nothing that follows can help the proof of a term that is over.
                    state.replacers = self.replacers.map(|replacer| Replacer {
                        stage: Stage::Over,
                        ..replacer
                    });
                    state.orders = [None; 2];
                    state.resumes = (0, 0);
                }
            }
            states.push(state);
        }
    }

    /// Revises the record's voters after one of them has left.
    fn revise(&self, setting: &Setting, states: &mut Vec<Self>) {
        let is_due = setting.left(&self.prover).is_some() || setting.rule == Rule::AddsVoters;
        if !is_due || self.record.revision > 1 || self.record.is_changing {
            return;
        }
        let mut state = *self;
        state.record.revision += 1;
        state.record.voters = setting.replacer_lists[1];
        states.push(state);
    }

    /// Tells the replicas to receive again that hold for a later term than that of a stable record.
    fn release(&self, setting: &Setting, states: &mut Vec<Self>) {
        let holds = |at: &usize| self.members[*at].held > self.record.term;
        let holding: u8 = (0..MEMBERS).filter(holds).map(bit).sum();
        let is_due = !self.record.is_changing || setting.rule == Rule::ReleasesUnread;
        if !is_due || holding & !self.resumes.0 == 0 {
            return;
        }
        let mut state = *self;
        state.resumes = (holding, 0);
        states.push(state);
    }

    fn replace(&self, setting: &Setting, index: usize, states: &mut Vec<Self>) {
        let replacer = self.replacers[index];
        let set = |stage: Stage| {
            let mut state = *self;
            state.replacers[index].stage = stage;
            state
        };
        if matches!(replacer.stage, Stage::Over) {
            return;
        }
        // The lock is lost. One who stands still behind the look at it goes on later.
        let is_still = matches!(replacer.stage, Stage::Looked { .. });
        let may_lose = index + 1 < setting.replacers;
        if may_lose && !matches!(replacer.stage, Stage::Waiting) && !is_still {
            states.push(set(Stage::Over));
        }
        let others = setting.replacer_lists[index] & !bit(usize::from(replacer.old.primary));
        match replacer.stage {
            Stage::Waiting => self.begin(setting, index, states),
            Stage::Fencing => {
                self.fence(setting, index, others, states);
                self.find_leader(setting, index, others, states);
            }
            Stage::Fenced {
                wait: 0,
                chosen,
                is_partial,
            } => {
                let is_held = self.still_holds(setting, index, chosen, is_partial);
                states.push(match (is_held, setting.rule) {
                    (false, _) => self.fence_again(index),
                    (true, Rule::LooksEarly) => set(Stage::Looked { chosen }),
                    (true, _) => self.order(index, chosen),
                });
            }
            Stage::Fenced { .. } => self.find_primary(index, states),
            Stage::Looked { chosen } => states.push(self.order(index, chosen)),
            Stage::Ordered { age, chosen } => {
                self.find_leader(setting, index, bit(usize::from(chosen)), states);
                if age >= ORDER_TICKS {
                    let mut state = self.fence_again(index);
                    state.replacers[index].may_return = false;
                    states.push(state);
                }
            }
            Stage::Over => {}
        }
    }

    fn begin(&self, setting: &Setting, index: usize, states: &mut Vec<Self>) {
        let is_early = setting.rule == Rule::BeginsEarly;
        let is_settled = is_early || self.orders.iter().all(Option::is_none);
        let is_turn = match self.replacers[0].stage {
            Stage::Over => is_settled,
            Stage::Looked { .. } => true,
            _ => index == 0,
        };
        if !is_turn {
            return;
        }
        let is_old_reason = setting.rule == Rule::ReturnsFromOldReason;
        let may_return = [false, true];
        let is_allowed = |may: &bool| !may || is_old_reason || !self.record.is_changing;
        for may_return in may_return.into_iter().filter(is_allowed) {
            let mut state = *self;
            state.record.is_changing = true;
            state.record.revision += 1;
            state.replacers[index] = Replacer {
                stage: Stage::Fencing,
                old: state.record,
                ended: 0,
                informed: 0,
                is_demoted: false,
                may_return,
            };
            states.push(state);
        }
    }

    fn fence(&self, setting: &Setting, index: usize, others: u8, states: &mut Vec<Self>) {
        let replacer = self.replacers[index];
        let term = replacer.old.term;
        let primary = usize::from(replacer.old.primary);
        let replicas = others | setting.answering();
        let known = replicas | bit(primary);
        for reached in (1..bit(MEMBERS)).filter(|reached| reached & !known == 0) {
            let is_pausable = |at: usize| self.members[at].term <= term;
            let paused = (0..MEMBERS).filter(|at| replicas & reached & bit(*at) != 0);
            let paused: Vec<_> = paused.filter(|at| is_pausable(*at)).collect();
            let informed = paused.iter().copied().map(bit).sum();
            let is_demoted = reached & bit(primary) != 0;
            if informed | if is_demoted { bit(primary) } else { 0 } != reached {
                continue;
            }
            let mut state = *self;
            for at in paused {
                state.members[at].held = self.members[at].held.max(term + 1);
            }
            state.members[primary].leads &= !is_demoted || self.members[primary].term > term;
            let fencing = &mut state.replacers[index];
            fencing.informed = informed;
            fencing.is_demoted = is_demoted && !state.members[primary].leads;
            state.choose(setting, index, states);
        }
        self.find_primary(index, states);
    }

    /// Returns to the old primary if it leads after all.
    fn find_primary(&self, index: usize, states: &mut Vec<Self>) {
        let replacer = self.replacers[index];
        let primary = self.members[usize::from(replacer.old.primary)];
        let leads = primary.leads && primary.term == replacer.old.term;
        if replacer.may_return && leads {
            self.record_primary(index, replacer.old.primary, replacer.old.voters, states);
        }
    }

    fn find_leader(&self, setting: &Setting, index: usize, others: u8, states: &mut Vec<Self>) {
        let leader = self.leader;
        let is_newer = self.term() > self.replacers[index].old.term;
        if is_newer && others & bit(usize::from(leader)) != 0 {
            let voters = setting.replacer_lists[index] | bit(usize::from(leader));
            self.record_primary(index, leader, voters, states);
        }
    }

    fn record_primary(&self, index: usize, primary: u8, voters: u8, states: &mut Vec<Self>) {
        let old = self.replacers[index].old;
        if self.record.revision != old.revision {
            return;
        }
        let mut state = *self;
        state.record = Record {
            revision: old.revision + 1,
            term: self.members[usize::from(primary)].term,
            primary,
            is_changing: false,
            voters,
        };
        state.replacers[index].stage = Stage::Over;
        state.resumes = (self.replacers[index].informed, 0);
        states.push(state);
    }

    /// Returns true if too few voters are left for a majority, by those that hold.
    fn prevents_majority(&self, setting: &Setting, index: usize, holding: u8) -> bool {
        let old = self.replacers[index].old;
        let prevents = |voters: u8| {
            let replicas = voters & !bit(usize::from(old.primary));
            let fenced = replicas & (holding | setting.left(&self.prover).map_or(0, bit));
            quorum::prevents_majority(count(fenced), count(replicas))
        };
        match setting.rule {
            Rule::CountsListed => prevents(setting.replacer_lists[index]),
            _ => prevents(old.voters),
        }
    }

    /// Returns true if the member may be promoted though the old primary may lead on.
    fn excludes(&self, setting: &Setting, index: usize, chosen: usize) -> bool {
        let any = matches!(setting.rule, Rule::CountsListed | Rule::PromotesAnyMember);
        let voters = self.replacers[index].old.voters;
        let left = setting.left(&self.prover);
        let has_left = left.is_some_and(|left| voters & bit(left) != 0);
        any || has_left || voters & bit(chosen) != 0
    }

    fn choose(&self, setting: &Setting, index: usize, states: &mut Vec<Self>) {
        let replacer = self.replacers[index];
        let is_late = replacer.ended >= ticks_until(quorum::majorities_end_at(now()));
        let prevents = self.prevents_majority(setting, index, replacer.informed);
        let wait = match setting.rule {
            Rule::OrdersAtOnce => 0,
            _ => ticks_until(all_expired_at(now(), SPAN)),
        };
        let is_partial = !replacer.is_demoted && !prevents;
        if is_partial && !is_late {
            return;
        }
        let candidates = replacer.informed & !setting.answering();
        for chosen in (0..MEMBERS).filter(|chosen| candidates & bit(*chosen) != 0) {
            if !replacer.is_demoted && !self.excludes(setting, index, chosen) {
                continue;
            }
            let mut state = *self;
            let chosen = chosen as u8;
            state.replacers[index].stage = Stage::Fenced {
                wait,
                chosen,
                is_partial,
            };
            states.push(state);
        }
    }

    fn still_holds(&self, setting: &Setting, index: usize, chosen: u8, is_partial: bool) -> bool {
        let replacer = self.replacers[index];
        let holds = |at: &usize| {
            let member = self.members[*at];
            member.held > replacer.old.term || member.leads
        };
        let informed = (0..MEMBERS).filter(|at| replacer.informed & bit(*at) != 0);
        let holding: u8 = informed.filter(holds).map(bit).sum();
        let chosen = usize::from(chosen);
        let is_demoted = replacer.is_demoted
            && (setting.rule == Rule::TrustsDemotion
                || !self.members[usize::from(replacer.old.primary)].leads);
        let prevents = self.prevents_majority(setting, index, holding) || is_partial;
        let excluded = is_demoted || prevents && self.excludes(setting, index, chosen);
        setting.rule == Rule::TrustsHolds || holding & bit(chosen) != 0 && excluded
    }

    fn fence_again(&self, index: usize) -> Self {
        let mut state = *self;
        let replacer = &mut state.replacers[index];
        replacer.stage = Stage::Fencing;
        replacer.informed = 0;
        replacer.is_demoted = false;
        state
    }

    fn order(&self, index: usize, chosen: u8) -> Self {
        let mut state = *self;
        state.replacers[index].stage = Stage::Ordered { age: 0, chosen };
        state.orders[index] = Some(Order { chosen, age: 0 });
        state
    }
}

/// Explores all paths. Returns the number of states, or the first path to a state in which a
/// replaced primary is proved.
fn explore(setting: &Setting) -> Result<usize, Vec<State>> {
    let start = State::new(setting);
    let mut seen = HashSet::from([start]);
    let mut states = vec![(start, 0)];
    let mut at = 0;
    while at < states.len() {
        let (state, _) = states[at];
        for next in state.next(setting).into_iter().map(State::without_past) {
            if !seen.insert(next) {
                continue;
            }
            states.push((next, at));
            if next.is_violated() {
                let mut path = vec![next];
                let mut from = at;
                loop {
                    path.push(states[from].0);
                    if from == 0 {
                        break;
                    }
                    from = states[from].1;
                }
                path.reverse();
                return Err(path);
            }
        }
        at += 1;
    }
    Ok(states.len())
}

/// Fails with the path, one state a line, to the first state in which a replaced primary is proved.
fn assert_kept(setting: &Setting) {
    if let Err(path) = explore(setting) {
        let path: Vec<_> = path.iter().map(|state| format!("{state:?}")).collect();
        panic!("{setting:?}\n{}", path.join("\n"));
    }
}

fn setting(rule: Rule) -> Setting {
    Setting {
        rule,
        prover_list: 0b0111,
        replacer_lists: [0b0111; 2],
        voters: 0b0111,
        absent: None,
        restarts: 0,
        proves_by: Source::Members,
        replacers: 1,
    }
}

/// One more replica is listed at the replacing instances than at the proving one.
fn with_unequal_lists(rule: Rule) -> Setting {
    Setting {
        replacer_lists: [0b1111; 2],
        ..setting(rule)
    }
}

/// Two more replicas are listed at the replacing instances than at the proving one.
fn with_two_more(rule: Rule) -> Setting {
    Setting {
        replacer_lists: [0b1_1111; 2],
        ..setting(rule)
    }
}

/// A replica has no entry, and the record's voters are revised if it counts as ended.
fn with_absent(rule: Rule, life: Life) -> Setting {
    Setting {
        replacer_lists: [0b1011; 2],
        absent: Some((2, life)),
        ..setting(rule)
    }
}

/// The only replica that votes has no entry.
fn with_absent_pair(rule: Rule, life: Life) -> Setting {
    Setting {
        prover_list: 0b0011,
        replacer_lists: [0b0101; 2],
        voters: 0b0011,
        absent: Some((1, life)),
        ..setting(rule)
    }
}

fn with_store(rule: Rule) -> Setting {
    Setting {
        proves_by: Source::Store,
        replacers: 2,
        ..setting(rule)
    }
}

fn with_restart(rule: Rule) -> Setting {
    Setting {
        restarts: 1,
        ..setting(rule)
    }
}

fn with_two(rule: Rule) -> Setting {
    Setting {
        replacers: 2,
        ..setting(rule)
    }
}

/// All four members vote, and each instance lists all of them or only three.
fn with_four_voters(rule: Rule, prover_list: u8, replacer_list: u8) -> Setting {
    Setting {
        prover_list,
        replacer_lists: [replacer_list; 2],
        voters: 0b1111,
        ..setting(rule)
    }
}

/// Guards against commits that are acknowledged at a replaced primary because instances with
/// different lists count different majorities.
#[test]
fn no_proof_by_members_outlives_a_promotion_in_any_order_of_events() {
    let knows_all = |setting| Setting {
        prover_list: 0b1111,
        ..setting
    };
    for setting in [
        setting(Rule::Correct),
        knows_all(setting(Rule::Correct)),
        with_unequal_lists(Rule::Correct),
        knows_all(with_unequal_lists(Rule::Correct)),
        with_four_voters(Rule::Correct, 0b1111, 0b1111),
        with_four_voters(Rule::Correct, 0b1111, 0b0111),
        with_four_voters(Rule::Correct, 0b0111, 0b1111),
        with_two_more(Rule::Correct),
        with_absent(Rule::Correct, Life::Ended),
        knows_all(with_absent(Rule::Correct, Life::Ended)),
        with_absent_pair(Rule::Correct, Life::Ended),
    ] {
        assert_kept(&setting);
    }
}

/// Guards against commits that are acknowledged at a replaced primary because a voter whose entry
/// was lost is taken for ended, though it lives and proves the old primary, also to an instance that
/// is cut off together with it.
#[test]
fn no_proof_by_a_voter_without_an_entry_outlives_a_promotion() {
    for setting in [
        with_absent(Rule::Correct, Life::Alive),
        with_absent_pair(Rule::Correct, Life::Alive),
        with_absent(Rule::Correct, Life::Unreached),
        with_absent_pair(Rule::Correct, Life::Unreached),
        Setting {
            restarts: 1,
            ..with_absent(Rule::Correct, Life::Alive)
        },
        Setting {
            replacers: 2,
            ..with_absent(Rule::Correct, Life::Alive)
        },
    ] {
        assert_kept(&setting);
    }
}

/// Guards against commits that are acknowledged at a replaced primary after a replacement that
/// another instance had begun, or after a restart.
#[test]
fn no_proof_outlives_the_second_of_two_replacements_or_a_restart() {
    for setting in [
        with_two(Rule::Correct),
        with_store(Rule::Correct),
        with_restart(Rule::Correct),
    ] {
        assert_kept(&setting);
    }
}

/// Proves that the tests above can fail, and that their assumptions are needed.
#[test]
fn each_wrong_rule_or_assumption_lets_a_proof_outlive_a_promotion() {
    for setting in [
        with_unequal_lists(Rule::CountsListed),
        with_two_more(Rule::CountsListed),
        with_unequal_lists(Rule::PromotesAnyMember),
        with_unequal_lists(Rule::AddsVoters),
        with_absent(Rule::TrustsList, Life::Alive),
        with_absent_pair(Rule::TrustsList, Life::Alive),
        with_absent(Rule::AnswersAfterLeaving, Life::Ended),
        with_absent(Rule::ProvesIsolated, Life::Unreached),
        with_absent_pair(Rule::ProvesIsolated, Life::Unreached),
        with_absent(Rule::TrustsAnnouncement, Life::Unreached),
        with_absent_pair(Rule::TrustsAnnouncement, Life::Unreached),
        setting(Rule::RevivesProofs),
        with_restart(Rule::TrustsDemotion),
        with_restart(Rule::TrustsHolds),
        with_restart(Rule::FastRestart),
        setting(Rule::OrdersAtOnce),
        with_store(Rule::ReturnsFromOldReason),
        with_store(Rule::LooksEarly),
        with_store(Rule::BeginsEarly),
        with_store(Rule::LatePromotion),
        with_two(Rule::LateResume),
        setting(Rule::ReleasesUnread),
    ] {
        assert!(explore(&setting).is_err(), "{:?}", setting.rule);
    }
}
