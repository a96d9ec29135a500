//! `kelpwind status`: a summary of the failure domains, services and members.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, format_output};
use crate::node::view::Status;
use crate::util::error::Result;
use crate::util::text_table;

/// Returns the status of the deployment, as known to the node that answers.
pub async fn status(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let status: Status = call(nodes, "status", rpc_params![]).await?;
    Ok(format_output(format, &status, text))
}

fn text(status: &Status) -> String {
    let drained = status.domains.iter().filter(|(_, active)| !**active).map(|(n, _)| n.to_string());
    let drained: Vec<String> = drained.collect();
    let drained = if drained.is_empty() { "none".to_owned() } else { drained.join(", ") };
    format!(
        "revision {}, log {}, offset {}, failure domains out: {drained} (as {} has it)\n\n{}\n{}",
        status.revision,
        status.log_health,
        status.offset,
        status.reported_by.node,
        text_table::render(&services(status)),
        text_table::render(&members(status)),
    )
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|c| (*c).to_owned()).collect()
}

fn services(status: &Status) -> Vec<Vec<String>> {
    let mut rows = vec![row(&["SERVICE", "TARGETS", "SLICES", "WITHOUT OWNER"])];
    for (name, s) in &status.services {
        let cells = [
            name.to_string(),
            s.targets.to_string(),
            s.slices.to_string(),
            s.unassigned.to_string(),
        ];
        rows.push(cells.to_vec());
    }
    rows
}

fn members(status: &Status) -> Vec<Vec<String>> {
    let mut rows =
        vec![row(&["NODE", "DOMAIN", "SERVICE", "SLOTS", "SLICES", "WORK", "OPERATORS"])];
    for m in &status.members {
        let service = m.service.as_ref().map_or("-".to_owned(), ToString::to_string);
        let work = if m.takes_work { "takes" } else { "refuses" };
        rows.push(vec![
            m.holder.node.to_string(),
            m.domain.to_string(),
            service,
            m.slots.to_string(),
            m.slices.to_string(),
            work.to_owned(),
            m.admin.to_string(),
        ]);
    }
    rows
}
