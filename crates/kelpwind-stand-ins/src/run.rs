//! Serves a stand-in's routes on a socket.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use warp::Filter;
use warp::reply::Reply;

/// Listens on `addr`, serves `routes` as a task, and returns the address really listened on.
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

/// An answer in JSON with a status.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> warp::reply::Response {
    let status = warp::http::StatusCode::from_u16(status).unwrap_or_default();
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}
