//! `kelpwind drain` and `undrain`: takes a failure domain out, or brings it back, by publishing the
//! configuration in force with that one change.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::publish::{self, Options};
use crate::core::codes::Code;
use crate::core::config::Config;
use crate::node::admin::Shown;
use crate::util::error::{Error, Result};
use crate::util::suggest;

/// Tries when other operators publish at the same time.
const TRIES: u32 = 5;

/// Takes `domain` out (`out`) or brings it back; the text to print.
///
/// # Errors
/// [`Code::UnknownName`] with the nearest known name; those of [`publish::publish_text`].
pub async fn drain(
    nodes: &[SocketAddr],
    domain: &str,
    out: bool,
    options: &Options,
) -> Result<String> {
    let mut tries = 0;
    loop {
        let shown: Shown = call(nodes, "config", rpc_params![]).await?;
        let text = with_domain(&shown.text, domain, out)?;
        let options = Options { base: shown.revision, ..options.clone() };
        tries += 1;
        match publish::publish_text(text, &options).await {
            Err(e) if e.code == Code::StaleBase && tries < TRIES => {}
            done => return done,
        }
    }
}

fn with_domain(text: &str, domain: &str, out: bool) -> Result<String> {
    let context = "failed to read the configuration in force";
    let read = Config::try_from(text);
    let mut config = read.map_err(|f| Error::new(Code::BadReply, context).caused_by(f))?;
    let Some(known) = config.failure_domain.get_mut(domain) else {
        let names = config.failure_domain.keys().map(|n| n.as_str());
        let context = format!(
            "no failure domain is named '{domain}'{}",
            suggest::did_you_mean(domain, names)
        );
        return Err(Error::new(Code::UnknownName, context));
    };
    known.drained = out;
    Ok(config.to_toml())
}
