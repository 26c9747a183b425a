//! Simulation of a store whose catalogue revokes keys, and of instances that ask the store or
//! each other for proof that their catalogue is current. Answers are delayed, instances stall
//! at any moment, relays differ in age, and the store refuses some requests.

use std::time::Duration;

use clock::Instant;
use lead::freshness::{Freshness, Watermark, valid_from};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time for which a key may be accepted after its revocation.
const SPAN: Duration = Duration::from_millis(500);

/// Instances below `READERS` ask the store, those below `RELAYS` ask a reader, and the others
/// ask a reader or relay.
const READERS: usize = 2;
const RELAYS: usize = 4;
const INSTANCES: usize = 8;

const STEPS: u64 = 6_000;
const SEEDS: u64 = 150;

/// Start of a proof; the wrong ones must make the check fail.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Start {
    /// The moment of the request, minus the age in the answer.
    Question,
    /// The moment of the answer, minus the age in the answer.
    Answer,
    /// The moment of the request, without the age in the answer.
    QuestionWithoutAge,
}

/// Stage of a request in transit.
#[derive(Clone, Copy)]
enum Stage {
    Asked,
    /// The watermark and its age in the answer.
    Answered(Watermark, Duration),
}

#[derive(Clone, Copy)]
struct Question {
    asker: usize,
    /// The instance asked; `None` for the store.
    asked: Option<usize>,
    at: u64,
    stage: Stage,
    /// Moment of the next stage.
    next: u64,
}

#[derive(Clone, Copy, Default)]
struct Instance {
    freshness: Freshness,
    catalog: u64,
    /// End of the current stall.
    stalled_until: u64,
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms + 10_000)
}

fn watermark(catalog: u64) -> Watermark {
    Watermark { catalog, shares: 0 }
}

/// Simulates a run and returns the number of requests served, and how many of these used a
/// key that had been revoked for longer than the span.
fn simulate(seed: u64, start: Start) -> (u64, u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // Moment at which version v revoked key v.
    let mut revoked: Vec<u64> = vec![0];
    let mut instances = [Instance::default(); INSTANCES];
    let mut questions: Vec<Question> = Vec::new();
    let (mut served, mut late) = (0, 0);
    for now in 0..STEPS {
        if rng.random_ratio(1, 400) {
            revoked.push(now);
        }
        let newest = revoked.len() as u64 - 1;
        for instance in &mut instances {
            if rng.random_ratio(1, 900) {
                instance.stalled_until = now + rng.random_range(1..1_500);
            }
            // The catalogue itself is delivered separately, or for a while not at all.
            if instance.stalled_until <= now && rng.random_ratio(1, 60) {
                instance.catalog = instance
                    .catalog
                    .max(newest.saturating_sub(rng.random_range(0..2)));
                instance.freshness.advance(watermark(instance.catalog));
            }
        }
        for (asker, instance) in instances.iter().enumerate() {
            if instance.stalled_until > now || !rng.random_ratio(1, 50) {
                continue;
            }
            let asked = match asker {
                reader if reader < READERS => None,
                relay if relay < RELAYS => Some(rng.random_range(0..READERS)),
                _ => Some(rng.random_range(0..RELAYS)),
            };
            let next = now + rng.random_range(1..40);
            questions.push(Question {
                asker,
                asked,
                at: now,
                stage: Stage::Asked,
                next,
            });
        }
        for question in &mut questions {
            let is_stalled = |index: usize| instances[index].stalled_until > now;
            if question.next > now || question.asked.is_some_and(is_stalled) {
                continue;
            }
            match question.stage {
                Stage::Asked => {
                    let answer = match question.asked {
                        // The store refuses a third of the requests.
                        None if rng.random_ratio(1, 3) => None,
                        None => Some((watermark(newest), Duration::ZERO)),
                        Some(other) => {
                            let other = instances[other];
                            let age = other.freshness.age(at(now));
                            age.map(|age| (watermark(other.catalog), age))
                        }
                    };
                    let Some((newest, age)) = answer else {
                        question.next = u64::MAX;
                        continue;
                    };
                    question.stage = Stage::Answered(newest, age);
                    // The sender may stall between taking the answer and sending it.
                    question.next = now + rng.random_range(1..60);
                }
                Stage::Answered(newest, age) => {
                    if is_stalled(question.asker) {
                        continue;
                    }
                    let instance = &mut instances[question.asker];
                    let since = match start {
                        Start::Question => valid_from(at(question.at), age),
                        Start::Answer => valid_from(at(now), age),
                        Start::QuestionWithoutAge => Some(at(question.at)),
                    };
                    if let Some(since) = since {
                        let have = watermark(instance.catalog);
                        instance.freshness.update(newest, since, have);
                    }
                    question.next = u64::MAX;
                }
            }
        }
        questions.retain(|question| question.next != u64::MAX);
        for instance in instances
            .iter()
            .filter(|instance| instance.stalled_until <= now)
        {
            if !instance.freshness.covers(at(now), SPAN) {
                continue;
            }
            served += 1;
            // Keys revoked by later versions are still in force here.
            let mut unknown = revoked.iter().skip(instance.catalog as usize + 1);
            late +=
                u64::from(unknown.any(|revoked_at| revoked_at + (SPAN.as_millis() as u64) < now));
        }
    }
    (served, late)
}

/// Guards against a revoked key that is accepted for longer than the span, caused by a proof
/// that seems younger than it is.
#[test]
fn no_revoked_key_is_served_beyond_the_span() {
    let mut all = 0;
    for seed in 0..SEEDS {
        let (served, late) = simulate(seed, Start::Question);
        assert_eq!(late, 0, "seed {seed}");
        all += served;
    }
    assert!(all > SEEDS * STEPS, "hardly anything was served: {all}");
}

/// Proves that the check can fail: counted from the answer, a proof seems younger than it is
/// after a slow request or a stall.
#[test]
fn a_proof_counted_from_its_answer_serves_keys_too_long() {
    let late = (0..SEEDS).map(|seed| simulate(seed, Start::Answer).1);
    assert!(late.sum::<u64>() > 0);
}

/// Proves that the check can fail if the age of a relayed proof is ignored.
#[test]
fn a_relayed_proof_without_its_age_serves_keys_too_long() {
    let late = (0..SEEDS).map(|seed| simulate(seed, Start::QuestionWithoutAge).1);
    assert!(late.sum::<u64>() > 0);
}

/// Guards against a revoked key that is accepted for longer than the span, caused by a machine that
/// booted after the beginning of a relayed proof.
#[test]
fn a_relayed_proof_from_before_the_boot_is_not_accepted() {
    let mut freshness = Freshness::default();
    let after_boot = Instant::from_millis;
    if let Some(since) = valid_from(after_boot(100), Duration::from_millis(400)) {
        freshness.update(watermark(1), since, watermark(1));
    }
    assert!(!freshness.covers(after_boot(300), SPAN), "600 ms old");
}
