//! The owner's forecast for best-effort tasks from the reported headroom, and the placements
//! that follow from it.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::forecast::{LoadError, SlowdownForecast};
use cactusdoor_queue::interference::InterferenceEstimates;
use cactusdoor_queue::name::{StepName, TaskName};
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::placement::ChoiceContext;
use cactusdoor_queue::report::{LoadReport, ReportedRun, ServingLoad, WorkerLoad};
use cactusdoor_queue::scheduler::{CommitEffect, QueueScheduler};
use cactusdoor_queue::spec::StepSpec;
use support::*;

/// Baseline headroom with which a task of 500 thousandths on 4 processors, which takes 0.75 of
/// it at the default coefficient, is not slowed down, and one with which it waits.
const IDLE: f32 = 4.0;
const PEAK: f32 = 1.2;

const FORECAST: SchedulingFeatures =
    SchedulingFeatures { headroom_forecast: true, ..SchedulingFeatures::NONE };

/// A scheduler with one serving task on each of its workers: on `a0` of image `s0`, and so on.
struct Fleet {
    scheduler: QueueScheduler,
    now: Moment,
    reports: u64,
}

impl Fleet {
    /// `averages`: learned baseline headrooms of the images.
    fn open(features: SchedulingFeatures, averages: &[f32]) -> Self {
        let mut scheduler = scheduler();
        scheduler.set_features(features);
        let estimates = averages.iter().enumerate().map(|(index, baseline)| {
            let image = format!("s{index}").into();
            InterferenceEstimates { image, baseline: *baseline, coefficients: Vec::new() }
        });
        scheduler.interference.set_estimates(estimates.collect());
        let mut fleet = Self { scheduler, now: Moment(10_000), reports: 0 };
        for index in 0..averages.len() {
            fleet.report(index, None);
            let serving = StepSpec {
                endless: true,
                latency_bound: 200,
                image: Some(format!("s{index}").into()),
                label: Some(format!("l{index}").into()),
                ..step(1, 1_000)
            };
            assert!(
                fleet.scheduler.submit(&format!("s{index}").as_str().into(), job(vec![serving]))
            );
        }
        assert_eq!(fleet.place().len(), averages.len());
        fleet
    }

    fn report(&mut self, index: usize, load: Option<WorkerLoad>) {
        self.report_runs(index, load, None);
    }

    fn report_runs(
        &mut self,
        index: usize,
        load: Option<WorkerLoad>,
        runs: Option<Vec<ReportedRun>>,
    ) {
        self.reports += 1;
        let mut info = worker(&format!("a{index}"), 1);
        info.labels.push(format!("l{index}").into());
        let mut message = report(&format!("a{index}"), self.reports, Some(info));
        message.runs = runs;
        let report = LoadReport { report: message, load };
        assert!(self.scheduler.report_load(&report, self.now, UNIX));
    }

    /// Reports of all workers, with the headrooms of their images.
    fn report_all(&mut self, headrooms: &[f32]) {
        for (index, headroom) in headrooms.iter().enumerate() {
            self.report(index, Some(load(&format!("s{index}"), *headroom, 0.0)));
        }
    }

    /// Submits a best-effort job.
    fn submit(&mut self, name: &str, tasks: u32) {
        self.scheduler.submit(&name.into(), job(vec![best_effort(tasks)]));
    }

    /// Starts with the workers and the forecasts.
    fn place(&mut self) -> Vec<(TaskName, String, Option<u8>)> {
        while self.scheduler.place(self.now, UNIX) {}
        let effects = store(&mut self.scheduler).into_iter().filter_map(|write| write.effect);
        let started = effects.filter_map(|effect| match effect {
            CommitEffect::Started { task, agent, forecast, .. } => {
                Some((task, agent.to_string(), forecast))
            }
            _ => None,
        });
        started.collect()
    }

    /// Workers of the starts.
    fn placed(&mut self) -> Vec<String> {
        self.place().into_iter().map(|(_, agent, _)| agent).collect()
    }

    /// Forecast for one more best-effort task on a worker.
    fn forecast(&self, index: usize) -> SlowdownForecast {
        self.with_context(|context| SlowdownForecast::of(&self.scheduler.workers[index], context))
    }

