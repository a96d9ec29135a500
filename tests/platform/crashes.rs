//! Requests that crash the servers that run them: those with the parameter `crash=NAME`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::history::Moment;
use super::server::Server;

/// Time from the start of such a request until the server ends.
pub const RUN_TIME: Duration = Duration::from_millis(40);
/// Time until the server is back.
pub const RESTART_TIME: Duration = Duration::from_millis(1200);
/// Time from the third end of a server after which the same request may reach servers only a few times
/// more.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of servers that a request ends before that.
const ENDS: usize = 3;

/// What such requests did. Each is known by its name.
#[derive(Default)]
pub struct Crashes {
    runs: Mutex<Vec<(String, Moment)>>,
    ends: Mutex<Vec<(String, Moment)>>,
    /// Servers that were started after a crash.
    successors: Mutex<Vec<Arc<Server>>>,
}

impl Crashes {
    pub fn record_run(&self, request: &str) {
        self.runs.lock().push((request.to_owned(), Moment::now()));
    }

    pub fn record_end(&self, request: &str) {
        self.ends.lock().push((request.to_owned(), Moment::now()));
    }

    pub fn add_successor(&self, server: Arc<Server>) {
        self.successors.lock().push(server);
    }

    /// The server that was last started at an address after a crash.
    pub fn take_successor(&self, addr: SocketAddr) -> Option<Arc<Server>> {
        let mut successors = self.successors.lock();
        let index = successors.iter().rposition(|server| server.addr() == addr)?;
        Some(successors.remove(index))
    }

    /// Stops all servers that were started after a crash.
    pub fn end_successors(&self) {
        self.successors.lock().drain(..).for_each(|server| server.crash());
    }

    /// Number of servers that ended under a request.
    pub fn ended(&self, request: &str) -> usize {
        self.ends.lock().iter().filter(|(name, _)| name == request).count()
    }

    /// Number of times that a request was sent to a server.
    pub fn runs(&self, request: &str) -> usize {
        self.runs.lock().iter().filter(|(name, _)| name == request).count()
    }

    /// Number of times that a request was sent to a server later than [`CONTACT_TIME`] after the third
    /// server has ended.
    pub fn late_runs(&self, request: &str) -> usize {
        self.late_runs_since(request, None)
    }

    /// The same, without those before `since`.
    pub fn late_runs_since(&self, request: &str, since: Option<Moment>) -> usize {
        let ends = self.ends.lock();
        let Some((_, third)) = ends.iter().filter(|(name, _)| name == request).nth(ENDS - 1) else {
            return 0;
        };
        let from = since.into_iter().fold(third.after(CONTACT_TIME), Moment::max);
        self.runs.lock().iter().filter(|(name, at)| name == request && *at > from).count()
    }
}
