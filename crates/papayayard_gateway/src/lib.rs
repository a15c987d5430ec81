//! Serves routes: passes requests and answers between callers and endpoints
//! without a look at their content.
//!
//! A route is chosen by host and path, an endpoint by what the request needs
//! and what is known of load and caches. The decisions are in
//! `papayayard_routing` and `papayayard_coordination`; here are the tasks that
//! own sockets and state. What a platform calls its headers, records and calls
//! is behind two codecs, [`store::Codec`] and [`exchange::Codec`].

pub mod call;
pub mod exchange;
pub mod exposition;
pub mod hop;
pub mod host;
pub mod listen;
pub mod settings;
pub mod store;

mod announcement;
mod attempt;
mod backoff;
mod beliefs;
mod body;
mod cache_news;
mod clock;
mod dial;
mod dispatch;
mod ends;
mod events;
mod feeds;
mod follow;
mod front;
mod hosts;
mod job;
mod meter;
mod metrics;
mod mirror;
mod operators;
mod orders;
mod peers;
mod pool;
mod pump;
mod refusal;
mod relay;
mod schedule;
