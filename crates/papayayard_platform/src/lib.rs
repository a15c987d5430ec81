//! Interfaces to the platform's services.
//!
//! Each service is a small trait, so that the service of another deployment needs
//! only an additional adapter. [`http`] is the adapter for HTTP and
//! JSON.

pub mod bound;
pub mod http;
pub mod service;
