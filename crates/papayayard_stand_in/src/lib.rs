//! Small stand-ins for model engines, plain services and the platform.
//!
//! They speak the published protocols and take fault orders over a control
//! route of their own. They run as processes of their own or inside a test.
