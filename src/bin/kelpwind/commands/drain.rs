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
    let output = ops::drain::drain(&options.nodes, &flags.domain, true, &options).await?;
    print!("{output}");
    Ok(())
}

pub(super) async fn undrain(flags: Undrain) -> Result<()> {
    let options = options(flags.node, flags.author, flags.wait, false)?;
    let output = ops::drain::drain(&options.nodes, &flags.domain, false, &options).await?;
    print!("{output}");
    Ok(())
}

fn options(
    node: Option<String>,
    author_flag: Option<String>,
    wait: Option<u64>,
    allow_dangerous: bool,
) -> Result<Options> {
    Ok(Options {
        nodes: nodes(node)?,
        base: Revision(0),
        author: author(author_flag),
        allow_dangerous,
        dry_run: false,
        wait: wait.map(Duration::from_secs),
    })
}
