//! Placement order, choice of a VM, allowances and the gradual return of a data centre.

use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_core::unit::Moment;
use cactusdoor_policy::placement::allowance::AllowanceUsage;
use cactusdoor_policy::placement::choice::{VmCandidate, choose, cost};
use cactusdoor_policy::placement::order::{DeadlineSlack, FairQueue, JobDemand, PlanShare};
use cactusdoor_policy::placement::ramp::{RAMP_TIME, ReturnRamp};

fn amount(processors: u64, memory: u64, accelerators: u32) -> ResourceVector {
    ResourceVector::new(processors, memory, accelerators)
}

fn candidate(capacity: ResourceVector, free: ResourceVector) -> VmCandidate {
    VmCandidate {
        capacity,
        free,
        slowdown_percent: 0.0,
        job_in_rack: 0,
        job_running: 0,
        failed_here: false,
    }
}

fn pick(candidates: &[VmCandidate], need: ResourceVector) -> Option<usize> {
    choose(candidates.iter().copied().enumerate(), need)
}

/// Guards against a placement that exceeds the free amount of any resource.
#[test]
fn a_vm_without_enough_free_resources_is_never_chosen() {
    let capacity = amount(4_000, 4_096, 1);
    for free in [amount(999, 4_096, 1), amount(4_000, 1_023, 1), amount(4_000, 4_096, 0)] {
        assert_eq!(pick(&[candidate(capacity, free)], amount(1_000, 1_024, 1)), None);
    }
}

/// Guards against small tasks that use up the processors and memory which accelerator
/// tasks need.
#[test]
fn accelerator_vms_are_kept_for_accelerator_tasks() {
    let plain = candidate(amount(32_000, 131_072, 0), amount(32_000, 131_072, 0));
    let accelerated = candidate(amount(32_000, 131_072, 4), amount(2_000, 4_096, 4));
    assert_eq!(pick(&[accelerated, plain], amount(1_000, 1_024, 0)), Some(1));
    assert_eq!(pick(&[accelerated], amount(1_000, 1_024, 0)), Some(0));
}

/// Guards against fragmentation: tasks spread over all VMs, so that a large one fits
/// nowhere.
#[test]
fn the_fullest_vm_that_fits_is_filled_first() {
    let capacity = amount(32_000, 131_072, 0);
    let candidates = [candidate(capacity, capacity), candidate(capacity, amount(8_000, 32_768, 0))];
    assert_eq!(pick(&candidates, amount(4_000, 16_384, 0)), Some(1));
}

/// Guards against a job that loses all its tasks with the failure of one rack.
#[test]
fn tasks_of_a_job_are_spread_over_racks() {
    let capacity = amount(32_000, 131_072, 0);
    let crowded = VmCandidate { job_in_rack: 4, job_running: 4, ..candidate(capacity, capacity) };
    let other = VmCandidate { job_in_rack: 0, ..crowded };
    assert_eq!(pick(&[crowded, other], amount(1_000, 1_024, 0)), Some(1));
}

/// Guards against neighbours that slow each other down, and against a job that is
/// placed again on the VM where it has just failed.
#[test]
fn interfering_neighbours_and_earlier_failures_raise_the_cost() {
    let need = amount(1_000, 1_024, 0);
    let capacity = amount(32_000, 131_072, 0);
    let quiet = candidate(capacity, capacity);
    let noisy = VmCandidate { slowdown_percent: 40.0, ..quiet };
    let failed = VmCandidate { failed_here: true, ..quiet };
    assert_eq!(pick(&[noisy, quiet], need), Some(1));
    assert_eq!(pick(&[failed, noisy], need), Some(1));
    assert!(cost(&failed, need).is_some(), "the only VM is still used");
}

fn demand(plan: usize, since: u64) -> JobDemand {
    JobDemand {
        plan,
        urgent: false,
        slack: DeadlineSlack::None,
        run_time: 10_000,
        since,
        need: amount(1_000, 1_024, 0),
    }
}

