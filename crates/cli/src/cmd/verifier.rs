//! `dandelionlink verifier`

use std::io::{self, BufRead, Read};

use argh::FromArgs;
use postgres_protocol::password;

use crate::{error::Error, exit::Exit, util};

/// Maximum bytes of a password.
const MAX_PASSWORD: u64 = 1_024;

/// Generate a SCRAM-SHA-256 verifier for the password on standard input.
///
/// The first line is the password. The verifier belongs under `users` of a
/// tenant in the catalogue; the password can't be recovered from the verifier.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "verifier",
    error_code(1, "Standard input holds no password.")
)]
pub(crate) struct Args {}

pub(crate) fn run(_args: &Args) -> Result<Exit, Error> {
    let mut line = Vec::new();
    io::stdin()
        .lock()
        .take(MAX_PASSWORD)
        .read_until(b'\n', &mut line)?;
    let password = line.trim_ascii_end();
    if password.is_empty() {
        return Err(Error::NoPassword);
    }
    let mut verifier = password::scram_sha_256(password);
    verifier.push('\n');
    util::print(&verifier)?;
    Ok(Exit::Success)
}
