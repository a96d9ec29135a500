//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|e| {
            eprintln!("cannot write {path}: {e}");
            std::process::exit(2);
        });
        Record { began: Instant::now(), out: Mutex::new(BufWriter::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:9.3} {text}", self.began.elapsed().as_secs_f64());
    }

    /// Writes a line, and shows it.
    pub fn note(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.out.lock().unwrap().flush();
    }
}
