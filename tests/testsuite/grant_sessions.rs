//! Sessions of grants: which connections to a server's address lead to the process that was granted
//! keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kelpwind::core::ids::Token;
use kelpwind::lease::clock;
use kelpwind::mesh::platform_api::{
    Backend, BackendSession, Grant, GrantOutcome, ReleaseOutcome, Request, SendOutcome,
};
use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::endless_answers::{SPAN, open_backend, server_ref};

const CALL_LIMIT: Duration = Duration::from_millis(300);
/// Time within which a session without a connection ends.
const SESSION_END: Duration = Duration::from_secs(1);

/// A process that answers under the ID `i-1`, and closes the connection after each grant.
struct Server {
    addr: SocketAddr,
    /// Paths of the requests that it got.
    requests: Arc<Mutex<Vec<String>>>,
    listening: JoinHandle<()>,
}

impl Server {
    async fn start(addr: SocketAddr) -> Server {
        let listener = TcpListener::bind(addr).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = requests.clone();
        let listening = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, seen.clone()));
            }
        });
        Server { addr, requests, listening }
    }

    /// Closes the listener; open connections are served on.
    async fn close_listener(&mut self) {
        self.listening.abort();
        // The listener is dropped once the task has ended.
        let _ = (&mut self.listening).await;
    }

    fn count(&self, path: &str) -> usize {
        self.requests.lock().iter().filter(|p| *p == path).count()
    }
}

async fn serve(stream: TcpStream, seen: Arc<Mutex<Vec<String>>>) {
    let mut stream = BufReader::new(stream);
    loop {
        let (mut first, mut length) = (String::new(), 0);
        if stream.read_line(&mut first).await.unwrap_or(0) == 0 {
            return;
        }
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).await.unwrap();
            if let Some(size) = line.strip_prefix("content-length: ") {
                length = size.trim().parse().unwrap();
            }
            if line.trim().is_empty() {
                break;
            }
        }
        stream.read_exact(&mut vec![0; length]).await.unwrap();
        let path = first.split(' ').nth(1).unwrap().to_owned();
        let headers = match path.as_str() {
            "/-/grant" => "connection: close\r\n",
            "/healthz" => "x-instance-id: i-1\r\n",
            "/-/release" => "",
            _ => "x-request-id: r-1\r\n",
        };
        let closes = path == "/-/grant";
        seen.lock().push(path);
        let answer = format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).await.is_err() || closes {
            return;
        }
    }
}

async fn grant(backend: &Backend, session: BackendSession) -> GrantOutcome {
    let until = clock::now() + Duration::from_secs(5);
    let (server, transit) = (server_ref(), Duration::ZERO);
    let grant = Grant { server, span: SPAN, token: Token(1), until, transit, handover: None };
    (backend.grant)(grant, session, CALL_LIMIT).await.outcome
}

/// Sends a request for a key that was granted in a session.
async fn send(backend: &Backend, session: BackendSession) -> SendOutcome {
    let (id, method, target) = ("r-1".to_owned(), "GET".to_owned(), "/x".to_owned());
    let request = Request { id, method, target, key: Some(1), ..Request::default() };
    (backend.send)(&request, "i-1", Some(session), Instant::now() + CALL_LIMIT).await
}

fn any_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The next process under the ID tells the same ID over each new connection.
#[tokio::test]
async fn a_second_process_under_one_id_is_granted_keys_in_the_session_of_the_first() {
    let mut first = Server::start(any_addr()).await;
    let backend = open_backend(first.addr);
    let session = (backend.session)();
    assert_eq!(grant(&backend, session).await, GrantOutcome::Accepted);
    first.close_listener().await;
    let second = Server::start(first.addr).await;
    let began = Instant::now();
    while (backend.session)() == session {
        assert!(began.elapsed() < SESSION_END, "the session has not ended");
        assert_eq!(grant(&backend, session).await, GrantOutcome::NotSent);
        let released = (backend.release)(server_ref(), SPAN, Token(1), CALL_LIMIT).await;
        assert!(matches!(released, ReleaseOutcome::Unconfirmed(_)), "{released:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(second.count("/-/grant"), 0);
    assert_eq!(grant(&backend, (backend.session)()).await, GrantOutcome::Accepted);
    assert_eq!(second.count("/-/grant"), 1);
}

/// Load pattern: a server closes the connection for grants now and then, and gets requests.
#[tokio::test]
async fn a_session_ends_although_its_process_runs_requests() {
    let server = Server::start(any_addr()).await;
    let backend = open_backend(server.addr);
    let session = (backend.session)();
    for count in 1..=5 {
        assert_eq!(grant(&backend, session).await, GrantOutcome::Accepted);
        assert!(matches!(send(&backend, session).await, SendOutcome::Ran(..)));
        assert_eq!((backend.session)(), session);
        assert_eq!(server.count("/-/grant"), count);
    }
    let released = (backend.release)(server_ref(), SPAN, Token(1), CALL_LIMIT).await;
    assert_eq!(released, ReleaseOutcome::Released(None));
}

/// A request for a key that was granted in a former session may be run by the process of that one.
#[tokio::test]
async fn a_request_of_a_former_session_continues_the_present_one() {
    let server = Server::start(any_addr()).await;
    let backend = open_backend(server.addr);
    let former = (backend.session)();
    assert_eq!(grant(&backend, former).await, GrantOutcome::Accepted);
    (backend.end_session)();
    let session = (backend.session)();
    assert_eq!(grant(&backend, session).await, GrantOutcome::Accepted);
    assert!(matches!(send(&backend, former).await, SendOutcome::Ran(..)));
    assert_eq!(grant(&backend, session).await, GrantOutcome::NotSent);
}
