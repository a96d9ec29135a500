//! The table: what all nodes must agree on, kept as the newest record of each key in the store.
//!
//! Two sorts of records: one a node, written by that node alone ([`member`]), and a fixed number for
//! each service whose keys are divided, which together name the owner of every key ([`keys`],
//! [`chunk`]). A reader needs no history: the newest record of each key is the whole truth, so nothing
//! is lost when older ones expire.
//!
//! A node writes its own record without a condition. Records of ownership are written on the
//! condition that the log ends where its author has read to, so that of two authors who decided on
//! the same state only one is heard, and the other decides anew. [`Table`] is pure: records come
//! in with their offsets.

mod chunk;
pub mod keys;
pub mod member;
pub mod polling;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::ids::{Holder, NodeId, Offset, ServiceName};
use crate::lease::message::IncarnationId;
use chunk::Chunk;
use keys::KeyMap;
use member::{Member, WatchedHolder};

/// What keys of node records begin with.
const NODE_PREFIX: &str = "node/";
/// What keys of ownership records begin with.
const KEYS_PREFIX: &str = "keys/";

/// A record as the store keeps it: the newest of its key, or the news that the key is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Position in the log.
    pub offset: Offset,
    /// The key.
    pub key: String,
    /// The value; `None` when the key was dropped.
    pub value: Option<Bytes>,
}

/// Records that a node wants to write: all of them or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// Keys and values, of which `None` drops the key.
    pub records: Vec<(String, Option<Bytes>)>,
}

impl WriteBatch {
    /// What a node says of itself.
    pub fn put_member(member: &Member) -> WriteBatch {
        WriteBatch { records: vec![(member_key(&member.holder.node), Some(encode(member)))] }
    }

    /// A node is gone for good.
    pub fn delete_member(node: &NodeId) -> WriteBatch {
        WriteBatch { records: vec![(member_key(node), None)] }
    }

    /// Who owns the keys of a service, as far as the table says otherwise.
    pub fn put_keys(table: &Table, service: &ServiceName, keys: &KeyMap) -> WriteBatch {
        let known = table.keys.get(service);
        let changed = |(number, span)| {
            let chunk = Chunk::of(keys, span);
            let same = known.is_some_and(|known| Chunk::of(known, span) == chunk);
            (!same).then(|| (format!("{KEYS_PREFIX}{service}/{number}"), Some(encode(&chunk))))
        };
        WriteBatch { records: chunk::all().filter_map(changed).collect() }
    }

    /// Where the records begin that stand in the log before `next`.
    pub fn start_offset(&self, next: Offset) -> Offset {
        Offset(next.0.saturating_sub(self.records.len() as u64))
    }

    /// The records as they stand in the log before `next`.
    pub fn records_before(&self, next: Offset) -> Vec<Record> {
        let numbered = (self.start_offset(next).0..).zip(&self.records);
        let record = |(offset, (key, value)): (u64, &(String, Option<Bytes>))| Record {
            offset: Offset(offset),
            key: key.clone(),
            value: value.clone(),
        };
        numbered.map(record).collect()
    }

    /// The records of both.
    pub fn merge(mut self, other: WriteBatch) -> WriteBatch {
        self.records.extend(other.records);
        self
    }
}

fn member_key(node: &NodeId) -> String {
    format!("{NODE_PREFIX}{node}")
}

fn encode(value: &impl serde::Serialize) -> Bytes {
    // These types have text keys only, so writing them cannot fail.
    Bytes::from(serde_json::to_vec(value).expect("records are plain data"))
}

/// The newest records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Offset up to which all records are known; where a conditional write must find the end of the
    /// log. Whoever reads the log moves it.
    pub next: Offset,
    /// Nodes by name.
    pub members: BTreeMap<NodeId, Member>,
    /// Ownership by service.
    pub keys: BTreeMap<ServiceName, KeyMap>,
    offsets: BTreeMap<String, Offset>,
}

impl Table {
    /// Takes a record. Returns false for one that cannot be read; the table keeps what it had. One that
    /// is older than what the table has of its key changes nothing: a reading of the whole is no
    /// snapshot, and what follows it begins a little before its end.
    pub fn apply(&mut self, record: &Record) -> bool {
        if self.offsets.get(&record.key).is_some_and(|known| *known > record.offset) {
            return true;
        }
        self.offsets.insert(record.key.clone(), record.offset);
        if let Some(name) = record.key.strip_prefix(NODE_PREFIX) {
            return put(&mut self.members, name, record.value.as_ref());
        }
        if let Some(name) = record.key.strip_prefix(KEYS_PREFIX) {
            return self.put_chunk(name, record.value.as_ref()).is_some();
        }
        false
    }

    /// Takes a record of ownership, named `SERVICE/NUMBER`; `None` when it cannot be read.
    fn put_chunk(&mut self, name: &str, value: Option<&Bytes>) -> Option<()> {
        let (service, number) = name.rsplit_once('/')?;
        let service: ServiceName = service.parse().ok()?;
        let span = chunk::span(number.parse().ok()?)?;
        let ranges = match value {
            Some(value) => serde_json::from_slice::<Chunk>(value).ok()?.ranges(span),
            None => Vec::new(),
        };
        self.keys.entry(service).or_default().replace(span, ranges);
        Some(())
    }

    /// The member that is `holder` in the same incarnation.
    pub fn member(&self, holder: &Holder) -> Option<&Member> {
        self.members.get(&holder.node).filter(|m| m.holder == *holder)
    }

    /// Members whose backend server belongs to the service, whatever its state.
    pub fn members_of<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |m| m.service == *service)
    }

    /// Whether an incarnation is one of [`Table::tags`].
    pub fn contains_incarnation(&self, tag: IncarnationId) -> bool {
        let is = |holder: &Holder| IncarnationId::from(holder.inc) == tag;
        let owned = || self.keys.values().flat_map(|k| k.owners()).any(is);
        self.members.values().any(|m| is(&m.holder)) || owned()
    }

    /// Incarnations of all members, and those of former ones that still own keys.
    pub fn incarnations(&self) -> BTreeSet<IncarnationId> {
        let owners = self.keys.values().flat_map(|k| k.owners());
        let members = self.members.values().map(|m| &m.holder);
        members.chain(owners).map(|h| IncarnationId::from(h.inc)).collect()
    }

    /// Holders of keys whose witness set lists `node`.
    pub fn watched_by(&self, node: &NodeId) -> BTreeMap<IncarnationId, WatchedHolder> {
        let owners: BTreeSet<&Holder> = self.keys.values().flat_map(|k| k.owners()).collect();
        let members = owners.into_iter().filter_map(|h| self.member(h));
        members
            .filter_map(|m| Some((IncarnationId::from(m.holder.inc), m.watched_by(node)?)))
            .collect()
    }
}

fn put<K, V>(map: &mut BTreeMap<K, V>, name: &str, value: Option<&Bytes>) -> bool
where
    K: std::str::FromStr + Ord,
    V: serde::de::DeserializeOwned,
{
    let Ok(name) = name.parse() else { return false };
    let Some(value) = value else {
        map.remove(&name);
        return true;
    };
    let Ok(value) = serde_json::from_slice(value) else { return false };
    map.insert(name, value);
    true
}
