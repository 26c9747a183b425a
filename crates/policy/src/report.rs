//! Report on both deployments, as JSON or as tables.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::Serialize;

use crate::{
    gap::{self, Kind},
    jitter, load, reads,
    site::{SITES, Site},
    stat::parallel,
};

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scale {
    /// Failures of each kind.
    pub trials: u64,
    /// Virtual time of the reads per database and round.
    pub reads: Duration,
    /// Rounds of reads per database.
    pub rounds: u64,
    /// Virtual time of ordinary jitter.
    pub jitter: Duration,
    /// Virtual time of each load level.
    pub load: Duration,
}

/// Size of a full run.
pub const FULL: Scale = Scale {
    trials: 300,
    reads: Duration::from_secs(120),
    rounds: 4,
    jitter: Duration::from_secs(3_600),
    load: Duration::from_secs(20),
};

/// Results of one deployment.
#[derive(Debug, Serialize)]
pub struct Deployment {
    /// Share of the calendar reads served by replicas.
    pub replica_share: f64,
    /// Share of the calendar reads that a naive router would send to replicas.
    pub naive_share: f64,
    /// Share of the calendar reads that an oracle would send to replicas.
    pub oracle_share: f64,
    /// Share of the calendar reads on replicas if all reads go to the primary.
    pub all_primary_share: f64,
    /// `replica_share` divided by `oracle_share`.
    pub replica_share_of_oracle: f64,
    /// Median gap after a crash; half of the crashes are of the process, half
    /// of the host.
    pub gap_crash_p50_ms: f64,
    /// 99th percentile of the gap after a crash.
    pub gap_crash_p99_ms: f64,
    /// 99th percentile of the gap when the primary's zone is partitioned off.
    pub gap_cut_p99_ms: f64,
    /// Promotions in an hour of ordinary jitter.
    pub false_promotions: usize,
    /// Goodput at five times the capacity as a share of its peak.
    pub goodput_5x: f64,
    /// `goodput_5x` of queues without limits.
    pub naive_goodput_5x: f64,
    /// Share of reservations and payments done in time at five times the
    /// capacity.
    pub high_deadline_met_5x: f64,
    /// Acknowledged writes lost in all simulations.
    pub lost: usize,
    /// Consistency violations in all simulations.
    pub violations: usize,
    /// Results of the reads.
    pub reads: reads::Summary,
    /// Gap and its phases by kind of failure.
    pub gaps: BTreeMap<Kind, gap::Summary>,
    /// Calls to the store in the hour of jitter by the failover of one group.
    pub store_calls_quiet: u64,
    /// Share of the callers' requests that failed in the hour of jitter.
    pub failed_quiet: f64,
    /// Results of the load levels.
    pub load: load::Summary,
}

/// Results of both deployments.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Booking for livery yards.
    pub stalgenoot: Deployment,
    /// Requests to the archive's reading rooms.
    pub umurage: Deployment,
}

impl Report {
    /// Runs all simulations.
    pub fn measure(scale: Scale, seed: u64) -> Self {
        let [stalgenoot, umurage] = SITES.map(|site| Deployment::measure(site, scale, seed));
        Self {
            stalgenoot,
            umurage,
        }
    }
}

impl Deployment {
    /// Runs all simulations of one deployment.
    pub fn measure(site: Site, scale: Scale, seed: u64) -> Self {
        let reads = reads::measure(site, scale.reads, scale.rounds, seed);
        let trials = trials(site, scale.trials, seed);
        let crash = [Kind::Crash, Kind::Silence].into_iter();
        let crash = gap::summary(crash.flat_map(|kind| &trials[&kind])).gap;
        let gaps: BTreeMap<_, _> = trials
            .iter()
            .map(|(kind, trials)| (*kind, gap::summary(trials.iter())))
            .collect();
        let jitter = jitter::run(site, scale.jitter, seed);
        let load = load::measure(site, scale.load, seed);
        let trials = || trials.values().flatten();
        Self {
            replica_share: reads.calendar.replica,
            naive_share: reads.calendar.naive,
            oracle_share: reads.calendar.oracle,
            all_primary_share: 0.0,
            replica_share_of_oracle: reads.calendar.replica / reads.calendar.oracle,
            gap_crash_p50_ms: crash.p50_ms,
            gap_crash_p99_ms: crash.p99_ms,
            gap_cut_p99_ms: gaps[&Kind::Cut].gap.p99_ms,
            false_promotions: jitter.promotions,
            goodput_5x: load.goodput_5x,
            naive_goodput_5x: load.naive_goodput_5x,
            high_deadline_met_5x: load.high_deadline_met_5x,
            lost: jitter.lost + trials().map(|t| t.lost).sum::<usize>(),
            violations: jitter.violations
                + reads.violations
                + load.violations
                + trials().map(|t| t.violations).sum::<usize>(),
            store_calls_quiet: jitter.store_calls,
            failed_quiet: jitter.failed as f64 / (jitter.failed + jitter.done).max(1) as f64,
            reads,
            gaps,
            load,
        }
    }
}

