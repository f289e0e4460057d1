//! Work under single faults and pairs of faults, checked against all histories.
//!
//! `CACTUSDOOR_CHAOS_SEED` sets another seed for the choice of pairs and VMs.

use std::collections::BTreeSet;

use bytes::Bytes;
use cactusdoor_core::constants::MAX_CONFIG_AGE;
use cactusdoor_standin::check::{self, TaskRun};
use cactusdoor_standin::history::unix_us;
use cactusdoor_standin::log_service::LogFault;
use cactusdoor_standin::relay::RelayFault;
use cactusdoor_standin::upstream::{ExecutionChange, UpstreamFault};
use cactusdoor_standin::worker::WorkerFault;
use futures::future::join_all;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::time::{Duration, Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

use crate::fixture::{ClusterFixture, wait_for};
use crate::{DAEMON_TIMEOUT, LEAVE_GRACE_US, PAUSE};

const DEFAULT_SEED: u64 = 20_261_204;
/// Time within which all processes must have an accepted change.
const CHANGE_TARGET: Duration = Duration::from_secs(7);
/// Duration of a fault other than a pause; above `MAX_CONFIG_AGE` and the timeout
/// after which an owner is replaced.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Tasks of the job of a round.
const TASKS: u32 = 8;
/// Settlements of a round.
const KEYS: usize = 6;
/// Requested answer sizes in bytes; 0 requests an empty answer.
const ANSWER_SIZES: [usize; 5] = [0, 400, 70_000, 1_000_000, 4_000_000];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillEntry,
    KillAgent,
    KillOwner,
    PauseAgent,
    PauseOwner,
    LogDown,
    LogSlow,
    LogAnswersLost,
    LogRateLimited,
    LogLinkCut,
    CentreOut,
    CancellationWave,
    FailingWorker,
    BrokenAnswers,
    UpstreamLeaves,
}

use Fault::{
    BrokenAnswers, CancellationWave, CentreOut, FailingWorker, KillAgent, KillEntry, KillOwner,
    LogAnswersLost, LogDown, LogLinkCut, LogRateLimited, LogSlow, PauseAgent, PauseOwner,
    UpstreamLeaves,
};

const PROCESS_FAULTS: [Fault; 5] = [KillEntry, KillAgent, KillOwner, PauseAgent, PauseOwner];
const LOG_FAULTS: [Fault; 5] = [LogDown, LogSlow, LogAnswersLost, LogRateLimited, LogLinkCut];
const WORK_FAULTS: [Fault; 5] =
    [CentreOut, CancellationWave, FailingWorker, BrokenAnswers, UpstreamLeaves];

/// A cluster under a sequence of rounds, and the events of the rounds that the checks
/// need.
struct ChaosRun {
    fixture: ClusterFixture,
    random: ChaCha8Rng,
    round: usize,
    /// Keys of settlements for which a caller got the answer "not run".
    answered_not_run: BTreeSet<String>,
    /// Intervals in which data centre a was out, in Unix microseconds.
    out_intervals: Vec<(u64, u64)>,
    /// Keys of cancelled jobs.
    cancelled: BTreeSet<String>,
}

fn seed() -> u64 {
    let configured = std::env::var("CACTUSDOOR_CHAOS_SEED").ok();
    configured
        .map_or(DEFAULT_SEED, |seed| seed.parse().expect("CACTUSDOOR_CHAOS_SEED must be a number"))
}

impl ChaosRun {
    async fn open(number: u64) -> Self {
        let fixture = ClusterFixture::with_log_relays().await;
        let random = ChaCha8Rng::seed_from_u64(seed().wrapping_add(number));
        let (answered_not_run, cancelled) = (BTreeSet::new(), BTreeSet::new());
        Self { fixture, random, round: 0, answered_not_run, out_intervals: Vec::new(), cancelled }
    }

    /// Starts work, injects the faults together, ends them, and checks that the work
    /// completes without a violated invariant.
    async fn run_round(&mut self, faults: &[Fault]) {
        self.round += 1;
        println!("seed {}, round {}: {faults:?}", seed(), self.round);
        let job = format!("job-{}", self.round);
        let before = self.fixture.runs().len();
        self.submit(&job, 1_500).await;
        wait_for("a task starts", async || self.fixture.runs().len() > before).await;
        let mut targets = Vec::new();
        for &fault in faults {
            targets.push((fault, self.inject(fault).await));
        }
        let keys: Vec<String> = (0..KEYS).map(|key| format!("key-{}-{key}", self.round)).collect();
        let injected = Instant::now();
        self.send_settlements(&keys).await;
        self.send_requests().await;
        let duration = if faults.iter().any(|f| matches!(f, PauseAgent | PauseOwner)) {
            PAUSE
        } else {
            FAULT_TIME
        };
        sleep(duration.saturating_sub(injected.elapsed())).await;
        for (fault, target) in targets {
            self.end_fault(fault, target).await;
        }
        self.await_recovery(&job, &keys).await;
        self.check(faults);
    }

