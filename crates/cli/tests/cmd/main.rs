//! Tests of the built tool, one module per command.

mod apply;
mod check;
mod diff;
mod explain;
mod history;
mod instance;
mod relay;
mod sessions;
mod settings;
mod status;
mod upstreams;
mod verifier;
mod wait;
mod workdir;
