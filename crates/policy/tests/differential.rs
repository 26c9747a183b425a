//! Differential test of the real logic against a naive one on the same fakes,
//! under seeded faults.
//!
//! The naive logic sends all requests to upstream 0 and passes its answers on.
//! Wherever both give an answer, the answers must agree. `DANDELIONLINK_HUNT`
//! sets the number of cases and uses a fresh seed instead of the fixed one.

use std::{collections::HashMap, time::Duration};

use clock::Instant;
use model::Outcome;
use policy::{
    site::{SITES, Site},
    world::{Command, CommandResult, Fault, Load, Logic, Step, World},
};
use proptest::{prelude::*, test_runner::RngSeed};

const CASES: u32 = 24;
const BEGIN: Instant = Instant::from_millis(1_200);
const FAULT_SPAN_MS: u64 = 3_000;

fn conf() -> ProptestConfig {
    let requested = std::env::var("DANDELIONLINK_HUNT").ok();
    let cases: Option<u32> = requested.and_then(|text| text.parse().ok());
    let fixed = ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 256,
        ..ProptestConfig::default()
    };
    match cases {
        Some(cases) => ProptestConfig {
            cases,
            rng_seed: RngSeed::Random,
            ..fixed
        },
        None => fixed,
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop::sample::select(vec![Step::Claim, Step::Fence, Step::Promote, Step::Record])
}

fn fault() -> impl Strategy<Value = Fault> {
    let span = || (10u64..2_500).prop_map(Duration::from_millis);
    prop_oneof![
        (0usize..3).prop_map(Fault::Crash),
        (0usize..3).prop_map(Fault::Silence),
        (0usize..3).prop_map(Fault::Restart),
        ((0usize..3), span()).prop_map(|(u, span)| Fault::Stall(u, span)),
        (0usize..3).prop_map(Fault::Isolate),
        Just(Fault::Heal),
        Just(Fault::StoreDown),
        Just(Fault::StoreUp),
        (10u64..600).prop_map(|extra| Fault::StoreSlow(Duration::from_millis(extra))),
        (1u32..4).prop_map(Fault::LoseAnswers),
        (0usize..9).prop_map(Fault::Kill),
        ((0usize..9), span()).prop_map(|(i, span)| Fault::Pause(i, span)),
        step().prop_map(Fault::KillOn),
        (step(), span()).prop_map(|(step, span)| Fault::PauseOn(step, span)),
    ]
}

/// Generates scripts of three callers. Each caller writes numbers of its own
/// and reads its own numbers, whether written before or never.
fn scripts() -> impl Strategy<Value = Vec<Vec<Command>>> {
    let command = (any::<bool>(), 0u64..40);
    let script = prop::collection::vec(command, 20..60);
    prop::collection::vec(script, 3).prop_map(|scripts| {
        let numbered = scripts.into_iter().enumerate();
        numbered
            .map(|(caller, draws)| commands(caller, &draws))
            .collect()
    })
}

fn commands(caller: usize, draws: &[(bool, u64)]) -> Vec<Command> {
    let base = (caller as u64 + 1) * 1_000_000;
    let mut written = 0;
    let commands = draws.iter().map(|&(writes, back)| {
        if writes {
            written += 1;
            return Command::Write(base + written);
        }
        // Reads one of the last writes or one that was never written.
        Command::Read(base + (written + 2).saturating_sub(back % 8))
    });
    commands.collect()
}

fn simulate(
    site: Site,
    logic: Logic,
    seed: u64,
    scripts: &[Vec<Command>],
    faults: &[(u64, Fault)],
) -> World {
    let mut world = World::open_with(site, seed, logic);
    for (zone, script) in scripts.iter().enumerate() {
        world.run_script(BEGIN, zone % site.zones, Duration::from_millis(40), script);
    }
    for &(after, fault) in faults {
        world.schedule(BEGIN + Duration::from_millis(after), fault);
    }
    let heal = BEGIN + Duration::from_millis(FAULT_SPAN_MS);
    world.run(heal);
    for fault in [Fault::Heal, Fault::StoreUp] {
        world.schedule(heal, fault);
    }
    for server in 0..site.upstreams {
        world.schedule(heal, Fault::Restart(server));
    }
    world
}

/// Returns the results of a caller by the index of their commands.
fn by_index(results: &[CommandResult]) -> HashMap<usize, CommandResult> {
    results.iter().copied().enumerate().collect()
}

fn done(results: &[CommandResult], command: Command) -> bool {
    results
        .iter()
        .any(|s| s.command == command && s.outcome == Outcome::Done)
}

fn written(results: &[CommandResult], upto: usize, number: u64) -> Option<bool> {
    let before = results[..upto].iter().rev();
    let mut before = before.filter(|s| s.command == Command::Write(number));
    match before.next()?.outcome {
        Outcome::Done => Some(true),
        Outcome::NotRun(_) => Some(false),
        Outcome::Unknown(_) => None,
    }
}

/// Asserts that both logics agree on every read that both answered about a
/// write with the same outcome in both.
fn assert_agree(real: &[CommandResult], naive: &[CommandResult]) -> Result<(), TestCaseError> {
    let naive_results = by_index(naive);
    for (index, result) in real.iter().enumerate() {
        let (Command::Read(number), Some(other)) = (result.command, naive_results.get(&index))
        else {
            continue;
        };
        if result.outcome != Outcome::Done || other.outcome != Outcome::Done {
            continue;
        }
        let never = !done(real, Command::Write(number))
            && !real.iter().any(|s| s.command == Command::Write(number));
        let ours = written(real, index, number);
        let theirs = written(naive, index, number);
        if never || (ours.is_some() && ours == theirs) {
            prop_assert_eq!(
                result.found,
                other.found,
                "command {} reads {}",
                index,
                number
            );
            prop_assert_eq!(result.found, !never && ours == Some(true));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(conf())]

    #[test]
    fn agrees_with_the_naive_logic(
        site in prop::sample::select(SITES.to_vec()),
        seed in any::<u64>(),
        scripts in scripts(),
        faults in prop::collection::vec((0..FAULT_SPAN_MS, fault()), 0..6),
    ) {
        let mut real = simulate(site, Logic::Real, seed, &scripts, &faults);
        let heal = BEGIN + Duration::from_millis(FAULT_SPAN_MS);
        let load = Load {
            callers: 1,
            interval: Duration::from_millis(50),
            read_percent: 30,
            roam_percent: 20,
        };
        real.start_load(heal, load);
        let end = heal + Duration::from_millis(6_000);
        real.run(end);
        real.stop_load();
        real.run(end + Duration::from_millis(1_500));
        real.finish();
        prop_assert_eq!(real.suite.violations(), &[]);
        let late = real
            .acknowledgements()
            .iter()
            .filter(|l| l.asked > end - Duration::from_millis(1_000));
        prop_assert!(late.count() > 5, "service is not back");

        let mut naive = simulate(site, Logic::Naive, seed, &scripts, &faults);
        naive.run(end);
        for (ours, theirs) in real.results().iter().zip(naive.results()) {
            assert_agree(ours, theirs)?;
        }
    }
}