fn share(weight: u32) -> PlanShare {
    PlanShare { weight, used: ResourceVector::ZERO }
}

/// Plans of the first `count` tasks that `queue` places, in order.
fn place(queue: &mut FairQueue, plans: &[usize], count: usize) -> Vec<usize> {
    let mut placed_plans = Vec::new();
    for _ in 0..count {
        let Some(position) = queue.peek() else { break };
        queue.placed(position);
        placed_plans.push(plans[position]);
    }
    placed_plans
}

/// Guards against a plan that gets all capacity because it came first, and against
/// weights without effect.
#[test]
fn plans_share_capacity_by_weight() {
    let total = amount(100_000, 1 << 20, 0);
    let demands = vec![demand(0, 1), demand(1, 2)];
    let mut queue = FairQueue::new(total, vec![share(1), share(3)], demands);
    let placed_plans = place(&mut queue, &[0, 1], 40);
    assert_eq!(placed_plans.iter().filter(|plan| **plan == 1).count(), 30);
}

/// Guards against urgent tasks queued behind others, and against a deadline that is
/// missed while a job with more slack is placed.
#[test]
fn urgent_jobs_and_near_deadlines_come_first() {
    let total = amount(100_000, 1 << 20, 0);
    let slack =
        |spare: u64| DeadlineSlack::new(Some(1_000_000 + 10_000 + spare), 10_000, 1_000_000);
    let near = JobDemand { slack: slack(5_000), ..demand(0, 2) };
    let far = JobDemand { slack: slack(3_600_000), ..demand(0, 1) };
    let urgent = JobDemand { urgent: true, ..demand(0, 3) };
    let mut queue = FairQueue::new(total, vec![share(1)], vec![far, near, urgent]);
    for expected in [2, 1, 0] {
        assert_eq!(queue.peek(), Some(expected));
        queue.finish(expected);
    }
    assert_eq!(queue.peek(), None);
}

/// Guards against jobs with missed deadlines that delay those that can still meet them.
#[test]
fn a_missed_deadline_gives_no_precedence() {
    assert_eq!(DeadlineSlack::new(Some(1_000), 10_000, 5_000), DeadlineSlack::Missed);
    let total = amount(100_000, 1 << 20, 0);
    let missed = JobDemand { slack: DeadlineSlack::Missed, ..demand(0, 2) };
    let plain = demand(0, 1);
    let queue = FairQueue::new(total, vec![share(1)], vec![missed, plain]);
    assert_eq!(queue.peek(), Some(1));
}

/// Guards against several tasks that together exceed an allowance.
#[test]
fn an_allowance_limits_the_sum_of_all_tasks() {
    let plan = "gold".parse().unwrap();
    let mut usage = AllowanceUsage::default();
    let limit = amount(3_000, 8_192, 0);
    usage.add(&plan, amount(2_000, 1_024, 0));
    assert_eq!(usage.shortage(&plan, limit, amount(1_000, 1_024, 0)), None);
    assert_eq!(
        usage.shortage(&plan, limit, amount(1_001, 1_024, 0)),
        Some(ResourceKind::Processors)
    );
    usage.remove(&plan, amount(2_000, 1_024, 0));
    assert_eq!(usage.used(&plan), ResourceVector::ZERO);
}

/// Guards against a data centre that is filled at once on its return, and against one
/// that never opens fully.
#[test]
fn a_returning_data_centre_opens_step_by_step() {
    let mut ramp = ReturnRamp::default();
    let start = Moment(1_000);
    assert_eq!(ramp.open_vms(start, 10), 10);
    ramp.begin(start);
    assert_eq!(ramp.open_vms(start, 10), 2);
    assert_eq!(ramp.open_vms(start, 1), 1);
    let middle = ramp.open_vms(start.after(RAMP_TIME / 2), 10);
    assert!((3..10).contains(&middle), "{middle}");
    assert_eq!(ramp.open_vms(start.after(RAMP_TIME), 10), 10);
}
