//! Processor time and memory of processes, and numbers from their metrics.

use std::net::SocketAddr;

use kelpwind_test_support::http::get;

/// Ticks of the processor clock in a second, as `/proc` counts them.
const TICKS: f64 = 100.0;
/// Size of a page, in bytes.
const PAGE: u64 = 4096;

/// Processor time of a process, in seconds.
pub(crate) fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    let (user, system) = (fields.get(11), fields.get(12));
    (user.unwrap_or(&0.0) + system.unwrap_or(&0.0)) / TICKS
}

/// Resident memory of a process, in bytes.
pub(crate) fn memory(id: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0);
    pages * PAGE
}

/// The sum of a metric over its labels that contain `label`.
pub(crate) async fn metric(admin: SocketAddr, name: &str, label: &str) -> f64 {
    let Ok(answer) = get(admin, "/metrics").await else { return 0.0 };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter(|l| l.starts_with(name) && l.contains(label));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// The quantile of values.
pub(crate) fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted.get((part * last as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// A number with few digits.
pub(crate) fn short(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
