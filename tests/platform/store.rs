//! Simulated platform store: a log whose topics keep the newest record of each key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::HeaderValue;
use http_body_util::Full;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::{FullRequest, Reply, query_param, reply, serve};

/// Key and value of a record; an empty value deletes the key.
pub type Record = (String, Bytes);

/// Topic of the operators, who write lost records again.
const OPERATORS_TOPIC: &str = "keyed.op";

/// What the answers' header `Store-Era` says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum EraHeader {
    /// How often the store came back from a copy, counted from 1.
    #[default]
    Number,
    /// The answers have no such header.
    Absent,
    /// This value.
    Raw(&'static str),
}

type Topics = BTreeMap<String, Vec<Record>>;

/// A store that keeps all records in memory.
#[derive(Default)]
pub struct Store {
    topics: Mutex<Topics>,
    copied: Mutex<Topics>,
    /// Prefix of the keys of which the next record is preceded by a copy.
    copy_before: Mutex<Option<&'static str>>,
    /// Number of times that a copy was restored.
    restores: AtomicU64,
    era_header: Mutex<EraHeader>,
    /// Time from a restore until the operators have written their records again.
    rewrite_delay: Mutex<Duration>,
    /// Whether reads go on waiting while the store is down.
    park_reads: AtomicBool,
    /// Notified when records are appended or the store goes down or up.
    changed: Notify,
    down: AtomicBool,
    /// Whether appends are carried out but not answered.
    drop_replies: AtomicBool,
    silent: AtomicBool,
    /// When calls that read the orders arrived while the store was silent.
    silent_reads: Mutex<Vec<Instant>>,
}

