//! JSON pages that an instance serves on its operators' port.
//!
//! The daemon writes these types and the command-line tool reads them. Readers
//! ignore unknown fields, so that fields can be added and a tool works with an
//! instance of an adjacent version. Times are ages in milliseconds at the time
//! of the answer, since the clocks of instances differ.

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

/// HTTP path of [`Status`].
pub const STATUS: &str = "/status";

/// HTTP path of [`Upstreams`].
pub const UPSTREAMS: &str = "/upstreams";

/// HTTP path of [`Sessions`].
pub const SESSIONS: &str = "/sessions";