    async fn submit(&self, job: &str, run_time_ms: u64) {
        let accepted = async || self.fixture.try_submit(1, job, TASKS, run_time_ms).await;
        wait_for("the job is accepted", accepted).await;
    }

    /// Injects a fault; returns the index of its target VM, which some faults ignore.
    async fn inject(&mut self, fault: Fault) -> usize {
        let owner = matches!(fault, KillOwner | PauseOwner);
        let vms = 0..self.fixture.cluster.vms.len();
        let random_vm = self.random.random_range(vms);
        let target = self.fixture.busy_vm(owner).await.unwrap_or(random_vm);
        let agent = self.fixture.cluster.vms[target].agent.clone();
        let log = LogFault::default();
        let cluster = &mut self.fixture.cluster;
        match fault {
            KillEntry => cluster.children.kill(&cluster.entries[0].name.clone()).unwrap(),
            KillAgent | KillOwner => cluster.children.kill(&agent).unwrap(),
            PauseAgent | PauseOwner => cluster.children.pause(&agent).unwrap(),
            LogDown => cluster.log.set_fault(LogFault { down: true, ..log }),
            LogSlow => cluster.log.set_fault(LogFault { delay_ms: 800, ..log }),
            LogAnswersLost => {
                let fault = LogFault { lose_answers: 6, hold_back: 6, hold_ms: Some(700), ..log };
                cluster.log.set_fault(fault);
            }
            LogRateLimited => cluster.log.set_fault(LogFault { limit_appends: 60, ..log }),
            LogLinkCut => cluster.log_relays[&agent].set_fault(RelayFault::partition()),
            CentreOut => {
                let changed = async || self.fixture.set_data_centre("a", "out").await;
                wait_for("the data centre is out", changed).await;
                self.out_intervals.push((unix_us(), u64::MAX));
            }
            CancellationWave => self.cancel_jobs().await,
            FailingWorker => {
                let fault = WorkerFault { fail_tasks: true, ..WorkerFault::default() };
                cluster.vms[target].worker.set_fault(fault);
            }
            BrokenAnswers => {
                let fault =
                    UpstreamFault { break_answers: 3, lose_answers: 3, ..UpstreamFault::default() };
                cluster.vms[target].upstream.as_ref().unwrap().set_fault(fault);
            }
            UpstreamLeaves => cluster.vms[target].upstream.as_ref().unwrap().leave(),
        }
        target
    }

    /// Ends a fault; restarts or resumes what it stopped.
    async fn end_fault(&mut self, fault: Fault, target: usize) {
        let cluster = &mut self.fixture.cluster;
        let agent = cluster.vms[target].agent.clone();
        match fault {
            KillEntry => cluster.children.start(&cluster.entries[0].name.clone()).unwrap(),
            KillAgent | KillOwner => cluster.children.start(&agent).unwrap(),
            PauseAgent | PauseOwner => cluster.children.resume(&agent).unwrap(),
            LogDown | LogSlow | LogAnswersLost | LogRateLimited => {
                cluster.log.set_fault(LogFault::default());
            }
            LogLinkCut => cluster.log_relays[&agent].set_fault(RelayFault::default()),
            CentreOut => {
                // The change may take effect although its answer is lost, so its request
                // ends the interval.
                self.out_intervals.last_mut().unwrap().1 = unix_us();
                let changed = async || self.fixture.set_data_centre("a", "in").await;
                wait_for("the data centre is in", changed).await;
            }
            CancellationWave => {}
            FailingWorker => cluster.vms[target].worker.set_fault(WorkerFault::default()),
            BrokenAnswers => {
                let upstream = cluster.vms[target].upstream.as_ref().unwrap();
                upstream.set_fault(UpstreamFault::default());
            }
            UpstreamLeaves => self.fixture.replace_upstream(target),
        }
    }

    /// Submits long jobs and cancels all of them at once.
    async fn cancel_jobs(&mut self) {
        for number in 0..4 {
            let job = format!("cancelled-{}-{number}", self.round);
            self.submit(&job, 60_000).await;
            self.cancelled.insert(job);
        }
        let jobs = self.cancelled.iter().map(|job| async {
            let cancelled = async || self.fixture.cancel(1, job).await;
            wait_for("the cancellation is accepted", cancelled).await;
        });
        join_all(jobs).await;
    }

