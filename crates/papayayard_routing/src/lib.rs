//! Pure decisions on where a request goes and whether it is admitted.
//!
//! Nothing here has a socket, a clock, a thread or a global: time and
//! randomness are handed in, and decisions come back as values. Times are
//! durations since an epoch that the caller keeps for the process's life.

pub mod admission;
pub mod blame;
pub mod bucket;
pub mod choice;
pub mod ejection;
pub mod fleet;
pub mod index;
pub mod listing;
pub mod load;
pub mod mix;
pub mod placement;
pub mod prompt;
pub mod quarantine;
pub mod retry;
pub mod retry_budget;
pub mod run;
pub mod salt;
pub mod table;
pub mod weights;
