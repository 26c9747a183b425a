//! Latency and throughput with and without the daemon, in alternating rounds.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::task::spawn_local;
use tokio_postgres::{Client, Statement};

use crate::common::caller::Caller;

/// Number of requests of each caller in a round.
const REQUESTS_PER_ROUND: usize = 50;

/// Number of rounds that are not measured, in which connections are opened and
/// statements prepared.
const WARM_UP_ROUNDS: usize = 4;

/// Significant digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Case {
    /// A read that accepts data up to an age.
    AgeRead,
    /// A read in a session that has written before.
    OwnRead,
    /// A write, which the daemon acknowledges once a majority holds it.
    Write,
}

impl Case {
    /// All cases.
    pub(crate) const ALL: [Self; 3] = [Self::AgeRead, Self::OwnRead, Self::Write];

    /// The name of the case in the table.
    pub(crate) fn title(self) -> &'static str {
        match self {
            Self::AgeRead => "read, at most an age",
            Self::OwnRead => "read, read-your-writes",
            Self::Write => "write",
        }
    }

    fn entry(self) -> &'static str {
        match self {
            Self::AgeRead => "calendar",
            Self::OwnRead | Self::Write => "slots",
        }
    }

    fn sql(self) -> &'static str {
        match self {
            Self::AgeRead | Self::OwnRead => "SELECT value FROM kv WHERE key = $1",
            Self::Write => "UPDATE kv SET value = 'noor' WHERE key = $1",
        }
    }

    /// The upstream for direct requests of a caller: the primary for writes,
    /// and any upstream for reads, as the daemon would choose.
    fn upstream(self, caller: usize, upstreams: &[SocketAddr]) -> SocketAddr {
        match self {
            Self::AgeRead | Self::OwnRead => upstreams[caller % upstreams.len()],
            Self::Write => upstreams[0],
        }
    }
}

/// The measurements of one case.
#[derive(Debug, Serialize)]
pub(crate) struct Measurement {
    /// The case.
    pub(crate) case: Case,
    /// Number of concurrent callers.
    pub(crate) callers: usize,
    /// Results without the daemon.
    pub(crate) direct: Summary,
    /// Results through the daemon.
    pub(crate) proxied: Summary,
}

/// Latency and throughput on one path.
#[derive(Debug, Serialize)]
pub(crate) struct Summary {
    /// Median latency, in microseconds.
    pub(crate) p50_us: f64,
    /// 99th percentile of the latency, in microseconds.
    pub(crate) p99_us: f64,
    /// Requests per second.
    pub(crate) throughput: f64,
}

/// The callers of one path and their results.
struct Path {
    callers: Vec<Worker>,
    histogram: Histogram<u64>,
    elapsed: Duration,
}

#[derive(Clone)]
struct Worker {
    caller: Rc<Caller>,
    statement: Statement,
    key: String,
}

/// Measures a case with `width` callers on each path.
///
/// # Errors
///
/// Fails if a caller can't connect or a request fails.
pub(crate) async fn measure(
    case: Case,
    width: usize,
    rounds: usize,
    upstreams: &[SocketAddr],
    daemon: SocketAddr,
) -> anyhow::Result<Measurement> {
    let upstream = |it| case.upstream(it, upstreams);
    let mut direct = Path::open(case, width, upstream, upstreams[0]).await?;
    let mut proxied = Path::open(case, width, |_| daemon, daemon).await?;
    for round in 0..WARM_UP_ROUNDS + rounds {
        if round == WARM_UP_ROUNDS {
            direct.reset();
            proxied.reset();
        }
        direct.run_round().await?;
        proxied.run_round().await?;
    }
    Ok(Measurement {
        case,
        callers: width,
        direct: direct.summary(),
        proxied: proxied.summary(),
    })
}

impl Path {
    async fn open(
        case: Case,
        width: usize,
        address: impl Fn(usize) -> SocketAddr,
        writer: SocketAddr,
    ) -> anyhow::Result<Self> {
        let mut callers = Vec::new();
        for index in 0..width {
            let key = format!("arena-{index}");
            let own = Caller::open(address(index), case.entry()).await?;
            if address(index) == writer {
                seed(&own.client, &key).await?;
            } else {
                seed(&Caller::open(writer, case.entry()).await?.client, &key).await?;
            }
            callers.push(Worker {
                statement: own.client.prepare(case.sql()).await?,
                caller: Rc::new(own),
                key,
            });
        }
        Ok(Self {
            callers,
            histogram: Histogram::new(SIGNIFICANT_DIGITS)?,
            elapsed: Duration::ZERO,
        })
    }

    fn reset(&mut self) {
        self.histogram.reset();
        self.elapsed = Duration::ZERO;
    }

    /// Sends one round of requests: all callers in parallel, each one
    /// sequentially.
    async fn run_round(&mut self) -> anyhow::Result<()> {
        let began = Instant::now();
        let tasks: Vec<_> = self
            .callers
            .iter()
            .map(|worker| spawn_local(run_requests(worker.clone())))
            .collect();
        for task in tasks {
            for nanos in task.await?? {
                self.histogram.record(nanos)?;
            }
        }
        self.elapsed += began.elapsed();
        Ok(())
    }

    fn summary(&self) -> Summary {
        let micros = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1e3;
        Summary {
            p50_us: micros(0.5),
            p99_us: micros(0.99),
            throughput: self.histogram.len() as f64 / self.elapsed.as_secs_f64(),
        }
    }
}

/// Writes the key that a caller reads, which also gives its session a floor.
async fn seed(client: &Client, key: &str) -> anyhow::Result<()> {
    let sql = "INSERT INTO kv (key, value) VALUES ($1, 'mila') ON CONFLICT (key) DO NOTHING";
    client.execute(sql, &[&key]).await?;
    Ok(())
}

async fn run_requests(worker: Worker) -> anyhow::Result<Vec<u64>> {
    let mut elapsed = Vec::with_capacity(REQUESTS_PER_ROUND);
    for _ in 0..REQUESTS_PER_ROUND {
        let began = Instant::now();
        worker
            .caller
            .client
            .query(&worker.statement, &[&worker.key])
            .await
            .context("a request failed")?;
        elapsed.push(u64::try_from(began.elapsed().as_nanos())?);
    }
    Ok(elapsed)
}
