//! Names of the HTTP headers that papayayard reads or sets.

/// Identifier of a request; the answer must repeat the same value.
pub const REQUEST_ID: &str = "x-request-id";
/// Cache salt in hexadecimal; set only by the router.
pub const CACHE_SALT: &str = "x-cache-salt";
/// Length of a cache block in bytes; set only by the router.
pub const BLOCK_SIZE: &str = "x-block-size";
/// Priority of a request, where 0 is the lowest; set only by the router.
pub const PRIORITY: &str = "x-priority";
/// Version of the weights that the request must run on; set only by the router.
pub const WEIGHTS_VERSION: &str = "x-weights-version";
/// Run of the endpoint's process; set by endpoints on every answer.
pub const INCARNATION: &str = "x-incarnation";
/// Set to `no` by endpoints on an answer if the request did not run.
pub const RAN: &str = "x-ran";
/// Caller's idempotency key for a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Entry host that handled the request.
pub const HOST_ID: &str = "x-papayayard-host";
/// Maximum time that the caller waits, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
