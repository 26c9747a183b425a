//! Connections to an upstream, its status and the orders that change its role.

mod conn;
mod error;
mod order;
mod status;

pub use conn::{Conn, Key, Login, cancel};
pub use error::Error;
pub use order::{Order, TERM_REFUSED};
pub use status::{PROBE, parse_report};
