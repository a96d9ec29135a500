//! Writes the report as Markdown.

use std::fmt::Write;
use std::path::{Path, PathBuf};

/// A report that is being written; its text is kept in memory until [`Report::close`].
pub(crate) struct Report {
    dir: PathBuf,
    text: String,
}

impl Report {
    pub(crate) fn open() -> Report {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/report");
        std::fs::create_dir_all(&dir).expect("target/report can be created");
        Report { dir, text: "# Measurements\n".to_owned() }
    }

    /// Begins a section with a description of what is measured and how.
    pub(crate) fn section(&mut self, title: &str, description: &str) {
        let _ = write!(self.text, "\n## {title}\n\n{description}\n\n");
        println!("\n## {title}\n{description}");
    }

    pub(crate) fn table(&mut self, headings: &[&str], rows: &[Vec<String>]) {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let headings: Vec<String> = headings.iter().map(|h| (*h).to_owned()).collect();
        let rule: Vec<String> = headings.iter().map(|_| "---".to_owned()).collect();
        let mut text = line(&headings) + &line(&rule);
        rows.iter().for_each(|r| text.push_str(&line(r)));
        print!("{text}");
        self.text.push_str(&text);
    }

    /// Adds a link to a plot to the report and returns the path of the plot's file.
    pub(crate) fn plot(&mut self, name: &str) -> PathBuf {
        let _ = write!(self.text, "\n![{name}]({name}.svg)\n");
        self.dir.join(format!("{name}.svg"))
    }

    pub(crate) fn close(self) {
        let path = self.dir.join("report.md");
        std::fs::write(&path, self.text).expect("the report can be written");
        println!("\nwritten to target/report/report.md");
    }
}
