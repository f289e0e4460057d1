//! Work under a list of faults, alone and in pairs, judged by all histories.
//!
//! `CACTUSDOOR_CHAOS_SEED` chooses another seed for the pairs and the VMs.

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

use crate::site::{Site, wait_for};
use crate::{LEAVE_GRACE_US, PAUSE, STOP_TIMEOUT};

const SEED: u64 = 20_261_204;
/// Within which an accepted change is in effect everywhere.
const CHANGE_TARGET: Duration = Duration::from_secs(7);
/// Time for which a fault of the log or of a worker lasts; above
/// `MAX_CONFIG_AGE` and the silence after which an owner is replaced.
const FAULT_TIME: Duration = Duration::from_secs(5);
const TASKS: u32 = 8;
const KEYS: usize = 6;
/// Sizes of answers in bytes; 0 is an empty one.
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

/// A history under way.
struct Chaos {
    site: Site,
    random: ChaCha8Rng,
    round: usize,
    told_not_run: BTreeSet<String>,
    /// Times at which data centre a went out and came in.
    out: Vec<(u64, u64)>,
    cancelled: BTreeSet<String>,
}

fn seed() -> u64 {
    let chosen = std::env::var("CACTUSDOOR_CHAOS_SEED").ok();
    chosen.map_or(SEED, |seed| seed.parse().expect("CACTUSDOOR_CHAOS_SEED is a number"))
}

impl Chaos {
    async fn open(number: u64) -> Self {
        let site = Site::with_log_relays().await;
        let random = ChaCha8Rng::seed_from_u64(seed().wrapping_add(number));
        let (told_not_run, cancelled) = (BTreeSet::new(), BTreeSet::new());
        Self { site, random, round: 0, told_not_run, out: Vec::new(), cancelled }
    }

    /// One history: work starts, the faults act together and end, and the work is done.
    async fn round(&mut self, faults: &[Fault]) {
        self.round += 1;
        println!("seed {}, round {}: {faults:?}", seed(), self.round);
        let job = format!("job-{}", self.round);
        let before = self.site.runs().len();
        self.submit(&job, 1_500).await;
        wait_for("a task starts", async || self.site.runs().len() > before).await;
        let mut ends = Vec::new();
        for &fault in faults {
            ends.push((fault, self.begin(fault).await));
        }
        let keys: Vec<String> = (0..KEYS).map(|key| format!("key-{}-{key}", self.round)).collect();
        let began = Instant::now();
        self.settle_all(&keys).await;
        self.ask_all().await;
        let lasts = if faults.iter().any(|f| matches!(f, PauseAgent | PauseOwner)) {
            PAUSE
        } else {
            FAULT_TIME
        };
        sleep(lasts.saturating_sub(began.elapsed())).await;
        for (fault, target) in ends {
            self.end(fault, target).await;
        }
        self.recover(&job, &keys).await;
        self.check(faults);
    }

    async fn submit(&self, job: &str, run_time_ms: u64) {
        let accepted = async || self.site.try_submit(1, job, TASKS, run_time_ms).await;
        wait_for("the job is accepted", accepted).await;
    }

    /// Number of the process that a fault concerns.
    async fn begin(&mut self, fault: Fault) -> usize {
        let owner = matches!(fault, KillOwner | PauseOwner);
        let vms = 0..self.site.cluster.vms.len();
        let any = self.random.random_range(vms);
        let target = self.site.busy_vm(owner).await.unwrap_or(any);
        let agent = self.site.cluster.vms[target].agent.clone();
        let log = LogFault::default();
        let cluster = &mut self.site.cluster;
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
                let changed = async || self.site.put_centre("a", "out").await;
                wait_for("the data centre is out", changed).await;
                self.out.push((unix_us(), u64::MAX));
            }
            CancellationWave => self.cancel_wave().await,
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

