//! The scheduler's indices against a scheduler that computes everything anew.
//!
//! After any sequence of events both have the same sums, and make the same placements in the
//! same order.

#[path = "oracle/naive.rs"]
mod naive;
mod support;
#[path = "oracle/work.rs"]
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::{OperatorView, QueueConfig, QueueTerms};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::interference::{InterferenceSample, ShareChange};
use cactusdoor_queue::name::{JobId, StepName, TaskName};
use cactusdoor_queue::record::{TaskKey, TaskRecord};
use cactusdoor_queue::report::{JobState, LoadReport, ReportedRun, RunEnd, WorkerLoad};
use cactusdoor_queue::scheduler::{CommitEffect, QueueScheduler};
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use naive::{NaivePass, check_slow, check_sums, naive_rank};
use proptest::prelude::*;
use support::*;
use work::check_backlog;

const AGENTS: u64 = 7;
/// Longer than the least time between two trials of best-effort steps.
const TICK: u64 = 300;

#[derive(Clone, Debug)]
enum Action {
    Submit {
        queue: u8,
        steps: Vec<StepSpec>,
        times: u32,
        interval: u64,
    },
    Cancel(prop::sample::Index),
    /// A run ends on its worker.
    End(prop::sample::Index, RunEnd),
    Report {
        agent: u64,
        listed: bool,
        stray: bool,
        /// Whether the listed runs are paused.
        paused: bool,
    },
    /// A worker lists its runs as paused for more than a second, then ends those whose stop was
    /// ordered.
    Pause {
        agent: u64,
    },
    Restart {
        agent: u64,
    },
    Leave {
        agent: u64,
    },
    Sample {
        agent: u64,
        now: f32,
    },
    /// Baseline headroom and fall of a serving image, and the age of the load.
    Load {
        agent: u64,
        baseline: f32,
        fall: f32,
        age: u64,
    },
    Configure {
        taken_out: bool,
        attempts: u32,
        swapped: bool,
    },
    Pass(u64),
    /// Runs progress; an agent lists them.
    Progress {
        agent: u64,
        percent: u8,
    },
    /// Switches the order of best-effort steps.
    Switch(bool),
    ChangeOwner,
}

fn step_spec() -> impl Strategy<Value = StepSpec> {
    let image = prop::option::of(prop::sample::select(vec!["x", "y"]));
    let kind = prop::sample::select(vec!["plain", "plain", "fills", "serves", "gang", "spread"]);
    let places = (
        prop::option::weighted(0.2, prop::sample::select(vec!["r0", "r1", "none"])),
        prop::option::weighted(0.2, prop::sample::select(vec!["r0", "r2"])),
    );
    let memory = prop::sample::select(vec![300, 300, 3_000]);
    (1u32..6, (1u64..5, memory), kind, image, places, any::<(bool, bool)>()).prop_map(
        |(tasks, (cpu, memory), kind, image, (label, rack), (endless, one_rack))| StepSpec {
            need: TaskNeed { cpu: cpu * 700, memory, accelerators: 0 },
            estimate: 400 * cpu + if kind == "fills" { 20_000 } else { 0 },
            checkpoints: kind == "fills",
            gang: kind == "gang",
            one_rack: kind == "gang" && one_rack,
            label: label.map(Into::into),
            rack: rack.map(Into::into),
            per_worker: u32::from(kind == "spread"),
            endless: kind == "serves" && endless,
            image: image.map(Into::into),
            latency_bound: if kind == "serves" { 200 } else { 0 },
            best_effort: kind == "fills",
            ..step(tasks, 0)
        },
    )
}

/// Fractions from integers: the generator of floats in a range fails now and then with an assertion
/// of its own (proptest 1.12.0, `float_samplers.rs`).
fn thousandths(range: std::ops::Range<u16>) -> impl Strategy<Value = f32> {
    range.prop_map(|number| f32::from(number) / 1_000.0)
}

