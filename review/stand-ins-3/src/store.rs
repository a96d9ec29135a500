//! The platform's store: a log whose topics keep the newest record of each key.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply};

#[derive(Default)]
struct Topics {
    records: BTreeMap<String, Vec<Vec<u8>>>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Arc<Store> {
        let store = Arc::new(Store::default());
        let served = store.clone();
        http::serve(addr, move |request, out| out.write_all(&served.handle(request).encode()));
        store
    }

    /// Writes an operator's record.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.topics.lock().unwrap().records.entry(topic.to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn handle(&self, request: &http::Message) -> Reply {
        let topic = request.query("topic").unwrap_or("").to_owned();
        match request.path() {
            "/-/log-newest" => self.newest(&topic),
            "/-/log-read" => self.read(&topic, request),
            "/-/log-append" => self.append(&topic, request),
            _ => Reply::new(404),
        }
    }

    fn newest(&self, topic: &str) -> Reply {
        let topics = self.topics.lock().unwrap();
        let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let size = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..=size]).into_owned();
            match &record[1 + size..] {
                [] => drop(newest.remove(&key)),
                value => drop(newest.insert(key, (offset, value))),
            }
        }
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let body = format!(
            r#"{{"items":[{}],"has-more":false,"end-offset":{}}}"#,
            items.join(","),
            records.len()
        );
        Reply { status: 200, headers: Vec::new(), body: body.into_bytes() }
    }

    fn read(&self, topic: &str, request: &http::Message) -> Reply {
        let number = |name: &str| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.records.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in records.iter().skip(from) {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        Reply { status: 200, headers: Vec::new(), body }
    }

    fn append(&self, topic: &str, request: &http::Message) -> Reply {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        let at = request.query("at").and_then(|v| v.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            let body = format!(r#"{{"end-offset":{}}}"#, records.len()).into_bytes();
            return Reply { status: 412, headers: Vec::new(), body };
        }
        let offset = records.len();
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + size].to_vec());
            rest = &rest[4 + size..];
        }
        let body = format!(r#"{{"offset":{offset},"end-offset":{}}}"#, records.len());
        drop(topics);
        self.changed.notify_all();
        Reply { status: 200, headers: Vec::new(), body: body.into_bytes() }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let b = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= part.len() { digit } else { '=' });
        }
    }
    text
}
