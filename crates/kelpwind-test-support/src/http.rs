//! A small HTTP client for tests: one connection per request, response bodies read completely.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A response with the router's headers.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// `kelpwind-outcome`; empty if absent.
    pub outcome: String,
    /// `kelpwind-code`; empty if absent.
    pub code: String,
    /// `kelpwind-retry-ms`; `None` if absent or not a number.
    pub retry_ms: Option<u64>,
    /// Complete body.
    pub body: Bytes,
}

impl Response {
    /// The body parsed as JSON; null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Names and values of headers; `host` is added when it is sent.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body, sent with its content length.
    pub body: &'a str,
}

/// Sends a request and reads the complete response.
///
/// # Errors
/// When the exchange fails or takes longer than 10 s.
pub async fn send(addr: SocketAddr, request: &Request<'_>) -> io::Result<Response> {
    let exchange = exchange(addr, request);
    match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
}

async fn exchange(addr: SocketAddr, request: &Request<'_>) -> io::Result<Response> {
    let stream = TcpStream::connect(addr).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = tokio::spawn(connection);
    let mut builder = hyper::Request::builder().method(request.method).uri(request.path);
    builder = builder.header("host", addr.to_string());
    for (name, value) in request.headers {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::from(request.body.to_owned()));
    let request = builder.body(body).map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
    };
    let (outcome, code) = (header("kelpwind-outcome"), header("kelpwind-code"));
    let retry_ms = header("kelpwind-retry-ms").parse().ok();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    driver.abort();
    Ok(Response { status, outcome, code, retry_ms, body })
}

/// Sends a GET request without headers.
pub async fn get(addr: SocketAddr, path: &str) -> io::Result<Response> {
    send(addr, &Request { method: "GET", path, headers: &[], body: "" }).await
}

/// Sends a POST request with an idempotency key.
pub async fn post(addr: SocketAddr, path: &str, key: &str, body: &str) -> io::Result<Response> {
    let headers = [("idempotency-key", key)];
    send(addr, &Request { method: "POST", path, headers: &headers, body }).await
}

/// Sends a POST request with a JSON body, as the stand-ins accept at `/control`.
pub async fn post_json(addr: SocketAddr, path: &str, value: &Value) -> io::Result<Response> {
    let body = value.to_string();
    let headers = [("content-type", "application/json")];
    send(addr, &Request { method: "POST", path, headers: &headers, body: &body }).await
}