    /// Sends every settlement through both entries concurrently.
    async fn send_settlements(&mut self, keys: &[String]) {
        let callers = [self.fixture.caller(0), self.fixture.caller(1)];
        let calls = callers.iter().flat_map(|caller| {
            let fixture = &self.fixture;
            keys.iter().map(move |key| async move { (key, fixture.settle(caller, key).await) })
        });
        for (key, reply) in join_all(calls).await {
            let error = reply.and_then(|reply| reply.json::<Value>().ok()).unwrap_or_default();
            if error["error"]["outcome"] == "not_run" {
                self.answered_not_run.insert(key.clone());
            }
        }
    }

    /// Sends interactive requests of all answer sizes concurrently; checks that each
    /// successful answer is complete and belongs to its request.
    async fn send_requests(&self) {
        let caller = self.fixture.caller(1);
        let calls = ANSWER_SIZES.iter().enumerate().map(|(number, &size)| {
            let question = json!({ "answer_bytes": size, "round": self.round, "number": number });
            let (caller, fixture) = (&caller, &self.fixture);
            async move {
                let body = Bytes::from(question.to_string());
                let Ok(reply) =
                    caller.interactive(&fixture.service, &fixture.plan, body.clone()).await
                else {
                    return;
                };
                if reply.status != 200 {
                    return;
                }
                assert!(reply.body.len() >= size && (size > 0 || reply.body.is_empty()));
                let digest = reply.answer_digest.clone().unwrap();
                assert_eq!(digest, format!("{:016x}", xxh3_64(&reply.body)));
                if size > 0 {
                    let answer: Value = reply.json().unwrap();
                    assert_eq!(answer["body_digest"], xxh3_64(&body));
                    // The id at the upstream ends with the number of the attempt.
                    let prefix = format!("{}-", reply.request_id.clone().unwrap());
                    assert!(answer["request_id"].as_str().unwrap().starts_with(&prefix));
                }
            }
        });
        join_all(calls).await;
    }

    /// Waits until the job has finished and all outcomes are final, and checks that a
    /// configuration change reaches every process.
    async fn await_recovery(&mut self, job: &str, keys: &[String]) {
        let names: Vec<String> = self.fixture.cluster.children.names().map(str::to_owned).collect();
        for name in names {
            self.fixture.cluster.children.wait_ready(&name, DAEMON_TIMEOUT).await.unwrap();
        }
        wait_for("all tasks finish", async || self.fixture.finished_of_job(job) == TASKS as usize)
            .await;
        let caller = self.fixture.caller(1);
        for key in keys {
            let is_final = async || {
                let Some(reply) = self.fixture.settle(&caller, key).await else { return false };
                let retry = reply.json::<Value>().unwrap_or_default()["error"]["retry"].clone();
                reply.status == 200 || retry != "same_key"
            };
            wait_for("the outcome is final", is_final).await;
        }
        let is_stopped = |run: &TaskRun| {
            run.stopped.is_some() || !self.cancelled.contains(run.task.job.key.as_str())
        };
        wait_for("cancelled tasks stop", async || self.fixture.runs().iter().all(is_stopped)).await;
        race_changes(&self.fixture, self.round).await;
    }

    /// Checks all histories against the invariants that hold under `faults`.
    fn check(&self, faults: &[Fault]) {
        self.fixture.check();
        let executions = self.fixture.executions();
        assert_eq!(check::late_starts(&executions, LEAVE_GRACE_US), []);
        for record in &executions {
            let key = record.key.clone().unwrap_or_default();
            assert!(
                !self.answered_not_run.contains(&key),
                "{key} was executed although a caller got the answer \"not run\""
            );
        }
        let runs = self.fixture.runs();
        for &(from, to) in &self.out_intervals {
            let from = from + MAX_CONFIG_AGE * 1_000;
            let is_late = |run: &&TaskRun| {
                run.worker.starts_with("a-") && run.started > from && run.started < to
            };
            assert_eq!(runs.iter().find(is_late), None);
        }
        let job = format!("job-{}", self.round);
        let of_round = |run: &TaskRun| run.task.job.key.as_str() == job;
        let runs: Vec<TaskRun> = runs.into_iter().filter(of_round).collect();
        // If an agent was killed, paused past the lease or cut off from the log together with its
        // owner, the end of its task is unknown, so the task runs once more.
        let may_repeat = faults.iter().any(|fault| {
            matches!(fault, KillAgent | KillOwner | PauseAgent | PauseOwner | LogLinkCut)
        });
        let limit = if may_repeat { 2 } else { 1 };
        assert_eq!(check::repeated_finishes(&runs, limit), []);
        if !may_repeat {
            assert_eq!(check::lost_checkpoints(&runs), []);
        }
    }
}

