//! Subcommands against a stand-in for an entry's administration API, which accepts or
//! rejects changes with the same fold as the entries.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use actix_web::{App, HttpServer};
use assert_matches::assert_matches;
use cactusdoor_caller::job::JobStatus;
use cactusdoor_cli::{CommandError, ExitStatus, Run, args};
use cactusdoor_core::config::{
    ConfigEffect, ConfigFold, ConfigRecord, DataCentreState, ItemChange, ItemName, ItemValue,
    PlanSpec,
};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::name::{DataCentre, PlanName, ProcessName, ShardName, TeamName};
use cactusdoor_node::monitor::ProcessMonitor;
use cactusdoor_operator::types::{ChangeAccepted, ConfigView, RosterView};
use cactusdoor_operator::{OperatorError, OperatorHandler};
use cactusdoor_timeline::{EventKind, EventLog};

#[derive(Clone, Default)]
struct FakeOperator {
    fold: Arc<Mutex<ConfigFold>>,
    /// Another operator's change, applied before the first change that arrives.
    concurrent_change: Arc<Mutex<Option<Vec<ItemChange>>>>,
    /// Whether every change is answered as unknown.
    outcome_unknown: bool,
}

impl FakeOperator {
    fn apply(&self, items: Vec<ItemChange>) -> Result<ChangeAccepted, OperatorError> {
        let mut fold = self.fold.lock().unwrap();
        let writer = WriterId { process: ProcessName::new("fake").unwrap(), incarnation: 1 };
        let (offset, body) = (fold.next(), ConfigRecord::Changed { items });
        match fold.apply(offset, LogEnvelope { writer, sequence: offset + 1, body }) {
            ConfigEffect::Accepted(revision) => Ok(ChangeAccepted { revision }),
            ConfigEffect::Rejected(conflict) => Err(OperatorError::Conflict { conflict }),
            ConfigEffect::Ignored => unreachable!(),
        }
    }
}

impl OperatorHandler for FakeOperator {
    async fn config(&self) -> Result<ConfigView, OperatorError> {
        let fold = self.fold.lock().unwrap();
        let items = fold.state().items().cloned().collect();
        Ok(ConfigView { revision: fold.state().revision(), confirmed_age_ms: Some(1), items })
    }

    async fn change(&self, items: Vec<ItemChange>) -> Result<ChangeAccepted, OperatorError> {
        if self.outcome_unknown {
            return Err(OperatorError::Unknown { message: "the log did not answer".to_owned() });
        }
        if let Some(items) = self.concurrent_change.lock().unwrap().take() {
            self.apply(items).unwrap();
        }
        self.apply(items)
    }

    async fn set_data_centre(
        &self,
        data_centre: DataCentre,
        state: DataCentreState,
    ) -> Result<ChangeAccepted, OperatorError> {
        let item = ItemName::DataCentre(data_centre.clone());
        let premise = self.fold.lock().unwrap().state().premise(&item);
        self.apply(vec![ItemChange { premise, value: ItemValue::DataCentre(data_centre, state) }])
    }

    async fn roster(&self) -> Result<RosterView, OperatorError> {
        Ok(RosterView::default())
    }

    async fn shard_jobs(&self, _: ShardName) -> Result<Vec<JobStatus>, OperatorError> {
        Err(OperatorError::NotFound { message: "no such shard".to_owned() })
    }
}

fn serve(operator: FakeOperator, events: EventLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let monitor = ProcessMonitor::open(events);
    let server = HttpServer::new(move || {
        let (operator, monitor) = (operator.clone(), monitor.clone());
        App::new()
            .configure(move |config| monitor.configure(config))
            .configure(move |config| cactusdoor_operator::configure(operator, config))
    });
    let server = server.workers(1).disable_signals().listen(listener).unwrap().run();
    actix_rt::spawn(server);
    address
}

fn events(process: &str) -> EventLog {
    EventLog::open(ProcessName::new(process).unwrap())
}

async fn run(line: &[&str]) -> (String, Result<(), CommandError>) {
    let command = args::parser().run_inner(line).unwrap();
    let mut out = Vec::new();
    let result = command.run(&mut out).await;
    (String::from_utf8(out).unwrap(), result)
}

/// A file in the build directory, removed when dropped.
struct TestFile(PathBuf);

