//! Learning from usage samples and failures.

use cactusdoor_core::job::JobId;
use cactusdoor_core::name::{TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Moment;
use cactusdoor_policy::placement::attribution::{
    FAILURES_TO_QUARANTINE_VM, FIRST_BACKOFF, FailureHistory, FailureVerdict, LONGEST_BACKOFF,
    VMS_TO_PARK_JOB, VmHealth,
};
use cactusdoor_policy::placement::eviction::{PressureEscalation, PressureStep, RELAX_PAUSE};
use cactusdoor_policy::placement::interference::InterferenceTable;
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

/// Records `tasks` tasks that use `used`, with three samples each.
fn learn(learner: &mut UsageLearner, tasks: u64, used: ResourceVector) {
    for token in 0..tasks {
        for _ in 0..3 {
            learner.observe(token, &kind("a"), used);
        }
        learner.ended(token, &kind("a"), Some(2_000));
    }
}

/// Guards against a need learned from too few tasks.
#[test]
fn declared_need_applies_until_enough_tasks_were_seen() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 7, ResourceVector::new(100, 100, 1));
    assert_eq!(learner.need(&kind("a"), DECLARED), DECLARED);
    assert_eq!(learner.run_time(&kind("a"), 9_000), 9_000);
}

/// Guards against capacity wasted by declared needs that are far too high, and
/// against VMs overloaded by needs that are far too low.
#[test]
fn learned_need_exceeds_actual_usage() {
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

/// Guards against memory learned from a quantile: one task in twenty would exceed
/// the memory of its VM.
#[test]
fn learned_memory_covers_the_largest_peak() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 60, ResourceVector::new(1_000, 2_048, 0));
    for _ in 0..3 {
        learner.observe(900, &kind("a"), ResourceVector::new(1_000, 7_000, 0));
    }
    assert!(learner.need(&kind("a"), DECLARED).memory >= 7_000);
}

/// Guards against a very low need learned from samples that miss the peak.
#[test]
fn learned_need_has_a_minimum() {
    let mut learner = UsageLearner::default();
    learn(&mut learner, 20, ResourceVector::new(1, 1, 0));
    let need = learner.need(&kind("a"), DECLARED);
    assert_eq!((need.processors, need.memory), (1_000, 2_048));
}

/// Guards against slowdown being attributed to a kind that is merely present when another
/// one interferes.
#[test]
fn slowdown_is_attributed_to_the_interfering_kind() {
    let mut table = InterferenceTable::default();
    let (victim, noisy, quiet) = (kind("victim"), kind("noisy"), kind("quiet"));
    for _ in 0..200 {
        table.observe(&victim, &[&noisy, &quiet], 60);
        table.observe(&victim, &[&quiet], 100);
    }
    let (noisy_weight, quiet_weight) =
        (table.weight(&victim, &noisy), table.weight(&victim, &quiet));
    assert!((noisy_weight - 40.0).abs() < 5.0, "{noisy_weight}");
    assert!(quiet_weight < 5.0, "{quiet_weight}");
    assert!((table.expected_slowdown(&noisy, [(&victim, 1)]) - noisy_weight).abs() < f64::EPSILON);
}

/// Guards against weights that overshoot when many neighbours are of the same kind.
#[test]
fn many_neighbours_of_one_kind_share_the_slowdown() {
    let mut table = InterferenceTable::default();
    let (victim, noisy) = (kind("victim"), kind("noisy"));
    let crowd = vec![&noisy; 12];
    for _ in 0..200 {
        table.observe(&victim, &crowd, 40);
    }
    let weight = table.weight(&victim, &noisy);
    assert!((weight - 5.0).abs() < 0.5, "{weight}");
}

/// Guards against jobs being held responsible for a VM on which every task fails.
#[test]
fn failures_of_several_jobs_quarantine_the_vm() {
    let mut history = FailureHistory::default();
    let now = Moment(1_000);
    assert_eq!(history.failed(&vm(1), &job(1), VMS_TO_PARK_JOB, now), FailureVerdict::Undecided);
    assert_eq!(history.failed(&vm(1), &job(2), VMS_TO_PARK_JOB, now), FailureVerdict::Undecided);
    assert_eq!(
        history.failed(&vm(1), &job(3), VMS_TO_PARK_JOB, now),
        FailureVerdict::VmQuarantined { failures: 3 }
    );
    assert_eq!(history.health(&vm(1), now), VmHealth::Quarantined(now.after(FIRST_BACKOFF)));
    assert!(!history.has_failed_on(&job(1), &vm(1)));
}

/// Guards against a faulty VM that is not recognised while only one job runs.
#[test]
fn consecutive_failures_of_a_job_that_succeeds_elsewhere_quarantine_the_vm() {
    let mut history = FailureHistory::default();
    let now = Moment(1_000);
    history.succeeded(&vm(2), &job(1));
    for _ in 1..FAILURES_TO_QUARANTINE_VM {
        assert_eq!(
            history.failed(&vm(1), &job(1), VMS_TO_PARK_JOB, now),
            FailureVerdict::Undecided
        );
        history.succeeded(&vm(2), &job(1));
    }
    let verdict = history.failed(&vm(1), &job(1), VMS_TO_PARK_JOB, now);
    assert_eq!(verdict, FailureVerdict::VmQuarantined { failures: FAILURES_TO_QUARANTINE_VM });
}

