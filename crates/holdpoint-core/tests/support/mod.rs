//! What several tests share.

pub(crate) mod chain;
