//! The log service as two closures, so that another platform's protocol can be put in its place.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::core::ids::Offset;
use crate::util::error::Error;

/// Result of a call to the log service.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Records read, with the bounds of what the log keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the oldest record kept.
    pub start: Offset,
    /// Offset that the next record will get.
    pub end: Offset,
    /// Records in order.
    pub records: Vec<(Offset, Bytes)>,
}

type AppendFn = Box<dyn Fn(Bytes) -> BoxFuture<'static, Result<Offset>> + Send + Sync>;
type ReadFn = Box<dyn Fn(Offset, Duration) -> BoxFuture<'static, Result<Batch>> + Send + Sync>;

/// The log service.
pub struct LogClient {
    /// Appends a record. An error may mean that the record was appended all the same.
    pub append: AppendFn,
    /// Reads from an offset; with nothing there, waits up to the time given for a record to come.
    pub read: ReadFn,
}
