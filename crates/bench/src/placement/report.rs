//! Table and plots of the placement experiment.

use std::path::Path;

use anyhow::Context;

use super::model::PlacementResult;
use super::run::{PlacementKind, run};
use super::scenario::{self, PlacementScenario, RUN_DURATION};
use crate::preset::SitePreset;
use crate::report::{PlotCurve, ReportTable, SeedSpread, line_plot};

const HEADINGS: [&str; 14] = [
    "scenario",
    "policy",
    "work, task-s/h",
    "deadlines met %",
    "evictions",
    "work lost, s",
    "service slowdown, mean",
    "service slowdown, p99",
    "critical tasks, mean",
    "critical tasks, p99",
    "urgent within 1 s %",
    "work while out, s",
    "allowances kept %",
    "capacities kept %",
];

/// Runs all scenarios under all policies with seeds 1 to `seeds` and prints the table.
///
/// Writes one plot per scenario, of seed 1, to the folder `plots`. Fails if a policy
/// has run a task twice.
pub fn report(site: &SitePreset, seeds: u64, plots: Option<&Path>) -> anyhow::Result<()> {
    println!("preset {}, seeds 1 to {seeds}, median [lowest to highest]\n", site.name);
    let mut table = ReportTable::new(&HEADINGS);
    for scenario in scenario::all() {
        let mut curves = Vec::new();
        for kind in PlacementKind::ALL {
            let results: Result<Vec<_>, _> =
                (1..=seeds).map(|seed| run(site, &scenario, kind, seed)).collect();
            let results = results?;
            let duplicate_runs: u64 = results.iter().map(|result| result.duplicate_runs).sum();
            anyhow::ensure!(
                duplicate_runs == 0,
                "{}: {duplicate_runs} tasks ran twice",
                kind.name()
            );
            table.row(row(&scenario, kind, &results));
            curves.extend(results.first().map(|result| curve(kind, result)));
        }
        if let Some(folder) = plots {
            let name = scenario.name.replace(' ', "-");
            let path = folder.join(format!("placement-{}-{name}.svg", site.name));
            let title = format!("{}: {}, seed 1", site.name, scenario.name);
            let plot = line_plot(&title, "seconds", "finished work, task-s per s", &curves);
            std::fs::write(&path, plot)
                .with_context(|| format!("could not write {}", path.display()))?;
        }
    }
    print!("{}", table.text());
    Ok(())
}

/// Finished work per second at the start of each interval of 10 s.
fn curve(kind: PlacementKind, result: &PlacementResult) -> PlotCurve {
    let points = result.work_over_time.iter().enumerate();
    let points = points.map(|(interval, work)| (interval as f64 * 10.0, work / 10.0)).collect();
    PlotCurve { name: kind.name().to_owned(), points }
}

fn percent(part: u64, total: u64) -> f64 {
    100.0 * part as f64 / total.max(1) as f64
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn percentile_99(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(0.0)
}

fn row(
    scenario: &PlacementScenario,
    kind: PlacementKind,
    results: &[PlacementResult],
) -> Vec<String> {
    let spread = |value: &dyn Fn(&PlacementResult) -> f64, digits: usize| {
        let mut spread = SeedSpread::default();
        results.iter().for_each(|result| spread.add(value(result)));
        spread.text(digits)
    };
    let hours = RUN_DURATION as f64 / 3_600_000.0;
    let outage_work = match scenario.outage {
        Some(_) => spread(&|it| it.outage_work, 0),
        None => "-".to_owned(),
    };
    vec![
        scenario.name.to_owned(),
        kind.name().to_owned(),
        spread(&|it| it.finished_work / hours, 0),
        spread(&|it| percent(it.deadlines_met, it.deadlines), 1),
        spread(&|it| it.evictions as f64, 0),
        spread(&|it| it.lost_work, 0),
        spread(&|it| mean(&it.service_slowdowns), 2),
        spread(&|it| percentile_99(&it.service_slowdowns), 2),
        spread(&|it| mean(&it.critical_slowdowns), 2),
        spread(&|it| percentile_99(&it.critical_slowdowns), 2),
        spread(&|it| percent(it.urgent_jobs_in_time, it.urgent_jobs), 1),
        outage_work,
        spread(&|it| percent(it.allowances_kept, it.allowance_checks), 2),
        spread(&|it| percent(it.capacities_kept, it.capacity_checks), 2),
    ]
}
