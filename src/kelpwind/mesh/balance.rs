//! Moves keys from overloaded owners to others: gathers what [`crate::place::relief`] decides from.
//!
//! An owner asks only when it is overloaded, and only as many others, drawn at random, as should be able
//! to take what is too much, so the messages do not grow with the number of owners. Who answers reckons
//! for a while with what it was asked to take, so that two overloaded owners do not both fill the same
//! room.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::datagram::Datagram;
use super::node::Node;
use crate::core::ids::{Holder, NodeId};
use crate::place::relief::{self, OwnerLoad};
use crate::table::keys::{Owner, Span};

/// Time between two looks at how busy this owner is.
const LOOK: Duration = Duration::from_millis(300);
/// Time after the begin of a move in which its effect is awaited: entries send what they have under way
/// to the former owner.
const SETTLE: Duration = Duration::from_millis(600);
/// Most ranges for each owner of a service, on average: each is a grant to renew.
const RANGES_MAX: usize = 12;
/// Time for answers: a round trip between failure domains and some slack.
const ANSWER_WAIT: Duration = Duration::from_millis(40);
/// Time for which room that was told to one is not told to the next.
const RESERVED: Duration = Duration::from_millis(1200);

/// What an owner has asked, and what it was told.
#[derive(Debug, Default)]
pub(crate) struct LoadQuery {
    query: u32,
    answers: Vec<OwnerLoad>,
    /// Who was asked, by the name of its backend server.
    owners: Vec<Owner>,
}

/// Room that was told to others, and when.
pub(crate) type Reservations = Vec<(Instant, f64)>;

/// Looks for relief for as long as the process runs.
pub(crate) async fn rebalance(node: Rc<Node>) {
    loop {
        sleep(LOOK).await;
        if !node.may_balance() {
            continue;
        }
        let Some(me) = node.busy() else { continue };
        if me.utilization() < relief::OVERLOAD_THRESHOLD {
            continue;
        }
        node.ask_others(&me).await;
        sleep(ANSWER_WAIT).await;
        let moves = node.relief(&me);
        if moves.is_empty() {
            continue;
        }
        let keys: u32 = moves.iter().map(|(s, _)| s.width()).sum();
        spdlog::info!("keys move to less busy owners", kv: {
            busy = me.utilization(), slots = me.slots, keys, ranges = moves.len()
        });
        let spans: Vec<Span> = moves.iter().map(|(span, _)| *span).collect();
        if node.start_moves(moves) {
            spans.iter().for_each(|span| node.demand.borrow_mut().remove_span(*span));
            sleep(SETTLE).await;
        }
    }
}

impl Node {
    fn may_balance(&self) -> bool {
        let warm = !self.queue.borrow().cold_start.is_cold(Instant::now());
        self.is_keyed() && !self.is_stopping() && warm && !self.is_moving()
    }

    /// How busy this owner is; `None` while it has no backend server.
    fn busy(&self) -> Option<OwnerLoad> {
        let owner = Owner { holder: self.holder(), instance: self.server_instance()? };
        let now = Instant::now();
        let rate = self.demand.borrow_mut().rate(now);
        let line = self.queue.borrow();
        let work = rate * line.mean_time().as_secs_f64();
        Some(OwnerLoad { owner, work, slots: f64::from(line.slots()) })
    }

    async fn ask_others(&self, me: &OwnerLoad) {
        let service = self.service();
        let mut asked: Vec<(Owner, std::net::SocketAddr)> = {
            let table = self.table.borrow();
            let heirs = self.recipients(&table, &service, Some(&me.owner.holder));
            let addr = |node: &NodeId| table.members.get(node).map(|m| m.addr);
            let pairs = heirs.into_iter().map(|h| h.owner);
            pairs.filter_map(|o| Some((o.clone(), addr(&o.holder.node)?))).collect()
        };
        fastrand::shuffle(&mut asked);
        asked.truncate(relief::owners_to_ask(me));
        let query = fastrand::u32(..);
        let owners = asked.iter().map(|(o, _)| o.clone()).collect();
        self.load_query.replace(LoadQuery { query, answers: Vec::new(), owners });
        let work =
            ((me.utilization() - relief::OVERLOAD_THRESHOLD / 2.0) * me.slots * 1000.0) as u32;
        let work = work / asked.len().max(1) as u32;
        for (_, addr) in asked {
            self.send_datagram(addr, &Datagram::LoadQuery { query, work }).await;
        }
    }

    /// Answers how busy this owner is, and keeps the room for the asker.
    pub fn answer_load_query(&self, query: u32, wanted: u32) -> Option<Datagram> {
        let me = self.busy()?;
        let cold = self.queue.borrow().cold_start.is_cold(Instant::now());
        if cold || self.must_give_up_keys() {
            return None;
        }
        let mut reserved = self.reservations.borrow_mut();
        reserved.retain(|(at, _)| at.elapsed() < RESERVED);
        let promised: f64 = reserved.iter().map(|(_, work)| work).sum();
        let work = me.work + promised;
        reserved.push((Instant::now(), f64::from(wanted) / 1000.0));
        let server = me.owner.instance.id;
        Some(Datagram::LoadReply {
            query,
            server,
            work: (work * 1000.0) as u32,
            slots: me.slots as u32,
        })
    }

    /// Takes an answer.
    pub fn record_load_reply(&self, query: u32, server: &str, work: u32, slots: u32) {
        let mut asked = self.load_query.borrow_mut();
        if asked.query != query {
            return;
        }
        let Some(owner) = asked.owners.iter().find(|o| o.instance.id == server).cloned() else {
            return;
        };
        let (work, slots) = (f64::from(work) / 1000.0, f64::from(slots));
        asked.answers.push(OwnerLoad { owner, work, slots });
    }

    fn relief(&self, me: &OwnerLoad) -> Vec<(Span, Owner)> {
        let service = self.service();
        let spans: Vec<Span> = {
            let table = self.table.borrow();
            let Some(keys) = table.keys.get(&service) else { return Vec::new() };
            let spans: Vec<Span> = keys.owned_by(&me.owner.holder).map(|r| r.span).collect();
            let owners: BTreeSet<&Holder> = keys.owners().collect();
            if keys.ranges.len() > RANGES_MAX * owners.len() {
                return Vec::new();
            }
            spans
        };
        relief::plan_relief(me, &self.demand.borrow(), &spans, &self.load_query.borrow().answers)
    }
}
