//! HTTP server shared by the stand-ins.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use warp::Filter;
use warp::reply::Reply;

/// Listens on `addr`, serves `routes` in a task, and returns the bound address.
pub async fn serve<F>(addr: SocketAddr, routes: F) -> io::Result<SocketAddr>
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let listener = TcpListener::bind(addr).await?;
    let bound = listener.local_addr()?;
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    Ok(bound)
}

/// Like [`serve`], with at most `limit` concurrent connections; further ones are closed unread.
pub async fn serve_limited<F>(addr: SocketAddr, routes: F, limit: usize) -> io::Result<SocketAddr>
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let listener = TcpListener::bind(addr).await?;
    let bound = listener.local_addr()?;
    let service = TowerToHyperService::new(warp::service(routes));
    let permits = Arc::new(Semaphore::new(limit));
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
            let _ = stream.set_nodelay(true);
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service.clone());
            tokio::spawn(async move {
                let _ = connection.await;
                drop(permit);
            });
        }
    });
    Ok(bound)
}

/// A JSON response; an invalid `status` becomes 200.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> warp::reply::Response {
    let status = warp::http::StatusCode::from_u16(status).unwrap_or_default();
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}
