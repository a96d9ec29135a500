//! `kelpwind explain-request`: the timeline of one request, from the logs of the nodes.
//!
//! The timeline merges the lines that name the request from all files, in order of time. It also
//! includes lines from the same period that name no request and were written by, or are about, the
//! nodes that handled the request. These show the state on which the nodes based their decisions.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::core::codes::Code;
use crate::util::error::{Error, Result};

/// Time before the first and after the last line of the request from which other lines are shown,
/// in milliseconds. A lost owner is replaced, and a lost contact regained, within this time.
const CONTEXT_MS: u64 = 2000;
/// Key of the field that holds a request's identifier.
const REQUEST_KEY: &str = "request";
/// Key of the field that lists the nodes a request was sent to.
const TRIED_KEY: &str = "tried";

/// One line of a node's JSON log.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    /// Milliseconds since the Unix epoch.
    timestamp: u64,
    level: String,
    /// The message.
    payload: String,
    /// The structured fields, which hold the inputs of the decision that the line reports.
    #[serde(default, rename = "kv")]
    fields: Map<String, Value>,
    /// The node that wrote the line.
    #[serde(skip)]
    node: String,
}

impl Line {
    /// Parses a line, or returns `None` if it is not a log line. The node is the word before the
    /// JSON object, for logs that were collected into one file, or else the name of the file.
    fn parse(raw: &str, file: &str) -> Option<Line> {
        let start = raw.find('{')?;
        let mut line: Line = serde_json::from_str(&raw[start..]).ok()?;
        let prefix = raw[..start].split_whitespace().next_back();
        line.node = prefix.unwrap_or(file).to_owned();
        Some(line)
    }

    fn has_request(&self, request: &str) -> bool {
        self.fields.get(REQUEST_KEY).and_then(Value::as_str) == Some(request)
    }

    /// Whether one of these nodes wrote the line or is named in its fields.
    fn mentions(&self, nodes: &BTreeSet<String>) -> bool {
        let names_node =
            |value: &Value| value.as_str().is_some_and(|v| nodes.iter().any(|n| v.contains(n)));
        nodes.iter().any(|n| self.node.contains(n)) || self.fields.values().any(names_node)
    }
}

/// Returns the timeline of `request` from the log files.
///
/// # Errors
/// [`Code::Unreadable`] if a file cannot be read; [`Code::UnknownName`] if no line names the
/// request.
pub fn explain_request(request: &str, files: &[PathBuf]) -> Result<String> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file)?);
    }
    lines.sort_by_key(|l| l.timestamp);
    let matching: Vec<&Line> = lines.iter().filter(|l| l.has_request(request)).collect();
    let (Some(first), Some(last)) = (matching.first(), matching.last()) else {
        let context = format!("no line of {} files names the request '{request}'", files.len());
        return Err(Error::new(Code::UnknownName, context));
    };
    let period = first.timestamp.saturating_sub(CONTEXT_MS)..=last.timestamp + CONTEXT_MS;
    let nodes = nodes_of(&matching);
    let shown = |l: &&Line| {
        let is_context = period.contains(&l.timestamp) && !l.fields.contains_key(REQUEST_KEY);
        l.has_request(request) || (is_context && l.mentions(&nodes))
    };
    Ok(format_timeline(request, first.timestamp, lines.iter().filter(shown)))
}

fn read_lines(file: &Path) -> Result<Vec<Line>> {
    let text = super::read_file(file)?;
    let stem = file.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(text.lines().filter_map(|raw| Line::parse(raw, &stem)).collect())
}

/// Returns the nodes that logged the request and those that it was sent to.
fn nodes_of(lines: &[&Line]) -> BTreeSet<String> {
    let mut nodes: BTreeSet<String> = lines.iter().map(|l| l.node.clone()).collect();
    for line in lines {
        let tried = line.fields.get(TRIED_KEY).and_then(Value::as_str).unwrap_or_default();
        let names = tried.split(|c: char| "[], ".contains(c)).filter(|n| !n.is_empty());
        nodes.extend(names.map(str::to_owned));
    }
    nodes
}

/// Formats one line per event: the time relative to the request's first line, the node, the level,
/// the message and the fields. Lines of the request itself are marked with `*`.
fn format_timeline<'a>(
    request: &str,
    origin: u64,
    lines: impl Iterator<Item = &'a Line>,
) -> String {
    let mut text = format!("request {request}\n");
    for line in lines {
        let time = (line.timestamp as i64 - origin as i64) as f64 / 1000.0;
        let mark = if line.has_request(request) { '*' } else { ' ' };
        let mut fields = String::new();
        for (name, value) in line.fields.iter().filter(|(name, _)| *name != REQUEST_KEY) {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string cannot fail.
            let _ = write!(fields, "  {name}={value}");
        }
        let Line { node, level, payload, .. } = line;
        let _ = writeln!(text, "{mark} {time:+8.3}s  {node}  {level}  {payload}{fields}");
    }
    text
}
