//! A child process of a test, which prints one line when it is ready and is killed when the test
//! ends.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Maximum time that [`Process::wait`] waits for an exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line of its standard output, printed when it is ready; empty after [`Process::spawn`].
    pub ready_line: String,
}

impl Process {
    /// Starts `program` and waits for the first line of its standard output. Its standard error is
    /// shown only if `KELPWIND_TEST_LOGS` is set.
    ///
    /// # Panics
    /// When the program cannot be started or exits without printing a line.
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
        assert!(started, "process exited before it was ready: {args:?}");
        Process { child, ready_line: ready.trim().to_owned() }
    }

    /// Starts `program` with its standard output redirected to `output`, without waiting until it
    /// is ready. If `output` is a pipe, nothing reads it.
    ///
    /// # Panics
    /// When the program cannot be started.
    pub fn spawn(program: &str, args: &[&str], env: &[(&str, &str)], output: Stdio) -> Process {
        let mut command = Command::new(program);
        command.args(args).envs(env.iter().copied()).stdout(output).stdin(Stdio::null());
        let child = command.stderr(Stdio::null()).spawn().expect("the program can be started");
        Process { child, ready_line: String::new() }
    }

    /// Process ID, as the operating system assigned it.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process with SIGKILL, as in a host failure, and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`.
    ///
    /// # Panics
    /// When the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.is_ok_and(|s| s.success()), "failed to send signal {name} to process {id}");
    }

    /// Waits until the process exits and returns its status.
    ///
    /// # Panics
    /// When it does not exit within 20 s.
    pub fn wait(&mut self) -> ExitStatus {
        let until = Instant::now() + EXIT_TIMEOUT;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("process {} did not exit within {EXIT_TIMEOUT:?}", self.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
