//! `kelpwind drain` and `kelpwind undrain`.

use std::time::Duration;

use kelpwind::core::ids::Revision;
use kelpwind::ops;
use kelpwind::ops::publish::Options;
use kelpwind::util::error::Result;

use super::{author, nodes};
use crate::cli::{Drain, Undrain};

pub(super) async fn drain(flags: Drain) -> Result<()> {
    let options = options(flags.node, flags.author, flags.wait, flags.allow_dangerous)?;
    let said = ops::drain::drain(&options.nodes, &flags.domain, true, &options).await?;
    print!("{said}");
    Ok(())
}

pub(super) async fn undrain(flags: Undrain) -> Result<()> {
    let options = options(flags.node, flags.author, flags.wait, false)?;
    let said = ops::drain::drain(&options.nodes, &flags.domain, false, &options).await?;
    print!("{said}");
    Ok(())
}

fn options(
    node: Option<String>,
    by: Option<String>,
    wait: Option<u64>,
    dangerous: bool,
) -> Result<Options> {
    Ok(Options {
        nodes: nodes(node)?,
        base: Revision(0),
        author: author(by),
        dangerous,
        dry: false,
        wait: wait.map(Duration::from_secs),
    })
}
