//! The operations behind the program's commands, one file each. The program parses flags and the
//! environment, calls an operation and prints the text that it returns.

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

/// Output format of an operation's result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for people to read.
    #[default]
    Text,
    /// JSON for programs to read.
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
            _ => Err(format!("'{raw}' is not a format: expected text or json")),
        }
    }
}

/// Formats a value as JSON or, with `text`, as text.
pub(crate) fn format_output<T: Serialize>(
    format: Format,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> String {
    match format {
        Format::Text => text(value),
        Format::Json => serde_json::to_string_pretty(value).unwrap_or_default() + "\n",
    }
}

/// Reads a text file.
///
/// # Errors
/// [`Code::Unreadable`] if the file cannot be read.
pub(crate) fn read_file(path: &std::path::Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| {
        Error::new(Code::Unreadable, format!("failed to read {}", path.display())).caused_by(e)
    })
}
