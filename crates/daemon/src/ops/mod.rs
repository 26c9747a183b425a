//! The metrics duty: what operators and the platform's balancer look at.

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

/// The buckets of latencies, in seconds.
const LATENCY_BUCKETS_S: [f64; 16] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
    5.0, 10.0,
];

/// How often measured values are folded into histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The recorder of this process; several daemons in one process share it.
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

/// Installs the recorder, before any duty makes a handle: one made sooner
/// would count into the void for as long as it is kept.
pub(crate) fn install() {
    if recorder().is_none() {
        log::error!(duty = "metrics"; "figures can't be recorded: another recorder is installed");
    }
}

/// What the metrics duty is given.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Where operators connect.
    pub(crate) listener: TcpListener,
    /// Where the other duties are asked for what they know.
    pub(crate) introspection: Introspection,
    /// The daemon's phase.
    pub(crate) watch: Watch,
}

/// What the pages share.
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
        log::error!(duty = "metrics"; "the operators' port can't be served");
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

/// Folds what was measured into the histograms, for ever.
///
/// The recorder keeps each single value until then. Where nobody asks for the
/// figures, they would fill the memory.
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

/// The process lives.
async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// The instance takes new callers; the balancer asks this.
///
/// Without a catalogue every login is refused, so an instance that has just
/// started must not take callers from those that serve.
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
