//! Scripts of the second review: each starts the project's program as processes of its own, with the
//! command of the deploy file, on loopback addresses, in front of stand-ins for the platform ([`standin`]).
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod collide;
mod nodes;
mod paused;
mod priority;
mod reborn;
mod standin;
mod values;

use std::{path::PathBuf, process::ExitCode};

use tokio::signal::unix::{SignalKind, signal};

/// Result of a case.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = nodes::Record::new(&PathBuf::from(folder).join("record.txt"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let limit = std::time::Duration::from_secs(100);
    let verdict = tokio::task::LocalSet::new().block_on(&runtime, async {
        let case = async {
            match &*case {
                "reborn" => reborn::run(&record, trouble).await,
                "collide" => collide::run(&record, trouble).await,
                "paused" => paused::run(&record, trouble).await,
                "priority" => priority::run(&record, trouble).await,
                "values" => values::run(&record, trouble).await,
                _ => Err(format!("unknown case {case}")),
            }
        };
        // Returning ends the nodes.
        let stopped = async {
            let mut terminate =
                signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
            tokio::select! {
                _ = terminate.recv() => {}
                _ = tokio::signal::ctrl_c() => {}
            }
            Err("the script was stopped".to_owned())
        };
        tokio::select! {
            verdict = case => verdict,
            verdict = stopped => verdict,
            () = tokio::time::sleep(limit) => Err("the case took too long".to_owned()),
        }
    });
    match verdict {
        Ok(true) => {
            record.line("VERDICT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("VERDICT: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("VERDICT: the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
