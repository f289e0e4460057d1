//! What is learned from usage and failures.

use cactusdoor_core::job::JobId;
use cactusdoor_core::name::{TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Moment;
use cactusdoor_policy::placement::attribution::{
    FAILURES_PER_BAD_VM, FIRST_BACKOFF, FailureLedger, FailureVerdict, LONGEST_BACKOFF,
    VMS_PER_BAD_JOB, VmStanding,
};
use cactusdoor_policy::placement::eviction::{PressureEscalation, PressureStep, RELAX_PAUSE};
use cactusdoor_policy::placement::interference::PairTable;
use cactusdoor_policy::placement::learning::UsageLearner;

fn kind(name: &str) -> TaskKind {
    name.parse().unwrap()
}

fn vm(number: u32) -> VmName {
    format!("vm-{number}").parse().unwrap()
}

fn job(number: u32) -> JobId {
    JobId { plan: "gold".parse().unwrap(), key: format!("k{number}").parse().unwrap() }
}

const DECLARED: ResourceVector =
    ResourceVector { processors: 4_000, memory: 8_192, accelerators: 1 };

/// Runs `tasks` tasks that use `used`, three samples each.
fn learn(learner: &mut UsageLearner, tasks: u64, used: ResourceVector) {
    for token in 0..tasks {
        for _ in 0..3 {
            learner.observe(token, &kind("a"), used);
        }
        learner.ended(token, &kind("a"), Some(2_000));
    }
}

/// Guards against a need learned from too little.
#[test]
fn the_declared_need_counts_until_enough_is_known() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 7, ResourceVector::new(100, 100, 1));
    assert_eq!(learner.need(&kind("a"), DECLARED), DECLARED);
    assert_eq!(learner.run_time(&kind("a"), 9_000), 9_000);
}

/// Guards against room wasted by declared sizes that are far too large, and
/// against VMs overloaded by sizes that are far too small.
#[test]
fn a_learned_need_lies_above_the_real_one() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 20, ResourceVector::new(2_000, 4_096, 0));
    let need = learner.need(&kind("a"), DECLARED);
    assert!(need.processors >= 2_000 && need.processors < 4_000);
    assert!(need.memory >= 4_096 && need.memory < 8_192);
    assert_eq!(need.accelerators, 1);
    assert_eq!(learner.run_time(&kind("a"), 9_000), 2_000);
    learn(&mut learner, 20, ResourceVector::new(9_000, 20_000, 0));
    let need = learner.need(&kind("a"), DECLARED);
    assert!(need.processors >= 9_000 && need.memory >= 20_000);
}

/// Guards against memory learned from a quantile: one task in twenty would break
/// its VM.
#[test]
fn the_largest_memory_peak_counts() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 60, ResourceVector::new(1_000, 2_048, 0));
    for _ in 0..3 {
        learner.observe(900, &kind("a"), ResourceVector::new(1_000, 7_000, 0));
    }
    assert!(learner.need(&kind("a"), DECLARED).memory >= 7_000);
}

/// Guards against a tiny need learned from figures that miss the peak.
#[test]
fn a_learned_need_keeps_a_floor() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 20, ResourceVector::new(1, 1, 0));
    let need = learner.need(&kind("a"), DECLARED);
    assert_eq!((need.processors, need.memory), (1_000, 2_048));
}

/// Guards against blame on a kind that is merely there when another disturbs.
#[test]
fn the_kind_that_disturbs_gets_the_blame() {
    let mut pairs = PairTable::default();
    let (victim, noisy, quiet) = (kind("victim"), kind("noisy"), kind("quiet"));
    for _ in 0..200 {
        pairs.observe(&victim, &[&noisy, &quiet], 60);
        pairs.observe(&victim, &[&quiet], 100);
    }
    let (blamed, innocent) = (pairs.weight(&victim, &noisy), pairs.weight(&victim, &quiet));
    assert!((blamed - 40.0).abs() < 5.0, "{blamed}");
    assert!(innocent < 5.0, "{innocent}");
    assert!((pairs.added(&noisy, [(&victim, 1)]) - blamed).abs() < f64::EPSILON);
}

