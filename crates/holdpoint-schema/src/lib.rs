//! JSON Schemas of holdpoint's settings, resources, log records and messages, with the Rust
//! types generated from them and a validator that reports each error with its path.
//!
//! ```
//! use holdpoint_schema::{faults, Part};
//!
//! let value = serde_json::json!({ "kind": "engine", "targest": [] });
//! let found = faults(Part::Pool, &value);
//! assert_eq!(found.len(), 1);
//! assert!(found[0].text.contains("targest"));
//! ```

mod check;

#[allow(dead_code, missing_docs, unreachable_pub, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
mod generated {
    pub mod caller;
    pub mod ingress;
    pub mod peer;
    pub mod platform;
    pub mod records;
    pub mod resources;
    pub mod settings;
}

pub use crate::{
    check::{Fault, Part, faults},
    generated::{caller, ingress, peer, platform, records, resources, settings},
};