impl Store {
    /// Starts a store that serves HTTP on `addr`.
    pub async fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let served = store.clone();
        serve(addr, move |request| {
            let store = served.clone();
            async move { store.answer(request).await }
        })
        .await;
        store
    }

    /// Publishes a record to the operators' topic.
    pub fn publish(&self, key: &str, value: &str) {
        self.append_one(OPERATORS_TOPIC, key, Bytes::copy_from_slice(value.as_bytes()));
    }

    /// The newest records whose keys contain `part`, with their topics.
    pub fn newest_matching(&self, part: &str) -> Vec<(String, Record)> {
        let newest: BTreeMap<(String, String), Bytes> = {
            let topics = self.topics.lock();
            let all = topics.iter().flat_map(|(t, records)| records.iter().map(move |r| (t, r)));
            let matching = all.filter(|(_, (key, _))| key.contains(part));
            matching.map(|(t, (key, value))| ((t.clone(), key.clone()), value.clone())).collect()
        };
        newest.into_iter().map(|((t, k), v)| (t, (k, v))).collect()
    }

    /// Deletes all keys that contain `part`, and returns their newest records with their topics.
    pub fn delete_matching(&self, part: &str) -> Vec<(String, Record)> {
        let deleted = self.newest_matching(part);
        deleted.iter().for_each(|(topic, (key, _))| self.append_one(topic, key, Bytes::new()));
        deleted
    }

    /// Writes former records again.
    pub fn restore(&self, records: Vec<(String, Record)>) {
        records.into_iter().for_each(|(topic, (key, value))| self.append_one(&topic, &key, value));
    }

    /// Number of records that were written under the keys that contain `part`.
    pub fn count_matching(&self, part: &str) -> usize {
        let topics = self.topics.lock();
        topics.values().flatten().filter(|(key, _)| key.contains(part)).count()
    }

    /// Replaces text in the newest records whose keys contain `part`.
    pub fn replace_in_matching(&self, part: &str, from: &str, to: &str) {
        let mut newest: BTreeMap<(String, String), Bytes> = BTreeMap::new();
        for (topic, records) in self.topics.lock().iter() {
            for (key, value) in records.iter().filter(|(key, _)| key.contains(part)) {
                newest.insert((topic.clone(), key.clone()), value.clone());
            }
        }
        for ((topic, key), value) in newest {
            let text = String::from_utf8_lossy(&value).replace(from, to);
            self.append_one(&topic, &key, Bytes::from(text));
        }
    }

    /// Takes the store down or up. While down it answers 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        self.changed.notify_waiters();
    }

    /// Leaves all further calls without an answer.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// When calls that read the orders arrived since the store fell silent.
    pub fn silent_reads(&self) -> Vec<Instant> {
        self.silent_reads.lock().clone()
    }

    /// Sets whether replies to appends are dropped.
    pub fn set_drop_replies(&self, drop_replies: bool) {
        self.drop_replies.store(drop_replies, Ordering::Relaxed);
    }

    /// Remembers all records.
    pub fn copy(&self) {
        *self.copied.lock() = self.topics.lock().clone();
    }

    /// Remembers all records right before the next one whose key has this prefix is written.
    pub fn copy_before(&self, part: &'static str) {
        *self.copy_before.lock() = Some(part);
    }

    /// Whether a copy is still to be made by [`Store::copy_before`].
    pub fn is_copy_due(&self) -> bool {
        self.copy_before.lock().is_some()
    }

    /// Puts the last copy in place of all records. The operators write theirs again.
    pub fn restore_copy(self: &Arc<Self>) {
        let copied = self.copied.lock().clone();
        let known = copied.get(OPERATORS_TOPIC).map_or(0, Vec::len);
        let former = {
            let mut topics = self.topics.lock();
            self.restores.fetch_add(1, Ordering::Relaxed);
            std::mem::replace(&mut *topics, copied)
        };
        let lost = former.get(OPERATORS_TOPIC).and_then(|records| records.get(known..));
        let lost = lost.unwrap_or_default().to_vec();
        let delay = *self.rewrite_delay.lock();
        if delay.is_zero() {
            self.rewrite(lost);
        } else {
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                store.rewrite(lost);
            });
        }
        self.changed.notify_waiters();
    }

    fn rewrite(&self, lost: Vec<Record>) {
        lost.into_iter().for_each(|(key, value)| self.append_one(OPERATORS_TOPIC, &key, value));
    }

    /// Sets the time from a restore until the operators have written their records again.
    pub fn set_rewrite_delay(&self, delay: Duration) {
        *self.rewrite_delay.lock() = delay;
    }

    /// Sets what the header `Store-Era` says.
    pub fn set_era_header(&self, header: EraHeader) {
        *self.era_header.lock() = header;
    }

    /// Sets whether reads go on waiting while the store is down.
    pub fn set_park_reads(&self, park_reads: bool) {
        self.park_reads.store(park_reads, Ordering::Relaxed);
    }

    pub fn append_one(&self, topic: &str, key: &str, value: Bytes) {
        let mut topics = self.topics.lock();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        drop(topics);
        self.changed.notify_waiters();
    }

    fn end(&self, topic: &str) -> usize {
        self.topics.lock().get(topic).map_or(0, Vec::len)
    }

    async fn answer(&self, request: FullRequest) -> Reply {
        let mut reply = self.answer_without_era(request).await;
        let era = match &*self.era_header.lock() {
            EraHeader::Number => HeaderValue::from(1 + self.restores.load(Ordering::Relaxed)),
            EraHeader::Absent => return reply,
            EraHeader::Raw(value) => HeaderValue::from_static(value),
        };
        reply.headers_mut().insert("store-era", era);
        reply
    }

    async fn answer_without_era(&self, request: FullRequest) -> Reply {
        if self.down.load(Ordering::Relaxed) {
            return reply(503);
        }
        let topic = query_param(&request, "topic").unwrap_or_default().to_owned();
        if self.silent.load(Ordering::Relaxed) {
            if topic == "keyed.op" {
                self.silent_reads.lock().push(Instant::now());
            }
            return std::future::pending().await;
        }
        match request.uri().path() {
            "/-/log-newest" => self.newest(&topic),
            "/-/log-read" => self.read(&topic, &request).await,
            "/-/log-append" => self.append(&topic, &request).await,
            _ => reply(404),
        }
    }

    fn newest(&self, topic: &str) -> Reply {
        let topics = self.topics.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &Bytes)> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let present = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<_> = present
            .map(|(key, (offset, value))| {
                serde_json::json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            })
            .collect();
        let page = serde_json::json!(
            {"items": items, "has-more": false, "end-offset": records.len()}
        );
        Reply::new(Full::new(Bytes::from(page.to_string())))
    }

    async fn read(&self, topic: &str, request: &FullRequest) -> Reply {
        let number =
            |name| query_param(request, name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (from, wait) = (number("from") as usize, Duration::from_millis(number("wait-ms")));
        let until = tokio::time::Instant::now() + wait;
        if from > self.end(topic) {
            return gone();
        }
        let waits =
            || self.park_reads.load(Ordering::Relaxed) || !self.down.load(Ordering::Relaxed);
        while self.end(topic) <= from && waits() {
            let changed = self.changed.notified();
            if self.end(topic) > from || tokio::time::timeout_at(until, changed).await.is_err() {
                break;
            }
        }
        let topics = self.topics.lock();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        if from > records.len() {
            return gone();
        }
        let mut body = BytesMut::new();
        body.put_u64(records.len() as u64);
        body.put_u64(0);
        for (key, value) in records.iter().skip(from) {
            body.put_u32((1 + key.len() + value.len()) as u32);
            body.put_u8(key.len() as u8);
            body.put_slice(key.as_bytes());
            body.put_slice(value);
        }
        Reply::new(Full::new(body.freeze()))
    }

    async fn append(&self, topic: &str, request: &FullRequest) -> Reply {
        let mut raw = request.body().clone();
        let mut appended = Vec::new();
        while !raw.is_empty() {
            let size = raw.get_u32() as usize;
            let mut record = raw.split_to(size);
            let key_size = record.get_u8() as usize;
            let key = String::from_utf8(record.split_to(key_size).to_vec()).expect("UTF-8 key");
            appended.push((key, record));
        }
        let (offset, end) = {
            let mut topics = self.topics.lock();
            let at = query_param(request, "at").and_then(|v| v.parse::<usize>().ok());
            if at.is_some_and(|at| at != topics.get(topic).map_or(0, Vec::len)) {
                return reply(412);
            }
            let mut due = self.copy_before.lock();
            if due.is_some_and(|part| appended.iter().any(|(key, _)| key.contains(part))) {
                *self.copied.lock() = topics.clone();
                *due = None;
            }
            drop(due);
            let records = topics.entry(topic.to_owned()).or_default();
            let offset = records.len();
            records.extend(appended);
            (offset, records.len())
        };
        self.changed.notify_waiters();
        if self.drop_replies.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let body = serde_json::json!({"offset": offset, "end-offset": end}).to_string();
        Reply::new(Full::new(Bytes::from(body)))
    }
}

/// The answer to a read from an offset that the store does not have.
fn gone() -> Reply {
    let mut reply = reply(410);
    *reply.body_mut() = Full::new(Bytes::from(r#"{"first-offset":0}"#));
    reply
}
