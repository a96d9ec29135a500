//! What this node knows of requests under which backend servers have ended, and how it tells others.
//!
//! [`crate::route::quarantine`] decides. The gate beside a server that has ended tells all members at once
//! by datagram, and writes a record for each suspect to the table, which outlasts all processes and is
//! read by nodes that join, restart or were cut off. While the store is away, datagrams alone pass the
//! knowledge on, and the records are written when it is back. A gate whose server answers a suspect
//! does the same to clear it.
//!
//! Entries refuse a quarantined request before anything else, and gates do once more, since an entry
//! may not know yet.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::{sleep, timeout};

use super::datagram::{Datagram, SuspectNotice, TableUpdate};
use super::frame::Outcome;
use super::node::Node;
use super::platform_api::{CallerRequest, Request};
use super::reports::unix_ms;
use super::request_state::{Failure, not_run};
use super::server_exits::request_parts;
use crate::core::codes::Code;
use crate::core::digest::RequestDigest;
use crate::core::ids::{NodeId, Position, ServiceName};
use crate::route::quarantine::Verdict;
use crate::table::member::Instance;
use crate::table::suspect::{ServerExit, SuspectRecord};
use crate::table::{Record, Table, WriteBatch};

/// Interval at which the records in the table are compared with what this node knows, while there
/// are any suspects.
const CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Pause before changes are written or passed on, so that several go into one message.
const COALESCE_PAUSE: Duration = Duration::from_millis(5);
/// Interval at which members are told of a quarantined request again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time for which records of a suspect that this node has cleared are deleted when they turn up.
const CLEARED_TIME: Duration = Duration::from_secs(10);
/// Time for which members are told of a quarantined request again. A member that was cut off counts as
/// in contact 3 s later, and may have missed the first datagram.
const REPEAT_TIME: Duration = Duration::from_secs(10);
/// Most suspects in a datagram: each takes about 90 bytes.
const NOTICES_MAX: usize = 32;
/// Most records in one write.
const RECORDS_MAX: usize = 200;
/// Longest wait until written records can be read back from the store.
const ECHO_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// What is known of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicion {
    /// Whether servers have ended under it.
    pub suspected: bool,
    /// The only gate that may send it to its server, if it is due for a trial.
    pub only: Option<NodeId>,
}

/// What this node has learned from the server beside it, and has yet to write or pass on.
#[derive(Debug, Default)]
pub(crate) struct SuspectChanges {
    /// Ends of the server's processes.
    exits: Vec<OwnExit>,
    /// Suspects that the server has answered, and when.
    cleared: Vec<(RequestDigest, ServiceName, Instant)>,
    /// Number of these, counted from the end, that members are yet to be told of.
    untold: usize,
}

/// The end of a process of the server beside this node, under one request.
#[derive(Debug)]
struct OwnExit {
    digest: RequestDigest,
    exit: ServerExit,
    at: Instant,
    /// When members were last told of it.
    told: Option<Instant>,
}

impl Node {
    /// The digest of a request if there are any suspects.
    fn suspect_digest(&self, request: &Request) -> Option<RequestDigest> {
        let known = !self.quarantine.borrow().is_empty();
        known.then(|| RequestDigest::from(&request_parts(request)))
    }

    /// What is known of a caller's request to a service.
    ///
    /// # Errors
    /// It is quarantined.
    pub fn check_suspect(
        &self,
        call: &CallerRequest,
        service: &ServiceName,
    ) -> Result<Suspicion, Failure> {
        let Some(digest) = self.suspect_digest(&call.request) else {
            return Ok(Suspicion::default());
        };
        let verdict = self.quarantine.borrow().verdict(digest, Instant::now());
        match verdict {
            Verdict::Unsuspected => Ok(Suspicion::default()),
            Verdict::Suspect => Ok(Suspicion { suspected: true, only: None }),
            Verdict::Trial(turn) => {
                Ok(Suspicion { suspected: true, only: self.trial_target(service, digest, turn) })
            }
            Verdict::Quarantined(left) => {
                self.log_refusal("entry", &call.request.id, digest, left);
                Err(not_run(Code::Quarantined, left, call.remaining, fastrand::f64()))
            }
        }
    }

    /// The node beside the only target that may try a quarantined request in a turn; `None` if that is
    /// the owner of its key, whichever it is.
    fn trial_target(
        &self,
        service: &ServiceName,
        digest: RequestDigest,
        turn: u64,
    ) -> Option<NodeId> {
        if self.routes().is_some_and(|routes| routes.is_keyed(service)) {
            return None;
        }
        let table = self.table.borrow();
        let targets: Vec<_> = table.members_of(service).filter(|m| self.takes_work(m)).collect();
        let chosen = turn.wrapping_add(digest.low()).checked_rem(targets.len() as u64)?;
        targets.get(chosen as usize).map(|m| m.holder.node.clone())
    }

