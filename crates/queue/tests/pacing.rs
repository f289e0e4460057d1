//! Learned interference coefficients, and the throttling that follows from them.

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::interference::{
    InterferenceEstimates, InterferenceModel, InterferenceSample, ShareChange,
};
use cactusdoor_queue::throttling::{BestEffortRun, ServingRun, ThrottleCall, ThrottleController};

const HARM_BOUND: u64 = 4_000;

fn best_effort(image: &str, index: u32, speed: u8) -> BestEffortRun {
    BestEffortRun {
        task: format!("j.0.0.{index}").parse().unwrap(),
        run: 1,
        image: Some(image.into()),
        share: 0.2,
        used: 0.2 * f64::from(speed) / 100.0,
        speed,
        percent: 0,
        late: false,
        turn: None,
    }
}

fn serving(image: &str, headroom: f64) -> ServingRun {
    ServingRun { task: "s.0.0.0".parse().unwrap(), image: Some(image.into()), headroom }
}

fn share(image: &str, before: f32, now: f32) -> ShareChange {
    ShareChange { image: image.into(), before, now }
}

fn coefficient(model: &InterferenceModel, serving: &str, best_effort: &str) -> f64 {
    model.coefficient(Some(&serving.into()), Some(&best_effort.into()))
}

/// A model that learned from samples in which `heavy` interferes with `web` but not with
/// `mail`, while the load of both changes.
fn learned() -> InterferenceModel {
    let mut model = InterferenceModel::default();
    for round in 0..600u16 {
        let phase = f32::from(round);
        let (load_before, load_now) = ((phase * 0.9).sin() * 0.2, (phase * 0.9 + 0.3).sin() * 0.2);
        let before = f32::from(round % 3) * 0.05;
        let now = f32::from((round + 1) % 3) * 0.05;
        let light = (f32::from(round % 2) * 0.1, f32::from((round + 1) % 2) * 0.1);
        let shares = vec![share("heavy", before, now), share("light", light.0, light.1)];
        let headroom = |load: f32, used: f32, coefficient: f32| 4.0 + load - coefficient * used;
        for (image, coefficient) in [("web", 20.0), ("mail", 1.0)] {
            model.learn(&InterferenceSample {
                serving: image.into(),
                before: headroom(load_before, before, coefficient),
                now: headroom(load_now, now, coefficient),
                shares: shares.clone(),
            });
        }
    }
    model
}

fn estimates(serving: &str, coefficients: &[(&str, f32)]) -> Vec<InterferenceEstimates> {
    let coefficients =
        coefficients.iter().map(|(image, value)| ((*image).into(), *value)).collect();
    vec![InterferenceEstimates { image: serving.into(), baseline: 2.0, coefficients }]
}

fn update(
    controller: &mut ThrottleController,
    serving: &[ServingRun],
    best_effort: &[BestEffortRun],
    now: Moment,
) -> Vec<ThrottleCall> {
    controller.update(serving, best_effort, HARM_BOUND, now).calls
}

/// An image may interfere with one serving image and not with another.
#[test]
fn interference_is_attributed_to_the_pair_that_causes_it() {
    let model = learned();
    let heavy = coefficient(&model, "web", "heavy");
    assert!((15.0..25.0).contains(&heavy), "heavy {heavy}");
    for (serving, best_effort) in [("web", "light"), ("mail", "heavy"), ("mail", "light")] {
        let coefficient = coefficient(&model, serving, best_effort);
        assert!(coefficient < 4.0, "{best_effort} on {serving}: {coefficient}");
    }
}

/// A tail latency that rises with the load is not caused by the tasks beside it.
#[test]
fn a_change_of_the_load_is_not_learned_as_interference() {
    let mut model = InterferenceModel::default();
    for round in 0..200u16 {
        let phase = f32::from(round) * 0.5;
        model.learn(&InterferenceSample {
            serving: "web".into(),
            before: 3.0 + phase.sin(),
            now: 3.0 + (phase + 0.5).sin(),
            shares: vec![share("light", 0.1, 0.1 + 0.005 * f32::from(round % 2))],
        });
    }
    let coefficient = coefficient(&model, "web", "light");
    assert!(coefficient < 8.0, "coefficient {coefficient}");
}

/// Far over the latency bound, the headroom understates the change.
#[test]
fn an_understated_change_lowers_no_coefficient() {
    let mut model = InterferenceModel::default();
    model.set_estimates(estimates("web", &[("heavy", 40.0)]));
    for _ in 0..50 {
        let shares = vec![share("heavy", 0.0, 0.2)];
        model.learn(&InterferenceSample { serving: "web".into(), before: 2.0, now: 0.1, shares });
    }
    assert!(coefficient(&model, "web", "heavy") >= 40.0);
}

