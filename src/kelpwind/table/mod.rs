//! The table: members and key ownership, on which all nodes must agree.
//!
//! The table is stored in a log with one current record for each record key. There are two kinds of
//! records: one for each node, written by that node only ([`member`]), and a fixed number for each
//! service whose keys are divided, which together name the owner of every key ([`keys`],
//! [`chunk`]). Readers need no history, only the newest record of each record key, so the store may
//! drop older ones.
//!
//! A node writes its own record unconditionally. A write of ownership records carries the condition
//! that the log ends where the author has read to. If two authors decide on the same state, only
//! one write succeeds, and the other author decides again on the new state. This module does no
//! I/O: [`Table`] is given records with their offsets.
//!
//! If the store comes back from an older copy, records that it had acknowledged are gone, so what is
//! left of them no longer tells who owns what. Record keys therefore begin with the era of the store,
//! and a table consists of the records of one era, in which none was lost. Who still writes records of
//! a former era changes nothing. Each era begins without records; [`claim`] says how ownership passes
//! into it.

mod chunk;
pub mod claim;
pub mod keys;
pub mod member;
pub mod polling;
pub mod suspect;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids::{Era, Holder, Incarnation, NodeId, Offset, Position, ServiceName, Token};
use crate::lease::message::IncarnationId;
use chunk::Chunk;
use claim::Claim;
use keys::KeyMap;
use member::{Member, WatchedHolder};
use suspect::SuspectRecord;

/// Prefix of the record keys of node records.
const NODE_PREFIX: &str = "node/";
/// Prefix of the record keys of ownership records.
const KEYS_PREFIX: &str = "keys/";
/// Prefix of the record keys of claims.
const CLAIM_PREFIX: &str = "claim/";
/// Most records of former eras that are deleted with one write.
const DELETIONS_MAX: usize = 500;

/// A record of the store: the value of a record key, or the deletion of that record key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log.
    pub offset: Offset,
    /// The record key.
    pub key: String,
    /// The value; `None` if the record key was deleted.
    pub value: Option<Bytes>,
}

/// Records to append in one call; the store appends all of them or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Record keys and values; the value `None` deletes the record key.
    pub records: Vec<(String, Option<Bytes>)>,
}

impl WriteBatch {
    /// Writes the record of a node.
    pub fn put_member(member: &Member) -> WriteBatch {
        WriteBatch { records: vec![(member_key(&member.holder.node), Some(encode(member)))] }
    }

    /// Deletes the record of a node that has left or was lost.
    pub fn delete_member(node: &NodeId) -> WriteBatch {
        WriteBatch { records: vec![(member_key(node), None)] }
    }

    /// Writes the ownership records of a service in which `keys` differs from `table`.
    pub fn put_keys(table: &Table, service: &ServiceName, keys: &KeyMap) -> WriteBatch {
        let known = table.keys.get(service);
        let changed = |(number, span)| {
            let chunk = Chunk::of(keys, span);
            let unchanged = known.is_some_and(|known| Chunk::of(known, span) == chunk);
            (!unchanged).then(|| (format!("{KEYS_PREFIX}{service}/{number}"), Some(encode(&chunk))))
        };
        WriteBatch { records: chunk::all().filter_map(changed).collect() }
    }

    /// Writes the claim of a node.
    pub fn put_claim(claim: &Claim) -> WriteBatch {
        let key = format!("{CLAIM_PREFIX}{}", claim.holder.node);
        WriteBatch { records: vec![(key, Some(encode(claim)))] }
    }

