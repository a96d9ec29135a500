//! The platform's store: a log whose topics keep the newest record of each key. All calls are answered
//! after 4 ms, as on the pages.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message, answer};

type Record = (Vec<u8>, Vec<u8>);

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Record>>>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr, ended: Arc<AtomicBool>) -> io::Result<Arc<Store>> {
        let store = Arc::new(Store::default());
        let served = store.clone();
        http::serve(addr, ended, move |request| {
            std::thread::sleep(Duration::from_millis(4));
            Some(served.handle(&request))
        })?;
        Ok(store)
    }

    /// Writes a record of the operator.
    pub fn publish(&self, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        topics.entry("keyed.op".to_owned()).or_default().push(record);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Message) -> Message {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let path = request.target().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/-/log-newest") => self.newest(&topic),
            ("GET", "/-/log-read") => self.read(&topic, request),
            ("POST", "/-/log-append") => self.append(&topic, request),
            _ => answer(404, &[], ""),
        }
    }

    fn newest(&self, topic: &str) -> Message {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let page = format!(r#"{{"items":[{items}],"has-more":false,"end-offset":{end}}}"#);
        answer(200, &[("content-type", "application/json")], page)
    }

    fn read(&self, topic: &str, request: &Message) -> Message {
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (from, wait) = (number("from") as usize, Duration::from_millis(number("wait-ms")));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        let end = |topics: &BTreeMap<String, Vec<Record>>| topics.get(topic).map_or(0, Vec::len);
        if from > end(&topics) {
            return answer(410, &[], r#"{"first-offset":0}"#);
        }
        while end(&topics) <= from {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key);
            body.extend_from_slice(value);
        }
        answer(200, &[], body)
    }

    fn append(&self, topic: &str, request: &Message) -> Message {
        let mut raw = &request.body[..];
        let mut appended = Vec::new();
        while raw.len() > 4 {
            let size = u32::from_be_bytes([raw[0], raw[1], raw[2], raw[3]]) as usize;
            let record = &raw[4..4 + size];
            let key = record[0] as usize;
            appended.push((record[1..1 + key].to_vec(), record[1 + key..].to_vec()));
            raw = &raw[4 + size..];
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let at = request.query("at").and_then(|v| v.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            return answer(412, &[], format!(r#"{{"end-offset":{}}}"#, records.len()));
        }
        let offset = records.len();
        records.extend(appended);
        let end = records.len();
        self.changed.notify_all();
        answer(200, &[], format!(r#"{{"offset":{offset},"end-offset":{end}}}"#))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char;
            text.push(if i <= part.len() { digit } else { '=' });
        }
    }
    text
}
