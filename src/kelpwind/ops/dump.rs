//! `kelpwind dump`: the state of one process, or of all.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, print};
use crate::node::view::{Dump, Status};
use crate::util::error::Result;

/// The dump of the node called.
pub async fn dump(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let dump: Dump = call(nodes, "dump", rpc_params![]).await?;
    Ok(print(format, &dump, text))
}

/// The dumps of all members; one that does not answer is named.
pub async fn dump_all(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let status: Status = call(nodes, "status", rpc_params![]).await?;
    let mut said = String::new();
    for member in status.members {
        match dump(&[member.admin], format).await {
            Ok(one) => said.push_str(&one),
            Err(e) => said.push_str(&format!("{}: {e}\n", member.holder)),
        }
        said.push('\n');
    }
    Ok(said)
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
                lines.push("  lease: a change of its witnesses has no known fate yet".to_owned());
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