fn action() -> impl Strategy<Value = Action> {
    let agent = || 0..AGENTS;
    let any_index = || any::<prop::sample::Index>();
    let end = prop::sample::select(vec![
        RunEnd::Done,
        RunEnd::Done,
        RunEnd::Done,
        RunEnd::Failed,
        RunEnd::Stopped,
        RunEnd::NotStarted,
    ]);
    let steps = prop::collection::vec(step_spec(), 1..4);
    prop_oneof![
        6 => (0u8..3, steps, 0u32..4, 0u64..900).prop_map(|(queue, steps, times, interval)| {
            Action::Submit { queue, steps, times, interval }
        }),
        1 => any_index().prop_map(Action::Cancel),
        9 => (any_index(), end).prop_map(|(index, end)| Action::End(index, end)),
        6 => (agent(), any::<bool>(), prop::bool::weighted(0.1), any::<bool>())
            .prop_map(|(agent, listed, stray, paused)| {
                Action::Report { agent, listed, stray, paused }
            }),
        4 => agent().prop_map(|agent| Action::Pause { agent }),
        1 => agent().prop_map(|agent| Action::Restart { agent }),
        1 => agent().prop_map(|agent| Action::Leave { agent }),
        1 => (agent(), thousandths(500..4_000)).prop_map(|(agent, now)| Action::Sample { agent, now }),
        2 => (agent(), thousandths(200..6_000), thousandths(0..2_000), 0u64..7_000)
            .prop_map(|(agent, baseline, fall, age)| Action::Load { agent, baseline, fall, age }),
        1 => (any::<bool>(), 0u32..4, any::<bool>()).prop_map(|(taken_out, attempts, swapped)| {
            Action::Configure { taken_out, attempts, swapped }
        }),
        4 => (1u64..8).prop_map(Action::Pass),
        4 => (agent(), 0u8..130)
            .prop_map(|(agent, percent)| Action::Progress { agent, percent }),
        1 => any::<bool>().prop_map(Action::Switch),
        1 => Just(Action::ChangeOwner),
    ]
}

struct Simulation {
    scheduler: QueueScheduler,
    epoch: u64,
    now: Moment,
    unix: u64,
    reports: u64,
    born: BTreeMap<u64, u64>,
    leaving: BTreeSet<u64>,
    jobs: Vec<(JobId, JobSpec)>,
    records: BTreeMap<String, Vec<u8>>,
    view: OperatorView,
    paused: bool,
    features: SchedulingFeatures,
}

fn configured(taken_out: bool, attempts: u32, swapped: bool) -> OperatorView {
    let mut view = view();
    let config = view.config.as_mut().unwrap();
    for number in 0u32..3 {
        let name = format!("q{number}").into();
        let priority = if swapped { 3 - number } else { number };
        let service = if swapped && number == 2 { "drafts" } else { "minutes" }.into();
        let terms = QueueTerms { priority, attempts, ..queue().terms };
        let queue = QueueConfig { name, terms, service, ..queue() };
        config.queues.insert(queue.name.clone(), Arc::new(queue));
    }
    let taken_out = taken_out.then(|| "south".into()).into_iter().collect();
    OperatorView { taken_out, ..view }
}

impl Simulation {
    fn open(features: SchedulingFeatures) -> Self {
        let mut simulation = Self {
            scheduler: QueueScheduler::open(1, Moment(0)),
            epoch: 1,
            now: Moment(10_000),
            unix: UNIX,
            reports: 0,
            born: (0..AGENTS).map(|agent| (agent, 1)).collect(),
            leaving: BTreeSet::new(),
            jobs: Vec::new(),
            records: BTreeMap::new(),
            view: configured(false, 3, false),
            paused: false,
            features,
        };
        simulation.scheduler.set_features(features);
        simulation.scheduler.set_view(simulation.view.clone());
        simulation
    }

