//! A small HTTP client for tests: one connection a request, answers read whole.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Longest time of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// `kelpwind-outcome`, or nothing.
    pub outcome: String,
    /// `kelpwind-code`, or nothing.
    pub code: String,
    /// `kelpwind-retry-ms`, if given.
    pub retry_ms: Option<u64>,
    /// Body.
    pub body: Bytes,
}

impl Response {
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a str,
}

/// Sends a request and reads the whole answer.
pub async fn send(addr: SocketAddr, ask: &Request<'_>) -> io::Result<Response> {
    let exchange = exchange(addr, ask);
    match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(done) => done,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}

async fn exchange(addr: SocketAddr, ask: &Request<'_>) -> io::Result<Response> {
    let stream = TcpStream::connect(addr).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = tokio::spawn(connection);
    let mut request = hyper::Request::builder().method(ask.method).uri(ask.path);
    request = request.header("host", addr.to_string());
    for (name, value) in ask.headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::from(ask.body.to_owned()));
    let request = request.body(body).map_err(io::Error::other)?;
    let answer = sender.send_request(request).await.map_err(io::Error::other)?;
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (outcome, code) = (header("kelpwind-outcome"), header("kelpwind-code"));
    let retry_ms = header("kelpwind-retry-ms").parse().ok();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    driver.abort();
    Ok(Response { status, outcome, code, retry_ms, body })
}

/// A GET.
pub async fn get(addr: SocketAddr, path: &str) -> io::Result<Response> {
    send(addr, &Request { method: "GET", path, headers: &[], body: "" }).await
}

/// A POST with an idempotency key.
pub async fn post(addr: SocketAddr, path: &str, key: &str, body: &str) -> io::Result<Response> {
    let headers = [("idempotency-key", key)];
    send(addr, &Request { method: "POST", path, headers: &headers, body }).await
}

/// A POST of JSON, as the stand-ins' control takes it.
pub async fn post_json(addr: SocketAddr, path: &str, value: &Value) -> io::Result<Response> {
    let body = value.to_string();
    let headers = [("content-type", "application/json")];
    send(addr, &Request { method: "POST", path, headers: &headers, body: &body }).await
}
