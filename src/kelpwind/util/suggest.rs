//! Suggests the known name nearest to a misspelt one.

/// Greatest edit distance at which a name is still suggested.
const DISTANCE_MAX: usize = 3;

/// The known name nearest to `given`, if any is near enough to be meant.
pub fn closest<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known.into_iter().map(|k| (strsim::damerau_levenshtein(given, k), k));
    let near = scored.filter(|(d, k)| *d <= DISTANCE_MAX && *d < k.len().max(2));
    near.min().map(|(_, k)| k)
}

/// A sentence such as `; did you mean 'x'?`, or nothing.
pub fn did_you_mean<'a>(given: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    match closest(given, known) {
        Some(name) => format!("; did you mean '{name}'?"),
        None => String::new(),
    }
}
