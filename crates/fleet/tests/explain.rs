//! The command that tells where a job would be placed.

mod support;

use std::process::{Command, Output};

use serde_json::{Value, json};
use support::{TestCluster, tasks};

fn run(cluster: &TestCluster, json: bool, queue: &str, file: &str) -> Output {
    let (_, value) = cluster.store.records("keyed.owner").pop().unwrap();
    let heartbeat: Value = serde_json::from_slice(&value).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_cactusdoor-fleet"));
    command.args(["explain", "--owner", heartbeat["address"].as_str().unwrap()]);
    command.args(["--queue", queue]).args(json.then_some("--json")).arg(file);
    command.output().unwrap()
}

/// Guards against a command that submits the job, and one that the owner does not answer.
#[actix_web::test]
async fn the_command_names_the_worker_and_submits_nothing() {
    let cluster = TestCluster::open(1).await;
    cluster.await_ready(0).await;
    cluster.submit("done", 10, tasks(1)).await;
    cluster.await_state("done", "completed").await;

    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("explained.json");
    std::fs::write(&file, json!({"spec": "10", "steps": tasks(1)}).to_string()).unwrap();
    let file = file.to_str().unwrap();
    let output = run(&cluster, false, "q", file);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("step 0: 1 tasks: would be placed at once"), "{text}");
    assert!(text.contains("agent-0: cost "), "{text}");

    let lines = String::from_utf8(run(&cluster, true, "q", file).stdout).unwrap();
    let lines: Vec<Value> = lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2, "a line for the job and one for its step");
    assert_eq!(lines[1]["workers"][0]["agent"], "agent-0");

    let refused = run(&cluster, false, "other", file);
    assert!(!refused.status.success());
    let error = String::from_utf8(refused.stderr).unwrap();
    assert!(error.contains("queue is not configured"), "{error}");
    let (status, _) = cluster.call("GET", 0, "/q/explained", Value::Null).await;
    assert_eq!(status, 410, "the job is unknown");
    assert_eq!(cluster.history.lock().unwrap().done.len(), 1, "no further task ran");
    cluster.check();
}