impl TestFile {
    fn write(name: &str, text: &str) -> Self {
        // Concurrent test runs may share the directory.
        let name = format!("{}-{name}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const PLANS: &str = "[koperasi]\nteam = minutes\nweight = 10\n";

/// Guards against argument declarations that bpaf rejects, and against invalid arguments
/// that are accepted.
#[test]
fn arguments_are_consistent_and_invalid_ones_rejected() {
    args::parser().check_invariants(true);
    for line in [
        &["plans"][..],
        &["plans", "publish", "--entry", "127.0.0.1:1"],
        &["take-out", "--entry", "127.0.0.1:1", "a b"],
        &["jobs", "show", "--callers", "127.0.0.1:1", "plan-without-key"],
        &["timeline", "--from", "127.0.0.1:1,nowhere"],
    ] {
        assert!(args::parser().run_inner(line).is_err(), "{line:?}");
    }
}

/// Guards against a dry run that publishes, a list that is shown in another form than
/// published, and an unchanged list that is published again.
#[actix::test]
async fn unchanged_list_is_not_published_again() {
    let address = serve(FakeOperator::default(), events("e")).to_string();
    let file = TestFile::write("publish-once.ini", PLANS);
    let publish = ["plans", "publish", "--entry", &address, file.path()];
    let dry = ["plans", "publish", "--dry-run", "--entry", &address, file.path()];
    let (out, result) = run(&dry).await;
    assert_matches!(result, Ok(()));
    assert!(out.contains("+ plan koperasi: team minutes, weight 10"), "{out}");
    let (out, _) = run(&publish).await;
    assert!(out.contains("accepted as revision 1"), "{out}");
    let (out, _) = run(&publish).await;
    assert_eq!(out, "nothing to change at revision 1\n");
    let (out, _) = run(&["plans", "show", "--entry", &address]).await;
    assert_eq!(out, PLANS);
}

/// Guards against an empty file removing all plans, such as a file that is still being
/// written.
#[actix::test]
async fn empty_list_is_published_only_if_allowed() {
    let address = serve(FakeOperator::default(), events("e")).to_string();
    let file = TestFile::write("empty-before.ini", PLANS);
    let (out, _) = run(&["plans", "publish", "--entry", &address, file.path()]).await;
    assert!(out.contains("accepted as revision 1"), "{out}");
    let empty = TestFile::write("empty.ini", "");
    let (_, result) = run(&["plans", "publish", "--entry", &address, empty.path()]).await;
    assert_eq!(result.unwrap_err().status(), ExitStatus::Usage);
    let line = ["plans", "publish", "--allow-empty", "--entry", &address, empty.path()];
    let (out, _) = run(&line).await;
    assert_eq!(out, "- plan koperasi\naccepted as revision 2\n");
}

/// Guards against failures that an operator's script cannot tell apart: conflict,
/// unknown outcome, refusal, invalid file and unreachable entry.
#[actix::test]
async fn each_kind_of_failure_has_its_own_exit_code() {
    let other_spec = PlanSpec { team: TeamName::new("rival").unwrap(), weight: 1 };
    let value = ItemValue::Plan(PlanName::new("koperasi").unwrap(), Some(other_spec));
    let operator = FakeOperator::default();
    *operator.concurrent_change.lock().unwrap() = Some(vec![ItemChange { premise: 0, value }]);
    let address = serve(operator, events("e")).to_string();
    let file = TestFile::write("exit-codes.ini", PLANS);
    let status = async |line: &[&str]| run(line).await.1.unwrap_err().status();
    let publish = ["plans", "publish", "--entry", &address, file.path()];
    assert_eq!(status(&publish).await, ExitStatus::Conflict);

    let unconfirmed =
        serve(FakeOperator { outcome_unknown: true, ..FakeOperator::default() }, events("e"));
    let unconfirmed = unconfirmed.to_string();
    let publish = ["plans", "publish", "--entry", &unconfirmed, file.path()];
    assert_eq!(status(&publish).await, ExitStatus::Unknown);

    let list = ["jobs", "list", "--entry", &address, "dc9-0"];
    assert_eq!(status(&list).await, ExitStatus::Refused);
    let invalid = TestFile::write("exit-codes-faulty.ini", "[koperasi]\nweight = 0\n");
    let publish = ["plans", "publish", "--entry", &address, invalid.path()];
    assert_eq!(status(&publish).await, ExitStatus::Usage);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    assert_eq!(status(&["roster", "--entry", &closed]).await, ExitStatus::Unreachable);
    let show = ["jobs", "show", "--callers", &closed, "p/k"];
    assert_eq!(status(&show).await, ExitStatus::Unreachable);
}

/// Guards against a data centre that is taken out of service and cannot be brought back.
#[actix::test]
async fn data_centre_is_taken_out_and_brought_back() {
    let address = serve(FakeOperator::default(), events("e")).to_string();
    let (out, _) = run(&["take-out", "--entry", &address, "dc1"]).await;
    assert_eq!(out, "data centre dc1 is out as of revision 1\n");
    let (out, _) = run(&["bring-back", "--entry", &address, "dc1"]).await;
    assert_eq!(out, "data centre dc1 is in as of revision 2\n");
}

/// Guards against a timeline that is out of order, lacks all pages but the first, or is
/// incomplete although the command reports success.
#[actix::test]
async fn timeline_merges_the_events_of_all_processes() {
    let (one, other) = (events("one"), events("other"));
    for attempt in 0..3_000 {
        let (request, vm) = (format!("r{attempt}"), "vm1".parse().unwrap());
        one.record(EventKind::RequestSent { request: request.clone(), vm, attempt });
        other.observe(one.stamp());
        let outcome = "answered".to_owned();
        other.record(EventKind::RequestEnded { request, outcome, elapsed_ms: 1 });
        one.observe(other.stamp());
    }
    let first = serve(FakeOperator::default(), one);
    let second = serve(FakeOperator::default(), other);
    let from = format!("{second},{first}");
    let (out, result) = run(&["timeline", "--from", &from]).await;
    assert_matches!(result, Ok(()));
    let lines: Vec<_> = out.lines().collect();
    assert_eq!(lines.len(), 6_000);
    for (attempt, pair) in lines.chunks(2).enumerate() {
        let id = format!("request=r{attempt}");
        assert!(pair[0].contains("request_sent") && pair[0].contains(&id), "{}", pair[0]);
        assert!(pair[1].contains("request_ended") && pair[1].contains(&id), "{}", pair[1]);
    }
    let (out, _) = run(&["timeline", "--from", &from, "--request", "r7", "--json"]).await;
    assert_eq!(out.lines().count(), 2);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (out, result) = run(&["timeline", "--from", &format!("{first},{closed}")]).await;
    assert_eq!(out.lines().count(), 3_000);
    assert_eq!(result.unwrap_err().status(), ExitStatus::Unreachable);
}

/// Guards against a settings file that is checked as that of the other daemon, and
/// against invalid settings that are found only when the daemon starts.
#[actix::test]
async fn settings_of_entries_and_agents_are_checked() {
    let common = "[process]\nname=p\nvm=p\ndata_centre=dc1\nrack=r\npeer_address=127.0.0.1:1\n\
                  operator_address=127.0.0.1:2\n[log]\naddress=127.0.0.1:3\n[entries]\n\
                  peers=127.0.0.1:4\n[shards]\ndata_centres=dc1\n";
    let entry = TestFile::write("entry.ini", &format!("{common}[callers]\naddress=127.0.0.1:5\n"));
    let (out, _) = run(&["check", entry.path()]).await;
    assert!(out.contains("settings of entry p have no faults"), "{out}");
    let agent = format!("{common}[worker]\naddress=127.0.0.1:5\n[upstream]\naddress=127.0.0.1:6\n");
    let agent = TestFile::write("agent.ini", &agent);
    let (out, _) = run(&["check", agent.path()]).await;
    assert!(out.contains("settings of agent p have no faults"), "{out}");
    let invalid = TestFile::write("faulty.ini", &format!("{common}[callers]\nadress=here\n"));
    let (_, result) = run(&["check", invalid.path()]).await;
    let error = result.unwrap_err();
    assert_eq!(error.status(), ExitStatus::Usage);
    let text = error.chain();
    assert!(text.contains("[callers] address: missing"), "{text}");
    assert!(text.contains("[callers] adress: unknown key"), "{text}");
}
