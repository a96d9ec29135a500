//! Stand-in for the platform's metadata store: topics whose newest record of each key is kept.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message, answer};

type Records = Vec<(String, Vec<u8>)>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Records>>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(addr)?;
        let store = Arc::new(Store::default());
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.read(None) {
                        let reply = store.handle(&request);
                        if conn.write(&reply).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a record as the operator.
    pub fn publish(&self, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry("keyed.op".into()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    /// The newest records of the nodes' table whose keys contain a text.
    pub fn newest(&self, part: &str) -> Vec<(String, String)> {
        let topics = self.topics.lock().unwrap();
        let mut newest = BTreeMap::new();
        for (key, value) in topics.get("keyed.kelpwind").into_iter().flatten() {
            newest.insert(key.clone(), String::from_utf8_lossy(value).into_owned());
        }
        newest.into_iter().filter(|(k, v)| k.contains(part) && !v.is_empty()).collect()
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let (status, body) = match request.path() {
            "/-/log-append" => self.append(&topic, request),
            "/-/log-read" => self.read(&topic, request),
            "/-/log-newest" => self.newest_page(&topic),
            _ => (404, Vec::new()),
        };
        answer(status, &[("Store-Era", "1")], &body)
    }

    fn append(&self, topic: &str, request: &Message) -> (u16, Vec<u8>) {
        let mut appended = Vec::new();
        let mut raw = &request.body[..];
        while raw.len() >= 4 {
            let size = u32::from_be_bytes([raw[0], raw[1], raw[2], raw[3]]) as usize;
            let record = &raw[4..4 + size];
            let key_size = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..1 + key_size]).into_owned();
            appended.push((key, record[1 + key_size..].to_vec()));
            raw = &raw[4 + size..];
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let at = request.query("at").and_then(|v| v.parse::<usize>().ok());
        if at.is_some_and(|at| at != records.len()) {
            return (412, format!("{{\"end-offset\":{}}}", records.len()).into_bytes());
        }
        let offset = records.len();
        records.extend(appended);
        let end = records.len();
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"end-offset\":{end}}}").into_bytes())
    }

    fn read(&self, topic: &str, request: &Message) -> (u16, Vec<u8>) {
        let number = |name| request.query(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").min(30_000));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        if from > records.len() {
            return (410, b"{\"first-offset\":0}".to_vec());
        }
        let mut body = Vec::new();
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in &records[from..] {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (200, body)
    }

    fn newest_page(&self, topic: &str) -> (u16, Vec<u8>) {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = items
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let page = format!(
            "{{\"items\":[{}],\"has-more\":false,\"end-offset\":{}}}",
            items.join(","),
            records.len()
        );
        (200, page.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let b = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let n = u32::from(b[0]) << 16 | u32::from(b[1]) << 8 | u32::from(b[2]);
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= part.len() { digit } else { '=' });
        }
    }
    out
}
