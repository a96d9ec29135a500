//! A process that a test runs: it prints one line when it is ready, and is ended with the test.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Longest time to wait for a process to end by itself.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The line it printed when it was ready.
    pub ready_line: String,
}

impl Process {
    /// Starts `program` and waits for its first line.
    ///
    /// # Panics
    /// When it cannot be started or ends without a line.
    pub fn start(program: &str, args: &[&str], env: &[(&str, &str)]) -> Process {
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().copied()).stdout(Stdio::piped()).stdin(Stdio::null());
        if std::env::var("KELPWIND_TEST_LOGS").is_err() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().expect("the program can be started");
        let stdout = child.stdout.take().expect("standard output is piped");
        let mut ready = String::new();
        let read = BufReader::new(stdout).read_line(&mut ready);
        let started = read.is_ok_and(|n| n > 0);
        assert!(started, "the process ended before it was ready: {args:?}");
        Process { child, ready_line: ready.trim().to_owned() }
    }

    /// Starts `program` without waiting for anything, its standard output going to `output`. A pipe is
    /// never read.
    ///
    /// # Panics
    /// When it cannot be started.
    pub fn spawn(program: &str, args: &[&str], env: &[(&str, &str)], output: Stdio) -> Process {
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().copied()).stdout(output).stdin(Stdio::null());
        let child = command.stderr(Stdio::null()).spawn().expect("the program can be started");
        Process { child, ready_line: String::new() }
    }

    /// Its process number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it at once, as a failed host would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal by name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.is_ok_and(|s| s.success()), "signal {name} can be sent to {id}");
    }

    /// Waits for it to end by itself.
    ///
    /// # Panics
    /// When it does not in time.
    pub fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("process {} did not end", self.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