    /// Writes and deletes records of suspects.
    pub fn change_suspects<'a>(
        written: impl IntoIterator<Item = &'a SuspectRecord>,
        deleted: impl IntoIterator<Item = &'a SuspectRecord>,
    ) -> WriteBatch {
        let written = written.into_iter().map(|record| (record.key(), Some(encode(record))));
        let deleted = deleted.into_iter().map(|record| (record.key(), None));
        WriteBatch { records: written.chain(deleted).collect() }
    }

    /// Deletes records of former eras, as many as fit into one write.
    pub fn delete_former(table: &Table) -> WriteBatch {
        let keys = table.former_keys.iter().take(DELETIONS_MAX);
        WriteBatch { records: keys.map(|key| (key.clone(), None)).collect() }
    }

    /// The same records as records of an era.
    pub fn of_era(mut self, era: Option<Era>) -> WriteBatch {
        let prefix = era_prefix(era);
        self.records.iter_mut().for_each(|(key, _)| key.insert_str(0, &prefix));
        self
    }

    /// Offset of the first record if the batch ends just before `next` in the log.
    pub fn start_offset(&self, next: Offset) -> Offset {
        Offset(next.0.saturating_sub(self.records.len() as u64))
    }

    /// The records with their offsets if the batch ends just before `next` in the log.
    pub fn records_before(&self, next: Offset) -> Vec<Record> {
        let numbered = (self.start_offset(next).0..).zip(&self.records);
        let record = |(offset, (key, value)): (u64, &(String, Option<Bytes>))| Record {
            offset: Offset(offset),
            key: key.clone(),
            value: value.clone(),
        };
        numbered.map(record).collect()
    }

    /// Appends the records of `other` to the batch.
    pub fn merge(mut self, other: WriteBatch) -> WriteBatch {
        self.records.extend(other.records);
        self
    }
}

/// Prefix of the record keys of an era.
fn era_prefix(era: Option<Era>) -> String {
    era.map_or_else(String::new, |era| format!("e{era}/"))
}

fn member_key(node: &NodeId) -> String {
    format!("{NODE_PREFIX}{node}")
}

fn encode(value: &impl serde::Serialize) -> Bytes {
    // JSON serialisation fails only for maps with keys that are not strings, and there are none.
    Bytes::from(serde_json::to_vec(value).expect("records are plain data"))
}

/// The state of the table: the current record of each record key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Offset of the next record to read. A conditional write succeeds only if the log ends here.
    /// [`Table::apply`] leaves it alone; the reader of the log advances it.
    pub next: Offset,
    /// Era of the store whose records the table consists of; `None` if the store states none.
    pub era: Option<Era>,
    /// What nodes claimed when the era began.
    pub claims: BTreeMap<NodeId, Claim>,
    /// Record keys of other eras.
    former_keys: BTreeSet<String>,
    /// Records of suspects by record key.
    pub suspects: BTreeMap<String, SuspectRecord>,
    /// Node records by node name.
    pub members: BTreeMap<NodeId, Member>,
    /// Key ownership by service.
    pub keys: BTreeMap<ServiceName, KeyMap>,
    /// Nodes whose newest record was written late, by a former run or with a former witness set.
    outdated: BTreeSet<NodeId>,
    /// The last member that ended under each name, and how long its grants may outlast its lease.
    ended: BTreeMap<NodeId, (Holder, Duration)>,
    offsets: BTreeMap<String, Offset>,
    /// Number of records that name a lower token for some key than the records before them.
    pub lower_tokens: u64,
}

impl Table {
    /// An empty table of an era.
    pub fn new(era: Option<Era>) -> Table {
        Table { era, ..Table::default() }
    }

    /// Position of the next record to read.
    pub fn position(&self) -> Position {
        Position { era: self.era, offset: self.next }
    }

    /// Whether any of these records is that of a suspect.
    pub fn concern_suspects(records: &[Record]) -> bool {
        records.iter().any(|record| record.key.contains(suspect::PREFIX))
    }

    /// Prefix of the record keys of the table's era.
    pub fn key_prefix(&self) -> String {
        era_prefix(self.era)
    }

    /// Tokens that are assigned in the table's era are above this one.
    pub fn token_floor(&self) -> Token {
        self.era.map(Era::token_floor).unwrap_or_default()
    }

    /// Whether the store shows that it has lost records: some are of other eras, or keys have tokens of
    /// former eras.
    pub fn follows_loss(&self) -> bool {
        let former = |k: &KeyMap| k.ranges.iter().any(|r| r.token <= k.floor);
        !self.former_keys.is_empty() || self.era.is_some() && self.keys.values().any(former)
    }