    /// Whether more than one server has ended under a request.
    pub fn is_repeat_suspect(&self, request: &Request) -> bool {
        let digest = self.suspect_digest(request);
        digest.is_some_and(|digest| self.quarantine.borrow().exit_count(digest) > 1)
    }

    /// Refuses a request at the gate if it is quarantined.
    pub fn check_quarantine(&self, request: &Request) -> Result<Verdict, Outcome> {
        let Some(digest) = self.suspect_digest(request) else { return Ok(Verdict::Unsuspected) };
        let verdict = self.quarantine.borrow().verdict(digest, Instant::now());
        let left = match verdict {
            Verdict::Quarantined(left) => left,
            Verdict::Trial(turn) => {
                let target = self.trial_target(&self.service(), digest, turn);
                if target.is_none_or(|target| target == self.name()) {
                    return Ok(verdict);
                }
                Duration::ZERO
            }
            Verdict::Unsuspected | Verdict::Suspect => return Ok(verdict),
        };
        self.log_refusal("gate", &request.id, digest, left);
        // Callers that state no deadline are told the whole time, which fits.
        Err(Outcome::not_run(Code::Quarantined, left.min(Duration::from_millis(u32::MAX.into()))))
    }

    /// Refuses a request that was quarantined while it waited. If it is quarantined and due for a
    /// trial, that begins.
    pub fn begin_trial_if_due(&self, request: &Request) -> Result<(), Outcome> {
        if matches!(self.check_quarantine(request)?, Verdict::Trial(_))
            && let Some(digest) = self.suspect_digest(request)
        {
            let (text, id) = (digest.to_string(), request.id.as_str());
            spdlog::warn!("a quarantined request gets another trial", kv: { digest = text.as_str(), request = id });
            self.quarantine.borrow_mut().begin_trial(digest, Instant::now());
        }
        Ok(())
    }

    fn log_refusal(&self, at: &str, request: &str, digest: RequestDigest, left: Duration) {
        let exits = self.quarantine.borrow().exit_count(digest);
        self.metrics.quarantine_log.write(|left_out| {
            let digest = digest.to_string();
            spdlog::info!("refused a quarantined request", kv: {
                request, at, digest = digest.as_str(), exits, trial_s = left.as_secs(), left_out
            });
        });
    }

    /// Records that the process of an instance of the server beside this node has ended while it was at
    /// work on these requests, and tells others.
    /// `suspects` says of each whether that process had answered the same request before.
    pub fn add_suspects(
        &self,
        server: &Instance,
        suspects: impl Iterator<Item = (RequestDigest, bool)>,
    ) {
        let now = Instant::now();
        for (digest, answered) in suspects {
            let exit = ServerExit { server: server.clone(), service: self.service(), answered };
            self.record_suspect(digest, exit.clone(), now);
            let own = OwnExit { digest, exit: exit.clone(), at: now, told: None };
            self.suspect_changes.borrow_mut().exits.push(own);
        }
        self.suspects_wake.notify_one();
    }

    /// Records the end of a server's process under a request, and logs it when that quarantines the
    /// request.
    fn record_suspect(&self, digest: RequestDigest, exit: ServerExit, at: Instant) {
        let mut quarantine = self.quarantine.borrow_mut();
        let before = quarantine.is_quarantined(digest);
        let id = exit.server.id.clone();
        let is_new = quarantine.record(digest, exit, at, Instant::now());
        if is_new && !before && quarantine.is_quarantined(digest) {
            let (digest, exits) = (digest.to_string(), quarantine.exit_count(digest));
            spdlog::warn!("a request is quarantined: backend servers end while they are at work on it", kv: {
                digest = digest.as_str(), exits, last = id.as_str()
            });
        }
    }

    /// Clears a suspect that the server beside this node has answered. A failure may come before what
    /// ends servers, so it clears nothing.
    pub fn clear_if_answered(&self, request: &Request, status: u16) {
        let Some(digest) = self.suspect_digest(request).filter(|_| status < 500) else { return };
        let service = self.service();
        if self.clear_suspect(digest, &service) {
            let mut changes = self.suspect_changes.borrow_mut();
            changes.cleared.push((digest, service, Instant::now()));
            changes.untold += 1;
            self.suspects_wake.notify_one();
        }
    }

