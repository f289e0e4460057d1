//! Jobs whose queue is removed from the configuration after they were accepted.

use cactusdoor_core::unit::Moment;
use cactusdoor_platform::{config, submission};
use cactusdoor_queue::config::{FleetConfig, OperatorView};
use cactusdoor_queue::name::WorkerIncarnation;
use cactusdoor_queue::report::{AgentReport, EndedRun, JobState, RunEnd, WorkerInfo};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, TaskNeed};
use serde_json::{Value, json};

const NOW: Moment = Moment(10_000);
const UNIX: u64 = 1_700_000_000_000;
/// Longer than the delay before any retry, ms.
const RETRY: u64 = 2_000;

fn route(name: &str, priority: u32, attempts: u32) -> Value {
    json!({"name": name, "host": "h", "pathPrefix": format!("/{name}/"), "service": "minutes",
        "priority": priority, "maxAttempts": attempts, "slackFactor": 2.0})
}

fn configuration(version: u64, routes: &[Value]) -> FleetConfig {
    let body = json!({"version": version, "routes": routes, "services": [], "limits": {}});
    config::read(body.to_string().as_bytes()).unwrap()
}

/// An owner with one worker that has room for one task.
struct Owner {
    scheduler: QueueScheduler,
    now: Moment,
}

impl Owner {
    fn open() -> Self {
        let mut owner = Self { scheduler: QueueScheduler::open(1, Moment(0)), now: NOW };
        owner.report(Vec::new());
        owner
    }

    fn configure(&mut self, config: FleetConfig) {
        let view = OperatorView { config: Some(config), ..OperatorView::default() };
        self.scheduler.set_view(view);
    }

    /// Accepts a job of one task as an entry does, and reads it as an owner does.
    fn submit(&mut self, id: &str, config: &FleetConfig, queue: &str) {
        let body = br#"{"steps":[{"count":1,"cpu":1000,"estimateMs":500}]}"#;
        let spec = submission::read(body, &config.queues[queue], UNIX).unwrap();
        let stored = serde_json::to_vec(&spec).unwrap();
        self.scheduler.submit(&id.into(), JobSpec::decode(&stored).unwrap());
    }

    fn report(&mut self, ended: Vec<EndedRun>) {
        let incarnation = WorkerIncarnation { id: "i-1".into(), born: 1 };
        let worker = WorkerInfo {
            incarnation,
            service: "minutes".into(),
            data_centre: "north".into(),
            capacity: TaskNeed { cpu: 1_000, memory: 1_000, accelerators: 0 },
            labels: Vec::new(),
            leaves_in: None,
        };
        let last = self.scheduler.workers.get("a").map_or(0, |tracked| tracked.last_report);
        let report = AgentReport {
            agent: "a".into(),
            incarnation: 1,
            number: last + 1,
            epoch: 1,
            received: self.scheduler.workers.get("a").map_or(0, |tracked| tracked.last_order),
            worker: Some(worker),
            ended_incarnation: None,
            ended,
            runs: Some(Vec::new()),
            samples: Vec::new(),
            wait: 0,
        };
        self.scheduler.report(&report, self.now, UNIX);
        self.store();
    }

    fn store(&mut self) {
        for effect in self.scheduler.take_writes().iter().filter_map(|write| write.effect.as_ref())
        {
            self.scheduler.release(effect);
        }
    }

    /// Places what can be placed after the longest delay of a retry.
    fn place(&mut self) {
        self.now = self.now.after(RETRY);
        self.report(Vec::new());
        self.scheduler.place(self.now, UNIX);
        self.store();
    }

    /// Jobs of the tasks on the worker, and the numbers of their runs.
    fn running(&self) -> Vec<(String, u32)> {
        let runs = self.scheduler.workers["a"].runs.values();
        runs.map(|run| (run.start.task.job.to_string(), run.start.run)).collect()
    }

    /// Reports that the only run has failed, and places again.
    fn fail(&mut self) {
        let run = self.scheduler.workers["a"].runs.values().next().unwrap().start.clone();
        let (task, run) = (run.task, run.run);
        let (number, checkpoint) = (u64::from(run), "".into());
        self.report(vec![EndedRun { number, task, run, end: RunEnd::Failed, checkpoint }]);
        self.place();
    }

    fn state(&self, id: &str) -> Option<JobState> {
        let live = self.scheduler.jobs.get(id).map(|job| job.state);
        live.or_else(|| self.scheduler.ended.get(id).map(|ending| ending.state))
    }
}

/// Runs of a job whose task always fails, and whose queue is removed during the first run.
fn runs_of_removed(attempts: u32) -> u32 {
    let config = configuration(1, &[route("q", 0, attempts), route("other", 0, 3)]);
    let mut owner = Owner::open();
    owner.submit("j", &config, "q");
    owner.configure(config);
    owner.place();
    owner.configure(configuration(2, &[route("other", 0, 3)]));
    let mut runs = 0;
    while owner.state("j") != Some(JobState::Failed) {
        assert_eq!(owner.running(), [("j".to_owned(), runs + 1)]);
        runs += 1;
        owner.fail();
    }
    runs
}

/// Guards against a job that is given up early (LOST): every removed queue had three attempts.
#[test]
fn a_job_of_a_removed_queue_keeps_its_attempts() {
    assert_eq!(runs_of_removed(5), 5);
}

/// Guards against runs beyond the attempts of a queue (BUDGET), by the same default.
#[test]
fn a_job_of_a_removed_queue_gets_no_further_attempts() {
    assert_eq!(runs_of_removed(2), 2);
}

/// Guards against urgent jobs that wait behind all others: a removed queue had the lowest
/// priority.
#[test]
fn a_job_of_a_removed_queue_keeps_its_priority() {
    let routes = [route("urgent", 0, 3), route("other", 1, 3)];
    let config = configuration(1, &routes);
    let mut owner = Owner::open();
    owner.submit("o", &config, "other");
    owner.submit("u", &config, "urgent");
    owner.configure(configuration(2, &routes[1..]));
    owner.place();
    assert_eq!(owner.running(), [("u".to_owned(), 1)]);
}

/// The attempts of a queue that is configured are those of the newest configuration.
#[test]
fn a_job_of_a_changed_queue_has_the_new_attempts() {
    let config = configuration(1, &[route("q", 0, 1)]);
    let mut owner = Owner::open();
    owner.submit("j", &config, "q");
    owner.configure(configuration(2, &[route("q", 0, 2)]));
    owner.place();
    owner.fail();
    assert_eq!(owner.running(), [("j".to_owned(), 2)]);
    owner.fail();
    assert_eq!(owner.state("j"), Some(JobState::Failed));
}
