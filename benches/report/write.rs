//! The report's file.

use std::fmt::Write;
use std::path::{Path, PathBuf};

/// A report that is being written.
pub(crate) struct Report {
    folder: PathBuf,
    text: String,
}

impl Report {
    pub(crate) fn open() -> Report {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("target/report");
        std::fs::create_dir_all(&folder).expect("target/report can be made");
        Report { folder, text: "# Measurements\n".to_owned() }
    }

    /// Begins a part with what is measured and how.
    pub(crate) fn part(&mut self, title: &str, how: &str) {
        let _ = write!(self.text, "\n## {title}\n\n{how}\n\n");
        println!("\n## {title}\n{how}");
    }

    pub(crate) fn table(&mut self, head: &[&str], rows: &[Vec<String>]) {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let head: Vec<String> = head.iter().map(|h| (*h).to_owned()).collect();
        let rule: Vec<String> = head.iter().map(|_| "---".to_owned()).collect();
        let mut text = line(&head) + &line(&rule);
        rows.iter().for_each(|r| text.push_str(&line(r)));
        print!("{text}");
        self.text.push_str(&text);
    }

    /// The path of a plot, and a link to it in the report.
    pub(crate) fn plot(&mut self, name: &str) -> PathBuf {
        let _ = write!(self.text, "\n![{name}]({name}.svg)\n");
        self.folder.join(format!("{name}.svg"))
    }

    pub(crate) fn close(self) {
        let path = self.folder.join("report.md");
        std::fs::write(&path, self.text).expect("the report can be written");
        println!("\nwritten to target/report/report.md");
    }
}
