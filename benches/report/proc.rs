//! Processor time and memory of processes from `/proc`, values from their metrics, and formatting.

use std::net::SocketAddr;

use kelpwind_test_support::http::get;

/// Unit of the processor times in `/proc` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: u64 = 4096;

/// User and system time of a process, in seconds; 0 if the process is gone.
pub(crate) fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The command name in parentheses may contain spaces.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> =
        after_name.split_whitespace().map(|f| f.parse().unwrap_or(0.0)).collect();
    let (user, system) = (fields.get(11), fields.get(12));
    (user.unwrap_or(&0.0) + system.unwrap_or(&0.0)) / TICKS_PER_S
}

/// Resident memory of a process, in bytes; 0 if the process is gone.
pub(crate) fn resident_bytes(id: u32) -> u64 {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|f| f.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}

/// Sum of a metric over the samples whose line contains `label`; 0 if the node does not respond.
pub(crate) async fn metric_sum(admin: SocketAddr, name: &str, label: &str) -> f64 {
    let Ok(answer) = get(admin, "/metrics").await else { return 0.0 };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter(|l| l.starts_with(name) && l.contains(label));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// The nearest-rank quantile `q` of the values; NaN if there are none.
pub(crate) fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted.get((q * last as f64).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Formats a number with more decimals the smaller it is.
pub(crate) fn format_short(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        v if v >= 0.1 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
