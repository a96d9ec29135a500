//! The HTTP server: the accept loop for the addresses of callers, other nodes and operators.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::core::codes::Code;
use crate::util::error::{Error, Result};

/// Time within which a client must send a request's headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a graceful stop waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of open connections per listener; further ones are closed at once.
const CONNECTIONS_MAX: usize = 4096;
/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds a TCP listener.
///
/// # Errors
/// [`Code::ListenFailed`] if the address cannot be bound.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| {
        Error::new(Code::ListenFailed, format!("failed to listen on {addr}")).caused_by(e)
    })
}

/// Serves requests until `stop` becomes true, then waits for those in flight, up to the stop
/// timeout. Dropping the future closes all its connections.
pub async fn serve<H, F, B>(listener: Arc<TcpListener>, handle: H, mut stop: watch::Receiver<bool>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: http_body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let handle = Arc::new(handle);
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = accept(&listener) => accepted,
            _ = stop.wait_for(|s| *s) => break,
        };
        if connections.len() >= CONNECTIONS_MAX {
            continue;
        }
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let response = handle(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(accepted), service);
        let watched = graceful.watch(connection);
        connections.spawn(async move { drop(watched.await) });
    }
    drop(listener);
    let _ = tokio::time::timeout(STOP_TIMEOUT, graceful.shutdown()).await;
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            return stream;
        }
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
}
