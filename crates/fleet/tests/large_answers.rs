//! Answers of the owner that would exceed the largest frame.

mod support;

use support::TestCluster;

/// Start orders of one worker, together more than a frame holds.
const TASKS: u32 = 2_500;
const SPEC_BYTES: usize = 4_000;

/// Guards against tasks that stop for good (LOST): a new owner sent the start orders of all runs
/// of a worker in one answer, which exceeded a frame, so that its agent got no lease any more.
#[actix_web::test]
async fn a_new_owner_keeps_the_runs_of_a_worker_with_more_orders_than_a_frame_holds() {
    let mut cluster = TestCluster::open(1).await;
    cluster.await_ready(0).await;
    cluster.submit_large("f1", 15_000, TASKS, SPEC_BYTES).await;
    let all_run = |cluster: &TestCluster| cluster.workers[0].running() == TASKS as usize;
    cluster.await_that("all tasks run", all_run).await;
    cluster.kill_agent(0);
    cluster.start_agent(0);
    cluster.await_state("f1", "completed").await;
    let starts = cluster.history.lock().unwrap().starts;
    assert_eq!(starts, u64::from(TASKS), "no task was started again");
    cluster.check();
}
