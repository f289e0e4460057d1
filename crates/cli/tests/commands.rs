//! Commands against an administration API that folds changes as the log does.

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
    /// A change of another operator that comes first.
    rival: Arc<Mutex<Option<Vec<ItemChange>>>>,
    holds_back: bool,
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
        if self.holds_back {
            return Err(OperatorError::Unknown { message: "held back".to_owned() });
        }
        if let Some(rival) = self.rival.lock().unwrap().take() {
            self.apply(rival).unwrap();
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

/// A file in the build directory that is removed at the end.
struct TestFile(PathBuf);

impl TestFile {
    fn write(name: &str, text: &str) -> Self {
        // Several runs of the tests may share the directory.
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

/// Guards against a declaration of arguments that cannot be parsed or rendered.
#[test]
fn arguments_are_consistent() {
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

/// Guards against a list that is not published as shown, or published twice.
#[actix::test]
async fn list_is_published_once() {
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

/// Guards against an empty file, such as one that is still being written, that
/// removes all plans.
#[actix::test]
async fn empty_list_is_refused() {
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

/// Guards against operators who cannot tell a conflict, an unknown outcome and
/// an unreachable entry apart.
#[actix::test]
async fn failures_have_their_own_exit_codes() {
    let rival = PlanSpec { team: TeamName::new("rival").unwrap(), weight: 1 };
    let value = ItemValue::Plan(PlanName::new("koperasi").unwrap(), Some(rival));
    let operator = FakeOperator::default();
    *operator.rival.lock().unwrap() = Some(vec![ItemChange { premise: 0, value }]);
    let address = serve(operator, events("e")).to_string();
    let file = TestFile::write("exit-codes.ini", PLANS);
    let status = async |line: &[&str]| run(line).await.1.unwrap_err().status();
    let publish = ["plans", "publish", "--entry", &address, file.path()];
    assert_eq!(status(&publish).await, ExitStatus::Conflict);

    let held = serve(FakeOperator { holds_back: true, ..FakeOperator::default() }, events("e"));
    let held = held.to_string();
    let publish = ["plans", "publish", "--entry", &held, file.path()];
    assert_eq!(status(&publish).await, ExitStatus::Unknown);

    let list = ["jobs", "list", "--entry", &address, "dc9-0"];
    assert_eq!(status(&list).await, ExitStatus::Refused);
    let faulty = TestFile::write("exit-codes-faulty.ini", "[koperasi]\nweight = 0\n");
    let publish = ["plans", "publish", "--entry", &address, faulty.path()];
    assert_eq!(status(&publish).await, ExitStatus::Usage);
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    assert_eq!(status(&["roster", "--entry", &closed]).await, ExitStatus::Unreachable);
    let show = ["jobs", "show", "--callers", &closed, "p/k"];
    assert_eq!(status(&show).await, ExitStatus::Unreachable);
}

/// Guards against a data centre that goes out and does not come back.
#[actix::test]
async fn data_centres_go_out_and_come_back() {
    let address = serve(FakeOperator::default(), events("e")).to_string();
    let (out, _) = run(&["take-out", "--entry", &address, "dc1"]).await;
    assert_eq!(out, "data centre dc1 is out as of revision 1\n");
    let (out, _) = run(&["bring-back", "--entry", &address, "dc1"]).await;
    assert_eq!(out, "data centre dc1 is in as of revision 2\n");
}

/// Guards against a timeline out of order, without its later pages, or
/// incomplete without saying so.
#[actix::test]
async fn timeline_merges_all_processes() {
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

/// Guards against settings files that are taken for the other kind or whose
/// faults are found only at the start of the daemon.
#[actix::test]
async fn settings_of_both_daemons_are_checked() {
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
    let faulty = TestFile::write("faulty.ini", &format!("{common}[callers]\nadress=here\n"));
    let (_, result) = run(&["check", faulty.path()]).await;
    let error = result.unwrap_err();
    assert_eq!(error.status(), ExitStatus::Usage);
    let text = error.chain();
    assert!(text.contains("[callers] address: missing"), "{text}");
    assert!(text.contains("[callers] adress: unknown key"), "{text}");
}
