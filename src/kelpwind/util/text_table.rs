//! Plain-text tables for terminals.

/// Formats rows as lines of text. Each column is as wide as its widest cell, and columns are
/// separated by two spaces.
pub fn render(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(|t| t.chars().count()).max();
    let widths: Vec<usize> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