/// Two operators change the same item concurrently; checks that one change is accepted
/// and reaches every process in time.
async fn race_changes(fixture: &ClusterFixture, round: usize) {
    let before = fixture.revision(0).await.unwrap();
    let (weight, premise) = (u32::try_from(round).unwrap(), fixture.plan_revision().await);
    let (first, second) = futures::join!(
        fixture.change_weight(0, premise, weight + 1),
        fixture.change_weight(1, premise, weight + 50)
    );
    let accepted: Vec<u64> = [first, second].into_iter().flatten().collect();
    assert_eq!(accepted.len(), 1, "two changes with one premise were accepted, or none");
    assert!(accepted[0] > before);
    let accepted_at = Instant::now();
    let processes = fixture.cluster.entries.len() + fixture.cluster.vms.len();
    for process in 0..processes {
        let mut last = 0;
        loop {
            let revision = fixture.revision(process).await.unwrap_or(last);
            assert!(revision >= last, "the revision of process {process} decreased");
            last = revision;
            if last >= accepted[0] {
                break;
            }
            assert!(accepted_at.elapsed() < CHANGE_TARGET, "process {process} is at {last}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Runs one round for each fault.
async fn run_single_faults(number: u64, faults: &[Fault]) {
    let mut run = ChaosRun::open(number).await;
    for &fault in faults {
        run.run_round(&[fault]).await;
    }
}

/// Runs three rounds with a random fault of each list, chosen by the seed.
async fn run_fault_pairs(number: u64, first: &[Fault], second: &[Fault]) {
    let mut run = ChaosRun::open(number).await;
    for _ in 0..3 {
        let first_fault = *first.choose(&mut run.random).unwrap();
        let second_fault = *second.choose(&mut run.random).unwrap();
        run.run_round(&[first_fault, second_fault]).await;
    }
}

/// Guards against violated invariants when processes are killed or paused.
#[actix_rt::test]
async fn invariants_hold_under_process_faults() {
    run_single_faults(1, &PROCESS_FAULTS).await;
}

/// Guards against violated invariants when the log fails.
#[actix_rt::test]
async fn invariants_hold_under_log_faults() {
    run_single_faults(2, &LOG_FAULTS).await;
}

/// Guards against violated invariants when data centres, workers or upstreams fail
/// or jobs are cancelled.
#[actix_rt::test]
async fn invariants_hold_under_work_faults() {
    run_single_faults(3, &WORK_FAULTS).await;
}

/// Guards against violated invariants when processes and the log fail together.
#[actix_rt::test]
async fn invariants_hold_under_process_and_log_faults() {
    run_fault_pairs(4, &PROCESS_FAULTS, &LOG_FAULTS).await;
}

/// Guards against violated invariants when processes and work fail together.
#[actix_rt::test]
async fn invariants_hold_under_process_and_work_faults() {
    run_fault_pairs(5, &PROCESS_FAULTS, &WORK_FAULTS).await;
}

/// Guards against requests in progress that a graceful stop of an entry interrupts.
#[actix_rt::test]
async fn stopping_entry_completes_requests_in_progress() {
    let mut fixture = ClusterFixture::open().await;
    let caller = fixture.caller(0);
    let before = started_executions(&fixture);
    let body = Bytes::from(json!({ "service_time_ms": 1_500 }).to_string());
    let requests = (0..6).map(|_| {
        let (caller, body) = (caller.clone(), body.clone());
        let (service, plan) = (fixture.service.clone(), fixture.plan.clone());
        actix_rt::spawn(async move { caller.interactive(&service, &plan, body).await })
    });
    let requests: Vec<_> = requests.collect();
    wait_for("the requests run", async || started_executions(&fixture) >= before + 6).await;
    let entry = fixture.cluster.entries[0].name.clone();
    fixture.cluster.children.terminate(&entry).unwrap();
    let status = fixture.cluster.children.wait_exit(&entry, DAEMON_TIMEOUT).await.unwrap();
    assert!(status.success(), "{status}");
    for request in requests {
        assert_eq!(request.await.unwrap().unwrap().status, 200);
    }
}

/// Number of executions that have started.
fn started_executions(fixture: &ClusterFixture) -> usize {
    let is_start = |change| matches!(change, ExecutionChange::Started { .. });
    fixture.executions().iter().filter(|execution| is_start(execution.change)).count()
}
