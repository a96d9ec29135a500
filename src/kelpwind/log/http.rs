//! The log service over HTTP: `POST /append` and `GET /read?from=N&wait_ms=W`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, Request, StatusCode};
use kelpwind_wire::{AppendReply, LogBatch};
use serde::de::DeserializeOwned;

use super::client::{Batch, Log, Result};
use crate::core::codes::Code;
use crate::core::ids::Offset;
use crate::net::pool::Pool;
use crate::util::error::Error;

/// Longest time of one call, over and above the time a read may wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The log service at `addr`.
pub fn log(pool: Arc<Pool>, addr: SocketAddr) -> Log {
    let reader = pool.clone();
    Log {
        append: Box::new(move |data| append(pool.clone(), addr, data).boxed()),
        read: Box::new(move |from, wait| read(reader.clone(), addr, from, wait).boxed()),
    }
}

async fn append(pool: Arc<Pool>, addr: SocketAddr, data: Bytes) -> Result<Offset> {
    let request = request(Method::POST, "/append".to_owned(), data)?;
    let appended: AppendReply = call(&pool, addr, request, CALL_TIMEOUT, "append").await?;
    Ok(Offset(appended.offset))
}

async fn read(pool: Arc<Pool>, addr: SocketAddr, from: Offset, wait: Duration) -> Result<Batch> {
    let path = format!("/read?from={from}&wait_ms={}", wait.as_millis());
    let request = request(Method::GET, path, Bytes::new())?;
    let batch: LogBatch = call(&pool, addr, request, wait + CALL_TIMEOUT, "read").await?;
    let records = batch.records.into_iter();
    let records: Vec<_> = records.map(|r| (Offset(r.offset), Bytes::from(r.data))).collect();
    let rising = records.windows(2).all(|w| w[0].0 < w[1].0);
    if !rising || batch.start > batch.end {
        return Err(Error::new(Code::LogMalformed, "failed to read the log: offsets out of order"));
    }
    Ok(Batch { start: Offset(batch.start), end: Offset(batch.end), records })
}

fn request(method: Method, path: String, body: Bytes) -> Result<Request<Bytes>> {
    let built = Request::builder().method(method).uri(path).body(body);
    built.map_err(|e| Error::new(Code::Internal, "failed to form a request").caused_by(e))
}

async fn call<T: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    request: Request<Bytes>,
    time: Duration,
    verb: &str,
) -> Result<T> {
    let context = format!("failed to {verb} at the log service {addr}");
    let answer = pool.call(addr, request, Instant::now() + time).await;
    let answer =
        answer.map_err(|e| Error::new(Code::LogUnavailable, context.clone()).caused_by(e))?;
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::TOO_MANY_REQUESTS => return Err(Error::new(Code::LogBusy, context)),
        status => {
            let cause = format!("status {status}");
            return Err(Error::new(Code::LogUnavailable, context).caused_by(cause));
        }
    }
    let parsed = serde_json::from_slice(answer.body());
    parsed.map_err(|e| Error::new(Code::LogMalformed, context).caused_by(e))
}
