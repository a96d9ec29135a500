//! `kelpwind status`, `kelpwind dump`, `kelpwind explain` and `kelpwind explain-request`.

use kelpwind::ops;
use kelpwind::util::error::Result;

use super::nodes;
use crate::cli::{Dump, Explain, ExplainRequest, Status};

pub(super) async fn status(flags: Status) -> Result<()> {
    let output = ops::status::status(&nodes(flags.node)?, flags.format.unwrap_or_default()).await?;
    print!("{output}");
    Ok(())
}

pub(super) async fn dump(flags: Dump) -> Result<()> {
    let nodes = nodes(flags.node)?;
    let format = flags.format.unwrap_or_default();
    let output = match flags.all {
        true => ops::dump::dump_all(&nodes, format).await?,
        false => ops::dump::dump(&nodes, format).await?,
    };
    print!("{output}");
    Ok(())
}

pub(super) async fn explain(flags: Explain) -> Result<()> {
    let nodes = nodes(flags.node)?;
    let format = flags.format.unwrap_or_default();
    print!("{}", ops::explain::explain(&nodes, &flags.service, &flags.key, format).await?);
    Ok(())
}

pub(super) fn explain_request(flags: &ExplainRequest) -> Result<()> {
    print!("{}", ops::trace::explain_request(&flags.id, &flags.files)?);
    Ok(())
}
