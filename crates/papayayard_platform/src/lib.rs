//! The platform's services as the router sees them.
//!
//! Each service is a small trait, so that another deployment's service needs
//! one more adapter and nothing else. [`http`] is the adapter for HTTP and
//! JSON.

pub mod http;
pub mod service;
