//! The decision log: one JSON line per decision, bounded, never blocking.
//!
//! Lines pass through a bounded queue to a writing thread, which writes all waiting lines in
//! one call. A full queue drops lines and counts them. Each kind of event has a budget of
//! lines per second; lines above it are suppressed. Kinds with suppressed lines are
//! reported with the first event of a later second.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusdoor_core::unit::Millis;
use cactusdoor_node::clock::unix_ms;
use cactusdoor_queue::name::AgentName;
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use indexmap::IndexMap;
use log::Record;
use serde::Serialize;

use crate::decision::DecisionEvent;

/// Most lines that wait for the writing thread: a few seconds of a busy process.
const QUEUE_LINES: usize = 2_048;
/// Lines per second of one kind of routine event.
const ROUTINE_BUDGET: u64 = 60;
/// Lines per second of one kind of event about failures and changes of state.
const FAILURE_BUDGET: u64 = 200;
/// Longest wait for the last lines of a process to be written.
const FINISH_LIMIT: Duration = Duration::from_millis(200);
/// Size in bytes from which no further line is added to a write.
const WRITE_BYTES: usize = 32 * 1024;

/// Log levels of libraries whose messages at each start repeat the decision log.
const QUIET_LIBRARIES: &str = "actix_server=warn, actix_http=warn, tarpc=error";

#[derive(Serialize)]
struct DecisionLine<'a> {
    /// Unix milliseconds.
    at: Millis,
    process: &'a str,
    #[serde(flatten)]
    event: &'a DecisionEvent,
}

/// Use of the budget of one kind in one second.
#[derive(Default)]
struct KindUsage {
    events: u64,
    /// Whether lines were suppressed.
    exceeded: bool,
}

#[derive(Default)]
struct LineBudget {
    second: Millis,
    used: IndexMap<&'static str, KindUsage>,
}

/// Message to the writing thread.
enum LogLine {
    Text(String),
    /// Answered once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Writes decisions; cheap to clone.
#[derive(Clone)]
pub struct DecisionLog {
    process: AgentName,
    lines: SyncSender<LogLine>,
    dropped: Arc<AtomicU64>,
    budget: Arc<Mutex<LineBudget>>,
}

impl DecisionLog {
    /// Starts the writing thread, which writes to `output`.
    pub fn open(process: AgentName, output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(QUEUE_LINES);
        std::thread::Builder::new()
            .name("decision-log".into())
            .spawn(move || write_lines(&waiting, output))?;
        Ok(Self { process, lines, dropped: Arc::default(), budget: Arc::default() })
    }

    /// Lines that did not fit into the queue.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    pub fn record(&self, event: DecisionEvent) {
        let now = unix_ms();
        if self.spend(&event, now) {
            self.send(&event, now);
        }
    }

    /// Whether the budget of the event's kind allows another line; reports exceeded budgets
    /// of the previous second.
    fn spend(&self, event: &DecisionEvent, now: Millis) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let mut suppressed = Vec::new();
        if budget.second != now / 1_000 {
            budget.second = now / 1_000;
            let used = std::mem::take(&mut budget.used);
            let exceeded = used.into_iter().filter(|(_, usage)| usage.exceeded);
            suppressed.extend(exceeded.map(|(kind, usage)| (kind, usage.events)));
        }
        let (kind, failure) = event.kind();
        let usage = budget.used.entry(kind).or_default();
        usage.events += 1;
        let allowed = usage.events <= if failure { FAILURE_BUDGET } else { ROUTINE_BUDGET };
        usage.exceeded |= !allowed;
        drop(budget);
        if !suppressed.is_empty() {
            self.send(&DecisionEvent::LinesSuppressed { kinds: suppressed }, now);
        }
        allowed
    }

    fn send(&self, event: &DecisionEvent, now: Millis) {
        let line = DecisionLine { at: now, process: &self.process, event };
        match serde_json::to_string(&line) {
            Ok(line) => self.send_line(line),
            Err(error) => log::error!("could not encode a decision: {error}"),
        }
    }

    /// Waits for the lines so far to be written, at the end of the process.
    pub fn finish(&self) {
        let (written, answer) = sync_channel(1);
        if self.lines.try_send(LogLine::Flush(written)).is_ok()
            && answer.recv_timeout(FINISH_LIMIT).is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn send_line(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.lines.try_send(LogLine::Text(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes the records of the `log` crate through the same queue.
impl LogWriter for DecisionLog {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let line = serde_json::json!({
            "at": unix_ms(),
            "process": &*self.process,
            "level": record.level().as_str(),
            "message": record.args().to_string(),
        });
        self.send_line(line.to_string());
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging of the `log` crate at `level`, into the decision log.
pub fn open_logger(level: &str, log: &DecisionLog) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(format!("{level}, {QUIET_LIBRARIES}"))?
        .log_to_writer(Box::new(log.clone()))
        .start()
}

fn write_lines(lines: &Receiver<LogLine>, mut output: impl Write) {
    while let Ok(first) = lines.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        let mut next = Some(first);
        while let Some(line) = next {
            match line {
                LogLine::Text(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                LogLine::Flush(written) => flushes.push(written),
            }
            next = if text.len() < WRITE_BYTES { lines.try_recv().ok() } else { None };
        }
        if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
            return;
        }
        for written in flushes {
            if written.try_send(()).is_err() {
                log::debug!("the process ended its wait before its last lines were written");
            }
        }
    }
}
