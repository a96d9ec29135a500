//! Checks of the execution histories of backend servers against the router's guarantees.

use std::collections::BTreeMap;

use kelpwind_wire::Execution;

use crate::workload::RequestRecord;

/// Index of a backend server and an execution on it.
pub type ServerExecution = (usize, Execution);

/// Requests that ran more than once, with the indices of the servers that ran them.
pub fn duplicate_executions(all: &[ServerExecution]) -> Vec<(String, Vec<usize>)> {
    let mut by_request: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (server, execution) in all {
        by_request.entry(&execution.request).or_default().push(*server);
    }
    let duplicates = by_request.into_iter().filter(|(_, servers)| servers.len() > 1);
    duplicates.map(|(request, servers)| (request.to_owned(), servers)).collect()
}

/// Pairs of executions for one key on different servers that overlap in time by more than
/// `slack_us` microseconds. Ownership of a key is exclusive, so there must be none.
pub fn overlaps(all: &[ServerExecution], slack_us: u64) -> Vec<(ServerExecution, ServerExecution)> {
    let mut by_key: BTreeMap<&str, Vec<&ServerExecution>> = BTreeMap::new();
    for one in all.iter().filter(|(_, e)| !e.key.is_empty()) {
        by_key.entry(&one.1.key).or_default().push(one);
    }
    let mut found = Vec::new();
    for mut runs in by_key.into_values() {
        runs.sort_by_key(|(_, e)| e.began);
        for (i, first) in runs.iter().enumerate() {
            let end = if first.1.ended == 0 { u64::MAX } else { first.1.ended };
            let later = runs[i + 1..].iter().take_while(|(_, e)| e.began + slack_us < end);
            let other = later.filter(|second| second.0 != first.0);
            found.extend(other.map(|second| ((*first).clone(), (*second).clone())));
        }
    }
    found
}

/// Consecutive executions for one key of which the later has the lower fencing token: the request
/// of an earlier owner ran after one of its successor.
pub fn token_regressions(all: &[ServerExecution]) -> Vec<(ServerExecution, ServerExecution)> {
    let mut by_key: BTreeMap<&str, Vec<&ServerExecution>> = BTreeMap::new();
    for one in all.iter().filter(|(_, e)| !e.key.is_empty()) {
        by_key.entry(&one.1.key).or_default().push(one);
    }
    let mut found = Vec::new();
    for mut runs in by_key.into_values() {
        runs.sort_by_key(|(_, e)| e.began);
        let regressions = runs.windows(2).filter(|w| w[1].1.token < w[0].1.token);
        found.extend(regressions.map(|w| (w[0].clone(), w[1].clone())));
    }
    found
}

/// Descriptions of the responses that contradict the executions: `not-run` for a request that ran,
/// `done` for one that did not complete, a write that ran more than once, and a response that
/// belongs to another request.
pub fn contradictions(requests: &[RequestRecord], all: &[ServerExecution]) -> Vec<String> {
    let mut by_request: BTreeMap<&str, Vec<&ServerExecution>> = BTreeMap::new();
    for one in all {
        by_request.entry(&one.1.request).or_default().push(one);
    }
    let mut found = Vec::new();
    for one in requests {
        let runs = by_request.get(one.id.as_str()).map_or(&[][..], Vec::as_slice);
        let completed = runs.iter().filter(|(_, e)| e.completed).count();
        if one.outcome == "not-run" && !runs.is_empty() {
            found.push(format!(
                "request {} has outcome not-run [{}] but ran: {runs:?}",
                one.id, one.code
            ));
        }
        if one.outcome == "done" && completed == 0 {
            found.push(format!(
                "request {} has outcome done but did not complete: {runs:?}",
                one.id
            ));
        }
        if one.write && runs.len() > 1 {
            found.push(format!(
                "write {} must run at most once but ran {} times: {runs:?}",
                one.id,
                runs.len()
            ));
        }
        if !one.body_matches {
            found.push(format!("request {} got the response to another request", one.id));
        }
    }
    found
}
