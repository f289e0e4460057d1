//! Order, choice, allowances and the gradual return of a data centre.

use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_core::unit::Moment;
use cactusdoor_policy::placement::allowance::AllowanceBook;
use cactusdoor_policy::placement::choice::{VmOffer, choose, cost};
use cactusdoor_policy::placement::order::{DeadlineSlack, FairQueue, JobDemand, PlanShare};
use cactusdoor_policy::placement::ramp::{RAMP_TIME, ReturnRamp};

fn amount(processors: u64, memory: u64, accelerators: u32) -> ResourceVector {
    ResourceVector::new(processors, memory, accelerators)
}

fn offer(capacity: ResourceVector, free: ResourceVector) -> VmOffer {
    VmOffer {
        capacity,
        free,
        slowdown_percent: 0.0,
        job_in_rack: 0,
        job_running: 0,
        failed_here: false,
    }
}

fn pick(offers: &[VmOffer], need: ResourceVector) -> Option<usize> {
    choose(offers.iter().copied().enumerate(), need)
}

/// Guards against a placement beyond what is free, in any resource.
#[test]
fn a_vm_without_room_is_never_chosen() {
    let capacity = amount(4_000, 4_096, 1);
    for free in [amount(999, 4_096, 1), amount(4_000, 1_023, 1), amount(4_000, 4_096, 0)] {
        assert_eq!(pick(&[offer(capacity, free)], amount(1_000, 1_024, 1)), None);
    }
}

/// Guards against small tasks that break up the holes which accelerator work needs.
#[test]
fn accelerator_vms_are_left_to_accelerator_work() {
    let plain = offer(amount(32_000, 131_072, 0), amount(32_000, 131_072, 0));
    let accelerated = offer(amount(32_000, 131_072, 4), amount(2_000, 4_096, 4));
    assert_eq!(pick(&[accelerated, plain], amount(1_000, 1_024, 0)), Some(1));
    assert_eq!(pick(&[accelerated], amount(1_000, 1_024, 0)), Some(0));
}

/// Guards against tasks strewn over all VMs, so that a large one fits nowhere.
#[test]
fn the_fullest_vm_with_room_is_filled_first() {
    let capacity = amount(32_000, 131_072, 0);
    let offers = [offer(capacity, capacity), offer(capacity, amount(8_000, 32_768, 0))];
    assert_eq!(pick(&offers, amount(4_000, 16_384, 0)), Some(1));
}

/// Guards against a job that loses all its tasks with one rack.
#[test]
fn tasks_of_a_job_avoid_the_rack_that_has_most() {
    let capacity = amount(32_000, 131_072, 0);
    let crowded = VmOffer { job_in_rack: 4, job_running: 4, ..offer(capacity, capacity) };
    let other = VmOffer { job_in_rack: 0, ..crowded };
    assert_eq!(pick(&[crowded, other], amount(1_000, 1_024, 0)), Some(1));
}

/// Guards against neighbours that slow each other down, and against a job that
/// fails again on the VM where it has just failed.
#[test]
fn disturbing_neighbours_and_earlier_failures_cost() {
    let need = amount(1_000, 1_024, 0);
    let capacity = amount(32_000, 131_072, 0);
    let quiet = offer(capacity, capacity);
    let noisy = VmOffer { slowdown_percent: 40.0, ..quiet };
    let failed = VmOffer { failed_here: true, ..quiet };
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

/// Plans in the order in which `queue` places `count` tasks.
fn take(queue: &mut FairQueue, plans: &[usize], count: usize) -> Vec<usize> {
    let mut taken = Vec::new();
    for _ in 0..count {
        let Some(position) = queue.peek() else { break };
        queue.placed(position);
        taken.push(plans[position]);
    }
    taken
}

/// Guards against a plan that gets everything because it came first, and against
/// weights without effect.
#[test]
fn plans_share_by_weight() {
    let total = amount(100_000, 1 << 20, 0);
    let demands = vec![demand(0, 1), demand(1, 2)];
    let mut queue = FairQueue::new(total, vec![share(1), share(3)], demands);
    let taken = take(&mut queue, &[0, 1], 40);
    assert_eq!(taken.iter().filter(|plan| **plan == 1).count(), 30);
}

/// Guards against urgent work behind other work, and against a deadline that
/// passes while a job with time to spare is placed.
#[test]
fn urgent_work_and_near_deadlines_come_first() {
    let total = amount(100_000, 1 << 20, 0);
    let slack = |left: u64| DeadlineSlack::new(Some(1_000_000 + 10_000 + left), 10_000, 1_000_000);
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

/// Guards against lost deadlines that take the place of those that can be met.
#[test]
fn a_missed_deadline_gives_no_precedence() {
    assert_eq!(DeadlineSlack::new(Some(1_000), 10_000, 5_000), DeadlineSlack::Missed);
    let total = amount(100_000, 1 << 20, 0);
    let missed = JobDemand { slack: DeadlineSlack::Missed, ..demand(0, 2) };
    let plain = demand(0, 1);
    let queue = FairQueue::new(total, vec![share(1)], vec![missed, plain]);
    assert_eq!(queue.peek(), Some(1));
}

/// Guards against use beyond an allowance, in the sum of several tasks.
#[test]
fn an_allowance_holds_the_sum() {
    let plan = "gold".parse().unwrap();
    let mut book = AllowanceBook::default();
    let limit = amount(3_000, 8_192, 0);
    book.add(&plan, amount(2_000, 1_024, 0));
    assert_eq!(book.shortage(&plan, limit, amount(1_000, 1_024, 0)), None);
    assert_eq!(
        book.shortage(&plan, limit, amount(1_001, 1_024, 0)),
        Some(ResourceKind::Processors)
    );
    book.remove(&plan, amount(2_000, 1_024, 0));
    assert_eq!(book.used(&plan), ResourceVector::ZERO);
}

/// Guards against a data centre that is filled at once when it comes back, and
/// against one that never opens fully.
#[test]
fn a_returning_data_centre_opens_step_by_step() {
    let mut ramp = ReturnRamp::default();
    let start = Moment(1_000);
    assert_eq!(ramp.open(start, 10), 10);
    ramp.begin(start);
    assert_eq!(ramp.open(start, 10), 2);
    assert_eq!(ramp.open(start, 1), 1);
    let middle = ramp.open(start.after(RAMP_TIME / 2), 10);
    assert!((3..10).contains(&middle), "{middle}");
    assert_eq!(ramp.open(start.after(RAMP_TIME), 10), 10);
}