    async fn end(&mut self, fault: Fault, target: usize) {
        let cluster = &mut self.site.cluster;
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
                // A change whose answer is lost counts from its request on.
                self.out.last_mut().unwrap().1 = unix_us();
                let changed = async || self.site.put_centre("a", "in").await;
                wait_for("the data centre is in", changed).await;
            }
            CancellationWave => {}
            FailingWorker => cluster.vms[target].worker.set_fault(WorkerFault::default()),
            BrokenAnswers => {
                let upstream = cluster.vms[target].upstream.as_ref().unwrap();
                upstream.set_fault(UpstreamFault::default());
            }
            UpstreamLeaves => self.site.replace_upstream(target),
        }
    }

    async fn cancel_wave(&mut self) {
        for number in 0..4 {
            let job = format!("cancelled-{}-{number}", self.round);
            self.submit(&job, 60_000).await;
            self.cancelled.insert(job);
        }
        let jobs = self.cancelled.iter().map(|job| async {
            let cancelled = async || self.site.cancel(1, job).await;
            wait_for("the cancellation is accepted", cancelled).await;
        });
        join_all(jobs).await;
    }

    /// Sends every key through both entries at once.
    async fn settle_all(&mut self, keys: &[String]) {
        let callers = [self.site.caller(0), self.site.caller(1)];
        let calls = callers.iter().flat_map(|caller| {
            let site = &self.site;
            keys.iter().map(move |key| async move { (key, site.settle(caller, key).await) })
        });
        for (key, reply) in join_all(calls).await {
            let error = reply.and_then(|reply| reply.json::<Value>().ok()).unwrap_or_default();
            if error["error"]["outcome"] == "not_run" {
                self.told_not_run.insert(key.clone());
            }
        }
    }

    /// Interactive requests of all sizes at once; each answer has to be whole and its own.
    async fn ask_all(&self) {
        let caller = self.site.caller(1);
        let calls = ANSWER_SIZES.iter().enumerate().map(|(number, &size)| {
            let question = json!({ "answer_bytes": size, "round": self.round, "number": number });
            let (caller, site) = (&caller, &self.site);
            async move {
                let body = Bytes::from(question.to_string());
                let Ok(reply) = caller.interactive(&site.service, &site.plan, body.clone()).await
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
                    // The upstream is told the number of the attempt too.
                    let attempt = format!("{}-", reply.request_id.clone().unwrap());
                    assert!(answer["request_id"].as_str().unwrap().starts_with(&attempt));
                }
            }
        });
        join_all(calls).await;
    }

    /// Waits for the work and the settlements, and for a change to reach everybody.
    async fn recover(&mut self, job: &str, keys: &[String]) {
        let names: Vec<String> = self.site.cluster.children.names().map(str::to_owned).collect();
        for name in names {
            self.site.cluster.children.wait_ready(&name, STOP_TIMEOUT).await.unwrap();
        }
        wait_for("all tasks finish", async || self.site.finished_of(job) == TASKS as usize).await;
        let caller = self.site.caller(1);
        for key in keys {
            let is_final = async || {
                let Some(reply) = self.site.settle(&caller, key).await else { return false };
                let retry = reply.json::<Value>().unwrap_or_default()["error"]["retry"].clone();
                reply.status == 200 || retry != "same_key"
            };
            wait_for("the outcome is final", is_final).await;
        }
        let is_stopped = |run: &TaskRun| {
            run.stopped.is_some() || !self.cancelled.contains(run.task.job.key.as_str())
        };
        wait_for("cancelled tasks stop", async || self.site.runs().iter().all(is_stopped)).await;
        race(&self.site, self.round).await;
    }

    fn check(&self, faults: &[Fault]) {
        self.site.check();
        let executions = self.site.executions();
        assert_eq!(check::late_starts(&executions, LEAVE_GRACE_US), []);
        for record in &executions {
            let key = record.key.clone().unwrap_or_default();
            assert!(!self.told_not_run.contains(&key), "{key} ran, a caller was told it did not");
        }
        let runs = self.site.runs();
        for &(from, to) in &self.out {
            let from = from + MAX_CONFIG_AGE * 1_000;
            let is_late = |run: &&TaskRun| {
                run.worker.starts_with("a-") && run.started > from && run.started < to
            };
            assert_eq!(runs.iter().find(is_late), None);
        }
        let job = format!("job-{}", self.round);
        let of_round = |run: &TaskRun| run.task.job.key.as_str() == job;
        let runs: Vec<TaskRun> = runs.into_iter().filter(of_round).collect();
        // The end of a task whose agent is dead, paused past the lease or cut off with its
        // owner is not known, so that task runs once more.
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

/// Two operators change the same item; one wins, and everybody takes the change over.
async fn race(site: &Site, round: usize) {
    let before = site.revision(0).await.unwrap();
    let (weight, premise) = (u32::try_from(round).unwrap(), site.plan_revision().await);
    let (first, second) = futures::join!(
        site.change_weight(0, premise, weight + 1),
        site.change_weight(1, premise, weight + 50)
    );
    let accepted: Vec<u64> = [first, second].into_iter().flatten().collect();
    assert_eq!(accepted.len(), 1, "two changes with one premise were accepted, or none");
    assert!(accepted[0] > before);
    let accepted_at = Instant::now();
    let processes = site.cluster.entries.len() + site.cluster.vms.len();
    for process in 0..processes {
        let mut seen = 0;
        loop {
            let revision = site.revision(process).await.unwrap_or(seen);
            assert!(revision >= seen, "the revision of process {process} fell");
            seen = revision;
            if seen >= accepted[0] {
                break;
            }
            assert!(accepted_at.elapsed() < CHANGE_TARGET, "process {process} is at {seen}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn alone(number: u64, faults: &[Fault]) {
    let mut chaos = Chaos::open(number).await;
    for &fault in faults {
        chaos.round(&[fault]).await;
    }
}

/// Pairs of one fault of each list, chosen by the seed.
async fn pairs(number: u64, first: &[Fault], second: &[Fault]) {
    let mut chaos = Chaos::open(number).await;
    for _ in 0..3 {
        let one = *first.choose(&mut chaos.random).unwrap();
        let other = *second.choose(&mut chaos.random).unwrap();
        chaos.round(&[one, other]).await;
    }
}

/// Guards against broken invariants when processes are killed or paused.
#[actix_rt::test]
async fn invariants_hold_under_process_faults() {
    alone(1, &PROCESS_FAULTS).await;
}

/// Guards against broken invariants when the log fails.
#[actix_rt::test]
async fn invariants_hold_under_log_faults() {
    alone(2, &LOG_FAULTS).await;
}

/// Guards against broken invariants when the work itself is disturbed.
#[actix_rt::test]
async fn invariants_hold_under_work_faults() {
    alone(3, &WORK_FAULTS).await;
}

/// Guards against broken invariants when processes and the log fail together.
#[actix_rt::test]
async fn invariants_hold_under_process_and_log_faults() {
    pairs(4, &PROCESS_FAULTS, &LOG_FAULTS).await;
}

/// Guards against broken invariants when processes fail during other disturbances.
#[actix_rt::test]
async fn invariants_hold_under_process_and_work_faults() {
    pairs(5, &PROCESS_FAULTS, &WORK_FAULTS).await;
}

/// Guards against requests in progress that a planned stop of an entry interrupts.
#[actix_rt::test]
async fn entry_stops_gracefully_with_requests_in_progress() {
    let mut site = Site::open().await;
    let caller = site.caller(0);
    let before = started(&site);
    let body = Bytes::from(json!({ "service_time_ms": 1_500 }).to_string());
    let requests = (0..6).map(|_| {
        let (caller, body) = (caller.clone(), body.clone());
        let (service, plan) = (site.service.clone(), site.plan.clone());
        actix_rt::spawn(async move { caller.interactive(&service, &plan, body).await })
    });
    let requests: Vec<_> = requests.collect();
    wait_for("the requests run", async || started(&site) >= before + 6).await;
    let entry = site.cluster.entries[0].name.clone();
    site.cluster.children.terminate(&entry).unwrap();
    let status = site.cluster.children.wait_exit(&entry, STOP_TIMEOUT).await.unwrap();
    assert!(status.success(), "{status}");
    for request in requests {
        assert_eq!(request.await.unwrap().unwrap().status, 200);
    }
}

fn started(site: &Site) -> usize {
    let is_start = |change| matches!(change, ExecutionChange::Started { .. });
    site.executions().iter().filter(|execution| is_start(execution.change)).count()
}
