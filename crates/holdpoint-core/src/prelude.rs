//! Commonly used types, for glob imports.

pub use crate::{
    catalog::Catalog,
    fold::State,
    ids::{AttemptId, Incarnation, Millis, Name, Offset},
    ledger::{Ledger, NotRun, OwnAnswer},
};
