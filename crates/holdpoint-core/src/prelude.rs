//! The common types, for import as a whole.

pub use crate::{
    catalog::Catalog,
    fold::State,
    ids::{AttemptId, Incarnation, Millis, Name, Offset},
    ledger::{Ledger, NotRun},
};
