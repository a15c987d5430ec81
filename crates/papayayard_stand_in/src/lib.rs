//! Small stand-ins for model engines, plain services and the platform.
//!
//! They speak the published protocols and take fault orders over a control
//! route of their own. They run as processes of their own or inside a test.
//! Every stand-in keeps a second listener for control, which no fault touches.

pub mod answer;
pub mod caller;
pub mod client;
pub mod clock;
pub mod engine;
pub mod generate;
pub mod ledger;
pub mod platform;
pub mod server;
pub mod service;
