//! `kelpwind config check`: validates a configuration file and reports every error.

use std::path::Path;

use super::read_file;
use crate::core::config::Config;
use crate::util::error::{Error, Result};

/// Validates a file and returns the text to print: a summary, and a warning for each unused object.
///
/// # Errors
/// [`Code::Unreadable`](crate::core::codes::Code::Unreadable) if the file cannot be read; otherwise
/// the code of the first error in it, with all errors as the cause.
pub fn check(path: &Path) -> Result<String> {
    let text = read_file(path)?;
    let config = Config::try_from(text.as_str()).map_err(|errors| {
        let code = errors.0.first().map_or(crate::core::codes::Code::BadValue, |e| e.code);
        Error::new(code, format!("failed to check {}", path.display())).caused_by(errors)
    })?;
    let mut output = format!(
        "{} is valid: {} failure domains, {} policies, {} services, {} key ranges\n",
        path.display(),
        config.failure_domain.len(),
        config.policy.len(),
        config.service.len(),
        config.key_range.len(),
    );
    for warning in config.unreferenced() {
        output.push_str(&format!("warning: {warning}\n"));
    }
    Ok(output)
}
