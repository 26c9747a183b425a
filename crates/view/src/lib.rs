//! What an instance shows of itself on its operators' port, as JSON.
//!
//! The daemon fills these types and the operators' tool reads them. Fields may
//! be added: readers ignore those they do not know, so that a tool and an
//! instance of neighbouring versions understand each other. Ages are counted
//! in milliseconds before the answer, since clocks of instances differ.

mod doubt;
mod revision;
mod session;
mod status;
mod upstream;

pub use doubt::{Doubt, Duty};
pub use revision::Revision;
pub use session::{Phase, Session, Sessions};
pub use status::{Health, Member, Primary, Status, Store};
pub use upstream::{Breaker, Link, Pool, Upstream, Upstreams};

/// The path of [`Status`].
pub const STATUS: &str = "/status";

/// The path of [`Upstreams`].
pub const UPSTREAMS: &str = "/upstreams";

/// The path of [`Sessions`].
pub const SESSIONS: &str = "/sessions";
