//! One file for each thing an operator does. The command line's commands only parse flags and call
//! these; nothing here reads flags or the environment.

pub mod check;
pub mod client;
pub mod dev;
pub mod drain;
pub mod dump;
pub mod explain;
pub mod node;
pub mod publish;
pub mod show;
pub mod stand_in;
pub mod status;
pub mod trace;

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::core::codes::Code;
use crate::util::error::{Error, Result};

/// How an operation's result is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if *self == Format::Json { "json" } else { "text" })
    }
}

impl FromStr for Format {
    type Err = String;
    fn from_str(raw: &str) -> std::result::Result<Format, String> {
        match raw {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(format!("'{raw}' is not a format; there are text and json")),
        }
    }
}

/// A value as `format` asks.
pub(crate) fn print<T: Serialize>(
    format: Format,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> String {
    match format {
        Format::Text => text(value),
        Format::Json => serde_json::to_string_pretty(value).unwrap_or_default() + "\n",
    }
}

/// Reads a file of configuration.
pub(crate) fn read_file(path: &std::path::Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| {
        Error::new(Code::Unreadable, format!("failed to read {}", path.display())).caused_by(e)
    })
}
