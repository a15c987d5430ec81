//! Names of the HTTP headers that papayayard reads or sets.

/// Identifier of a request; an answer must bear the same.
pub const REQUEST_ID: &str = "x-request-id";
/// Cache salt in hexadecimal; set by the router only.
pub const CACHE_SALT: &str = "x-cache-salt";
/// Length of a cached piece in bytes; set by the router only.
pub const BLOCK_SIZE: &str = "x-block-size";
/// Priority of a request, 0 the lowest; set by the router only.
pub const PRIORITY: &str = "x-priority";
/// Weights version that the request must run on; set by the router only.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// Run of the endpoint's process; set by endpoints on every answer.
pub const INCARNATION: &str = "x-incarnation";
/// Set by endpoints on an answer when the request did not run: `no`.
pub const RAN: &str = "x-ran";
/// Names a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Entry host that handled the request.
pub const HOST_ID: &str = "x-papayayard-host";
/// Time that the caller waits at most, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
