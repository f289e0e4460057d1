//! Gangs whose runs end before they are done.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::report::{AgentOrder, AgentReport, EndedRun, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::{PendingWrite, QueueScheduler};
use cactusdoor_queue::spec::StepSpec;
use support::*;

const NOW: Moment = Moment(10_000);
const AGENTS: [&str; 3] = ["a", "b", "c"];

/// Checkpoints of the starts of a run, in the order of the tasks.
fn checkpoints(scheduler: &QueueScheduler, run: u32) -> Vec<String> {
    let orders = scheduler.workers.values().flat_map(|tracked| &tracked.orders);
    let mut starts: Vec<_> = orders
        .filter_map(|(_, order)| match order {
            AgentOrder::Start(start) if start.run == run => Some(start),
            _ => None,
        })
        .collect();
    starts.sort_by_key(|start| start.task.index);
    starts.iter().map(|start| start.checkpoint.to_string()).collect()
}

/// Which agents run the tasks 0 to 2 of the gang.
fn agents_of(scheduler: &QueueScheduler) -> Vec<&'static str> {
    let runs = |agent: &str, index| scheduler.is_assigned(&agent.into(), &task("j", 0, index), 1);
    (0..3).filter_map(|index| AGENTS.into_iter().find(|agent| runs(agent, index))).collect()
}

/// Guards against members of a gang that start with different checkpoints (UNASKED): one of
/// their workers was lost, and the others listed later checkpoints.
#[test]
fn all_members_of_a_gang_start_with_its_furthest_checkpoint() {
    for furthest in 0..3u32 {
        let mut scheduler = scheduler();
        for agent in AGENTS {
            let worker = Some(worker(agent, 1));
            scheduler.report(&report(agent, 1, worker), NOW, UNIX);
        }
        let gang = StepSpec { gang: true, checkpoints: true, ..step(3, 3_000) };
        scheduler.submit(&"j".into(), job(vec![gang]));
        scheduler.place(NOW, UNIX);
        store(&mut scheduler);
        assert_eq!(checkpoints(&scheduler, 1), ["", "", ""]);
        let agents = agents_of(&scheduler);
        let progress = |index| if index == furthest { (60, "second") } else { (30, "first") };
        for (index, agent) in (0u32..).zip(&agents) {
            let (percent, checkpoint) = progress(index);
            let listed = ReportedRun {
                task: task("j", 0, index),
                run: 1,
                checkpoint: checkpoint.into(),
                percent: Some(percent),
                speed: 100,
            };
            let runs = Some(vec![listed]);
            let listing = report(agent, 2, Some(worker(agent, 1)));
            scheduler.report(&AgentReport { runs, ..listing }, NOW, UNIX);
        }
        for (index, agent) in (0u32..).zip(&agents) {
            let checkpoint = progress(index).1.into();
            let end = ended(1, &task("j", 0, index), 1, RunEnd::Broken);
            let mut report = report(agent, 3, Some(worker(agent, 1)));
            report.ended = vec![EndedRun { checkpoint, ..end }];
            scheduler.report(&report, NOW, UNIX);
        }
        scheduler.place(NOW, UNIX);
        let writes = store(&mut scheduler);
        assert_eq!(checkpoints(&scheduler, 2), ["second"; 3], "furthest: {furthest}");
        let stored = |write: &PendingWrite| {
            let record = write.record.as_ref().and_then(|(_, value)| value.as_ref());
            record.is_some_and(|value| String::from_utf8_lossy(value).contains("first"))
        };
        let placed = writes.iter().rev().take(3);
        assert!(!placed.into_iter().any(stored), "a new owner would order another checkpoint");
    }
}
