//! The `kelpwind` program: parses flags, calls one operation, prints its result.

mod cli;
mod commands;

use std::ffi::OsString;
use std::process::ExitCode;

use kelpwind::util::error::format_chain;
use kelpwind::util::{logging, suggest};

/// Exit code of a command that was refused or failed.
const FAILED: u8 = 1;
/// Threads of a node: it shares its host with a backend server.
const NODE_THREADS: usize = 2;
/// Exit code of a command line that cannot be read.
const USAGE: u8 = 2;

/// Words that a misspelt command may have meant.
const COMMANDS: &[&str] = &[
    "node",
    "dev",
    "config",
    "check",
    "diff",
    "publish",
    "show",
    "history",
    "drain",
    "undrain",
    "status",
    "dump",
    "explain",
    "explain-request",
    "codes",
    "stand-in",
    "help",
];

fn main() -> ExitCode {
    if std::env::args().nth(1).is_some_and(|a| a == "--version" || a == "-V") {
        println!("kelpwind {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let flags = match cli::Kelpwind::from_vec(arguments()) {
        Ok(flags) => flags,
        Err(e) if e.is_help() => {
            println!("{e}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("error: {e}{}", hint());
            return ExitCode::from(USAGE);
        }
    };
    if matches!(flags.subcommand, cli::KelpwindCmd::Node(_))
        && let Some(file) = kelpwind::platform::settings_file()
    {
        let ran = logging::init_json(&log_level(&flags))
            .and_then(|()| kelpwind::ops::node::run_on_platform(&file));
        return finish(ran);
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if matches!(flags.subcommand, cli::KelpwindCmd::Node(_)) {
        builder.worker_threads(NODE_THREADS);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("error: failed to start: {e}");
            return ExitCode::from(FAILED);
        }
    };
    let ran =
        logging::init(&log_level(&flags)).and_then(|()| runtime.block_on(commands::run(flags)));
    finish(ran)
}

fn finish(ran: kelpwind::util::error::Result<()>) -> ExitCode {
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}", format_chain(&e));
            ExitCode::from(FAILED)
        }
    }
}

/// KELPWIND_LOG_LEVEL, or what suits the command: an example of 27 nodes says less of each.
fn log_level(flags: &cli::Kelpwind) -> String {
    let usual = match flags.subcommand {
        cli::KelpwindCmd::Dev(_) => "warn",
        _ => "info",
    };
    std::env::var("KELPWIND_LOG_LEVEL").unwrap_or_else(|_| usual.to_owned())
}

/// The arguments after the program's name. `--for` is a word that the flags' library cannot have as
/// a name, so it is read as `--run-for`.
fn arguments() -> Vec<OsString> {
    let rename = |arg: OsString| {
        if arg == "--for" { OsString::from("--run-for") } else { arg }
    };
    std::env::args_os().skip(1).map(rename).collect()
}

/// The command nearest to the first word that is none.
fn hint() -> String {
    let words = std::env::args().skip(1).filter(|a| !a.starts_with('-'));
    let unknown = words.into_iter().find(|w| !COMMANDS.contains(&w.as_str()));
    unknown.map_or(String::new(), |w| suggest::did_you_mean(&w, COMMANDS.iter().copied()))
}
