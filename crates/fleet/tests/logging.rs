//! The decision log is bounded and never blocks.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

use cactusdoor_fleet::decision::{DecisionEvent, StoredVia};
use cactusdoor_fleet::decision_log::DecisionLog;

/// A pipe whose reader has stopped: a write blocks until the test closes the channel.
struct FullPipe(mpsc::Receiver<()>);

impl Write for FullPipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _closed = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct SharedText(Arc<Mutex<Vec<u8>>>);

impl Write for SharedText {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl SharedText {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

#[test]
fn a_full_pipe_drops_lines_without_blocking_the_caller() {
    let (open, pipe) = mpsc::channel();
    let log = DecisionLog::open("p".into(), FullPipe(pipe)).unwrap();
    let started = Instant::now();
    // More lines than the queue holds take more than one second's budget.
    while log.dropped() == 0 {
        let agent = "a".into();
        log.record(DecisionEvent::AgentSilent { agent, silent: Some(1) });
        assert!(started.elapsed() < Duration::from_secs(60), "the queue is not bounded");
        std::thread::sleep(Duration::from_micros(200));
    }
    drop(open);
}

#[test]
fn each_kind_of_event_has_a_budget_and_exceeded_budgets_are_reported() {
    let text = SharedText::default();
    let log = DecisionLog::open("p".into(), text.clone()).unwrap();
    for _ in 0..1_000 {
        log.record(DecisionEvent::CancelAccepted {
            job: "j".into(),
            via: StoredVia::Store,
            waited: 1,
        });
    }
    log.record(DecisionEvent::AgentSilent { agent: "a".into(), silent: Some(1) });
    std::thread::sleep(Duration::from_millis(1_200));
    log.record(DecisionEvent::ProcessStopping);
    std::thread::sleep(Duration::from_millis(200));
    let text = text.text();
    let routine = text.lines().filter(|line| line.contains("cancel_accepted\"")).count();
    assert!(routine <= 2 * 60 + 1, "{routine} lines of a routine event");
    assert!(text.contains("agent_silent"), "a failure keeps its own budget");
    assert!(text.contains("lines_left_out"), "{text}");
}

/// Lines of a routine kind were lost without a note unless the kind had more than the budget
/// of failures.
#[test]
fn a_routine_kind_above_its_own_budget_is_reported() {
    let text = SharedText::default();
    let log = DecisionLog::open("p".into(), text.clone()).unwrap();
    // More than twice the budget: one second has too many, even if another begins meanwhile.
    for _ in 0..150 {
        let (job, via) = ("j".into(), StoredVia::Store);
        log.record(DecisionEvent::CancelAccepted { job, via, waited: 1 });
        log.record(DecisionEvent::AgentSilent { agent: "a".into(), silent: Some(1) });
    }
    std::thread::sleep(Duration::from_millis(1_100));
    log.record(DecisionEvent::ProcessStopping);
    std::thread::sleep(Duration::from_millis(200));
    let text = text.text();
    let lines = text.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    let notes: Vec<_> = lines.filter(|line| line["event"] == "lines_left_out").collect();
    assert!(!notes.is_empty(), "no note of suppressed lines");
    let kinds: Vec<_> =
        notes.iter().flat_map(|note| note["kinds"].as_array().unwrap().clone()).collect();
    for kind in &kinds {
        assert_eq!(kind[0], "cancel_accepted", "only this kind exceeded its budget");
        assert!((61..=150).contains(&kind[1].as_u64().unwrap()), "{kind}");
    }
    let written = text.lines().filter(|line| line.contains("\"event\":\"agent_silent\"")).count();
    assert_eq!(written, 150, "failures have the larger budget");
}

#[test]
fn a_line_is_json_with_the_name_of_the_event() {
    let text = SharedText::default();
    let log = DecisionLog::open("p".into(), text.clone()).unwrap();
    let event = DecisionEvent::OwnerLost { epoch: 3, cause: "no answer".into(), silent: 7 };
    let (kind, failure) = event.kind();
    log.record(event);
    std::thread::sleep(Duration::from_millis(200));
    let line: serde_json::Value = serde_json::from_str(text.text().trim()).unwrap();
    assert_eq!((line["event"].as_str(), failure), (Some(kind), true));
    assert_eq!((line["process"].as_str(), line["epoch"].as_u64()), (Some("p"), Some(3)));
    assert!(line["at"].as_u64().is_some());
}

/// A process that stopped once ended before its last line was written.
#[test]
fn the_last_line_is_written_before_the_process_ends() {
    let text = SharedText::default();
    let log = DecisionLog::open("p".into(), text.clone()).unwrap();
    log.record(DecisionEvent::ProcessStopped);
    log.finish();
    assert!(text.text().contains("process_stopped"));
}