/// Guards against weights that overshoot when many neighbours are of one kind.
#[test]
fn many_neighbours_of_one_kind_share_the_slowdown() {
    let mut pairs = PairTable::default();
    let (victim, noisy) = (kind("victim"), kind("noisy"));
    let crowd = vec![&noisy; 12];
    for _ in 0..200 {
        pairs.observe(&victim, &crowd, 40);
    }
    let weight = pairs.weight(&victim, &noisy);
    assert!((weight - 5.0).abs() < 0.5, "{weight}");
}

/// Guards against jobs that are blamed for a worker that fails everything.
#[test]
fn failures_of_several_jobs_hold_the_vm_back() {
    let mut ledger = FailureLedger::default();
    let now = Moment(1_000);
    assert_eq!(ledger.failed(&vm(1), &job(1), VMS_PER_BAD_JOB, now), FailureVerdict::Undecided);
    assert_eq!(ledger.failed(&vm(1), &job(2), VMS_PER_BAD_JOB, now), FailureVerdict::Undecided);
    assert_eq!(
        ledger.failed(&vm(1), &job(3), VMS_PER_BAD_JOB, now),
        FailureVerdict::VmHeldBack { failures: 3 }
    );
    assert_eq!(ledger.standing(&vm(1), now), VmStanding::HeldBack(now.after(FIRST_BACKOFF)));
    assert!(!ledger.has_failed_on(&job(1), &vm(1)));
}

/// Guards against a bad worker that is not recognised while only one job runs.
#[test]
fn a_row_of_failures_of_a_job_that_works_elsewhere_holds_the_vm_back() {
    let mut ledger = FailureLedger::default();
    let now = Moment(1_000);
    ledger.succeeded(&vm(2), &job(1));
    for _ in 1..FAILURES_PER_BAD_VM {
        assert_eq!(ledger.failed(&vm(1), &job(1), VMS_PER_BAD_JOB, now), FailureVerdict::Undecided);
        ledger.succeeded(&vm(2), &job(1));
    }
    let verdict = ledger.failed(&vm(1), &job(1), VMS_PER_BAD_JOB, now);
    assert_eq!(verdict, FailureVerdict::VmHeldBack { failures: FAILURES_PER_BAD_VM });
}

/// Guards against a VM that never comes back, and against one that comes back
/// without having worked.
#[test]
fn a_probe_decides_about_a_held_back_vm() {
    let mut ledger = FailureLedger::default();
    let mut now = Moment(1_000);
    for number in 1..=3 {
        ledger.failed(&vm(1), &job(number), VMS_PER_BAD_JOB, now);
    }
    let mut backoff = FIRST_BACKOFF;
    for _ in 0..10 {
        now = now.after(backoff);
        assert_eq!(ledger.standing(&vm(1), now), VmStanding::Probing);
        ledger.failed(&vm(1), &job(4), VMS_PER_BAD_JOB, now);
        backoff = (2 * backoff).min(LONGEST_BACKOFF);
        assert_eq!(ledger.standing(&vm(1), now), VmStanding::HeldBack(now.after(backoff)));
    }
    now = now.after(backoff);
    assert!(ledger.succeeded(&vm(1), &job(5)));
    assert_eq!(ledger.standing(&vm(1), now), VmStanding::Good);
}