    fn apply(&mut self, action: &Action) {
        match action {
            Action::Submit { queue, steps, times, interval } => {
                self.submit(*queue, steps.clone(), *times, *interval);
            }
            Action::Cancel(index) if !self.jobs.is_empty() => {
                let id = index.get(&self.jobs).0.clone();
                self.scheduler.cancel(&id, self.unix);
            }
            Action::End(index, end) => self.end(index, *end),
            Action::Report { agent, listed, stray, paused } => {
                self.paused = *paused;
                self.report(*agent, *listed, *stray);
            }
            Action::Pause { agent } => {
                for _ in 0..5 {
                    for other in 0..AGENTS {
                        self.paused = other == *agent;
                        self.report(other, true, false);
                    }
                    // Progress is used for ranks only after a while.
                    if !self.features.job_order {
                        self.compare();
                    }
                    self.now = self.now.after(TICK);
                    self.unix += TICK;
                    self.compare();
                }
                self.end_stopped(*agent);
            }
            Action::Restart { agent } => {
                *self.born.entry(*agent).or_default() += 1;
                self.leaving.remove(agent);
                self.report(*agent, true, false);
            }
            Action::Leave { agent } => {
                self.leaving.insert(*agent);
                self.report(*agent, false, false);
            }
            Action::Sample { agent, now } => {
                let shares = vec![ShareChange { image: "x".into(), before: 0.1, now: 0.6 }];
                let sample =
                    InterferenceSample { serving: "y".into(), before: 2.0, now: *now, shares };
                let mut report = self.message(*agent);
                report.samples = vec![sample];
                self.scheduler.report(&report, self.now, self.unix);
            }
            Action::Load { agent, baseline, fall, age } => {
                let images = ["x", "y"].map(|image| serving_load(image, *baseline, *fall));
                let load = WorkerLoad { serving: images.into(), best_effort_cpu: 0, age: *age };
                let report = LoadReport { report: self.message(*agent), load: Some(load) };
                self.scheduler.report_load(&report, self.now, self.unix);
            }
            Action::Configure { taken_out, attempts, swapped } => {
                self.view = configured(*taken_out, *attempts, *swapped);
                self.scheduler.set_view(self.view.clone());
            }
            Action::Pass(ticks) => {
                self.now = self.now.after(ticks * TICK);
                self.unix += ticks * TICK;
            }
            Action::Progress { agent, percent } => self.progress(*agent, *percent),
            Action::Switch(job_order) => {
                self.features.job_order = *job_order;
                self.scheduler.set_features(self.features);
            }
            Action::ChangeOwner => self.change_owner(),
            Action::Cancel(_) => {}
        }
        // Learned interference and loads are used for refused steps only after a while, and
        // progress for ranks.
        let lists = matches!(
            action,
            Action::Report { .. } | Action::Progress { .. } | Action::Restart { .. }
        );
        let is_learned = matches!(action, Action::Sample { .. } | Action::Load { .. });
        let is_delayed = is_learned || (lists && self.features.job_order);
        if !is_delayed {
            self.compare();
        }
        self.now = self.now.after(TICK);
        self.unix += TICK;
        self.compare();
    }

    fn submit(&mut self, queue: u8, mut steps: Vec<StepSpec>, times: u32, interval: u64) {
        // Some jobs have several steps of one kind that are ready together.
        if let Some(first) = steps.first().filter(|_| interval.is_multiple_of(3)).cloned() {
            steps.push(first);
        }
        for (index, step) in (0u16..).zip(&mut steps) {
            step.after = (0..index.min(2)).filter(|before| before % 2 == 0 && index < 3).collect();
        }
        let id: JobId = format!("j{}", self.jobs.len()).into();
        let queue = format!("q{queue}").into();
        let accepted = self.unix - interval;
        let spec = JobSpec { queue, times, interval, accepted, first_due: self.unix, ..job(steps) };
        assert!(self.scheduler.submit(&id, spec.clone()));
        self.jobs.push((id, spec));
    }

    fn message(&mut self, agent: u64) -> cactusdoor_queue::report::AgentReport {
        self.reports += 1;
        let mut info = worker(&format!("a{agent}"), self.born[&agent]);
        info.labels = vec!["kind".into(), format!("r{}", agent % 3).into()];
        info.data_centre = if agent.is_multiple_of(2) { "north" } else { "south" }.into();
        info.service = if agent == 6 { "drafts" } else { "minutes" }.into();
        info.capacity.cpu += 500 * agent;
        info.leaves_in = self.leaving.contains(&agent).then_some(4_000);
        let mut message = report(&format!("a{agent}"), self.reports, Some(info));
        message.epoch = self.epoch;
        message
    }