    fn clear_suspect(&self, digest: RequestDigest, service: &ServiceName) -> bool {
        let mut quarantine = self.quarantine.borrow_mut();
        let exits = quarantine.exit_count(digest);
        let cleared = quarantine.clear(digest, service, Instant::now());
        if cleared {
            self.metrics.quarantine_log.write(|left_out| {
                let digest = digest.to_string();
                spdlog::info!("a suspect was answered", kv: { digest = digest.as_str(), exits, left_out });
            });
        }
        cleared
    }

    /// Learns from another node under which requests servers have ended.
    pub fn learn_suspects(&self, notices: Vec<SuspectNotice>) {
        for SuspectNotice { digest, exit, age_ms } in notices {
            let now = Instant::now();
            let at = now.checked_sub(Duration::from_millis(age_ms)).unwrap_or(now);
            self.record_suspect(digest, exit, at);
        }
        self.suspects_wake.notify_one();
    }

    /// Learns from another node which suspects were answered.
    pub fn learn_cleared(&self, cleared: Vec<(RequestDigest, ServiceName)>) {
        for (digest, service) in cleared {
            self.clear_suspect(digest, &service);
        }
    }

    /// Exempts a request from the quarantine, or ends that, as operators order.
    pub fn set_exempt(&self, digest: RequestDigest, exempt: bool) {
        let text = digest.to_string();
        spdlog::info!("an exemption from the quarantine changes", kv: { digest = text.as_str(), exempt });
        self.quarantine.borrow_mut().set_exempt(digest, exempt);
    }

    /// Applies what records that were just applied to the table say of suspects. `before` holds the
    /// records that these may have deleted.
    pub fn apply_suspect_records(
        &self,
        records: &[Record],
        before: &[SuspectRecord],
        table: &Table,
    ) {
        for record in before.iter().filter(|r| !table.suspects.contains_key(&r.key())) {
            self.quarantine.borrow_mut().forget(record.digest, &record.exit);
        }
        let prefix = table.key_prefix();
        let keys = records.iter().filter_map(|r| r.key.strip_prefix(&prefix));
        let now = Instant::now();
        for record in keys.filter_map(|key| table.suspects.get(key)) {
            // Before the start of this host's clock nothing can be told apart.
            let at = now.checked_sub(record.age(unix_ms())).unwrap_or(now);
            self.record_suspect(record.digest, record.exit.clone(), at);
        }
        if !before.is_empty() || !table.suspects.is_empty() {
            self.suspects_wake.notify_one();
        }
    }

    /// Tells members what this node has learned from the server beside it.
    async fn tell_suspects(&self) {
        sleep(COALESCE_PAUSE).await;
        self.quarantine.borrow_mut().prune(Instant::now());
        for datagram in self.suspect_datagrams() {
            self.send_to_members(&datagram).await;
        }
    }

    /// Datagrams that tell members what this node has learned from the server beside it: each end of a
    /// process once, and all that is known of a quarantined request several times.
    fn suspect_datagrams(&self) -> Vec<Datagram> {
        let now = Instant::now();
        let mut changes = self.suspect_changes.borrow_mut();
        let SuspectChanges { exits, cleared, untold } = &mut *changes;
        let quarantine = self.quarantine.borrow();
        exits.retain(|own| quarantine.contains(own.digest, &own.exit));
        let mut due = Vec::new();
        for own in exits.iter_mut() {
            let repeats = quarantine.is_quarantined(own.digest) && own.at.elapsed() < REPEAT_TIME;
            let is_due = match own.told {
                None => true,
                Some(told) => repeats && told.elapsed() >= REPEAT_INTERVAL,
            };
            if is_due {
                own.told = Some(now);
                due.push(own.digest);
            }
        }
        let notice = |(digest, exit, at): (RequestDigest, &ServerExit, Instant)| SuspectNotice {
            digest,
            exit: exit.clone(),
            age_ms: now.saturating_duration_since(at).as_millis() as u64,
        };
        let notices: Vec<_> =
            quarantine.exits().filter(|(digest, ..)| due.contains(digest)).map(notice).collect();
        let untold = std::mem::take(untold).min(cleared.len());
        let answered: Vec<_> = cleared[cleared.len() - untold..]
            .iter()
            .map(|(digest, service, _)| (*digest, service.clone()))
            .collect();
        let notices = notices.chunks(NOTICES_MAX).map(|part| Datagram::Suspects(part.to_vec()));
        let answered = answered.chunks(NOTICES_MAX).map(|part| Datagram::Cleared(part.to_vec()));
        notices.chain(answered).collect()
    }

