//! The metrics duty: what operators and the platform's balancer look at.

use std::{
    net::TcpListener,
    sync::{Arc, OnceLock},
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use ntex::web::{self, HttpResponse};

use crate::duty::{self, Phase, Watch};

/// The buckets of latencies, in seconds.
const SECONDS: [f64; 14] = [
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5,
];

/// The recorder of this process; several daemons in one process share it.
fn recorder() -> Option<&'static PrometheusHandle> {
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let install = || {
        let matcher = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(matcher, &SECONDS)
            .ok()?;
        builder.install_recorder().ok()
    };
    HANDLE.get_or_init(install).as_ref()
}

/// What the metrics duty is given.
#[derive(Debug)]
pub(crate) struct Conf {
    /// Where operators connect.
    pub(crate) listener: TcpListener,
    /// The daemon's phase.
    pub(crate) watch: Watch,
}

/// Runs the duty until the daemon stops.
pub(crate) async fn run(conf: Conf) {
    recorder();
    let watch = Arc::new(conf.watch.clone());
    let server = web::server(async move || {
        let watch = Arc::clone(&watch);
        web::App::new()
            .state(watch)
            .route("/metrics", web::get().to(metrics))
            .route("/healthz", web::get().to(healthz))
            .route("/readyz", web::get().to(readyz))
    });
    let server = server.workers(1).disable_signals().listen(conf.listener);
    let Ok(server) = server else {
        log::error!(duty = "metrics"; "the operators' port can't be served");
        return;
    };
    let server = server.run();
    let mut phase = conf.watch;
    duty::reached(&mut phase, Phase::Stop).await;
    drop(server.stop(false));
}

async fn metrics() -> HttpResponse {
    match recorder() {
        Some(handle) => HttpResponse::Ok()
            .content_type("text/plain")
            .body(handle.render()),
        None => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// The process lives.
async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// The instance takes new callers; the balancer asks this.
async fn readyz(watch: web::types::State<Arc<Watch>>) -> HttpResponse {
    if *watch.borrow() == Phase::Run {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("stopping\n")
}
