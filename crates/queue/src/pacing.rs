//! How fast an agent lets tasks that fill idle processors run, so that the
//! tasks that serve users beside them meet their bound.
//!
//! Each look gives the headroom of every serving task and the processors that
//! every filling task used meanwhile. With the learned presses, that tells how
//! much more or less the filling tasks may use. The room goes to jobs first that can
//! still be done in time, then to the tasks that take the least of it, and among
//! alike to those that are nearly done.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use crate::figures::{CalmTrend, TailFigures};
use crate::name::{Label, RunNumber, TaskName};
use crate::press::{FAR_OVER, PressModel, PressSample, ShareChange};

/// Full speed, percent.
pub const FULL_PACE: u8 = 100;
/// Headroom that the paces leave beyond the trend of the load: the error of the
/// presses. Runs with 1.2 and 1.3 earned no more on the users' sites.
pub const GOAL: f64 = 1.1;
/// A filling task whose press takes less headroom than this is not slowed for it.
const NEGLIGIBLE: f64 = 0.05;
/// Between two samples: figures are of the last half second.
const SAMPLE_INTERVAL: Millis = 500;
/// Looks further apart compare different loads.
pub(crate) const LOOK_LIMIT: Millis = 1_600;
/// Least change of a share that a sample is worth sending for.
const SAMPLE_CHANGE: f32 = 0.01;
/// Share of the time for which a bound may be missed, in percent, after which all
/// that fills stands still: the figures come half a second late, a look 250 ms,
/// and the pace works 100 ms later.
const STANDSTILL_PERCENT: Millis = 35;
/// A task ranks by its press times its rest; this much more than the rest keeps
/// heavy images behind light ones to the end.
const RANK_REST: f64 = 1.1;
/// Share of a rise that one look allows where the room is not enough for full speed.
const RISE: f64 = 0.6;
/// Paces are set in steps, percent.
const PACE_STEP: u8 = 5;
/// Smaller rises are not worth a call, percent.
const LEAST_RISE: u8 = 10;

/// A call to set the pace of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceCall {
    pub task: TaskName,
    pub run: RunNumber,
    pub percent: u8,
}

/// What follows from one look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PaceStep {
    pub calls: Vec<PaceCall>,
    pub samples: Vec<PressSample>,
}

/// A running task that serves users.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingRun {
    pub task: TaskName,
    pub image: Option<Label>,
    /// Bound over tail latency.
    pub headroom: f64,
}

/// A running task that fills.
#[derive(Clone, Debug, PartialEq)]
pub struct FillingRun {
    pub task: TaskName,
    pub run: RunNumber,
    pub image: Option<Label>,
    /// Processors at full speed as a share of the worker's.
    pub share: f64,
    /// The same as it was used in the last half second.
    pub used: f64,
    /// Percent.
    pub pace: u8,
    /// Progress, percent.
    pub percent: u8,
    /// Whether its job can no longer be done in time.
    pub late: bool,
}

/// A look that the next sample is compared with.
#[derive(Clone, Debug)]
struct LookBefore {
    at: Moment,
    headrooms: IndexMap<TaskName, f64>,
    shares: IndexMap<Label, f64>,
}

/// The paces of the tasks that fill on one worker.
#[derive(Clone, Debug, Default)]
pub struct FillPace {
    pub model: PressModel,
    before: Option<LookBefore>,
    calm: CalmTrend,
    tails: TailFigures,
    over_since: Option<Moment>,
}

impl FillPace {
    /// Follows the newest figures. `harm_bound` is the time for which a bound may be
    /// missed.
    pub fn follow(
        &mut self,
        serving: &[ServingRun],
        filling: &[FillingRun],
        harm_bound: Millis,
        now: Moment,
    ) -> PaceStep {
        let Some(settled) = self.tails.settle(serving, now) else { return PaceStep::default() };
        let samples = self.sample(&settled, filling, now);
        if serving.iter().all(|run| run.headroom >= 1.0) {
            self.over_since = None;
        } else if self.over_since.is_none() {
            self.over_since = Some(now);
        }
        let standstill = harm_bound * STANDSTILL_PERCENT / 100;
        let still = self.over_since.is_some_and(|since| since.after(standstill) <= now);
        let paces = if still { vec![0; filling.len()] } else { self.paces(&settled, filling, now) };
        let changed = filling.iter().zip(paces).filter(|(run, pace)| is_change(run.pace, *pace));
        let calls = changed
            .map(|(run, percent)| PaceCall { task: run.task.clone(), run: run.run, percent })
            .collect();
        PaceStep { calls, samples }
    }

