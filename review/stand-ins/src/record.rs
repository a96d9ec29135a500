//! What was sent, answered and run, with the time since the start of the test.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A run of a request on a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub target: String,
    pub request: String,
    pub at: Duration,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record { began: Instant::now(), file, runs: Mutex::default() })
    }

    /// Time since the start of the test.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn write(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{:8.3} {line}", self.now().as_secs_f64());
    }

    /// Records that a target began to work on a request.
    pub fn run(&self, target: &str, request: &str, method: &str) {
        let (target_name, request_id) = (target.to_owned(), request.to_owned());
        let at = self.now();
        self.runs.lock().unwrap().push(Run { target: target_name, request: request_id, at });
        self.write(&format!("run {target} {method} {request}"));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
