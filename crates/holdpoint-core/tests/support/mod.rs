//! Code shared by integration tests.

pub(crate) mod chain;