    /// Lists the assigned runs of an agent with a progress that differs between them.
    fn progress(&mut self, agent: u64, percent: u8) {
        let mut message = self.message(agent);
        let Some(tracked) = self.scheduler.workers.get(&message.agent) else { return };
        let listed = (0u8..).zip(tracked.runs.values()).map(|(index, run)| ReportedRun {
            task: run.start.task.clone(),
            run: run.start.run,
            checkpoint: "".into(),
            percent: (index % 5 != 4).then_some(percent.saturating_sub(9 * (index % 8))),
            speed: 100,
        });
        message.runs = Some(listed.collect());
        self.scheduler.report(&message, self.now, self.unix);
    }

    /// Reports the assigned runs as listed if `listed`, and one more if `stray`.
    fn report(&mut self, agent: u64, listed: bool, stray: bool) {
        let mut message = self.message(agent);
        if listed {
            let tracked = self.scheduler.workers.get(&message.agent);
            let runs = tracked.into_iter().flat_map(|tracked| tracked.runs.values());
            let percent = u8::try_from(message.number * 7 % 100).unwrap();
            let row = |task: &TaskName, run| ReportedRun {
                task: task.clone(),
                run,
                // Some runs have a checkpoint, from which the next one resumes.
                checkpoint: if percent > 50 { "c" } else { "" }.into(),
                percent: Some(percent),
                speed: if self.paused { 0 } else { 100 },
            };
            let mut rows: Vec<_> = runs.map(|run| row(&run.start.task, run.start.run)).collect();
            rows.extend(stray.then(|| row(&task("stray", 0, 0), 9)));
            message.runs = Some(rows);
        }
        self.scheduler.report(&message, self.now, self.unix);
    }

    fn end(&mut self, index: &prop::sample::Index, end: RunEnd) {
        let workers = self.scheduler.workers.values();
        let runs: Vec<_> = workers
            .flat_map(|tracked| {
                let runs = tracked.runs.values();
                runs.map(|run| (tracked.agent.clone(), run.start.task.clone(), run.start.run))
            })
            .collect();
        if runs.is_empty() {
            return;
        }
        let (agent, task, run) = index.get(&runs).clone();
        let mut message = self.message(agent[1..].parse().unwrap());
        let number = if end == RunEnd::NotStarted { 0 } else { self.reports };
        message.ended = vec![ended(number, &task, run, end)];
        self.scheduler.report(&message, self.now, self.unix);
    }

    fn end_stopped(&mut self, agent: u64) {
        let mut message = self.message(agent);
        let tracked = self.scheduler.workers.get(&message.agent);
        let runs = tracked.into_iter().flat_map(|tracked| tracked.runs.values());
        let stopped = runs
            .filter(|run| run.stopping)
            .map(|run| ended(self.reports, &run.start.task, run.start.run, RunEnd::Stopped));
        message.ended = stopped.collect();
        self.scheduler.report(&message, self.now, self.unix);
    }

    /// Lets both schedulers place tasks, and compares their placements and sums.
    fn compare(&mut self) {
        self.scheduler.expire(self.now, self.unix);
        self.scheduler.balance(self.now, self.unix);
        self.store();
        let expected = NaivePass::run(&self.scheduler, self.features, self.now, self.unix).placed;
        assert!(!self.scheduler.place(self.now, self.unix));
        assert_eq!(self.store(), expected);
        self.scheduler.workers.values().for_each(check_sums);
        self.compare_ranks();
        self.compare_backlog();
        check_slow(&self.scheduler);
        let mut pending = BTreeMap::new();
        for job in self.scheduler.jobs.values().filter(|job| job.state == JobState::Queued) {
            *pending.entry(job.spec.queue.clone()).or_insert(0u64) += 1;
        }
        let counted = self.scheduler.pending().iter();
        assert_eq!(
            counted.map(|(queue, n)| (queue.clone(), *n)).collect::<BTreeMap<_, _>>(),
            pending
        );
        let leases = self.scheduler.workers.values().filter(|tracked| !tracked.runs.is_empty());
        let first = leases.map(|tracked| tracked.lease_end.after(1)).min();
        let wake = self.scheduler.next_wake(self.now, self.unix);
        assert!(first.is_none_or(|first| wake.is_some_and(|wake| wake <= first)));
    }

