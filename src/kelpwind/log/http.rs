//! The log service's HTTP protocol: `POST /append` and `GET /read?from=N&wait_ms=W`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, Request, Response, StatusCode};
use kelpwind_wire::{AppendReply, LogBatch};
use serde::de::DeserializeOwned;

use super::client::{Batch, LogClient, Result};
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::net::pool::{self, Pool};
use crate::util::error::Error;

/// Timeout of a call, in addition to the time for which a read may wait for records. The records
/// themselves may take longer, with pauses of at most this time: a read that is cut short begins
/// again with the same records.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Creates a client of the log service at `addr`.
pub fn client(pool: Arc<Pool>, addr: SocketAddr) -> LogClient {
    let reader = pool.clone();
    LogClient {
        append: Box::new(move |data| append(pool.clone(), addr, data).boxed()),
        read: Box::new(move |from, wait| read(reader.clone(), addr, from, wait).boxed()),
    }
}

async fn append(pool: Arc<Pool>, addr: SocketAddr, data: Bytes) -> Result<Offset> {
    let request = request(Method::POST, "/append".to_owned(), data)?;
    let context = format!("failed to append to the log service {addr}");
    let response = pool.call(addr, request, Instant::now() + CALL_TIMEOUT).await;
    let appended: AppendReply = parse(response, context)?;
    Ok(Offset(appended.offset))
}

async fn read(pool: Arc<Pool>, addr: SocketAddr, from: Offset, wait: Duration) -> Result<Batch> {
    let path = format!("/read?from={from}&wait_ms={}", wait.as_millis());
    let request = request(Method::GET, path, Bytes::new())?;
    let context = format!("failed to read from the log service {addr}");
    let deadline = Instant::now() + wait + CALL_TIMEOUT;
    let response = pool.call_long(addr, request, deadline, CALL_TIMEOUT).await;
    let batch: LogBatch = parse(response, context)?;
    let records = batch.records.into_iter();
    let records: Vec<_> = records.map(|r| (Offset(r.offset), Bytes::from(r.data))).collect();
    let ascending = records.windows(2).all(|w| w[0].0 < w[1].0);
    if !ascending || batch.start > batch.end {
        let context = format!(
            "malformed records from the log service {addr}: {} records are not in ascending \
             order, or the log's start {} is after its end {}",
            records.len(),
            batch.start,
            batch.end
        );
        return Err(Error::new(Code::LogMalformed, context));
    }
    Ok(Batch { start: Offset(batch.start), end: Offset(batch.end), records })
}

fn request(method: Method, path: String, body: Bytes) -> Result<Request<Bytes>> {
    let built = Request::builder().method(method).uri(path).body(body);
    built.map_err(|e| {
        Error::new(Code::Internal, "failed to build a request to the log service").caused_by(e)
    })
}

fn parse<T: DeserializeOwned>(
    response: pool::Result<Response<Bytes>>,
    context: String,
) -> Result<T> {
    let response =
        response.map_err(|e| Error::new(Code::LogUnavailable, context.clone()).caused_by(e))?;
    match response.status() {
        StatusCode::OK => {}
        StatusCode::TOO_MANY_REQUESTS => return Err(Error::new(Code::LogBusy, context)),
        status => {
            let cause = format!("HTTP status {status}");
            return Err(Error::new(Code::LogUnavailable, context).caused_by(cause));
        }
    }
    let parsed = serde_json::from_slice(response.body());
    parsed.map_err(|e| Error::new(Code::LogMalformed, context).caused_by(e))
}
