//! Starts stand-ins of the platform, the backends and the clients, and the project's program
//! before them; plays one case and judges it.
//!
//! Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod client;
mod group;
mod http;
mod late_order;
mod leaving;
mod load;
mod nodes;
mod returning;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, root, folder) = match &arguments[..] {
        [_, case, root, folder] => (case.as_str(), root.as_str(), folder.as_str()),
        _ => {
            eprintln!("usage: standin CASE ROOT FOLDER");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let played = match case {
        "late-order" => late_order::play(root.as_ref(), folder.as_ref(), &trouble),
        "returning" => returning::play(root.as_ref(), folder.as_ref(), &trouble),
        "leaving" => leaving::play(root.as_ref(), folder.as_ref(), &trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