    /// Compares the backlog with the remaining work of all jobs.
    fn compare_backlog(&mut self) {
        if self.features.refusals {
            check_backlog(&mut self.scheduler, self.now, self.unix);
        } else {
            assert_eq!(self.scheduler.backlog(self.now, self.unix), None);
        }
    }

    /// Compares the ranks that are sent to the agents with those computed from the runs.
    fn compare_ranks(&mut self) {
        let agents: Vec<_> = self.scheduler.workers.keys().cloned().collect();
        for agent in agents {
            let Some(update) = self.scheduler.due_ranks(&agent, self.now) else { continue };
            assert!(self.features.job_order);
            let tracked = &self.scheduler.workers[&agent];
            let runs = tracked.runs.values().filter(|run| run.start.best_effort);
            let steps: BTreeSet<_> = runs.map(|run| run.start.task.step_name()).collect();
            let live = |step: &&StepName| self.scheduler.jobs.contains_key(&step.job);
            let expected = steps
                .iter()
                .filter(live)
                .map(|step| (step.clone(), naive_rank(&self.scheduler, step, self.unix)));
            let expected: BTreeMap<_, _> = expected.collect();
            assert_eq!(update.ranks.len(), expected.len());
            assert_eq!(update.ranks.into_iter().collect::<BTreeMap<_, _>>(), expected);
        }
    }

    /// Stores all writes; returns the placements among them.
    fn store(&mut self) -> Vec<(TaskName, cactusdoor_queue::name::AgentName)> {
        let mut placed = Vec::new();
        for write in self.scheduler.take_writes() {
            match write.record {
                Some((key, Some(value))) => drop(self.records.insert(key, value)),
                Some((key, None)) => drop(self.records.remove(&key)),
                None => {}
            }
            if let Some(effect) = write.effect {
                self.scheduler.release(&effect);
                if let CommitEffect::Started { task, agent, .. } = effect {
                    placed.push((task, agent));
                }
            }
        }
        placed
    }

    fn change_owner(&mut self) {
        self.store();
        self.epoch += 1;
        let mut next = QueueScheduler::open(self.epoch, self.now.after(3_000));
        next.set_features(self.features);
        next.set_view(self.view.clone());
        let keys: Vec<_> =
            self.records.iter().map(|(key, value)| (TaskKey::parse(key), value)).collect();
        for (key, value) in &keys {
            if let TaskKey::Job(job) = key {
                next.restore_ending(job, serde_json::from_slice(value).unwrap());
            }
        }
        for (id, spec) in &self.jobs {
            next.submit(id, spec.clone());
        }
        for (key, value) in &keys {
            if let TaskKey::Task(name) = key {
                let record: TaskRecord = serde_json::from_slice(value).unwrap();
                next.restore_task(name, &record, self.now);
            }
        }
        next.finish_loading(self.unix);
        next.set_features(self.features);
        self.scheduler = next;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn indices_make_the_placements_of_a_scheduler_without_them(
        actions in prop::collection::vec(action(), 1..90),
        headroom_forecast in any::<bool>(),
        job_order in any::<bool>(),
        refusals in any::<bool>(),
        moves in any::<bool>(),
    ) {
        let features = SchedulingFeatures {
            headroom_forecast,
            job_order,
            refusals,
            moves,
            ..Default::default()
        };
        let mut simulation = Simulation::open(features);
        for agent in 0..AGENTS {
            simulation.report(agent, true, false);
        }
        for action in &actions {
            simulation.apply(action);
        }
    }
}
