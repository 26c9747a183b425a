//! `dandelionlinkd`: reads its settings, serves, and stops when told to.
//!
//! Exit codes: 0 after a stop, 1 when it could not start or a duty ended by a
//! fault, 2 for settings that are wrong.

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
    // Every line names the instance and its zone, also those of libraries.
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

/// Ends the process: who watches over it starts it anew, whole.
fn exit_on_panic(duty: &'static str) {
    log::error!(duty; "this duty ended by a fault; leaving");
    std::process::exit(1);
}
