//! The router daemon: thin tasks around the pure decisions.
//!
//! Tasks own their sockets and their state and talk by messages. Requests
//! pass a chain of filters; controllers keep the state that filters read.