    fn paces(&mut self, serving: &[ServingRun], filling: &[FillingRun], now: Moment) -> Vec<u8> {
        let presses: Vec<Vec<f64>> = filling.iter().map(|run| self.presses(serving, run)).collect();
        let calm: Vec<f64> = serving
            .iter()
            .enumerate()
            .map(|(index, run)| {
                let pressed = filling.iter().zip(&presses).map(|(run, p)| p[index] * run.used);
                run.headroom + pressed.sum::<f64>()
            })
            .collect();
        let falls = self.calm.follow(serving, &calm, now);
        let mut rooms: Vec<f64> = serving
            .iter()
            .zip(calm.iter().zip(falls))
            .map(
                |(run, (calm, fall))| {
                    if run.headroom < FAR_OVER { 0.0 } else { calm - fall - GOAL }
                },
            )
            .collect();
        let weight = |index: usize| {
            let taken = presses[index].iter().zip(&rooms);
            taken.map(|(press, room)| press / room.max(NEGLIGIBLE)).fold(0.0, f64::max)
        };
        let mut order: Vec<_> = (0..filling.len())
            .map(|index| {
                let rest = RANK_REST - f64::from(filling[index].percent) / 100.0;
                (filling[index].late, weight(index) * rest, index)
            })
            .collect();
        order.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        let mut paces = vec![0; filling.len()];
        for (_, _, index) in order {
            let run = &filling[index];
            let part = part(&presses[index], &rooms, run.share);
            let old = f64::from(run.pace) / 100.0;
            let part = if part < 1.0 && part > old { old + (part - old) * RISE } else { part };
            for (room, press) in rooms.iter_mut().zip(&presses[index]) {
                *room -= press * run.share * part;
            }
            paces[index] = percent(part);
        }
        paces
    }

    fn presses(&self, serving: &[ServingRun], run: &FillingRun) -> Vec<f64> {
        let press = |task: &ServingRun| self.model.press(task.image.as_ref(), run.image.as_ref());
        serving.iter().map(press).collect()
    }

    /// What has changed since the last samples, one for each serving image.
    fn sample(
        &mut self,
        serving: &[ServingRun],
        filling: &[FillingRun],
        now: Moment,
    ) -> Vec<PressSample> {
        if self.before.as_ref().is_some_and(|before| now < before.at.after(SAMPLE_INTERVAL)) {
            return Vec::new();
        }
        let look = LookBefore {
            at: now,
            headrooms: serving.iter().map(|run| (run.task.clone(), run.headroom)).collect(),
            shares: shares(filling),
        };
        let before = self.before.replace(look.clone());
        let Some(before) = before.filter(|before| now <= before.at.after(LOOK_LIMIT)) else {
            return Vec::new();
        };
        let shares = share_changes(&before, &look);
        if shares.iter().all(|share| (share.now - share.before).abs() < SAMPLE_CHANGE) {
            return Vec::new();
        }
        let mut images: IndexMap<&Label, Vec<(f64, f64)>> = IndexMap::new();
        for run in serving {
            let (Some(image), Some(old)) = (&run.image, before.headrooms.get(&run.task)) else {
                continue;
            };
            images.entry(image).or_default().push((*old, run.headroom));
        }
        let sample = |(image, headrooms): (&Label, Vec<(f64, f64)>)| PressSample {
            serving: image.clone(),
            before: mean(headrooms.iter().map(|(before, _)| *before)),
            now: mean(headrooms.iter().map(|(_, now)| *now)),
            shares: shares.clone(),
        };
        images.into_iter().map(sample).collect()
    }
}

/// The largest part of full speed that every room allows.
fn part(presses: &[f64], rooms: &[f64], share: f64) -> f64 {
    let parts = presses.iter().zip(rooms).map(|(press, room)| {
        let wanted = press * share;
        if wanted <= NEGLIGIBLE || wanted <= *room { 1.0 } else { (room / wanted).max(0.0) }
    });
    parts.fold(1.0, f64::min)
}

fn shares(filling: &[FillingRun]) -> IndexMap<Label, f64> {
    let mut shares = IndexMap::new();
    for run in filling {
        if let Some(image) = &run.image {
            *shares.entry(image.clone()).or_insert(0.0) += run.used;
        }
    }
    shares
}

fn share_changes(before: &LookBefore, now: &LookBefore) -> Vec<ShareChange> {
    let new = now.shares.keys().filter(|image| !before.shares.contains_key(*image));
    let images = before.shares.keys().chain(new);
    let share = |shares: &IndexMap<Label, f64>, image| shares.get(image).copied().unwrap_or(0.0);
    images
        .map(|image| ShareChange {
            image: image.clone(),
            before: narrow(share(&before.shares, image)),
            now: narrow(share(&now.shares, image)),
        })
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "a handful of tasks")]
fn mean(figures: impl ExactSizeIterator<Item = f64>) -> f32 {
    let count = figures.len().max(1) as f64;
    narrow(figures.sum::<f64>() / count)
}

#[expect(clippy::cast_possible_truncation, reason = "rough figures")]
fn narrow(figure: f64) -> f32 {
    figure as f32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share from 0 to 1 in percent"
)]
fn percent(part: f64) -> u8 {
    let percent = (part * f64::from(FULL_PACE)) as u8;
    percent / PACE_STEP * PACE_STEP
}

/// Whether a new pace is worth a call.
fn is_change(old: u8, new: u8) -> bool {
    new < old || new >= old.saturating_add(LEAST_RISE) || (new > old && new == FULL_PACE)
}