/// Guards against a VM that is quarantined for ever, and against one that is released
/// without a successful probe.
#[test]
fn a_successful_probe_ends_the_quarantine_of_a_vm() {
    let mut history = FailureHistory::default();
    let mut now = Moment(1_000);
    for number in 1..=3 {
        history.failed(&vm(1), &job(number), VMS_TO_PARK_JOB, now);
    }
    let mut backoff = FIRST_BACKOFF;
    for _ in 0..10 {
        now = now.after(backoff);
        assert_eq!(history.health(&vm(1), now), VmHealth::Probing);
        history.failed(&vm(1), &job(4), VMS_TO_PARK_JOB, now);
        backoff = (2 * backoff).min(LONGEST_BACKOFF);
        assert_eq!(history.health(&vm(1), now), VmHealth::Quarantined(now.after(backoff)));
    }
    now = now.after(backoff);
    assert!(history.succeeded(&vm(1), &job(5)));
    assert_eq!(history.health(&vm(1), now), VmHealth::Healthy);
}

/// Guards against healthy VMs that are quarantined because of a job that fails
/// everywhere.
#[test]
fn failures_of_one_job_on_several_vms_park_the_job() {
    let mut history = FailureHistory::default();
    let now = Moment(1_000);
    history.failed(&vm(1), &job(1), VMS_TO_PARK_JOB, now);
    history.failed(&vm(2), &job(1), VMS_TO_PARK_JOB, now);
    // Repeated failures on one VM count as one VM.
    assert_eq!(history.failed(&vm(2), &job(1), VMS_TO_PARK_JOB, now), FailureVerdict::Undecided);
    let verdict = history.failed(&vm(3), &job(1), VMS_TO_PARK_JOB, now);
    assert_eq!(verdict, FailureVerdict::JobFailsEverywhere { vms: 3 });
    assert_eq!(history.parked_until(&job(1)), Some(now.after(FIRST_BACKOFF)));
    for number in 1..=3 {
        assert_eq!(history.health(&vm(number), now), VmHealth::Healthy);
        history.failed(&vm(number), &job(2), VMS_TO_PARK_JOB, now);
    }
    assert_eq!(history.quarantined(), 0);
}

/// Guards against a job that is retried for ever if fewer VMs than the threshold can
/// run it, and against one that is parked there after a single failure.
#[test]
fn a_job_that_fails_on_all_vms_of_a_small_shard_is_parked() {
    let now = Moment(1_000);
    let parked = FailureVerdict::JobFailsEverywhere { vms: 2 };
    let mut history = FailureHistory::default();
    for _ in 0..4 {
        assert_eq!(history.failed(&vm(1), &job(1), 2, now), FailureVerdict::Undecided);
    }
    assert_eq!(history.failed(&vm(2), &job(1), 2, now), parked);
    let mut history = FailureHistory::default();
    assert_eq!(history.failed(&vm(1), &job(1), 2, now), FailureVerdict::Undecided);
    assert_eq!(history.failed(&vm(2), &job(1), 2, now), FailureVerdict::Undecided);
    assert_eq!(history.failed(&vm(1), &job(1), 2, now), parked);
    let mut history = FailureHistory::default();
    for _ in 1..VMS_TO_PARK_JOB {
        assert_eq!(history.failed(&vm(1), &job(1), 1, now), FailureVerdict::Undecided);
    }
    let on_one_vm = FailureVerdict::JobFailsEverywhere { vms: 1 };
    assert_eq!(history.failed(&vm(1), &job(1), 1, now), on_one_vm);
}

/// Guards against a parked job that is retried at a constant interval for ever.
#[test]
fn a_job_that_keeps_failing_is_parked_for_longer() {
    let mut history = FailureHistory::default();
    let mut now = Moment(1_000);
    let mut last = 0;
    for _ in 0..3 {
        for number in 1..=3 {
            history.failed(&vm(number), &job(1), VMS_TO_PARK_JOB, now);
        }
        let until = history.parked_until(&job(1)).unwrap();
        assert!(until.since(now) > last);
        last = until.since(now);
        now = until;
        history.unpark(&job(1));
    }
}

/// Guards against a step that is taken before the effect of the last one shows in the
/// delayed samples, and against flapping between steps.
#[test]
fn measures_escalate_step_by_step_and_relax_after_a_pause() {
    let mut escalation = PressureEscalation::default();
    let mut now = Moment(100_000);
    assert_eq!(escalation.observe(now, 14, 500), None, "below the threshold");
    assert_eq!(escalation.observe(now, 30, 500), Some(PressureStep::Throttle));
    now = now.after(1_000);
    assert_eq!(escalation.observe(now, 30, 500), None, "the sample is older than the step");
    for expected in [PressureStep::ThrottleHard, PressureStep::Evict, PressureStep::Stop] {
        now = now.after(1_500);
        assert_eq!(escalation.observe(now, 30, 500), Some(expected));
    }
    // Between the two thresholds the step does not change.
    for _ in 0..20 {
        now = now.after(1_000);
        assert_eq!(escalation.observe(now, 10, 500), None);
    }
    assert_eq!(escalation.step(), PressureStep::Stop);
    for expected in [PressureStep::ThrottleHard, PressureStep::Throttle, PressureStep::Unrestricted]
    {
        assert_eq!(escalation.observe(now, 0, 500), None);
        now = now.after(RELAX_PAUSE);
        assert_eq!(escalation.observe(now, 0, 500), Some(expected));
    }
}
