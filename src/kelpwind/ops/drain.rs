//! `kelpwind drain` and `kelpwind undrain`: drain a failure domain, or end its drain, by publishing
//! the current configuration with that one change.

use std::net::SocketAddr;

use jsonrpsee::rpc_params;

use super::client::call;
use super::publish::{self, Options};
use crate::core::codes::Code;
use crate::core::config::Config;
use crate::node::admin::CurrentConfig;
use crate::util::error::{Error, Result};
use crate::util::suggest;

/// Maximum number of attempts if other operators publish at the same time.
const ATTEMPTS_MAX: u32 = 5;

/// Drains `domain` if `drained`, or else ends its drain. Returns the text to print.
///
/// # Errors
/// [`Code::UnknownName`] if there is no such failure domain, with a suggestion; the errors of
/// [`publish::publish_text`].
pub async fn drain(
    nodes: &[SocketAddr],
    domain: &str,
    drained: bool,
    options: &Options,
) -> Result<String> {
    let mut attempts = 0;
    loop {
        let current: CurrentConfig = call(nodes, "config", rpc_params![]).await?;
        let text = with_drained(&current.text, domain, drained)?;
        let options = Options { base: current.revision, ..options.clone() };
        attempts += 1;
        match publish::publish_text(text, &options).await {
            Err(e) if e.code == Code::StaleBase && attempts < ATTEMPTS_MAX => {}
            result => return result,
        }
    }
}

/// Returns the configuration `text` with the `drained` flag of `domain` set.
fn with_drained(text: &str, domain: &str, drained: bool) -> Result<String> {
    let context = "failed to read the current configuration that the node sent";
    let parsed = Config::try_from(text);
    let mut config = parsed.map_err(|e| Error::new(Code::BadReply, context).caused_by(e))?;
    let Some(known) = config.failure_domain.get_mut(domain) else {
        let names = config.failure_domain.keys().map(|n| n.as_str());
        let context = format!(
            "no failure domain is named '{domain}'{}",
            suggest::did_you_mean(domain, names)
        );
        return Err(Error::new(Code::UnknownName, context));
    };
    known.drained = drained;
    Ok(config.to_toml())
}
