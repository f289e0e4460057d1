//! Orders that are too many for one answer.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::report::AgentOrder;
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::JobSpec;
use support::*;

const NOW: Moment = Moment(10_000);
/// Payloads of all orders are 12 MB.
const TASKS: u32 = 3_000;
const PAYLOAD_BYTES: usize = 4_000;
/// Bytes that a frame holds beside its envelope.
const FRAME_BYTES: usize = 8 * 1024 * 1024;

/// An owner that has stored the placements of all tasks on one worker.
fn placed() -> QueueScheduler {
    let mut scheduler = scheduler();
    let payload = "x".repeat(PAYLOAD_BYTES);
    scheduler.submit(&"j".into(), JobSpec { payload, ..job(vec![step(TASKS, 1)]) });
    let mut worker = worker("a", 1);
    worker.capacity.memory = 1_000_000;
    let mut first = report("a", 1, Some(worker));
    first.runs = Some(Vec::new());
    scheduler.report(&first, NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    scheduler
}

fn started(orders: &[(u64, AgentOrder)]) -> impl Iterator<Item = &TaskName> {
    orders.iter().map(|(_, order)| order.run().0)
}

/// Guards against an agent that gets no answer any more (LOST): all start orders of a worker
/// went with each answer, which exceeded a frame.
#[test]
fn orders_beyond_a_frame_go_with_later_answers() {
    let mut scheduler = placed();
    let tracked = scheduler.workers.get_mut("a").unwrap();
    let mut sent = Vec::new();
    while sent.len() < TASKS as usize {
        let orders = tracked.next_orders(false);
        assert!(!orders.is_empty(), "{} of {TASKS} orders are sent", sent.len());
        assert!(orders.len() * PAYLOAD_BYTES < FRAME_BYTES, "{} orders", orders.len());
        sent.extend(started(&orders).cloned());
        // Further orders are sent at once; the last answer leaves none.
        assert_eq!(tracked.has_updates, sent.len() < TASKS as usize);
        let received = orders.last().unwrap().0;
        tracked.orders.retain(|(number, _)| *number > received);
    }
    let tasks: Vec<_> = (0..TASKS).map(|index| task("j", 0, index)).collect();
    assert_eq!(sent, tasks, "each order is sent once, in sequence");
}

/// Guards against a task that runs twice (TWICE): the stop of an expired run goes with a later
/// answer than the lease under which the agent may still start it.
#[test]
fn a_stop_of_an_expired_run_behind_a_full_answer_is_not_revoked_yet() {
    let mut scheduler = placed();
    let tracked = scheduler.workers.get_mut("a").unwrap();
    let sent = tracked.next_orders(false).len();
    assert!(tracked.revokes_all(sent), "the others are starts");
    tracked.order(AgentOrder::Stop { task: task("k", 0, 0), run: 1 });
    assert!(!tracked.revokes_all(sent));
    assert!(tracked.revokes_all(TASKS as usize + 1));
    // The stop of an assigned run revokes nothing: the run ends later anyway.
    tracked.orders.pop_back();
    tracked.order(AgentOrder::Stop { task: task("j", 0, 0), run: 1 });
    assert!(tracked.revokes_all(sent));
}

/// Guards against an owner that answers without a pause while starts are withheld.
#[test]
fn withheld_starts_leave_no_updates() {
    let mut scheduler = placed();
    let tracked = scheduler.workers.get_mut("a").unwrap();
    assert!(tracked.next_orders(true).is_empty());
    assert!(!tracked.has_updates);
}
