//! The `kelpwind` program: parses flags, calls one operation of the library and prints its result.

mod cli;
mod commands;

use std::ffi::OsString;
use std::process::ExitCode;

use kelpwind::util::error::format_chain;
use kelpwind::util::{logging, suggest};

/// Exit code of a command that was refused or failed.
const EXIT_FAILURE: u8 = 1;
/// Worker threads of a node; few, because it shares its host with a backend server.
const NODE_THREADS: usize = 2;
/// Exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Commands and subcommands to suggest for a misspelt one.
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
            eprintln!("error: {e}{}", suggestion());
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches!(flags.subcommand, cli::KelpwindCmd::Node(_))
        && let Some(file) = kelpwind::platform::settings_file()
    {
        let result = logging::init_json(&log_level(&flags))
            .and_then(|()| kelpwind::ops::node::run_on_platform(&file));
        return finish(result);
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if matches!(flags.subcommand, cli::KelpwindCmd::Node(_)) {
        builder.worker_threads(NODE_THREADS);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("error: failed to start the async runtime: {e}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let result =
        logging::init(&log_level(&flags)).and_then(|()| runtime.block_on(commands::run(flags)));
    finish(result)
}

/// Prints an error and returns the exit code of a result.
fn finish(result: kelpwind::util::error::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{}", format_chain(&e));
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Returns KELPWIND_LOG_LEVEL or the command's default, which is `warn` for `dev` because it runs
/// 27 nodes in one process.
fn log_level(flags: &cli::Kelpwind) -> String {
    let default = match flags.subcommand {
        cli::KelpwindCmd::Dev(_) => "warn",
        _ => "info",
    };
    std::env::var("KELPWIND_LOG_LEVEL").unwrap_or_else(|_| default.to_owned())
}

/// Returns the arguments after the program's name. `--for` is replaced by `--run-for`, because
/// `xflags` cannot declare a flag whose name is a Rust keyword.
fn arguments() -> Vec<OsString> {
    let rename = |arg: OsString| {
        if arg == "--for" { OsString::from("--run-for") } else { arg }
    };
    std::env::args_os().skip(1).map(rename).collect()
}

/// Suggests a command for the first argument that is not one.
fn suggestion() -> String {
    let arguments = std::env::args().skip(1).filter(|a| !a.starts_with('-'));
    let unknown = arguments.into_iter().find(|w| !COMMANDS.contains(&w.as_str()));
    unknown.map_or(String::new(), |w| suggest::did_you_mean(&w, COMMANDS.iter().copied()))
}
