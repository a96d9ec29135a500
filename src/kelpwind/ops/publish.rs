//! `kelpwind config publish`: publishes a configuration, and waits until it is in force if asked.

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

/// Time between two looks at which revision nodes have.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What to publish and how.
#[derive(Clone, Debug)]
pub struct Options {
    /// Operators' addresses to call, in order.
    pub nodes: Vec<SocketAddr>,
    /// Revision the file was made from.
    pub base: Revision,
    /// Who publishes.
    pub author: String,
    /// Whether dangerous changes may pass.
    pub dangerous: bool,
    /// Whether to say only what would change.
    pub dry: bool,
    /// How long to wait until the change is in force at every member.
    pub wait: Option<Duration>,
}

/// Publishes a file; the text to print.
pub async fn publish(path: &Path, options: &Options) -> Result<String> {
    publish_text(read_file(path)?, options).await
}

/// Publishes a configuration; the text to print.
///
/// # Errors
/// As [`crate::node::Node::publish`] says; [`Code::Propagating`] when it was accepted but is not in
/// force everywhere after the time to wait.
pub async fn publish_text(text: String, options: &Options) -> Result<String> {
    let asked = PublishRequest {
        base: options.base,
        text,
        author: options.author.clone(),
        allow_dangerous: options.dangerous,
        dry_run: options.dry,
    };
    let accepted: PublishResult = call(&options.nodes, "publish", rpc_params![asked]).await?;
    let mut said = String::new();
    for line in &accepted.lines {
        said.push_str(&format!("{line}\n"));
    }
    if options.dry {
        said.push_str(&format!("nothing published; the revision is {}\n", accepted.revision));
        return Ok(said);
    }
    if let Some(wait) = options.wait {
        wait_for(&options.nodes, accepted.revision, wait).await?;
        said.push_str("in force at every member\n");
    }
    said.push_str(&format!("revision {}\n", accepted.revision));
    Ok(said)
}

async fn wait_for(nodes: &[SocketAddr], revision: Revision, wait: Duration) -> Result<()> {
    let until = Instant::now() + wait;
    loop {
        let lagging = lagging(nodes, revision).await?;
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            let context = format!("accepted as revision {revision}, but not in force everywhere");
            let cause = format!("lagging: {}", lagging.join(", "));
            return Err(Error::new(Code::Propagating, context).caused_by(cause));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

async fn lagging(nodes: &[SocketAddr], revision: Revision) -> Result<Vec<String>> {
    let status: Status = call(nodes, "status", rpc_params![]).await?;
    let mut lagging = Vec::new();
    for member in status.members {
        let shown: Result<CurrentConfig> = call(&[member.admin], "config", rpc_params![]).await;
        if !shown.is_ok_and(|s| s.revision >= revision) {
            lagging.push(member.holder.node.to_string());
        }
    }
    Ok(lagging)
}
