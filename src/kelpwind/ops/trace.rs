//! `kelpwind explain-request`: what became of one request, from the logs of the nodes.
//!
//! The lines that name the request are put in order of time over all files. Between them go lines that
//! name no request, from around that time: those of the nodes that had it, and those about these nodes.
//! They say what the nodes believed and why.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::core::codes::Code;
use crate::util::error::{Error, Result};

/// Milliseconds before the first and after the last line of the request that are shown: a lost owner is
/// replaced, and a lost contact regained, within this time.
const AROUND_MS: u64 = 2000;
/// Field that names a request.
const REQUEST: &str = "request";
/// Field that lists the gates a request was sent to.
const TRIED: &str = "tried";

/// One line of a log, as a node writes it.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    /// Milliseconds since the epoch.
    timestamp: u64,
    level: String,
    /// What happened.
    payload: String,
    /// The inputs that decided it.
    #[serde(default, rename = "kv")]
    fields: Map<String, Value>,
    /// The node that wrote it.
    #[serde(skip)]
    node: String,
}

impl Line {
    /// Reads a line; `None` for one that is no log line. What stands before the object names the node,
    /// where logs were collected into one file; the name of the file does so otherwise.
    fn read(raw: &str, file: &str) -> Option<Line> {
        let start = raw.find('{')?;
        let mut line: Line = serde_json::from_str(&raw[start..]).ok()?;
        let before = raw[..start].split_whitespace().next_back();
        line.node = before.unwrap_or(file).to_owned();
        Some(line)
    }

    fn names(&self, request: &str) -> bool {
        self.fields.get(REQUEST).and_then(Value::as_str) == Some(request)
    }

    /// Whether it is about one of these nodes.
    fn concerns(&self, nodes: &BTreeSet<String>) -> bool {
        let about =
            |value: &Value| value.as_str().is_some_and(|v| nodes.iter().any(|n| v.contains(n)));
        nodes.iter().any(|n| self.node.contains(n)) || self.fields.values().any(about)
    }
}

/// The timeline of `request` over the logs in `files`.
///
/// # Errors
/// [`Code::Unreadable`] for a file that cannot be read, [`Code::UnknownName`] when no line names the
/// request.
pub fn explain_request(request: &str, files: &[PathBuf]) -> Result<String> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file)?);
    }
    lines.sort_by_key(|l| l.timestamp);
    let own: Vec<&Line> = lines.iter().filter(|l| l.names(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let context = format!("no line of {} files names the request '{request}'", files.len());
        return Err(Error::new(Code::UnknownName, context));
    };
    let span = first.timestamp.saturating_sub(AROUND_MS)..=last.timestamp + AROUND_MS;
    let nodes = nodes_of(&own);
    let shown = |l: &&Line| {
        let around = span.contains(&l.timestamp) && !l.fields.contains_key(REQUEST);
        l.names(request) || (around && l.concerns(&nodes))
    };
    Ok(print(request, first.timestamp, lines.iter().filter(shown)))
}

fn read_lines(file: &Path) -> Result<Vec<Line>> {
    let text = super::read_file(file)?;
    let stem = file.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(text.lines().filter_map(|raw| Line::read(raw, &stem)).collect())
}

/// The nodes that wrote of the request, and those that it was sent to.
fn nodes_of(own: &[&Line]) -> BTreeSet<String> {
    let mut nodes: BTreeSet<String> = own.iter().map(|l| l.node.clone()).collect();
    for line in own {
        let tried = line.fields.get(TRIED).and_then(Value::as_str).unwrap_or_default();
        let names = tried.split(|c: char| "[], ".contains(c)).filter(|n| !n.is_empty());
        nodes.extend(names.map(str::to_owned));
    }
    nodes
}

/// One line an event: time before or after the request's first line, node, what happened, and the inputs.
fn print<'a>(request: &str, zero: u64, lines: impl Iterator<Item = &'a Line>) -> String {
    let mut text = format!("request {request}\n");
    for line in lines {
        let time = (line.timestamp as i64 - zero as i64) as f64 / 1000.0;
        let mark = if line.names(request) { '*' } else { ' ' };
        let mut fields = String::new();
        for (name, value) in line.fields.iter().filter(|(name, _)| *name != REQUEST) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            // Writing into a text cannot fail.
            let _ = write!(fields, "  {name}={value}");
        }
        let Line { node, level, payload, .. } = line;
        let _ = writeln!(text, "{mark} {time:+8.3}s  {node}  {level}  {payload}{fields}");
    }
    text
}
