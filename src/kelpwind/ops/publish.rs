//! `kelpwind config publish`: publishes a configuration and optionally waits until every member
//! uses it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use jsonrpsee::rpc_params;

use super::client::call;
use super::read_file;
use crate::core::codes::Code;
use crate::core::ids::Revision;
use crate::node::admin::{CurrentConfig, PublishRequest, PublishResult};
use crate::node::view::Status;
use crate::util::error::{Error, Result};

/// Time between two checks of the members' revisions.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How to publish a configuration.
#[derive(Clone, Debug)]
pub struct Options {
    /// Operators' addresses of the nodes to call, tried in this order.
    pub nodes: Vec<SocketAddr>,
    /// Revision that the new configuration is based on.
    pub base: Revision,
    /// Name recorded as the author of the revision.
    pub author: String,
    /// Whether dangerous changes are accepted.
    pub allow_dangerous: bool,
    /// Whether to report the changes without publishing them.
    pub dry_run: bool,
    /// How long to wait until the change is in force at every member; `None` does not wait.
    pub wait: Option<Duration>,
}

/// Publishes a file and returns the text to print.
///
/// # Errors
/// [`Code::Unreadable`] if the file cannot be read; the errors of [`publish_text`].
pub async fn publish(path: &Path, options: &Options) -> Result<String> {
    publish_text(read_file(path)?, options).await
}

/// Publishes a configuration and returns the text to print.
///
/// # Errors
/// Those of [`call`] and of [`crate::node::Node::publish`]; [`Code::Propagating`] if the revision
/// was accepted but is not in force at every member when the time to wait ends.
pub async fn publish_text(text: String, options: &Options) -> Result<String> {
    let request = PublishRequest {
        base: options.base,
        text,
        author: options.author.clone(),
        allow_dangerous: options.allow_dangerous,
        dry_run: options.dry_run,
    };
    let accepted: PublishResult = call(&options.nodes, "publish", rpc_params![request]).await?;
    let mut output = String::new();
    for line in &accepted.lines {
        output.push_str(&format!("{line}\n"));
    }
    if options.dry_run {
        output.push_str(&format!("nothing published; the revision is {}\n", accepted.revision));
        return Ok(output);
    }
    if let Some(wait) = options.wait {
        wait_until_in_force(&options.nodes, accepted.revision, wait).await?;
        output.push_str("in force at every member\n");
    }
    output.push_str(&format!("revision {}\n", accepted.revision));
    Ok(output)
}

async fn wait_until_in_force(
    nodes: &[SocketAddr],
    revision: Revision,
    wait: Duration,
) -> Result<()> {
    let deadline = Instant::now() + wait;
    loop {
        let lagging = lagging_members(nodes, revision).await?;
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let context = format!(
                "accepted as revision {revision}, but not in force everywhere after {wait:?}"
            );
            let cause = format!("lagging: {}", lagging.join(", "));
            return Err(Error::new(Code::Propagating, context).caused_by(cause));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the members that do not answer or have an older revision.
async fn lagging_members(nodes: &[SocketAddr], revision: Revision) -> Result<Vec<String>> {
    let status: Status = call(nodes, "status", rpc_params![]).await?;
    let mut lagging = Vec::new();
    for member in status.members {
        let current: Result<CurrentConfig> = call(&[member.admin], "config", rpc_params![]).await;
        if !current.is_ok_and(|c| c.revision >= revision) {
            lagging.push(member.holder.node.to_string());
        }
    }
    Ok(lagging)
}