#[test]
fn the_image_with_the_most_interference_is_throttled_first() {
    let mut controller = ThrottleController::default();
    controller.model.set_estimates(estimates("web", &[("heavy", 20.0), ("light", 0.5)]));
    let runs = [best_effort("heavy", 0, 100), best_effort("light", 1, 100)];
    let calls = update(&mut controller, &[serving("web", 0.9)], &runs, Moment(1_000));
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert_eq!(calls[0].task, runs[0].task);
}

/// A task that interferes only with images on other workers continues at full speed.
#[test]
fn interference_with_images_on_other_workers_throttles_no_task() {
    let mut controller = ThrottleController::default();
    let mut known = estimates("web", &[("heavy", 40.0)]);
    known.extend(estimates("mail", &[("heavy", 0.2)]));
    controller.model.set_estimates(known);
    let runs = [best_effort("heavy", 0, 100)];
    assert_eq!(update(&mut controller, &[serving("mail", 1.4)], &runs, Moment(1_000)), vec![]);
}

/// Guards against a latency bound that is missed for all of `harmMs`.
#[test]
fn all_best_effort_tasks_are_paused_while_a_bound_stays_exceeded() {
    let mut controller = ThrottleController::default();
    let mut runs = vec![best_effort("light", 0, 100)];
    controller.model.set_estimates(estimates("web", &[("light", 0.1)]));
    let mut now = Moment(1_000);
    while runs[0].speed > 0 {
        for call in update(&mut controller, &[serving("web", 0.5)], &runs, now) {
            runs[0].speed = call.percent;
        }
        // The worker is polled every 250 ms.
        now = now.after(250);
        // Within the 4 s, less half a second of lag, one poll and the call that pauses.
        assert!(now < Moment(1_000 + 3_000), "still at {}%", runs[0].speed);
    }
}

/// Measurements lag: for a second after a stop, the list shows the latency before the stop.
#[test]
fn speeds_do_not_depend_on_latencies_from_before_the_last_change() {
    let mut controller = ThrottleController::default();
    controller.model.set_estimates(estimates("web", &[("heavy", 20.0)]));
    // The task was just paused; the listed share of the bound falls from 2 towards 0.4.
    let mut runs = [best_effort("heavy", 0, 0)];
    let mut listed = 2.0;
    let mut now = Moment(1_000);
    assert_eq!(update(&mut controller, &[serving("web", 1.0 / listed)], &runs, now), vec![]);
    for _ in 0..2 {
        listed = 0.4 + (listed - 0.4) * (-250.0f64 / 380.0).exp();
        now = now.after(250);
        for call in update(&mut controller, &[serving("web", 1.0 / listed)], &runs, now) {
            runs[0].speed = call.percent;
        }
    }
    assert!(listed > 0.75, "the listed latency does not show the stop yet: {listed}");
    assert!(runs[0].speed > 0, "headroom is used as soon as it is available");
}

#[test]
fn without_a_serving_task_all_tasks_run_at_full_speed() {
    let mut controller = ThrottleController::default();
    let runs = [best_effort("heavy", 0, 20)];
    let update = controller.update(&[], &runs, HARM_BOUND, Moment(1_000));
    assert_eq!((update.calls[0].percent, update.samples), (100, vec![]));
}

/// A task that is nearly done frees its headroom soonest.
#[test]
fn of_two_equal_tasks_the_one_nearer_its_end_keeps_its_speed() {
    let mut controller = ThrottleController::default();
    controller.model.set_estimates(estimates("web", &[("x", 5.0)]));
    let nearly_done = BestEffortRun { percent: 80, ..best_effort("x", 1, 100) };
    let runs = [best_effort("x", 0, 100), nearly_done];
    // Headroom for one of the two: 0.45 + 2 x 5 x 0.2 less the target; each needs 1.
    let calls = update(&mut controller, &[serving("web", 0.3 + 0.15)], &runs, Moment(1_000));
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert_eq!(calls[0].task, runs[0].task);
}

/// A job that misses its deadline in any case must not make another one late.
#[test]
fn jobs_that_can_meet_their_deadline_come_before_late_ones() {
    let mut controller = ThrottleController::default();
    controller.model.set_estimates(estimates("web", &[("x", 5.0)]));
    let late = BestEffortRun { percent: 80, late: true, ..best_effort("x", 1, 100) };
    let runs = [best_effort("x", 0, 100), late];
    let calls = update(&mut controller, &[serving("web", 0.45)], &runs, Moment(1_000));
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert_eq!(calls[0].task, runs[1].task);
}