    fn with_context<T>(&self, run: impl FnOnce(&ChoiceContext<'_>) -> T) -> T {
        let name = StepName { job: "x".into(), occurrence: 0, step: 0 };
        run(&ChoiceContext {
            name: &name,
            step: &best_effort(1),
            service: &"minutes".into(),
            priority: 0,
            taken_out: &Default::default(),
            interference: &self.scheduler.interference,
            within: None,
            may_wait: true,
            forecasts: true,
            now: self.now,
        })
    }
}

fn best_effort(tasks: u32) -> StepSpec {
    StepSpec { best_effort: true, image: Some("b".into()), estimate: 2_000, ..step(tasks, 500) }
}

fn load(image: &str, baseline: f32, fall: f32) -> WorkerLoad {
    WorkerLoad { serving: vec![serving_load(image, baseline, fall)], best_effort_cpu: 0, age: 0 }
}

/// Guards against placement by averages: a task on a worker at its peak gets no speed at first.
#[test]
fn a_worker_at_its_peak_is_avoided_although_its_average_is_good() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE, 3.0]);
    fleet.report_all(&[PEAK, IDLE]);
    fleet.submit("j", 1);
    assert_eq!(fleet.place(), [(task("j", 0, 0), "a1".to_owned(), Some(100))]);
    let mut by_average = Fleet::open(SchedulingFeatures::default(), &[IDLE, 3.0]);
    by_average.report_all(&[PEAK, IDLE]);
    by_average.submit("j", 1);
    assert_eq!(by_average.place(), [(task("j", 0, 0), "a0".to_owned(), None)]);
}

/// Guards against idle capacity that is not used because the image is busy on average.
#[test]
fn an_idle_worker_is_used_although_its_average_is_bad() {
    let mut fleet = Fleet::open(FORECAST, &[PEAK]);
    fleet.submit("j", 1);
    assert_eq!(fleet.placed(), [""; 0], "the average allows no task");
    fleet.report_all(&[IDLE]);
    fleet.now = fleet.now.after(250);
    assert_eq!(fleet.placed(), ["a0"], "the load reopens the refused step");
}

/// Guards against a step of which all tasks are placed at once although few have room.
#[test]
fn tasks_beyond_the_headroom_wait() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    fleet.report_all(&[3.0]);
    fleet.submit("j", 6);
    // 1.9 of headroom to spare, of which each task takes 0.75: the limit of 85% leaves room for two.
    let forecasts: Vec<_> = fleet.place().into_iter().map(|(_, _, speed)| speed).collect();
    assert_eq!(forecasts, [Some(100), Some(100)]);
}

/// Guards against a decision on outdated loads, and against a jump when a load is dropped.
#[test]
fn an_old_load_gives_way_to_the_average() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    fleet.report_all(&[2.0]);
    let mut slowdown = |passed: u64| {
        fleet.now = Moment(10_000 + passed);
        fleet.forecast(0).slowdown
    };
    // The loss of 0.75 over the headroom beyond the target of 1.1.
    assert_eq!(slowdown(0), 833, "0.9 to spare");
    assert_eq!(slowdown(2_000), 833, "0.9 to spare");
    assert_eq!(slowdown(3_500), 394, "1.9 to spare, half of the way to the average");
    assert_eq!(slowdown(5_000), 258, "2.9 to spare, the average");
    assert_eq!(slowdown(60_000), 258, "2.9 to spare, the average");
}

/// Guards against a refused step that is not tried again once the load that refused it is old.
#[test]
fn a_step_is_tried_again_when_the_load_has_aged() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    fleet.report(0, Some(WorkerLoad { age: 1_800, ..load("s0", PEAK, 0.0) }));
    fleet.submit("j", 1);
    assert_eq!(fleet.placed(), [""; 0]);
    // At 2.6 s, 0.66 is to spare, which is a slowdown by 1.1; at 2.85 s, 0.89.
    for age in [2_300, 2_600] {
        fleet.now = Moment(10_000 + age - 1_800);
        assert_eq!(fleet.placed(), [""; 0]);
    }
    fleet.now = fleet.now.after(250);
    let wake = fleet.scheduler.next_wake(fleet.now, UNIX);
    assert!(wake.is_some_and(|wake| wake <= fleet.now), "{wake:?}");
    assert_eq!(fleet.placed(), ["a0"]);
}

/// Guards against the load of a former worker, and counts the age before the report was sent.
#[test]
fn a_load_counts_from_its_measurement_and_ends_with_its_worker() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    fleet.report(0, Some(WorkerLoad { age: 5_000, ..load("s0", PEAK, 0.0) }));
    assert_eq!(fleet.forecast(0).slowdown, 258, "too old on arrival");
    fleet.report_all(&[PEAK]);
    assert_eq!(fleet.scheduler.oldest_load(fleet.now.after(700)), Some(700));
    let mut message = report("a0", 99, Some(successor("a0", 2)));
    message.runs = Some(Vec::new());
    assert!(fleet.scheduler.report(&message, fleet.now, UNIX));
    assert_eq!(fleet.scheduler.workers["a0"].load, None);
}

/// Guards against a task on a worker whose headroom is about to fall below the target.
#[test]
fn a_fall_is_extrapolated_over_a_second_at_most() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    fleet.report(0, Some(load("s0", 3.0, 1.0)));
    assert_eq!(fleet.forecast(0).slowdown, 576, "1.3 to spare in 600 ms");
    fleet.now = fleet.now.after(1_900);
    assert_eq!(fleet.forecast(0).slowdown, 833, "0.9 to spare after a second");
}

