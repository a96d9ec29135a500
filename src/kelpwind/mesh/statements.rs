//! What backend servers state of themselves, by id: the rate of requests that they take, and that
//! they are about to shut down.
//!
//! A statement outlives the attachment of its server to a node, and the process that heard it. It
//! concerns a server's instance and not the node beside it. A gate hears its server's answers and
//! passes what they state to the entries with its replies. Each entry keeps it and sends it along
//! with its requests, so that the next run of the gate, or another gate that gets the server, knows
//! of it before it sends the first of them.
//!
//! Answers overtake one another, so:
//! * a lower limit counts at once; a higher one, or none, only in the answer to a request that was
//!   sent after the present limit had been stated;
//! * a statement that the server shuts down counts for good, for that instance and for earlier
//!   ones under the same id;
//! * a malformed limit changes nothing.
//!
//! This module does no I/O and reads no clock.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::platform_api::{ServerState, StatedLimit};
use crate::core::ids::RequestRate;
use crate::table::member::Instance;

/// Time for which a statement is kept after it was last heard. Servers that shut down are gone by
/// then.
const RETENTION: Duration = Duration::from_secs(600);
/// Error of an age that another node passes on: the time that the message took.
const AGE_ERROR: Duration = Duration::from_millis(100);
/// Number of statements above which old ones are dropped.
const STATEMENTS_MAX: usize = 256;

/// How a statement became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// An answer of the server to this node.
    Answer,
    /// The server's report or notice to its node.
    Report,
    /// Another node.
    Peer,
}

impl Source {
    /// Name of the source in logs.
    pub fn name(self) -> &'static str {
        match self {
            Source::Answer => "answer",
            Source::Report => "report",
            Source::Peer => "peer",
        }
    }
}

/// The limit that a server states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Most requests per second from all nodes together.
    pub rate: RequestRate,
    /// When it was last stated.
    pub heard: Instant,
    /// How it became known.
    pub source: Source,
}

/// What an instance of a server has stated.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// Latest start of an instance that the statement concerns, in milliseconds since the Unix epoch.
    pub last_start: u64,
    /// The limit in force.
    pub limit: Option<Limit>,
    /// When the server first said that it is about to shut down.
    pub leaving_since: Option<Instant>,
    /// Whether anything is known about the limit, also that there is none.
    is_limit_known: bool,
    /// When anything was last heard.
    heard: Instant,
}

/// A statement as one node passes it to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatement {
    /// The server.
    pub instance: Instance,
    /// The limit in force.
    pub limit: Option<RequestRate>,
    /// Milliseconds since the server first said that it is about to shut down.
    pub leaving_ms: Option<u64>,
}

impl PeerStatement {
    /// Whether the statement restricts what is sent to the server.
    pub fn is_binding(&self) -> bool {
        self.limit.is_some() || self.leaving_ms.is_some()
    }

    fn leaving_since(&self, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(self.leaving_ms?);
        Some(now.checked_sub(age).unwrap_or(now))
    }
}

/// What changed in a statement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The limit: another rate, or whether there is one.
    pub limit: bool,
    /// Whether the server shuts down.
    pub leaving: bool,
}

impl Change {
    /// A change of everything.
    pub const ALL: Change = Change { limit: true, leaving: true };

    /// Whether anything changed.
    pub fn is_any(self) -> bool {
        self.limit || self.leaving
    }
}

/// The statements of all servers that this node has heard of.
#[derive(Clone, Debug, Default)]
pub struct ServerStatements {
    by_id: HashMap<String, Statement>,
}

impl Statement {
    fn new(last_start: u64, now: Instant) -> Statement {
        Statement {
            last_start,
            limit: None,
            leaving_since: None,
            is_limit_known: false,
            heard: now,
        }
    }

    fn set_limit(&mut self, rate: Option<RequestRate>, source: Source, now: Instant) -> bool {
        let changed = self.limit.map(|l| l.rate) != rate;
        self.limit = rate.map(|rate| Limit { rate, heard: now, source });
        self.is_limit_known = true;
        changed
    }

    /// Applies the limit in the answer to a request that was sent at `asked`.
    fn update_limit(
        &mut self,
        rate: Option<RequestRate>,
        source: Source,
        asked: Instant,
        now: Instant,
    ) -> bool {
        let looser = self.limit.filter(|known| rate.is_none_or(|rate| rate > known.rate));
        match looser {
            Some(known) if asked < known.heard => false,
            _ => self.set_limit(rate, source, now),
        }
    }