    /// Adopts into `keys` what members have claimed of a service, and returns whether that changed
    /// anything. A claim of a node that has left is void.
    pub fn apply_claims(&self, service: &ServiceName, keys: &mut KeyMap) -> bool {
        let counts = |claim: &&Claim| {
            let member = self.members.get(&claim.holder.node);
            claim.service == *service && member.is_some_and(|m| m.holder.inc >= claim.holder.inc)
        };
        let ranges = self.claims.values().filter(counts).flat_map(Claim::ranges);
        ranges.fold(false, |changed, range| keys.claim(&range) | changed)
    }

    /// Applies a record. Returns false if it cannot be parsed; the table then keeps the state it
    /// had. A record older than the one already applied for its record key is ignored: a full read
    /// is not a consistent snapshot, and the reads that follow it begin slightly before its end.
    pub fn apply(&mut self, record: &Record) -> bool {
        if self.offsets.get(&record.key).is_some_and(|known| *known > record.offset) {
            return true;
        }
        self.offsets.insert(record.key.clone(), record.offset);
        let Some(key) = record.key.strip_prefix(&era_prefix(self.era)) else {
            match record.value {
                Some(_) => self.former_keys.insert(record.key.clone()),
                None => self.former_keys.remove(&record.key),
            };
            return true;
        };
        if let Some(name) = key.strip_prefix(CLAIM_PREFIX) {
            return self.put_claim(name, record.value.as_ref()).is_some();
        }
        if key.starts_with(suspect::PREFIX) {
            return self.put_suspect(key, record.value.as_ref()).is_some();
        }
        if let Some(name) = key.strip_prefix(NODE_PREFIX) {
            return self.put_member(name, record.value.as_ref()).is_some();
        }
        if let Some(name) = key.strip_prefix(KEYS_PREFIX) {
            return self.put_chunk(name, record.value.as_ref()).is_some();
        }
        false
    }

    /// Applies the record of a node; `None` if it cannot be parsed. The store may carry out a write
    /// seconds after its author has sent it, or has ended. A record of an earlier incarnation, or
    /// with an earlier witness set, than the known one therefore changes nothing, and its node has
    /// to write the present one again.
    fn put_member(&mut self, name: &str, value: Option<&Bytes>) -> Option<()> {
        let name: NodeId = name.parse().ok()?;
        let Some(value) = value else {
            if let Some(member) = self.members.remove(&name) {
                self.record_end(member);
            }
            self.outdated.remove(&name);
            return Some(());
        };
        let member: Member = serde_json::from_slice(value).ok().filter(Member::is_plausible)?;
        let order = |m: &Member| (m.holder.inc, m.version);
        if self.members.get(&name).is_some_and(|known| order(&member) < order(known)) {
            self.outdated.insert(name);
        } else {
            self.outdated.remove(&name);
            let holder = member.holder.clone();
            if let Some(former) = self.members.insert(name, member)
                && former.holder != holder
            {
                self.record_end(former);
            }
        }
        Some(())
    }

    /// Applies the claim of a node; `None` if it cannot be parsed.
    fn put_claim(&mut self, name: &str, value: Option<&Bytes>) -> Option<()> {
        let name: NodeId = name.parse().ok()?;
        match value {
            Some(value) => self.claims.insert(name, serde_json::from_slice(value).ok()?),
            None => self.claims.remove(&name),
        };
        Some(())
    }

    /// Applies the record of a suspect; `None` if it cannot be parsed.
    fn put_suspect(&mut self, key: &str, value: Option<&Bytes>) -> Option<()> {
        match value {
            Some(value) => self.suspects.insert(key.to_owned(), SuspectRecord::decode(key, value)?),
            None => self.suspects.remove(key),
        };
        Some(())
    }

    fn record_end(&mut self, member: Member) {
        let excess = member.grant_excess();
        self.ended.insert(member.holder.node.clone(), (member.holder, excess));
    }

