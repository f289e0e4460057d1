//! Starts that a worker carries out late: no task runs twice, whatever the agent has
//! forgotten in the meantime.

mod support;

use std::time::Duration;

use cactusdoor_standin::platform_worker::PlatformWorker;
use serde_json::json;
use support::TestCluster;

/// Delay of start calls: longer than an agent takes to restart, shorter than its lease.
const START_DELAY: Duration = Duration::from_millis(5_000);
/// Time for which a crashed worker is down, and from its restart to the delivery of a call:
/// longer than its agent takes to notice.
const CRASH_TIME: Duration = Duration::from_millis(1_500);
/// Tasks of the job, one on each of as many workers.
const TASKS: usize = 3;

/// Places a task on each of three workers, with the starts under way, and kills an agent that
/// is not the owner while its start is under way; returns that agent.
async fn kill_agent_during_start(cluster: &mut TestCluster, job: &str) -> usize {
    cluster.submit("warm", 50, support::tasks(4)).await;
    cluster.await_state("warm", "completed").await;
    cluster.workers.iter().for_each(|worker| worker.set_start_delay(Some(START_DELAY)));
    let steps = json!([{"count": TASKS, "cpu": 1000, "memMb": 100, "antiAffinity": 1}]);
    cluster.submit(job, 9_000, steps).await;
    let starts = |cluster: &TestCluster| {
        cluster.workers.iter().filter(|worker| worker.delayed_starts() > 0).count()
    };
    cluster.await_that("the starts are under way", |cluster| starts(cluster) == TASKS).await;
    let owner = cluster.owner().unwrap();
    let delayed = |index: &usize| cluster.workers[*index].delayed_starts() > 0;
    let agent = (0..cluster.workers.len()).find(|index| *index != owner && delayed(index));
    let agent = agent.unwrap();
    cluster.kill_agent(agent);
    cluster.workers.iter().for_each(|worker| worker.set_start_delay(None));
    agent
}

/// Waits until the delayed starts have been carried out and the job is completed.
async fn check_single_runs(cluster: &TestCluster, job: &str) {
    // A worker carries out its delayed starts before it counts its tasks.
    let is_idle = |worker: &PlatformWorker| worker.running() == 0 && worker.delayed_starts() == 0;
    cluster
        .await_that("no start is under way", |cluster| {
            !cluster.history.lock().unwrap().violations.is_empty()
                || cluster.workers.iter().all(is_idle)
        })
        .await;
    cluster.check();
    cluster.await_state(job, "completed").await;
    cluster.check();
}

/// Guards against a task that is placed elsewhere because a restarted agent was refused its
/// start, while the start of the agent's previous process is still under way at the worker.
#[actix_web::test]
async fn a_refused_start_is_not_final_while_a_start_of_the_previous_process_is_under_way() {
    let mut cluster = TestCluster::open(4).await;
    let agent = kill_agent_during_start(&mut cluster, "a1").await;
    cluster.workers[agent].set_starts_refused(true);
    cluster.start_agent(agent);
    let name = format!("agent-{agent}");
    cluster
        .await_that("the repeated start is refused", |cluster| {
            cluster.log_lines(&name, "refuses the call (503)") > 0
        })
        .await;
    // The next run of the task is placed on another worker.
    cluster.workers[agent].drain();
    check_single_runs(&cluster, "a1").await;
}

/// Guards against a task that is placed elsewhere because its worker leaves, while the start
/// of the agent's previous process is still under way at the worker.
#[actix_web::test]
async fn a_start_of_the_previous_process_is_stopped_before_its_task_leaves_the_worker() {
    let mut cluster = TestCluster::open(4).await;
    let agent = kill_agent_during_start(&mut cluster, "b1").await;
    cluster.workers[agent].drain();
    cluster.start_agent(agent);
    check_single_runs(&cluster, "b1").await;
}

