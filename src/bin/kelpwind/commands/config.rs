//! `kelpwind config check`, `diff`, `publish`, `show` and `history`.

use std::time::Duration;

use kelpwind::core::ids::Revision;
use kelpwind::ops::{check, publish, show};
use kelpwind::util::error::Result;

use super::{author, nodes};
use crate::cli::{Config, ConfigCmd, Publish};

pub(super) async fn run(flags: Config) -> Result<()> {
    let output = match flags.subcommand {
        ConfigCmd::Check(flags) => check::check(&flags.path)?,
        ConfigCmd::Diff(flags) => show::diff(&flags.old, &flags.new)?,
        ConfigCmd::Publish(flags) => publish(flags).await?,
        ConfigCmd::Show(flags) => {
            show::show(&nodes(flags.node)?, flags.format.unwrap_or_default()).await?
        }
        ConfigCmd::History(flags) => {
            show::history(&nodes(flags.node)?, flags.format.unwrap_or_default()).await?
        }
    };
    print!("{output}");
    Ok(())
}

async fn publish(flags: Publish) -> Result<String> {
    let options = publish::Options {
        nodes: nodes(flags.node)?,
        base: Revision(flags.base),
        author: author(flags.author),
        allow_dangerous: flags.allow_dangerous,
        dry_run: flags.dry_run,
        wait: flags.wait.map(Duration::from_secs),
    };
    publish::publish(&flags.path, &options).await
}