    /// The changes of the table's records by which they agree with what this node knows: about ends of
    /// its own server's processes and suspects that it has cleared, and, with `all`, about all others.
    fn suspect_records(&self, all: bool) -> WriteBatch {
        let (now, now_ms) = (Instant::now(), unix_ms());
        let mut changes = self.suspect_changes.borrow_mut();
        changes.cleared.retain(|(.., at)| at.elapsed() < CLEARED_TIME);
        let quarantine = self.quarantine.borrow();
        let own = |digest: RequestDigest, exit: &ServerExit| {
            changes.exits.iter().any(|own| own.digest == digest && own.exit == *exit)
        };
        let cleared = |record: &SuspectRecord| {
            let same = |(digest, service, _): &&(RequestDigest, ServiceName, Instant)| {
                *digest == record.digest && *service == record.exit.service
            };
            changes.cleared.iter().any(|c| same(&c))
        };
        let table = self.table.borrow();
        let record = |(digest, exit, at): (RequestDigest, &ServerExit, Instant)| {
            let age = now.saturating_duration_since(at).as_millis() as u64;
            SuspectRecord { digest, exit: exit.clone(), at_ms: now_ms.saturating_sub(age) }
        };
        let known = quarantine.exits().filter(|(digest, exit, _)| {
            own(*digest, exit) || all && quarantine.is_quarantined(*digest)
        });
        let missing = |record: &SuspectRecord| !table.suspects.contains_key(&record.key());
        let written: Vec<_> = known.map(record).filter(missing).take(RECORDS_MAX).collect();
        let outdated = |record: &&SuspectRecord| {
            !quarantine.contains(record.digest, &record.exit) && (all || cleared(record))
        };
        let deleted = table.suspects.values().filter(outdated).take(RECORDS_MAX);
        WriteBatch::change_suspects(&written, deleted)
    }

    /// Writes the changes of the table's records, and waits until they are in the table. Returns
    /// false if some are left to be written.
    async fn write_suspects(&self, all: bool) -> bool {
        let batch = self.suspect_records(all);
        if batch.records.is_empty() || self.is_restoring() || self.table_position.borrow().is_none()
        {
            return batch.records.is_empty();
        }
        let era = self.followed_position().0.era;
        let batch = batch.of_era(era);
        match (self.platform.store.append)(batch.clone(), None).await {
            Ok(offset) => {
                let next = Position { era, offset };
                if !self.apply_table_update(&TableUpdate { next, batch }) {
                    self.request_table_read();
                }
                let mut offset = self.table_position.subscribe();
                let echo = offset.wait_for(|offset| offset.is_some_and(|offset| offset >= next));
                // On a timeout the records are written again.
                timeout(ECHO_TIMEOUT, echo).await.is_ok()
            }
            Err(e) => {
                let (why, records) = (e.to_string(), batch.records.len());
                spdlog::warn!("failed to write the records of suspects", kv: { why = why.as_str(), records });
                false
            }
        }
    }

    /// Whether members are yet to be told of something, or told again.
    fn is_telling(&self) -> bool {
        let quarantine = self.quarantine.borrow();
        let changes = self.suspect_changes.borrow();
        let repeats =
            |own: &OwnExit| own.at.elapsed() < REPEAT_TIME && quarantine.is_quarantined(own.digest);
        changes.untold > 0 || changes.exits.iter().any(|own| own.told.is_none() || repeats(own))
    }

    /// Whether there are no suspects, neither here nor in the table.
    fn has_no_suspects(&self) -> bool {
        self.quarantine.borrow().is_empty()
            && self.table.borrow().suspects.is_empty()
            && !self.is_telling()
    }
}

/// Tells other nodes of suspects and keeps their records in the table, for as long as the process runs.
pub(crate) async fn maintain_suspects(node: Rc<Node>) {
    let mut checked = Instant::now();
    let mut pause = Duration::ZERO;
    loop {
        if node.has_no_suspects() {
            node.suspects_wake.notified().await;
        } else {
            // A timeout is the usual case.
            let _ = timeout(pause, node.suspects_wake.notified()).await;
        }
        node.tell_suspects().await;
        // What concerns no node in particular is done by one of them.
        let is_due = checked.elapsed() >= CHECK_INTERVAL;
        let all = is_due && fastrand::f64() * f64::from(node.member_count()) < 1.0;
        if is_due {
            checked = Instant::now();
        }
        let mut writing = pin!(node.write_suspects(all));
        let mut told = false;
        // The store may take seconds, and other nodes must not wait for it.
        let written = loop {
            tokio::select! {
                written = &mut writing => break written,
                () = node.suspects_wake.notified() => {
                    node.tell_suspects().await;
                    told = true;
                }
            }
        };
        pause = match (written, node.is_telling()) {
            (false, _) => RETRY_PAUSE,
            (true, _) if told => Duration::ZERO,
            (true, true) => REPEAT_INTERVAL,
            (true, false) => CHECK_INTERVAL,
        };
    }
}
