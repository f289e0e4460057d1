//! Choice of the batch tasks to evict for an urgent task.

use cactusdoor_core::resource::ResourceVector;
use cactusdoor_policy::placement::preemption::{VictimCandidate, choose_victims};

fn amount(processors: u64, memory: u64) -> ResourceVector {
    ResourceVector::new(processors, memory, 0)
}

fn candidate(token: u64, processors: u64, lost: u64, elapsed: u64) -> VictimCandidate {
    VictimCandidate { token, need: amount(processors, 1_024), lost, elapsed }
}

/// Guards against evictions that lose more work than needed.
#[test]
fn evictions_lose_as_little_work_as_possible() {
    let candidates = vec![
        candidate(1, 1_000, 9_000, 9_000),
        candidate(2, 1_000, 0, 8_000),
        candidate(3, 1_000, 0, 2_000),
        candidate(4, 1_000, 100, 100),
    ];
    let one = choose_victims(amount(0, 4_096), amount(1_000, 512), candidates.clone()).unwrap();
    assert_eq!((one.tokens, one.work_lost), (vec![3], 0));
    let three = choose_victims(amount(0, 4_096), amount(3_000, 512), candidates).unwrap();
    assert_eq!((three.tokens, three.work_lost), (vec![3, 2, 4], 100_000));
}

/// Guards against the eviction of a task although the other victims free enough.
#[test]
fn no_task_is_evicted_unnecessarily() {
    let candidates =
        vec![candidate(1, 500, 0, 10), candidate(2, 500, 0, 20), candidate(3, 4_000, 0, 30)];
    let choice = choose_victims(amount(0, 4_096), amount(4_000, 512), candidates).unwrap();
    assert_eq!(choice.tokens, vec![3]);
    let none =
        choose_victims(amount(4_000, 512), amount(4_000, 512), vec![candidate(1, 500, 0, 1)]);
    assert!(none.unwrap().tokens.is_empty());
}

/// Guards against evictions that do not free enough resources.
#[test]
fn nothing_is_evicted_if_all_tasks_together_free_too_little() {
    let candidates = vec![candidate(1, 1_000, 0, 10), candidate(2, 1_000, 0, 20)];
    assert_eq!(choose_victims(amount(500, 4_096), amount(4_000, 512), candidates), None);
}
