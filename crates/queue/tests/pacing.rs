//! Learned presses and the paces that follow from them.

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::pacing::{FillingRun, PaceCall, ServingRun, ThrottleController};
use cactusdoor_queue::press::{PressModel, PressSample, ServingFigures, ShareChange};

const HARM_BOUND: u64 = 4_000;

fn filling(image: &str, index: u32, pace: u8) -> FillingRun {
    FillingRun {
        task: format!("j.0.0.{index}").parse().unwrap(),
        run: 1,
        image: Some(image.into()),
        share: 0.2,
        used: 0.2 * f64::from(pace) / 100.0,
        pace,
        percent: 0,
        late: false,
    }
}

fn serving(image: &str, headroom: f64) -> ServingRun {
    ServingRun { task: "s.0.0.0".parse().unwrap(), image: Some(image.into()), headroom }
}

fn share(image: &str, before: f32, now: f32) -> ShareChange {
    ShareChange { image: image.into(), before, now }
}

fn press(model: &PressModel, serving: &str, filling: &str) -> f64 {
    model.press(Some(&serving.into()), Some(&filling.into()))
}

/// Samples of a world in which `heavy` disturbs `web` and not `mail`, while the
/// load of both changes.
fn learned() -> PressModel {
    let mut model = PressModel::default();
    for round in 0..600u16 {
        let phase = f32::from(round);
        let (load_before, load_now) = ((phase * 0.9).sin() * 0.2, (phase * 0.9 + 0.3).sin() * 0.2);
        let before = f32::from(round % 3) * 0.05;
        let now = f32::from((round + 1) % 3) * 0.05;
        let light = (f32::from(round % 2) * 0.1, f32::from((round + 1) % 2) * 0.1);
        let shares = vec![share("heavy", before, now), share("light", light.0, light.1)];
        let headroom = |load: f32, used: f32, press: f32| 4.0 + load - press * used;
        for (image, press) in [("web", 20.0), ("mail", 1.0)] {
            model.learn(&PressSample {
                serving: image.into(),
                before: headroom(load_before, before, press),
                now: headroom(load_now, now, press),
                shares: shares.clone(),
            });
        }
    }
    model
}

fn figures(serving: &str, presses: &[(&str, f32)]) -> Vec<ServingFigures> {
    let presses = presses.iter().map(|(image, press)| ((*image).into(), *press)).collect();
    vec![ServingFigures { image: serving.into(), calm: 2.0, presses }]
}

fn follow(
    pace: &mut ThrottleController,
    serving: &[ServingRun],
    filling: &[FillingRun],
    now: Moment,
) -> Vec<PaceCall> {
    pace.follow(serving, filling, HARM_BOUND, now).calls
}

/// An image may disturb one serving image and not another.
#[test]
fn the_pair_that_disturbs_is_told_from_those_that_do_not() {
    let model = learned();
    let heavy = press(&model, "web", "heavy");
    assert!((15.0..25.0).contains(&heavy), "heavy {heavy}");
    for (serving, filling) in [("web", "light"), ("mail", "heavy"), ("mail", "light")] {
        let press = press(&model, serving, filling);
        assert!(press < 4.0, "{filling} on {serving}: {press}");
    }
}

/// A tail latency that rises with the load is not the doing of what runs beside it.
#[test]
fn a_change_of_the_load_is_not_taken_for_a_press() {
    let mut model = PressModel::default();
    for round in 0..200u16 {
        let phase = f32::from(round) * 0.5;
        model.learn(&PressSample {
            serving: "web".into(),
            before: 3.0 + phase.sin(),
            now: 3.0 + (phase + 0.5).sin(),
            shares: vec![share("light", 0.1, 0.1 + 0.005 * f32::from(round % 2))],
        });
    }
    let press = press(&model, "web", "light");
    assert!(press < 8.0, "press {press}");
}

/// Far over its bound a latency hides how much was taken away.
#[test]
fn a_hidden_change_lowers_no_press() {
    let mut model = PressModel::default();
    model.take(figures("web", &[("heavy", 40.0)]));
    for _ in 0..50 {
        let shares = vec![share("heavy", 0.0, 0.2)];
        model.learn(&PressSample { serving: "web".into(), before: 2.0, now: 0.1, shares });
    }
    assert!(press(&model, "web", "heavy") >= 40.0);
}

