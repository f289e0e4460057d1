//! Child processes by name: start, signals, readiness and logs.
//!
//! Children start only through `socket::spawn_child`, so that none holds a copy
//! of a listener that this process closes.

use std::ffi::OsString;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rustix::io::Errno;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use thiserror::Error;

use crate::socket::spawn_child;

/// Time between two polls of a child.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes at the end of a child's log that an error contains.
const LOG_TAIL_BYTES: u64 = 2_000;

/// Error of an operation of the harness.
#[derive(Debug, Error)]
pub enum HarnessError {
    #[error("program {name} is missing in {directory}; build it with `cargo build --workspace`")]
    ProgramMissing { name: String, directory: PathBuf },
    #[error("there is no child named {0}")]
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
    Signal { name: String, source: Errno },
    #[error("could not {action}")]
    Io { action: String, source: io::Error },
    #[error("{0:?} is not a valid data centre name")]
    InvalidName(String),
}

/// Adds the action that failed to an I/O error.
pub(crate) fn io_error(action: impl Into<String>) -> impl FnOnce(io::Error) -> HarnessError {
    let action = action.into();
    move |source| HarnessError::Io { action, source }
}

fn signal_error(name: &str) -> impl FnOnce(Errno) -> HarnessError {
    move |source| HarnessError::Signal { name: name.into(), source }
}

/// Program, arguments, log file and operator address of a child.
#[derive(Clone, Debug)]
pub struct ChildSpec {
    pub program: PathBuf,
    pub arguments: Vec<OsString>,
    /// File that the standard output and error of all its runs are appended to.
    pub log: PathBuf,
    /// Address at which it answers `/readyz`.
    pub operator: SocketAddr,
}

struct ManagedChild {
    spec: ChildSpec,
    process: Option<Child>,
}

/// Children by name; dropping the set kills all of them, also during a panic.
#[derive(Default)]
pub struct ChildSet {
    children: IndexMap<String, ManagedChild>,
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
    /// Adds a child and starts it.
    pub fn spawn(&mut self, name: &str, spec: ChildSpec) -> Result<(), HarnessError> {
        self.children.insert(name.into(), ManagedChild { spec, process: None });
        self.start(name)
    }

    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.children.keys().map(String::as_str)
    }

    /// Starts a child; does nothing if it is running.
    pub fn start(&mut self, name: &str) -> Result<(), HarnessError> {
        let child = self.child(name)?;
        if child.process.is_some() {
            return Ok(());
        }
        let spec = &child.spec;
        let open = || File::options().create(true).append(true).open(&spec.log);
        let log = open().map_err(io_error(format!("open the log of {name}")))?;
        let error_log = log.try_clone().map_err(io_error(format!("open the log of {name}")))?;
        let mut command = Command::new(&spec.program);
        command.args(&spec.arguments).stdin(Stdio::null());
        let process = spawn_child(command.stdout(log).stderr(error_log));
        child.process = Some(process.map_err(io_error(format!("start {name}")))?);
        Ok(())
    }

    /// Whether the child is running; a paused one is.
    pub fn is_running(&mut self, name: &str) -> Result<bool, HarnessError> {
        Ok(self.child(name)?.process.is_some() && self.reap(name)?.is_none())
    }

    /// Kills a child with SIGKILL, as a crash does; does nothing if it is not running.
    pub fn kill(&mut self, name: &str) -> Result<(), HarnessError> {
        if let Some(mut process) = self.child(name)?.process.take() {
            process.kill().map_err(io_error(format!("kill {name}")))?;
            process.wait().map_err(io_error(format!("wait for {name}")))?;
        }
        Ok(())
    }

    /// Kills a child if it is running, and starts it.
    pub fn restart(&mut self, name: &str) -> Result<(), HarnessError> {
        self.kill(name)?;
        self.start(name)
    }

    /// Suspends a child until [`resume`](Self::resume); returns once it has stopped.
    pub fn pause(&mut self, name: &str) -> Result<(), HarnessError> {
        let pid = self.process_id(name)?;
        if stop_process(pid).map_err(signal_error(name))? {
            Ok(())
        } else {
            Err(HarnessError::NotRunning { name: name.into() })
        }
    }

    pub fn resume(&mut self, name: &str) -> Result<(), HarnessError> {
        self.signal(name, Signal::CONT)
    }

    /// Requests a graceful stop of a child.
    pub fn terminate(&mut self, name: &str) -> Result<(), HarnessError> {
        self.signal(name, Signal::TERM)
    }

    /// Waits until a child has ended.
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

    /// Waits until a child answers `/readyz` with success; fails if it ends before.
    pub async fn wait_ready(&mut self, name: &str, timeout: Duration) -> Result<(), HarnessError> {
        let deadline = Instant::now() + timeout;
        let url = format!("http://{}/readyz", self.child(name)?.spec.operator);
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

    /// The last 2000 bytes of a child's log.
    pub fn log_tail(&mut self, name: &str) -> Result<String, HarnessError> {
        let path = self.child(name)?.spec.log.clone();
        read_tail(&path).map_err(io_error(format!("read the log of {name}")))
    }

    fn child(&mut self, name: &str) -> Result<&mut ManagedChild, HarnessError> {
        self.children.get_mut(name).ok_or_else(|| HarnessError::UnknownChild(name.into()))
    }

    /// The exit status of a child that has ended since the last call; `None` if it
    /// is running.
    fn reap(&mut self, name: &str) -> Result<Option<ExitStatus>, HarnessError> {
        let child = self.child(name)?;
        let not_running = || HarnessError::NotRunning { name: name.into() };
        let process = child.process.as_mut().ok_or_else(not_running)?;
        let status = process.try_wait().map_err(io_error(format!("wait for {name}")))?;
        if status.is_some() {
            child.process = None;
        }
        Ok(status)
    }

    /// The id of a child that was not waited for; it is not reused, so a signal to it
    /// reaches no other process.
    pub fn process_id(&mut self, name: &str) -> Result<Pid, HarnessError> {
        let process = self.child(name)?.process.as_ref();
        let pid = process.and_then(|process| i32::try_from(process.id()).ok());
        let pid = pid.and_then(Pid::from_raw);
        pid.ok_or_else(|| HarnessError::NotRunning { name: name.into() })
    }

    fn signal(&mut self, name: &str, signal: Signal) -> Result<(), HarnessError> {
        kill_process(self.process_id(name)?, signal).map_err(signal_error(name))
    }
}

fn read_tail(path: &Path) -> io::Result<String> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(LOG_TAIL_BYTES)))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Suspends a child process and waits until it has stopped: its threads run on for a
/// while after the signal was sent. `false` if it has ended instead.
pub fn stop_process(pid: Pid) -> Result<bool, Errno> {
    kill_process(pid, Signal::STOP)?;
    // An exit status stays for the owner of the child.
    let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
    let status = loop {
        match waitid(WaitId::Pid(pid), options) {
            Err(Errno::INTR) => {}
            status => break status?,
        }
    };
    Ok(status.is_some_and(|status| status.stopped()))
}

/// Path of a program of this workspace, in the directory of the running program
/// or its parent.
pub fn find_program(name: &str) -> Result<PathBuf, HarnessError> {
    let running = std::env::current_exe().map_err(io_error("find the running program"))?;
    let directories = running.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(name));
    candidates.find(|candidate| candidate.is_file()).ok_or_else(|| {
        let directory = running.parent().unwrap_or(&running).into();
        HarnessError::ProgramMissing { name: name.into(), directory }
    })
}
