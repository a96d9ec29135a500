//! Network transport: HTTP client connections, HTTP listeners, and the encoding of datagrams.
//!
//! Nothing here depends on slices or leases. The clients [`pool`] and [`http1`] report whether any
//! byte of a failed request can have been sent; retries rely on it.

pub mod datagram;
pub mod http1;
pub(crate) mod listen;
pub mod memory;
pub mod pacing;
pub mod pool;
pub mod transit;
