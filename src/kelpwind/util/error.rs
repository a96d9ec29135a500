//! The error type of the crate: a numbered code, the operation that failed, and its cause.

use std::error::Error as StdError;
use std::fmt;

use crate::core::codes::Code;

/// A failed operation.
#[derive(Debug)]
pub struct Error {
    /// Result code, as listed in [`Code::ALL`].
    pub code: Code,
    context: String,
    cause: Option<Box<dyn StdError + Send + Sync>>,
}

/// Result of an operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Creates an error. `context` names the operation that failed, as in "failed to read FILE".
    pub fn new(code: Code, context: impl Into<String>) -> Error {
        Error { code, context: context.into(), cause: None }
    }

    /// Attaches the underlying error.
    pub fn caused_by(mut self, cause: impl Into<Box<dyn StdError + Send + Sync>>) -> Error {
        self.cause = Some(cause.into());
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} [{}]", self.context, self.code.number())
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        self.cause.as_ref().map(|c| c.as_ref() as &(dyn StdError + 'static))
    }
}

/// Formats an error and its chain of causes, one cause per line.
pub fn format_chain(error: &dyn StdError) -> String {
    let mut text = format!("error: {error}");
    let mut next = error.source();
    if next.is_some() {
        text.push_str("\n\nCaused by:");
    }
    while let Some(cause) = next {
        text.push_str(&format!("\n  {cause}"));
        next = cause.source();
    }
    text
}