#[test]
fn the_heaviest_image_is_slowed_first() {
    let mut pace = ThrottleController::default();
    pace.model.take(figures("web", &[("heavy", 20.0), ("light", 0.5)]));
    let runs = [filling("heavy", 0, 100), filling("light", 1, 100)];
    let calls = follow(&mut pace, &[serving("web", 0.9)], &runs, Moment(1_000));
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert_eq!(calls[0].task, runs[0].task);
}

/// What disturbs only images that do not run there may go on at full speed.
#[test]
fn a_press_on_other_images_slows_nothing() {
    let mut pace = ThrottleController::default();
    let mut known = figures("web", &[("heavy", 40.0)]);
    known.extend(figures("mail", &[("heavy", 0.2)]));
    pace.model.take(known);
    let runs = [filling("heavy", 0, 100)];
    assert_eq!(follow(&mut pace, &[serving("mail", 1.4)], &runs, Moment(1_000)), vec![]);
}

/// Guards against a bound that is missed for `harmMs` on end.
#[test]
fn everything_stands_still_when_a_bound_stays_exceeded() {
    let mut pace = ThrottleController::default();
    let mut runs = vec![filling("light", 0, 100)];
    pace.model.take(figures("web", &[("light", 0.1)]));
    let mut now = Moment(1_000);
    while runs[0].pace > 0 {
        for call in follow(&mut pace, &[serving("web", 0.5)], &runs, now) {
            runs[0].pace = call.percent;
        }
        // Looks follow each other at 250 ms.
        now = now.after(250);
        // Within 4 s, with half a second until the figures show it, a look and the pace.
        assert!(now < Moment(1_000 + 3_000), "still at {}%", runs[0].pace);
    }
}

/// Figures lag: after a stop the listed latency is that of before for a second.
#[test]
fn a_pace_is_not_judged_by_latencies_of_before() {
    let mut pace = ThrottleController::default();
    pace.model.take(figures("web", &[("heavy", 20.0)]));
    // It has just been stopped; the listed share of the bound falls from 2 towards 0.4.
    let mut runs = [filling("heavy", 0, 0)];
    let mut listed = 2.0;
    let mut now = Moment(1_000);
    assert_eq!(follow(&mut pace, &[serving("web", 1.0 / listed)], &runs, now), vec![]);
    for _ in 0..2 {
        listed = 0.4 + (listed - 0.4) * (-250.0f64 / 380.0).exp();
        now = now.after(250);
        for call in follow(&mut pace, &[serving("web", 1.0 / listed)], &runs, now) {
            runs[0].pace = call.percent;
        }
    }
    assert!(listed > 0.75, "the listed latency has not settled: {listed}");
    assert!(runs[0].pace > 0, "the room is used as soon as it is there");
}

#[test]
fn without_a_serving_task_everything_runs_at_full_speed() {
    let mut pace = ThrottleController::default();
    let runs = [filling("heavy", 0, 20)];
    let step = pace.follow(&[], &runs, HARM_BOUND, Moment(1_000));
    assert_eq!((step.calls[0].percent, step.samples), (100, vec![]));
}

/// Work that is nearly done frees its room soonest.
#[test]
fn of_two_alike_the_one_that_is_nearly_done_goes_on() {
    let mut pace = ThrottleController::default();
    pace.model.take(figures("web", &[("x", 5.0)]));
    let nearly = FillingRun { percent: 80, ..filling("x", 1, 100) };
    let runs = [filling("x", 0, 100), nearly];
    // Room for one of the two: 1.15 + 2 x 5 x 0.2 less the goal, and one takes 1.
    let calls = follow(&mut pace, &[serving("web", 0.3 + 0.15)], &runs, Moment(1_000));
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert_eq!(calls[0].task, runs[0].task);
}

/// A job that is too late in any case must not make another late.
#[test]
fn jobs_that_can_be_in_time_go_before_those_that_are_late() {
    let mut pace = ThrottleController::default();
    pace.model.take(figures("web", &[("x", 5.0)]));
    let late = FillingRun { percent: 80, late: true, ..filling("x", 1, 100) };
    let runs = [filling("x", 0, 100), late];
    let calls = follow(&mut pace, &[serving("web", 0.45)], &runs, Moment(1_000));
    assert_eq!(calls.len(), 1, "{calls:?}");
    assert_eq!(calls[0].task, runs[1].task);
}
