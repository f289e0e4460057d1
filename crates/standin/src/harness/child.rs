//! Child processes by name.

use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rustix::process::{Pid, Signal, kill_process};
use thiserror::Error;

use crate::socket::spawn_child;

/// Time between two looks at a child.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for one answer of a child.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// End of a child's log that errors show, in bytes.
const TAIL_BYTES: u64 = 2_000;

/// Why the harness could not do what was asked.
#[derive(Debug, Error)]
pub enum HarnessError {
    #[error("program {name} is missing in {directory}; build it with `cargo build --workspace`")]
    ProgramMissing { name: String, directory: PathBuf },
    #[error("no child is called {0}")]
    UnknownChild(String),
    #[error("{name} is not running")]
    NotRunning { name: String },
    #[error("{name} ended with {status}; end of its log:\n{tail}")]
    Ended { name: String, status: ExitStatus, tail: String },
    #[error("{name} was not ready in time; end of its log:\n{tail}")]
    NotReady { name: String, tail: String },
    #[error("{name} did not end in time")]
    NotEnded { name: String },
    #[error("could not signal {name}")]
    Signal { name: String, source: rustix::io::Errno },
    #[error("could not {action}")]
    Io { action: String, source: io::Error },
    #[error("name {0:?} is not accepted")]
    Name(String),
}

/// Wraps an I/O error with what was being done.
pub(crate) fn failed(action: impl Into<String>) -> impl FnOnce(io::Error) -> HarnessError {
    let action = action.into();
    move |source| HarnessError::Io { action, source }
}

/// How to run a child.
#[derive(Clone, Debug)]
pub struct ChildSpec {
    pub program: PathBuf,
    pub arguments: Vec<OsString>,
    /// Standard output and error of all its runs.
    pub log: PathBuf,
    /// Where it answers `/readyz`.
    pub operator: SocketAddr,
}

struct ChildEntry {
    spec: ChildSpec,
    process: Option<Child>,
}

/// Children by name; dropping the set kills all of them, also on panic.
#[derive(Default)]
pub struct ChildSet {
    children: IndexMap<String, ChildEntry>,
}

impl Drop for ChildSet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            if let Some(mut process) = child.process.take() {
                drop(process.kill());
                drop(process.wait());
            }
        }
    }
}

impl ChildSet {
    /// Starts a child for the first time.
    pub fn spawn(&mut self, name: &str, spec: ChildSpec) -> Result<(), HarnessError> {
        self.children.insert(name.into(), ChildEntry { spec, process: None });
        self.start(name)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.children.keys().map(String::as_str)
    }

    /// Starts a child that is not running.
    pub fn start(&mut self, name: &str) -> Result<(), HarnessError> {
        let child = self.entry(name)?;
        if child.process.is_some() {
            return Ok(());
        }
        let spec = &child.spec;
        let open = || File::options().create(true).append(true).open(&spec.log);
        let log = open().map_err(failed(format!("open the log of {name}")))?;
        let errors = log.try_clone().map_err(failed(format!("open the log of {name}")))?;
        let mut command = Command::new(&spec.program);
        command.args(&spec.arguments).stdin(Stdio::null());
        let process = spawn_child(command.stdout(log).stderr(errors));
        child.process = Some(process.map_err(failed(format!("start {name}")))?);
        Ok(())
    }

    /// Whether the child runs; a paused one does.
    pub fn is_running(&mut self, name: &str) -> Result<bool, HarnessError> {
        Ok(self.entry(name)?.process.is_some() && self.reap(name)?.is_none())
    }

    /// Ends a child at once, as a crash does.
    pub fn kill(&mut self, name: &str) -> Result<(), HarnessError> {
        if let Some(mut process) = self.entry(name)?.process.take() {
            process.kill().map_err(failed(format!("kill {name}")))?;
            process.wait().map_err(failed(format!("wait for {name}")))?;
        }
        Ok(())
    }

    /// Kills a child if it runs, and starts it.
    pub fn restart(&mut self, name: &str) -> Result<(), HarnessError> {
        self.kill(name)?;
        self.start(name)
    }

    /// Stops a child's execution until [`resume`](Self::resume).
    pub fn pause(&mut self, name: &str) -> Result<(), HarnessError> {
        self.signal(name, Signal::STOP)
    }

    pub fn resume(&mut self, name: &str) -> Result<(), HarnessError> {
        self.signal(name, Signal::CONT)
    }

    /// Asks a child to stop gracefully.
    pub fn terminate(&mut self, name: &str) -> Result<(), HarnessError> {
        self.signal(name, Signal::TERM)
    }

    /// Waits until a child that was asked to stop has ended.
    pub async fn wait_exit(
        &mut self,
        name: &str,
        timeout: Duration,
    ) -> Result<ExitStatus, HarnessError> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.reap(name)? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(HarnessError::NotEnded { name: name.into() });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a child answers `/readyz` with success.
    pub async fn wait_ready(&mut self, name: &str, timeout: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + timeout;
        let url = format!("http://{}/readyz", self.entry(name)?.spec.operator);
        let http = awc::Client::builder().timeout(PROBE_TIMEOUT).finish();
        loop {
            if let Some(status) = self.reap(name)? {
                let tail = self.log_tail(name)?;
                return Err(HarnessError::Ended { name: name.into(), status, tail });
            }
            if http.get(&url).send().await.is_ok_and(|response| response.status().is_success()) {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let tail = self.log_tail(name)?;
                return Err(HarnessError::NotReady { name: name.into(), tail });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The end of a child's log.
    pub fn log_tail(&mut self, name: &str) -> Result<String, HarnessError> {
        let path = self.entry(name)?.spec.log.clone();
        tail(&path).map_err(failed(format!("read the log of {name}")))
    }

    fn entry(&mut self, name: &str) -> Result<&mut ChildEntry, HarnessError> {
        self.children.get_mut(name).ok_or_else(|| HarnessError::UnknownChild(name.into()))
    }

    /// The exit status of a child that has ended since the last look.
    fn reap(&mut self, name: &str) -> Result<Option<ExitStatus>, HarnessError> {
        let child = self.entry(name)?;
        let not_running = || HarnessError::NotRunning { name: name.into() };
        let process = child.process.as_mut().ok_or_else(not_running)?;
        let status = process.try_wait().map_err(failed(format!("wait for {name}")))?;
        if status.is_some() {
            child.process = None;
        }
        Ok(status)
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<(), HarnessError> {
        // A child that has not been waited for keeps its id, so no other process gets the signal.
        let process = self.entry(name)?.process.as_ref();
        let pid = process.and_then(|process| i32::try_from(process.id()).ok());
        let pid = pid.and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| HarnessError::NotRunning { name: name.into() })?;
        kill_process(pid, signal)
            .map_err(|source| HarnessError::Signal { name: name.into(), source })
    }
}

fn tail(path: &Path) -> io::Result<String> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// A program of this workspace, beside the running one or a directory above.
pub fn program(name: &str) -> Result<PathBuf, HarnessError> {
    let running = std::env::current_exe().map_err(failed("find the running program"))?;
    let directories = running.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(name));
    candidates.find(|candidate| candidate.is_file()).ok_or_else(|| {
        let directory = running.parent().unwrap_or(&running).into();
        HarnessError::ProgramMissing { name: name.into(), directory }
    })
}
