//! Command line of the experiments and cost measurements, and the routing table.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use anyhow::Context;
use bpaf::Bpaf;
use cactusdoor_bench::capacity::{self, CapacityPart};
use cactusdoor_bench::event::SECOND;
use cactusdoor_bench::placement::report;
use cactusdoor_bench::preset::SitePreset;
use cactusdoor_bench::report::{PlotCurve, ReportTable, SeedSpread, line_plot};
use cactusdoor_bench::routing::policy::PolicyKind;
use cactusdoor_bench::routing::run::{RoutingResult, run};
use cactusdoor_bench::routing::scenario::{self, RoutingScenario};

/// Drives the decision logic with seeded loads, next to two baselines
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Cost of decisions, state, appends and daemons at several sizes
    #[bpaf(command)]
    Capacity {
        /// owner, queue, state, wire, appends or daemons
        #[bpaf(positional("PART"))]
        part: CapacityPart,
    },
    /// Interactive requests: tail latency, refusals, recovery
    #[bpaf(command)]
    Routing {
        /// koperasi or termovizia
        #[bpaf(argument("PRESET"))]
        preset: SitePreset,
        /// Number of seeds, from 1 on
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        /// Folder for the plots
        #[bpaf(argument("FOLDER"), optional)]
        plots: Option<PathBuf>,
    },
    /// Batch jobs beside latency-critical tasks: work, deadlines, slowdown
    #[bpaf(command)]
    Placement {
        /// koperasi or termovizia
        #[bpaf(argument("PRESET"))]
        preset: SitePreset,
        /// Number of seeds, from 1 on
        #[bpaf(argument("N"), fallback(5))]
        seeds: u64,
        /// Folder for the plots
        #[bpaf(argument("FOLDER"), optional)]
        plots: Option<PathBuf>,
    },
}

fn main() -> anyhow::Result<()> {
    match arguments().run() {
        Arguments::Capacity { part } => capacity::run(part),
        Arguments::Routing { preset, seeds, plots } => routing(&preset, seeds, plots.as_deref()),
        Arguments::Placement { preset, seeds, plots } => {
            report::report(&preset, seeds, plots.as_deref())
        }
    }
}

fn routing(site: &SitePreset, seeds: u64, plots: Option<&Path>) -> anyhow::Result<()> {
    println!("preset {}, seeds 1 to {seeds}, median [lowest to highest]\n", site.name);
    let mut table = ReportTable::new(&[
        "scenario",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "answered %",
        "refused %",
        "extra %",
        "goodput after/before %",
    ]);
    for scenario in scenario::all(site) {
        let mut curves = Vec::new();
        for kind in PolicyKind::ALL {
            let results: Result<Vec<_>, _> =
                (1..=seeds).map(|seed| run(site, &scenario, kind, seed)).collect();
            let results = results?;
            table.row(row(&scenario, kind, &results));
            curves.extend(results.first().map(|result| curve(kind, result)));
        }
        if let Some(folder) = plots {
            let name = scenario.name.replace(' ', "-");
            let path = folder.join(format!("routing-{}-{name}.svg", site.name));
            let title = format!("{}: {}, seed 1", site.name, scenario.name);
            let plot = line_plot(&title, "seconds", "answers per second", &curves);
            std::fs::write(&path, plot)
                .with_context(|| format!("could not write {}", path.display()))?;
        }
    }
    print!("{}", table.text());
    Ok(())
}

fn curve(kind: PolicyKind, result: &RoutingResult) -> PlotCurve {
    let seconds = result.goodput.len().saturating_sub(3);
    let points = result.goodput.iter().take(seconds).enumerate();
    let points = points.map(|(second, answers)| (second as f64, *answers as f64)).collect();
    PlotCurve { name: kind.name().to_owned(), points }
}

fn row(scenario: &RoutingScenario, kind: PolicyKind, results: &[RoutingResult]) -> Vec<String> {
    let spread = |value: &dyn Fn(&RoutingResult) -> f64, digits: usize| {
        let mut spread = SeedSpread::default();
        results.iter().for_each(|result| spread.add(value(result)));
        spread.text(digits)
    };
    let percent = |part: u64, result: &RoutingResult| 100.0 * part as f64 / result.offered as f64;
    let mut label = String::new();
    let _ = write!(label, "{}", scenario.name);
    vec![
        label,
        kind.name().to_owned(),
        spread(&|result| result.latency.millis(0.5), 1),
        spread(&|result| result.latency.millis(0.99), 1),
        spread(&|result| result.latency.millis(0.999), 1),
        spread(&|result| percent(result.answered, result), 2),
        spread(&|result| percent(result.refused, result), 2),
        spread(&|result| percent(result.extra_attempts, result), 2),
        spread(&|result| recovery(scenario, result), 1),
    ]
}

/// Goodput of the 20 s up to one second before the end of the run, in percent of the
/// goodput of seconds 20 to 40.
fn recovery(scenario: &RoutingScenario, result: &RoutingResult) -> f64 {
    let window = |from: u64| -> u64 {
        let from = (from / SECOND) as usize;
        result.goodput.iter().skip(from).take(20).sum()
    };
    let before = window(20 * SECOND).max(1);
    100.0 * window(scenario.duration - 21 * SECOND) as f64 / before as f64
}
