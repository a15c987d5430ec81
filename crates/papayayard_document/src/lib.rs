//! Configuration documents: one YAML text for each environment.
//!
//! The crate reads a document into types and checks it whole, so that an
//! operator sees every fault at once, with its line, key and remedy. A
//! document names nothing of one environment: the same bytes are tried in
//! trial and promoted to production.

pub mod decode;
pub mod document;
pub mod fault;
pub mod file;
pub mod reader;
pub mod rule;
pub mod tree;
