//! The decisions about one job are found in the logs of several processes.

use cactusdoor_fleet::decision::DecisionEvent;
use cactusdoor_fleet::trace::{print, read_lines};
use cactusdoor_queue::name::{AgentName, TaskName};
use cactusdoor_queue::observation::LapseCause;
use serde_json::json;

const LOG: &str = r#"  1.5 edge-1 {"at":20,"process":"edge-1","event":"job_accepted","job":"ab12"}
{"at":10,"process":"side-1","event":"task_placed","task":"ab12.0.0.3","run":1}
{"at":15,"process":"side-1","event":"task_placed","task":"ab123.0.0.3","run":1}
{"at":5,"process":"side-1","event":"job_shown","job":"ab123"}
not a decision about ab12
"#;

/// The id of one job may begin with the id of another.
#[test]
fn a_trace_shows_only_the_decisions_about_its_job_in_order_of_time() {
    let found = read_lines(LOG.as_bytes(), "ab12").unwrap();
    let mut text = Vec::new();
    print(found, &mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    let events: Vec<_> = text.lines().map(|line| line.contains("job_accepted")).collect();
    assert_eq!(events, [false, true]);
}

#[test]
fn a_trace_shows_lapsed_and_unassigned_runs_of_its_job() {
    let task = |job: &str| TaskName { job: job.into(), occurrence: 0, step: 0, index: 3 };
    let (agent, run, epoch) = (AgentName::from("side-1"), 2, 5);
    let lapsed = DecisionEvent::RunLapsed {
        task: task("ab12"),
        run,
        agent: agent.clone(),
        cause: LapseCause::LeaseExpired,
        epoch,
    };
    let unassigned =
        DecisionEvent::RunUnassigned { task: task("ab12"), run, agent: agent.clone(), epoch };
    let other = DecisionEvent::RunUnassigned { task: task("ab123"), run, agent, epoch };
    let events = [&lapsed, &unassigned, &other];
    let log: Vec<_> = events.iter().map(|event| serde_json::to_string(event).unwrap()).collect();
    let found = read_lines(log.join("\n").as_bytes(), "ab12").unwrap();
    assert_eq!(
        found,
        [
            json!({"event": "run_lapsed", "task": "ab12.0.0.3", "run": 2, "agent": "side-1",
                "cause": "lease_expired", "epoch": 5}),
            json!({"event": "run_unassigned", "task": "ab12.0.0.3", "run": 2, "agent": "side-1",
                "epoch": 5}),
        ]
    );
    assert_eq!(
        (lapsed.kind(), unassigned.kind()),
        (("run_lapsed", true), ("run_unassigned", true))
    );
}
