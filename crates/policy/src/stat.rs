//! Quantiles of durations.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest duration that is recorded; longer ones are clamped.
const LONGEST_US: u64 = 3_600_000_000;

/// Histogram of durations in microseconds.
#[derive(Debug)]
pub struct Spans {
    histogram: Histogram<u64>,
}

impl Default for Spans {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3);
        let histogram = histogram.expect("three significant digits are supported");
        Self { histogram }
    }
}

/// Quantiles of durations in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Number of durations.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Spans {
    /// Adds a duration.
    pub fn add(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Adds all durations of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let merged = self.histogram.add(&other.histogram);
        merged.expect("all have the same bounds");
    }

    /// Returns the quantiles.
    pub fn quantiles(&self) -> Quantiles {
        let ms = |micros: u64| micros as f64 / 1_000.0;
        Quantiles {
            count: self.histogram.len(),
            p50_ms: ms(self.histogram.value_at_quantile(0.5)),
            p99_ms: ms(self.histogram.value_at_quantile(0.99)),
            max_ms: ms(self.histogram.max()),
        }
    }
}

/// Runs `job` for each number below `count` on all processors and returns the
/// results in order.
pub fn parallel<T: Send>(count: u64, job: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let mut results: Vec<(u64, T)> = std::thread::scope(|scope| {
        let job = &job;
        let spawn = |first: u64| {
            scope.spawn(move || {
                let mine = (first..count).step_by(threads as usize);
                mine.map(|n| (n, job(n))).collect::<Vec<_>>()
            })
        };
        let handles: Vec<_> = (0..threads).map(spawn).collect();
        let joined = handles.into_iter().map(|h| h.join());
        joined
            .flat_map(|r| r.unwrap_or_else(|panic| std::panic::resume_unwind(panic)))
            .collect()
    });
    results.sort_by_key(|(n, _)| *n);
    results.into_iter().map(|(_, result)| result).collect()
}
