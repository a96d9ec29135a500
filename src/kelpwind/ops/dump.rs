//! `kelpwind dump`: the internal state of one node, or of all members.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, format_output};
use crate::node::view::{Dump, Status};
use crate::util::error::Result;

/// Returns the dump of the node called.
pub async fn dump(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let dump: Dump = call(nodes, "dump", rpc_params![]).await?;
    Ok(format_output(format, &dump, text))
}

/// Returns the dumps of all members, with the error in place of the dump for one that does not
/// answer.
pub async fn dump_all(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let status: Status = call(nodes, "status", rpc_params![]).await?;
    let mut output = String::new();
    for member in status.members {
        match dump(&[member.admin], format).await {
            Ok(dump) => output.push_str(&dump),
            Err(e) => output.push_str(&format!("{}: {e}\n", member.holder)),
        }
        output.push('\n');
    }
    Ok(output)
}

fn text(dump: &Dump) -> String {
    let mut lines = vec![
        format!("node {} in {} is {}", dump.holder, dump.domain, dump.lifecycle),
        format!(
            "  callers {}, peers {} (known as {}), operators {}",
            dump.addrs.listen, dump.addrs.peer, dump.addrs.advertise, dump.addrs.admin
        ),
        format!(
            "  log {}, offset {}, digest {}, revision {}, {} members",
            dump.log_health, dump.offset, dump.digest, dump.revision, dump.members
        ),
    ];
    match &dump.lease {
        None => lines.push("  no lease".to_owned()),
        Some(lease) => {
            let names: Vec<&str> = lease.witnesses.iter().map(|p| p.holder.node.as_str()).collect();
            let names = names.join(", ");
            lines.push(format!("  lease: {} ms left, witnessed by {names}", lease.remaining_ms));
            if lease.pending_set.is_some() {
                lines.push("  lease: a change of its witness set is not yet confirmed".to_owned());
            }
        }
    }
    if let Some(backend) = &dump.backend {
        lines.push(format!(
            "  backend server of {} at {}: {} of {} running, {} waiting",
            backend.service, backend.addr, backend.running, backend.limit, backend.waiting
        ));
    }
    for (range, slices) in &dump.slices {
        lines.push(format!("  owns {} slices of {range}", slices.len()));
    }
    for (holder, silence) in &dump.witnessed {
        lines.push(format!("  witnesses {holder}, heard {silence} ms ago"));
    }
    for holder in &dump.takeovers {
        lines.push(format!("  takes over from {holder}"));
    }
    lines.join("\n") + "\n"
}
