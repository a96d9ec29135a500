//! Suggests the closest known name for a misspelt one.

/// Maximum edit distance of a suggested name.
const EDIT_DISTANCE_MAX: usize = 3;

/// Returns the known name with the smallest edit distance to `given`, or `None` if that distance is
/// over the maximum or not below the name's own length.
pub fn closest<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.into_iter().map(|k| (strsim::damerau_levenshtein(given, k), k));
    let candidates = scored.filter(|(d, k)| *d <= EDIT_DISTANCE_MAX && *d < k.len().max(2));
    candidates.min().map(|(_, k)| k)
}

/// Returns `; did you mean 'x'?` for the closest known name, or an empty string.
pub fn did_you_mean<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match closest(given, known) {
        Some(name) => format!("; did you mean '{name}'?"),
        None => String::new(),
    }
}
