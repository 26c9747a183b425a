//! The metrics duty: HTTP pages for operators and for the platform's load
//! balancer.

mod gauge;
mod page;

use std::{
    net::TcpListener,
    sync::{Arc, Mutex, OnceLock, PoisonError, atomic::Ordering},
    time::Duration,
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use ntex::{
    time::sleep,
    web::{self, HttpResponse},
};
use serde::Serialize;

use crate::{
    duty::{self, Phase, Watch},
    introspect::Introspection,
};

use gauge::Gauges;

/// Histogram buckets of latencies, in seconds.
const LATENCY_BUCKETS_S: [f64; 16] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0,
];

/// Interval at which recorded values are merged into histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Metrics recorder of this process; daemons in one process share it.
fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let install = || {
        let matcher = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(matcher, &LATENCY_BUCKETS_S)
            .ok()?;
        builder.install_recorder().ok()
    };
    HANDLE.get_or_init(install).as_ref()
}

/// Installs the recorder. This must come before any duty creates a metric
/// handle, because an earlier handle never records anything.
pub(crate) fn install() {
    if recorder().is_none() {
        log::error!(duty = "metrics"; "can't record metrics: another recorder is installed");
    }
}

/// Configuration of the metrics duty.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Listener for operators.
    pub(crate) listener: TcpListener,
    /// Requests to the other duties.
    pub(crate) introspection: Introspection,
    /// The daemon's phase.
    pub(crate) watch: Watch,
}

/// State shared by the pages.
struct Shared {
    introspection: Introspection,
    gauges: Mutex<Gauges>,
    watch: Watch,
}

type State = web::types::State<Arc<Shared>>;

/// Runs the duty until the daemon stops.
pub(crate) async fn run(conf: Conf) {
    let shared = Arc::new(Shared {
        introspection: conf.introspection,
        gauges: Mutex::default(),
        watch: conf.watch.clone(),
    });
    let server = web::server(async move || {
        web::App::new()
            .state(Arc::clone(&shared))
            .route("/metrics", web::get().to(metrics))
            .route("/healthz", web::get().to(healthz))
            .route("/readyz", web::get().to(readyz))
            .route(view::STATUS, web::get().to(status))
            .route(view::UPSTREAMS, web::get().to(upstreams))
            .route(view::SESSIONS, web::get().to(sessions))
    });
    let server = server.workers(1).disable_signals().listen(conf.listener);
    let Ok(server) = server else {
        log::error!(duty = "metrics"; "can't serve the operators' port");
        return;
    };
    let server = server.run();
    let mut phase = conf.watch;
    tokio::select! {
        () = run_upkeep() => {}
        () = duty::wait_for(&mut phase, Phase::Stop) => {}
    }
    drop(server.stop(false));
}

/// Merges recorded values into the histograms, without end.
///
/// The recorder stores each single value until then, which would fill the
/// memory if nothing scrapes the metrics.
async fn run_upkeep() {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        if let Some(handle) = recorder() {
            handle.run_upkeep();
        }
    }
}

async fn metrics(shared: State) -> HttpResponse {
    let Some(handle) = recorder() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let groups = gauge::request_groups(&shared.introspection).await;
    let gauges = shared.gauges.lock();
    gauges.unwrap_or_else(PoisonError::into_inner).set(&groups);
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(handle.render())
}

/// Liveness check: the process runs.
async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// Readiness check for the load balancer: the instance accepts new callers.
///
/// Without a catalogue each login is refused, so an instance that has just
/// started must not get callers instead of instances that serve.
async fn readyz(shared: State) -> HttpResponse {
    if *shared.watch.borrow() > Phase::Run {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if !shared.introspection.serving.load(Ordering::Acquire) {
        return HttpResponse::ServiceUnavailable().body("no catalogue yet\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn status(shared: State) -> HttpResponse {
    let phase = *shared.watch.borrow();
    HttpResponse::Ok().json(&page::status(&shared.introspection, phase).await)
}

async fn upstreams(shared: State) -> HttpResponse {
    respond(page::upstreams(&shared.introspection).await.as_ref())
}

async fn sessions(shared: State) -> HttpResponse {
    respond(page::sessions(&shared.introspection).await.as_ref())
}

fn respond<T: Serialize>(view: Option<&T>) -> HttpResponse {
    match view {
        Some(view) => HttpResponse::Ok().json(view),
        None => HttpResponse::ServiceUnavailable().body("a duty of this instance is silent\n"),
    }
}
