//! Checks of the placement experiment and its reproducibility.

use cactusdoor_bench::placement::jobs;
use cactusdoor_bench::placement::model::PlacementModel;
use cactusdoor_bench::placement::run::{PlacementKind, run};
use cactusdoor_bench::placement::scenario;
use cactusdoor_bench::preset::SitePreset;

/// Guards against a policy that exceeds allowances or capacities, and against tasks
/// that run or finish twice.
#[test]
fn every_policy_respects_allowances_and_capacities() {
    let site = SitePreset::koperasi();
    for scenario in scenario::all() {
        for kind in PlacementKind::ALL {
            let result = run(&site, &scenario, kind, 7).unwrap();
            let name = format!("{} under {}", scenario.name, kind.name());
            assert!(result.allowance_checks > 0 && result.capacity_checks > 0, "{name}");
            assert_eq!(result.allowances_kept, result.allowance_checks, "{name}");
            assert_eq!(result.capacities_kept, result.capacity_checks, "{name}");
            assert_eq!(result.duplicate_runs, 0, "{name}");
            assert!(result.finished_work > 0.0, "{name}");
        }
    }
}

/// Guards against randomness that does not come from the seed, which would make runs
/// irreproducible.
#[test]
fn the_same_seed_reproduces_the_same_run() {
    let site = SitePreset::koperasi();
    for kind in PlacementKind::ALL {
        let scenario = &scenario::all()[3];
        let first = run(&site, scenario, kind, 3).unwrap();
        let second = run(&site, scenario, kind, 3).unwrap();
        assert_eq!(first.work_over_time, second.work_over_time, "{}", kind.name());
        assert_eq!(first.service_slowdowns, second.service_slowdowns, "{}", kind.name());
        assert_eq!(first.evictions, second.evictions, "{}", kind.name());
    }
}

/// Guards against checks in the model that miss a duplicate run or an exceeded
/// allowance or capacity.
#[test]
fn the_model_counts_every_kind_of_violation() {
    let site = SitePreset::koperasi();
    let scenario = &scenario::all()[0];
    let jobs = jobs::generate(&site, scenario, 1).unwrap();
    let mut plans = jobs::plans(&site).unwrap();
    for plan in &mut plans {
        plan.allowance.processors = 1;
    }
    let mut model = PlacementModel::new(&site, scenario, &jobs, &plans, 1);
    let key = (1, 0);
    model.start(0, 1, key, jobs[1].spec.need).unwrap();
    model.start(1, 2, key, jobs[1].spec.need).unwrap();
    // `start` refuses a need beyond the capacity, so the test sets it directly.
    model.vms[0].running[0].need.memory = site.vm.memory + 1;
    model.advance();
    let result = &model.result;
    assert_eq!(result.duplicate_runs, 1, "a second run of a running task was not counted");
    assert_eq!(result.allowance_checks - result.allowances_kept, 1);
    assert_eq!(result.capacity_checks - result.capacities_kept, 1);
    let refusal = model.start(0, 3, (2, 0), jobs[2].spec.need);
    assert!(refusal.is_err(), "a start on a VM without memory was accepted");
}
