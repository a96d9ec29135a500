//! The commands: each converts its flags, calls one operation and prints the result.

mod config;
mod drain;
mod inspect;
mod node;
mod stand_in;

use std::net::SocketAddr;
use std::time::Duration;

use kelpwind::core::codes::Code;
use kelpwind::ops;
use kelpwind::util::error::{Error, Result};
use kelpwind::util::text_table;

use crate::cli::{Kelpwind, KelpwindCmd};

/// Runs the command selected by the flags.
pub(crate) async fn run(flags: Kelpwind) -> Result<()> {
    match flags.subcommand {
        KelpwindCmd::Node(flags) => node::run(flags).await,
        KelpwindCmd::Dev(flags) => {
            ops::dev::dev(flags.run_for.map(Duration::from_secs), |line| println!("{line}")).await
        }
        KelpwindCmd::Config(flags) => config::run(flags).await,
        KelpwindCmd::Drain(flags) => drain::drain(flags).await,
        KelpwindCmd::Undrain(flags) => drain::undrain(flags).await,
        KelpwindCmd::Status(flags) => inspect::status(flags).await,
        KelpwindCmd::Dump(flags) => inspect::dump(flags).await,
        KelpwindCmd::Explain(flags) => inspect::explain(flags).await,
        KelpwindCmd::ExplainRequest(flags) => inspect::explain_request(&flags),
        KelpwindCmd::Codes(_) => {
            print!("{}", codes());
            Ok(())
        }
        KelpwindCmd::StandIn(flags) => stand_in::run(flags).await,
    }
}

/// Returns the table of result codes: number, outcome, HTTP status and text.
fn codes() -> String {
    let row = |c: &Code| {
        vec![
            c.number().to_string(),
            c.outcome().to_string(),
            c.status().to_string(),
            c.text().to_owned(),
        ]
    };
    text_table::render(&Code::ALL.iter().map(row).collect::<Vec<_>>())
}

/// Returns the value of a flag or else of the environment variable `KELPWIND_{variable}`.
fn or_env(flag: Option<String>, variable: &str) -> Option<String> {
    flag.or_else(|| std::env::var(format!("KELPWIND_{variable}")).ok())
}

/// Returns the addresses of the nodes to call, from `--node` or KELPWIND_NODE.
///
/// # Errors
/// [`Code::BadSetting`] if an address cannot be parsed.
fn nodes(flag: Option<String>) -> Result<Vec<SocketAddr>> {
    let raw = or_env(flag, "NODE").unwrap_or_default();
    let parts = raw.split(',').map(str::trim).filter(|p| !p.is_empty());
    let parse = |part: &str| {
        part.parse().map_err(|e| {
            Error::new(Code::BadSetting, format!("failed to parse the node address '{part}'"))
                .caused_by(e)
        })
    };
    parts.map(parse).collect()
}

/// Returns the author to record: the flag, KELPWIND_AUTHOR or USER, in this order.
fn author(flag: Option<String>) -> String {
    let name = or_env(flag, "AUTHOR").or_else(|| std::env::var("USER").ok());
    name.unwrap_or_else(|| "operator".to_owned())
}
