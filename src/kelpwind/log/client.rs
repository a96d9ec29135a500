//! The interface to the log service: two closures, so that the log's users do not depend on the
//! protocol by which the service is called.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::core::ids::Offset;
use crate::util::error::Error;

/// Result of a call to the log service.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The result of a read: records, and the range of offsets that the log retains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the oldest retained record.
    pub start: Offset,
    /// Offset of the next record to be appended.
    pub end: Offset,
    /// Records in ascending order of offset.
    pub records: Vec<(Offset, Bytes)>,
}

type AppendFn = Box<dyn Fn(Bytes) -> BoxFuture<'static, Result<Offset>> + Send + Sync>;
type ReadFn = Box<dyn Fn(Offset, Duration) -> BoxFuture<'static, Result<Batch>> + Send + Sync>;

/// A client of the log service.
pub struct LogClient {
    /// Appends a record and returns its offset. The record may have been appended even if an error
    /// is returned.
    pub append: AppendFn,
    /// Reads records from an offset on. If there are none, waits up to the given time for one.
    pub read: ReadFn,
}
