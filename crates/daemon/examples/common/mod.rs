//! What the examples share; each of them uses a part.
#![allow(dead_code)]

pub(crate) mod caller;
pub(crate) mod cluster;
