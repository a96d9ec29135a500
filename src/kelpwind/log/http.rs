//! The log service's HTTP protocol: `POST /append` and `GET /read?from=N&wait_ms=W`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, Request, StatusCode};
use kelpwind_wire::{AppendReply, LogBatch};
use serde::de::DeserializeOwned;

use super::client::{Batch, LogClient, Result};
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::net::pool::{Limits, Pool};
use crate::util::error::Error;

/// Longest time until an answer begins, in addition to the time for which a read may wait for
/// records.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time without a byte while an answer arrives. The whole answer may take longer: on a slow
/// link, reading the log takes as long as the link needs.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest answer, in bytes. The protocol allows no larger one: it would be refused again by each
/// read from the same offset.
const ANSWER_BYTES_MAX: usize = 8 << 20;

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
    let appended: AppendReply = call(&pool, addr, request, Duration::ZERO, "append to").await?;
    Ok(Offset(appended.offset))
}

async fn read(pool: Arc<Pool>, addr: SocketAddr, from: Offset, wait: Duration) -> Result<Batch> {
    let path = format!("/read?from={from}&wait_ms={}", wait.as_millis());
    let request = request(Method::GET, path, Bytes::new())?;
    let batch: LogBatch = call(&pool, addr, request, wait, "read from").await?;
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

async fn call<T: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    request: Request<Bytes>,
    wait: Duration,
    verb: &str,
) -> Result<T> {
    let context = format!("failed to {verb} the log service {addr}");
    let deadline = Instant::now() + wait + CALL_TIMEOUT;
    let limits =
        Limits { deadline, stall_timeout: Some(STALL_TIMEOUT), body_bytes: ANSWER_BYTES_MAX };
    let response = pool.call(addr, request, limits).await;
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
