//! The placement experiment itself: its checks and its reproducibility.

use cactusdoor_bench::placement::jobs;
use cactusdoor_bench::placement::run::{PlacementKind, run};
use cactusdoor_bench::placement::scenario;
use cactusdoor_bench::placement::world::PlacementWorld;
use cactusdoor_bench::preset::SitePreset;

/// Guards against allowances and capacities that a policy exceeds, and against
/// tasks that run twice or finish twice.
#[test]
fn every_policy_keeps_allowances_and_capacities() {
    let site = SitePreset::koperasi();
    for scenario in scenario::all() {
        for kind in PlacementKind::ALL {
            let figures = run(&site, &scenario, kind, 7).unwrap();
            let name = format!("{} under {}", scenario.name, kind.name());
            assert!(figures.allowance_checks > 0 && figures.capacity_checks > 0, "{name}");
            assert_eq!(figures.allowances_kept, figures.allowance_checks, "{name}");
            assert_eq!(figures.capacities_kept, figures.capacity_checks, "{name}");
            assert_eq!(figures.faults, 0, "{name}");
            assert!(figures.work > 0.0, "{name}");
        }
    }
}

/// Guards against a hidden source of randomness, with which a seed would not
/// identify a run.
#[test]
fn a_seed_gives_the_same_run_again() {
    let site = SitePreset::koperasi();
    for kind in PlacementKind::ALL {
        let scenario = &scenario::all()[3];
        let once = run(&site, scenario, kind, 3).unwrap();
        let again = run(&site, scenario, kind, 3).unwrap();
        assert_eq!(once.work_over_time, again.work_over_time, "{}", kind.name());
        assert_eq!(once.slowdowns, again.slowdowns, "{}", kind.name());
        assert_eq!(once.evictions, again.evictions, "{}", kind.name());
    }
}

/// Guards against checks of the model that would not notice a violation.
#[test]
fn the_model_notices_violations() {
    let site = SitePreset::koperasi();
    let scenario = &scenario::all()[0];
    let jobs = jobs::draw(&site, scenario, 1).unwrap();
    let mut plans = jobs::plans(&site).unwrap();
    for plan in &mut plans {
        plan.allowance.processors = 1;
    }
    let mut world = PlacementWorld::new(&site, scenario, &jobs, &plans, 1);
    let key = (1, 0);
    world.start(0, 1, key, jobs[1].spec.need).unwrap();
    world.start(1, 2, key, jobs[1].spec.need).unwrap();
    // Beyond what `start` lets pass.
    world.vms[0].running[0].need.memory = site.vm.memory + 1;
    world.advance();
    let figures = &world.figures;
    assert_eq!(figures.faults, 1, "a copy of a running task was not noticed");
    assert_eq!(figures.allowance_checks - figures.allowances_kept, 1);
    assert_eq!(figures.capacity_checks - figures.capacities_kept, 1);
    let full = world.start(0, 3, (2, 0), jobs[2].spec.need);
    assert!(full.is_err(), "a start on a VM without memory was accepted");
}