/// Guards against a start that is repeated without end on a worker that refuses it after a
/// call without an answer: no other worker gets the task.
#[actix_web::test]
async fn a_start_refused_after_a_call_without_an_answer_is_stopped() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("warm", 50, support::tasks(2)).await;
    cluster.await_state("warm", "completed").await;
    cluster.workers.iter().for_each(|worker| worker.set_start_delay(Some(START_DELAY)));
    cluster.submit("c1", 300, support::tasks(1)).await;
    let delayed = |cluster: &TestCluster| {
        cluster.workers.iter().position(|worker| worker.delayed_starts() > 0)
    };
    cluster.await_that("the start is under way", |cluster| delayed(cluster).is_some()).await;
    let agent = delayed(&cluster).unwrap();
    cluster.workers[agent].set_starts_refused(true);
    cluster.workers.iter().for_each(|worker| worker.set_start_delay(None));
    let name = format!("agent-{agent}");
    cluster
        .await_that("the run is stopped", |cluster| cluster.log_lines(&name, "stop_answered") > 0)
        .await;
    cluster.workers[agent].set_starts_refused(false);
    check_single_runs(&cluster, "c1").await;
}

/// Guards against a task that runs twice: the first call of its start gets no answer, the repeated
/// one does, and the path to the worker delivers the first one after the worker has crashed and
/// started again under its id.
#[actix_web::test]
async fn a_start_that_reaches_a_restarted_worker_runs_once() {
    for (job, kill_agent) in [("f1", false), ("f2", true)] {
        let mut cluster = TestCluster::open(3).await;
        cluster.submit("warm", 50, support::tasks(3)).await;
        cluster.await_state("warm", "completed").await;
        cluster.workers.iter().for_each(|worker| worker.set_start_delay(Some(START_DELAY)));
        cluster.submit(job, 9_000, support::tasks(1)).await;
        let delayed = |cluster: &TestCluster| {
            cluster.workers.iter().position(|worker| worker.delayed_starts() > 0)
        };
        cluster.await_that("the start is under way", |cluster| delayed(cluster).is_some()).await;
        let agent = delayed(&cluster).unwrap();
        cluster.workers.iter().for_each(|worker| worker.set_start_delay(None));
        let runs = |cluster: &TestCluster| cluster.workers[agent].running() == 1;
        cluster.await_that("the repeated start is answered", runs).await;
        if kill_agent {
            cluster.kill_agent(agent);
            cluster.start_agent(agent);
            let name = format!("agent-{agent}");
            let registered = |cluster: &TestCluster| cluster.log_lines(&name, "worker_met") == 2;
            cluster.await_that("the worker is registered", registered).await;
        }
        cluster.restart_worker(agent, CRASH_TIME).await;
        tokio::time::sleep(CRASH_TIME).await;
        let epoch = cluster.elected().pop().unwrap();
        let start = json!({"task": format!("{job}.0.0.0"), "run": 1, "spec": "9000",
            "deadlineMs": 9_000, "fencingToken": epoch});
        cluster.call_worker(agent, "/run-start", start).await;
        check_single_runs(&cluster, job).await;
    }
}

/// Starts tasks on three workers, prepares each worker, restarts an agent that is not the
/// owner, and checks that all tasks run on.
async fn check_tasks_run_on(job: &str, prepare: impl Fn(&PlatformWorker)) {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit(job, 6_000, support::tasks(9)).await;
    let running = |cluster: &TestCluster| -> usize {
        cluster.workers.iter().map(PlatformWorker::running).sum()
    };
    cluster.await_that("nine tasks run", |cluster| running(cluster) == 9).await;
    let agent = (cluster.owner().unwrap() + 1) % 3;
    prepare(&cluster.workers[agent]);
    cluster.kill_agent(agent);
    cluster.start_agent(agent);
    cluster.await_state(job, "completed").await;
    assert_eq!(cluster.history.lock().unwrap().starts, 9, "{}", cluster.logs());
    cluster.check();
}

/// Guards against running tasks that a restarted agent reports as not started, or stops,
/// because their worker leaves.
#[actix_web::test]
async fn tasks_of_a_leaving_worker_run_on_while_its_agent_restarts() {
    check_tasks_run_on("d1", PlatformWorker::drain).await;
}

/// Guards against running tasks that a restarted agent reports as not started, or stops,
/// because their worker refuses the repeated starts.
#[actix_web::test]
async fn tasks_of_a_worker_that_refuses_starts_run_on_while_its_agent_restarts() {
    check_tasks_run_on("e1", |worker| worker.set_starts_refused(true)).await;
}
