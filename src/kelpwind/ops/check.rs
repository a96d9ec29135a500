//! `kelpwind config check`: reads a configuration and reports every fault.

use std::path::Path;

use super::read_file;
use crate::core::config::Config;
use crate::util::error::{Error, Result};

/// Checks a file; the text to print.
///
/// # Errors
/// The first fault's code, with all faults as the cause.
pub fn check(path: &Path) -> Result<String> {
    let text = read_file(path)?;
    let config = Config::try_from(text.as_str()).map_err(|faults| {
        let code = faults.0.first().map_or(crate::core::codes::Code::BadValue, |f| f.code);
        Error::new(code, format!("failed to check {}", path.display())).caused_by(faults)
    })?;
    let mut said = format!(
        "{} is valid: {} failure domains, {} policies, {} services, {} key ranges\n",
        path.display(),
        config.failure_domain.len(),
        config.policy.len(),
        config.service.len(),
        config.key_range.len(),
    );
    for fault in config.unreferenced() {
        said.push_str(&format!("warning: {fault}\n"));
    }
    Ok(said)
}
