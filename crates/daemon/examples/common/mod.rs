//! Modules shared by the examples; each example uses a part of them.
#![allow(dead_code)]

pub(crate) mod caller;
pub(crate) mod cluster;