    /// How much longer than its lease the grants of an owner that is no member any more may last;
    /// `None` if its record was not seen.
    pub fn former_excess(&self, owner: &Holder) -> Option<Duration> {
        let ended = self.ended.get(&owner.node).filter(|(holder, _)| holder == owner);
        ended.map(|(_, excess)| *excess)
    }

    /// Applies an ownership record whose `name` is `SERVICE/NUMBER`; `None` if it cannot be parsed.
    fn put_chunk(&mut self, name: &str, value: Option<&Bytes>) -> Option<()> {
        let (service, number) = name.rsplit_once('/')?;
        let service: ServiceName = service.parse().ok()?;
        let span = chunk::span(number.parse().ok()?)?;
        let ranges = match value {
            Some(value) => serde_json::from_slice::<Chunk>(value).ok()?.ranges(span),
            None => Vec::new(),
        };
        let floor = self.token_floor();
        let keys = self.keys.entry(service).or_default();
        keys.floor = floor;
        if keys.has_higher_token(&ranges) {
            self.lower_tokens += 1;
        }
        keys.replace(span, ranges);
        Some(())
    }

    /// The member `holder`, if its record is of the same incarnation.
    pub fn member(&self, holder: &Holder) -> Option<&Member> {
        self.members.get(&holder.node).filter(|m| m.holder == *holder)
    }

    /// Whether the newest record of a node in the store is older than the member known here.
    pub fn is_outdated(&self, node: &NodeId) -> bool {
        self.outdated.contains(node)
    }

    /// Whether a later incarnation of a holder's node is a member.
    pub fn is_succeeded(&self, holder: &Holder) -> bool {
        self.members.get(&holder.node).is_some_and(|m| m.holder.inc > holder.inc)
    }

    /// Owners of keys of whose nodes a later incarnation is a member.
    pub fn succeeded_owners(&self) -> BTreeSet<IncarnationId> {
        let owners = self.keys.values().flat_map(|k| k.owners());
        owners.filter(|h| self.is_succeeded(h)).map(|h| IncarnationId::from(h.inc)).collect()
    }

    /// Whether an owner has ended its membership. One whose record was replaced by a late write of
    /// a former run has not.
    pub fn has_departed(&self, owner: &Holder) -> bool {
        !self.members.contains_key(&owner.node) || self.is_succeeded(owner)
    }

    /// The latest incarnation of a node that is a member or owns keys.
    pub fn latest_incarnation(&self, node: &NodeId) -> Option<Incarnation> {
        let owners = self.keys.values().flat_map(|k| k.owners()).filter(|h| h.node == *node);
        let member = self.members.get(node).map(|m| &m.holder);
        owners.chain(member).map(|h| h.inc).max()
    }

    /// Members whose backend server belongs to the service, in any state.
    pub fn members_of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |m| m.service == *service)
    }

    /// Whether `incarnation` is one of [`Table::incarnations`].
    pub fn contains_incarnation(&self, incarnation: IncarnationId) -> bool {
        let is = |holder: &Holder| IncarnationId::from(holder.inc) == incarnation;
        let owned = || self.keys.values().flat_map(|k| k.owners()).any(is);
        self.members.values().any(|m| is(&m.holder)) || owned()
    }

    /// Incarnations of all members, and of former members that still own keys.
    pub fn incarnations(&self) -> BTreeSet<IncarnationId> {
        let owners = self.keys.values().flat_map(|k| k.owners());
        let members = self.members.values().map(|m| &m.holder);
        members.chain(owners).map(|h| IncarnationId::from(h.inc)).collect()
    }

    /// Members that own keys and whose witness set lists `node`.
    pub fn watched_by(&self, node: &NodeId) -> BTreeMap<IncarnationId, WatchedHolder> {
        let owners: BTreeSet<&Holder> = self.keys.values().flat_map(|k| k.owners()).collect();
        let members = owners.into_iter().filter_map(|h| self.member(h));
        members
            .filter_map(|m| Some((IncarnationId::from(m.holder.inc), m.watched_by(node)?)))
            .collect()
    }
}
