//! `kelpwind config show`, `config history` and `config diff`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;

use jsonrpsee::rpc_params;

use super::client::call;
use super::{Format, format_output, read_file};
use crate::core::codes::Code;
use crate::core::config::Config;
use crate::core::config::change::Change;
use crate::core::state::Published;
use crate::node::admin::CurrentConfig;
use crate::util::error::{Error, Result};

/// Returns the configuration in force at the node that answers.
pub async fn show(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let current: CurrentConfig = call(nodes, "config", rpc_params![]).await?;
    Ok(format_output(format, &current, |c| format!("# revision {}\n{}", c.revision, c.text)))
}

/// Returns the latest revisions with their changes, oldest first.
pub async fn history(nodes: &[SocketAddr], format: Format) -> Result<String> {
    let history: VecDeque<Published> = call(nodes, "history", rpc_params![]).await?;
    Ok(format_output(format, &history, |h| h.iter().map(format_revision).collect()))
}

fn format_revision(published: &Published) -> String {
    let mut text = format!("revision {} by {}\n", published.revision, published.author);
    for line in &published.lines {
        text.push_str(&format!("  {line}\n"));
    }
    text
}

/// Returns the differences between two configuration files, and which of them are dangerous
/// changes.
///
/// # Errors
/// [`Code::Unreadable`] if a file cannot be read, or the code of the first error in a file.
pub fn diff(old: &Path, new: &Path) -> Result<String> {
    let (old, new) = (read_config(old)?, read_config(new)?);
    let change = Change::between(&old, &new);
    let mut output: String = change.describe(&old).iter().map(|l| format!("{l}\n")).collect();
    for danger in change.dangers(&old, &new) {
        output.push_str(&format!("danger: {danger}\n"));
    }
    if change.is_empty() {
        output.push_str("no difference\n");
    }
    Ok(output)
}

fn read_config(path: &Path) -> Result<Config> {
    Config::try_from(read_file(path)?.as_str()).map_err(|errors| {
        let code = errors.0.first().map_or(Code::BadValue, |e| e.code);
        Error::new(code, format!("failed to read {}", path.display())).caused_by(errors)
    })
}