    /// Records when the server began to shut down, if that is not known or was earlier than known.
    fn set_leaving(&mut self, since: Instant) -> bool {
        let changed = self.leaving_since.is_none_or(|known| since + AGE_ERROR < known);
        if changed {
            self.leaving_since = Some(since);
        }
        changed
    }
}

impl ServerStatements {
    /// What is known of an instance.
    pub fn of(&self, instance: &Instance) -> Option<&Statement> {
        self.by_id.get(&instance.id).filter(|s| instance.started_ms <= s.last_start)
    }

    /// When an instance first said that it is about to shut down.
    pub fn leaving_since(&self, instance: &Instance) -> Option<Instant> {
        self.of(instance)?.leaving_since
    }

    /// Records that an instance said at `since` that it is about to shut down.
    pub fn record_leaving(&mut self, instance: &Instance, since: Instant, now: Instant) -> Change {
        let leaving = self.entry(instance, now).is_some_and(|s| s.set_leaving(since));
        Change { limit: false, leaving }
    }

    /// The limit of an instance.
    pub fn limit(&self, instance: &Instance) -> Option<Limit> {
        self.of(instance)?.limit
    }

    /// Records what an instance stated in the answer, received now, to a request that was sent at
    /// `asked`.
    pub fn record(
        &mut self,
        instance: &Instance,
        state: &ServerState,
        asked: Instant,
        now: Instant,
    ) -> Change {
        let says_something = state.leaving || matches!(state.limit, StatedLimit::Rate(_));
        if !says_something && !self.by_id.contains_key(&instance.id) {
            return Change::default();
        }
        let Some(statement) = self.entry(instance, now) else { return Change::default() };
        let limit = match state.limit {
            StatedLimit::Malformed(_) => false,
            StatedLimit::None => statement.update_limit(None, Source::Answer, asked, now),
            StatedLimit::Rate(rate) => {
                statement.update_limit(Some(rate), Source::Answer, asked, now)
            }
        };
        Change { limit, leaving: state.leaving && statement.set_leaving(now) }
    }

    /// Adopts what another node has passed on with a request, as far as this node has heard nothing
    /// about it from the server itself.
    pub fn adopt(&mut self, stated: &PeerStatement, now: Instant) -> Change {
        let Some(statement) = self.entry(&stated.instance, now) else { return Change::default() };
        let unknown = !statement.is_limit_known && stated.limit.is_some();
        let limit = unknown && statement.set_limit(stated.limit, Source::Peer, now);
        let since = stated.leaving_since(now);
        Change { limit, leaving: since.is_some_and(|since| statement.set_leaving(since)) }
    }

    /// Learns what the gate beside the server has passed on with the reply to a request that was sent
    /// at `asked`.
    pub fn learn(&mut self, stated: &PeerStatement, asked: Instant, now: Instant) -> Change {
        let Some(statement) = self.entry(&stated.instance, now) else { return Change::default() };
        let limit = statement.update_limit(stated.limit, Source::Peer, asked, now);
        let since = stated.leaving_since(now);
        Change { limit, leaving: since.is_some_and(|since| statement.set_leaving(since)) }
    }

    /// What other nodes are told of the server with this id; `None` if nothing was ever stated.
    pub fn for_peers(&self, id: &str, now: Instant) -> Option<PeerStatement> {
        let statement = self.by_id.get(id)?;
        let instance = Instance { id: id.to_owned(), started_ms: statement.last_start };
        let age = |since: Instant| now.saturating_duration_since(since).as_millis() as u64;
        let leaving_ms = statement.leaving_since.map(age);
        Some(PeerStatement { instance, limit: statement.limit.map(|l| l.rate), leaving_ms })
    }

    /// The statement on an instance, an empty one if there was none. `None` if a later instance under
    /// the same id is known.
    fn entry(&mut self, instance: &Instance, now: Instant) -> Option<&mut Statement> {
        self.prune(now);
        let start = instance.started_ms;
        let statement =
            self.by_id.entry(instance.id.clone()).or_insert_with(|| Statement::new(start, now));
        if statement.last_start < start {
            *statement = Statement::new(start, now);
        }
        if statement.last_start > start {
            return None;
        }
        statement.heard = now;
        Some(statement)
    }

    /// Drops old statements once there are many.
    fn prune(&mut self, now: Instant) {
        if self.by_id.len() > STATEMENTS_MAX {
            self.by_id.retain(|_, s| now.saturating_duration_since(s.heard) < RETENTION);
        }
    }
}