/// Guards against a forecast for the best of several serving images.
#[test]
fn the_worst_serving_image_decides() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    let serving = StepSpec { endless: true, latency_bound: 90, ..step(1, 200) };
    for image in ["other", "unknown"] {
        let step = StepSpec { image: Some(image.into()), ..serving.clone() };
        fleet.scheduler.submit(&image.into(), job(vec![step]));
    }
    assert_eq!(fleet.placed(), ["a0", "a0"]);
    let with = |other| {
        let serving = vec![serving_load("s0", IDLE, 0.0), serving_load("other", other, 0.0)];
        WorkerLoad { serving, best_effort_cpu: 0, age: 0 }
    };
    fleet.report(0, Some(with(1.65)));
    assert_eq!(fleet.forecast(0).slowdown, 1_363, "0.55 to spare");
    fleet.report(0, Some(with(8.0)));
    assert_eq!(fleet.forecast(0).slowdown, 833, "0.9 to spare: the default average");
}

/// Guards against placement by invalid input, and against a log line for each report.
#[test]
fn invalid_loads_are_skipped_with_a_log_line() {
    let images: Vec<ServingLoad> =
        (0..1_000).map(|index| serving_load(&format!("s{index}"), IDLE, 0.0)).collect();
    let many = WorkerLoad { serving: images, best_effort_cpu: 0, age: 0 };
    let number = LoadError::InvalidNumber("s0".into());
    let cases = [
        (load("s0", f32::NAN, 0.0), number.clone()),
        (load("s0", f32::INFINITY, 0.0), number.clone()),
        (load("s0", -1.0, 0.0), number.clone()),
        (load("s0", IDLE, f32::NAN), number.clone()),
        (load("s0", IDLE, f32::NEG_INFINITY), number.clone()),
        (load("s0", IDLE, -0.5), number),
        (many, LoadError::TooManyImages(1_000)),
    ];
    for (odd, error) in cases {
        let mut fleet = Fleet::open(FORECAST, &[IDLE]);
        fleet.report_all(&[PEAK]);
        let before = fleet.scheduler.workers["a0"].load.clone();
        fleet.report(0, Some(odd.clone()));
        fleet.report(0, Some(odd));
        assert_eq!(fleet.scheduler.workers["a0"].load, before);
        let rejected = RunObservation::LoadRejected { agent: agent("a0"), error };
        assert_eq!(fleet.scheduler.take_observations(), [rejected], "one line in ten seconds");
    }
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    let old = WorkerLoad { age: u64::MAX, best_effort_cpu: u64::MAX, ..load("s0", PEAK, 9e30) };
    fleet.report(0, Some(old));
    fleet.report(0, Some(load("no such image", f32::MAX, f32::MAX)));
    assert_eq!(fleet.forecast(0).slowdown, 258, "the average");
}

/// Guards against a metric that compares the forecast with a later speed, or with none.
#[test]
fn the_first_listed_speed_is_compared_with_the_forecast() {
    let mut fleet = Fleet::open(FORECAST, &[IDLE]);
    fleet.report_all(&[2.5]);
    fleet.submit("j", 1);
    assert_eq!(fleet.place(), [(task("j", 0, 0), "a0".to_owned(), Some(100))]);
    let listed = |percent, speed| {
        let (task, checkpoint) = (task("j", 0, 0), "".into());
        let serving = support::task("s0", 0, 0);
        let row = ReportedRun { task, run: 1, checkpoint, percent, speed };
        Some(vec![row.clone(), ReportedRun { task: serving, percent: Some(100), ..row }])
    };
    fleet.report_runs(0, None, listed(None, 100));
    assert_eq!(fleet.scheduler.take_observations(), [], "the start is under way");
    fleet.report_runs(0, None, listed(Some(0), 35));
    let (agent, task) = (agent("a0"), task("j", 0, 0));
    let first = RunObservation::FirstSpeed { agent, task, run: 1, forecast: 100, speed: 35 };
    assert_eq!(fleet.scheduler.take_observations(), [first]);
    fleet.report_runs(0, None, listed(Some(4), 50));
    assert_eq!(fleet.scheduler.take_observations(), []);
}

/// Guards against a change of placements for operators who have not switched forecasts on.
#[test]
fn loads_change_nothing_without_the_switch() {
    let features = SchedulingFeatures { job_order: true, ..SchedulingFeatures::default() };
    let run = |with_loads: bool| {
        let mut fleet = Fleet::open(features, &[IDLE, 3.0, PEAK]);
        let mut placed = Vec::new();
        for round in 0u64..12 {
            fleet.submit(&format!("j{round}"), 3);
            for index in 0..3 {
                let headroom = if (round + index) % 3 == 0 { PEAK } else { 3.5 };
                let load = load(&format!("s{index}"), headroom, 0.5);
                fleet.report(index as usize, Some(load).filter(|_| with_loads));
            }
            placed.push(fleet.place());
            fleet.now = fleet.now.after(300);
        }
        placed
    };
    let placed = run(true);
    assert!(placed.iter().flatten().count() > 10, "{placed:?}");
    assert_eq!(placed, run(false));
}