/// Guards against good VMs that are held back for a job that fails everywhere.
#[test]
fn failures_of_one_job_on_several_vms_park_the_job() {
    let mut ledger = FailureLedger::default();
    let now = Moment(1_000);
    ledger.failed(&vm(1), &job(1), VMS_PER_BAD_JOB, now);
    ledger.failed(&vm(2), &job(1), VMS_PER_BAD_JOB, now);
    // Repeated failures on one VM say no more than one.
    assert_eq!(ledger.failed(&vm(2), &job(1), VMS_PER_BAD_JOB, now), FailureVerdict::Undecided);
    let verdict = ledger.failed(&vm(3), &job(1), VMS_PER_BAD_JOB, now);
    assert_eq!(verdict, FailureVerdict::JobFailsEverywhere { vms: 3 });
    assert_eq!(ledger.parked_until(&job(1)), Some(now.after(FIRST_BACKOFF)));
    for number in 1..=3 {
        assert_eq!(ledger.standing(&vm(number), now), VmStanding::Good);
        ledger.failed(&vm(number), &job(2), VMS_PER_BAD_JOB, now);
    }
    assert_eq!(ledger.held_back(), 0);
}

/// Guards against a job that is tried for ever where fewer VMs than the threshold
/// can run it, and against one that is parked after a single failure there.
#[test]
fn a_job_that_fails_on_all_vms_of_a_small_shard_is_parked() {
    let now = Moment(1_000);
    let parked = FailureVerdict::JobFailsEverywhere { vms: 2 };
    let mut ledger = FailureLedger::default();
    for _ in 0..4 {
        assert_eq!(ledger.failed(&vm(1), &job(1), 2, now), FailureVerdict::Undecided);
    }
    assert_eq!(ledger.failed(&vm(2), &job(1), 2, now), parked);
    let mut ledger = FailureLedger::default();
    assert_eq!(ledger.failed(&vm(1), &job(1), 2, now), FailureVerdict::Undecided);
    assert_eq!(ledger.failed(&vm(2), &job(1), 2, now), FailureVerdict::Undecided);
    assert_eq!(ledger.failed(&vm(1), &job(1), 2, now), parked);
    let mut ledger = FailureLedger::default();
    for _ in 1..VMS_PER_BAD_JOB {
        assert_eq!(ledger.failed(&vm(1), &job(1), 1, now), FailureVerdict::Undecided);
    }
    let alone = FailureVerdict::JobFailsEverywhere { vms: 1 };
    assert_eq!(ledger.failed(&vm(1), &job(1), 1, now), alone);
}

/// Guards against a parked job that is tried at the same pace for ever.
#[test]
fn a_job_that_goes_on_failing_is_parked_longer() {
    let mut ledger = FailureLedger::default();
    let mut now = Moment(1_000);
    let mut last = 0;
    for _ in 0..3 {
        for number in 1..=3 {
            ledger.failed(&vm(number), &job(1), VMS_PER_BAD_JOB, now);
        }
        let until = ledger.parked_until(&job(1)).unwrap();
        assert!(until.since(now) > last);
        last = until.since(now);
        now = until;
        ledger.released(&job(1));
    }
}

/// Guards against a step that is taken before the last one could show in the
/// lagging figures, and against flapping between steps.
#[test]
fn pressure_rises_step_by_step_and_falls_after_calm() {
    let mut escalation = PressureEscalation::default();
    let mut now = Moment(100_000);
    assert_eq!(escalation.observe(now, 14, 500), None, "below the threshold");
    assert_eq!(escalation.observe(now, 30, 500), Some(PressureStep::Throttle));
    now = now.after(1_000);
    assert_eq!(escalation.observe(now, 30, 500), None, "the figures are older than the step");
    for expected in [PressureStep::ThrottleHard, PressureStep::Evict, PressureStep::Stop] {
        now = now.after(1_500);
        assert_eq!(escalation.observe(now, 30, 500), Some(expected));
    }
    // Between the thresholds nothing moves.
    for _ in 0..20 {
        now = now.after(1_000);
        assert_eq!(escalation.observe(now, 10, 500), None);
    }
    assert_eq!(escalation.step(), PressureStep::Stop);
    for expected in [PressureStep::ThrottleHard, PressureStep::Throttle, PressureStep::Free] {
        assert_eq!(escalation.observe(now, 0, 500), None);
        now = now.after(RELAX_PAUSE);
        assert_eq!(escalation.observe(now, 0, 500), Some(expected));
    }
}
