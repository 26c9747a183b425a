//! Simulates failover, routing and admission in virtual time, with the
//! operators' sizes.

pub mod gap;
pub mod jitter;
pub mod lag;
pub mod load;
pub mod net;
pub mod reads;
pub mod report;
pub mod server;
pub mod site;
pub mod stat;
pub mod world;
