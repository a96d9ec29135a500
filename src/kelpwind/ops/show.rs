//! `kelpwind config show`, `config history` and `config diff`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, print, read_file};
use crate::core::codes::Code;
use crate::core::config::Config;
use crate::core::config::change::Change;
use crate::core::state::Published;
use crate::node::admin::CurrentConfig;
use crate::util::error::{Error, Result};

/// The configuration in force.
pub async fn show(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let shown: CurrentConfig = call(nodes, "config", rpc_params![]).await?;
    Ok(print(format, &shown, |s| format!("# revision {}\n{}", s.revision, s.text)))
}

/// The latest revisions, oldest first.
pub async fn history(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let history: VecDeque<Published> = call(nodes, "history", rpc_params![]).await?;
    Ok(print(format, &history, |h| h.iter().map(revision).collect()))
}

fn revision(published: &Published) -> String {
    let mut text = format!("revision {} by {}\n", published.revision, published.author);
    for line in &published.lines {
        text.push_str(&format!("  {line}\n"));
    }
    text
}

/// What differs between two files.
pub fn diff(old: &Path, new: &Path) -> Result<String> {
    let (old, new) = (read(old)?, read(new)?);
    let change = Change::between(&old, &new);
    let mut said: String = change.describe(&old).iter().map(|l| format!("{l}\n")).collect();
    for fault in change.dangers(&old, &new) {
        said.push_str(&format!("danger: {fault}\n"));
    }
    if change.is_empty() {
        said.push_str("no difference\n");
    }
    Ok(said)
}

fn read(path: &Path) -> Result<Config> {
    Config::try_from(read_file(path)?.as_str()).map_err(|faults| {
        let code = faults.0.first().map_or(Code::BadValue, |f| f.code);
        Error::new(code, format!("failed to read {}", path.display())).caused_by(faults)
    })
}
