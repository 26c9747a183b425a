//! `dandelionlinkd`: reads the settings, serves until a signal arrives, and
//! drains.
//!
//! Exit codes: 0 after a graceful stop, 1 if the start failed or a duty
//! panicked, 2 for invalid settings.

use std::process::ExitCode;

use daemon::{Daemon, Settings, duty, settings::Args};
use logforth::{append, diagnostic, layout::JsonLayout, record::LevelFilter};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let settings = match Settings::read(&args, &|name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(2);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    match serve(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: &Settings) -> anyhow::Result<()> {
    // Every log line, also of libraries, names the instance and its zone.
    let mut labels = diagnostic::StaticDiagnostic::default();
    labels.insert("instance", settings.instance.as_str());
    labels.insert("zone", settings.zone.as_str());
    logforth::starter_log::builder()
        .dispatch(move |dispatch| {
            let stdout = append::Stdout::default().with_layout(JsonLayout::default());
            dispatch
                .filter(LevelFilter::MoreSevereEqual(logforth::record::Level::Info))
                .diagnostic(labels)
                .append(stdout)
        })
        .apply();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    duty::on_panic(exit_on_panic);
    let daemon = Daemon::spawn(settings)?;
    log::info!(
        duty = "daemon";
        "callers connect to {}, operators to {}", daemon.callers(), daemon.ops()
    );
    signals.forever().next();
    log::info!(duty = "daemon"; "stopping");
    daemon.stop();
    Ok(())
}

/// Ends the process after a panic, so that its supervisor restarts the whole
/// daemon.
fn exit_on_panic(duty: &'static str) {
    log::error!(duty; "duty panicked; exiting");
    std::process::exit(1);
}
