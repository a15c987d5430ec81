//! Pure decisions on where a request goes and whether it is admitted.
//!
//! Nothing here has a socket, a clock, a thread or a global: time and
//! randomness are handed in, and decisions come back as values.