fn trials(site: Site, count: u64, seed: u64) -> BTreeMap<Kind, Vec<gap::Trial>> {
    let seeds = |n: u64| seed.wrapping_mul(1_000_003).wrapping_add(n);
    let all = Kind::ALL.into_iter();
    let results = all.map(|kind| (kind, parallel(count, |n| gap::trial(site, kind, seeds(n)))));
    results.collect()
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (s, u) = (&self.stalgenoot, &self.umurage);
        writeln!(f, "{:34} {:>12} {:>12}", "", "stalgenoot", "umurage")?;
        let mut row = |name: &str, value: &dyn Fn(&Deployment) -> String| {
            writeln!(f, "{name:34} {:>12} {:>12}", value(s), value(u))
        };
        let share = |x: f64| format!("{x:.4}");
        let ms = |x: f64| format!("{x:.0} ms");
        row("replica share, calendar", &|d| share(d.replica_share))?;
        row("  naive", &|d| share(d.naive_share))?;
        row("  oracle", &|d| share(d.oracle_share))?;
        row("  all to primary", &|d| share(d.all_primary_share))?;
        row("  of the oracle's", &|d| share(d.replica_share_of_oracle))?;
        row("replica share, own writes", &|d| share(d.reads.own.replica))?;
        row("  naive", &|d| share(d.reads.own.naive))?;
        row("  oracle", &|d| share(d.reads.own.oracle))?;
        row("gap after a crash, median", &|d| ms(d.gap_crash_p50_ms))?;
        row("gap after a crash, p99", &|d| ms(d.gap_crash_p99_ms))?;
        row("gap when cut off, p99", &|d| ms(d.gap_cut_p99_ms))?;
        row("false promotions in the hour", &|d| {
            d.false_promotions.to_string()
        })?;
        row("goodput at 5x, of peak", &|d| share(d.goodput_5x))?;
        row("  naive", &|d| share(d.naive_goodput_5x))?;
        row("high priority in time at 5x", &|d| {
            share(d.high_deadline_met_5x)
        })?;
        row("acknowledged writes lost", &|d| d.lost.to_string())?;
        row("violations", &|d| d.violations.to_string())?;
        for (name, deployment) in [("stalgenoot", s), ("umurage", u)] {
            writeln!(f, "\n{name}: gap in ms, median/p99")?;
            deployment.gaps_table(f)?;
            writeln!(f, "\n{name}: load, requests a second")?;
            deployment.load_table(f)?;
        }
        Ok(())
    }
}

impl Deployment {
    fn gaps_table(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:22}", "failure")?;
        for name in ["gap", "all zones"].iter().chain(&gap::PHASES) {
            write!(f, " {name:>11}")?;
        }
        writeln!(f, " {:>6}", "never")?;
        for (kind, gap) in &self.gaps {
            write!(f, "{:22}", format!("{kind:?}"))?;
            let spans = [gap.gap, gap.everywhere];
            let phases = [gap.detect, gap.claim, gap.fence, gap.promote, gap.spread];
            for span in spans.iter().chain(&phases) {
                let both = format!("{:.0}/{:.0}", span.p50_ms, span.p99_ms);
                write!(f, " {both:>11}")?;
            }
            writeln!(f, " {:>6}", gap.never)?;
        }
        Ok(())
    }

    fn load_table(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = [
            "load", "offered", "goodput", "refused", "late", "unknown", "repeats", "high",
            "normal", "low", "fair",
        ];
        for name in names {
            write!(f, "{name:>9}")?;
        }
        writeln!(f)?;
        for level in &self.load.levels {
            write!(f, "{:>9.1}", level.load)?;
            let rates = [
                level.offered,
                level.goodput,
                level.refused,
                level.late,
                level.unknown,
                level.repeats,
            ];
            for rate in rates {
                write!(f, "{rate:>9.0}")?;
            }
            for met in [
                level.high_met,
                level.normal_met,
                level.low_met,
                level.fairness,
            ] {
                write!(f, "{met:>9.4}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
