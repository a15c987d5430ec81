//! Configuration documents: one YAML text for each environment.
//!
//! The crate decodes a document into types and validates all of it, so that an
//! operator sees every fault at once, with its line, key and remedy. A
//! document contains nothing specific to one environment: the same bytes are
//! tested in trial and then promoted to production.

pub mod decode;
pub mod document;
pub mod fault;
pub mod file;
pub mod reader;
pub mod rule;
pub mod tree;
