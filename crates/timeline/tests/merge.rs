//! Merging and filtering of events.

use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{DataCentre, ProcessName, ShardName, VmName};
use cactusdoor_timeline::{
    EventFilter, EventKind, EventLog, EventSubject, HybridTime, TimelineEvent, TimelineMerge,
};

fn event(process: &str, number: u64, wall_ms: u64, counter: u32) -> TimelineEvent {
    let at = HybridTime { wall_ms, counter };
    let process = ProcessName::new(process).unwrap();
    TimelineEvent { at, process, number, kind: EventKind::ProcessStopping }
}

fn order(events: &[TimelineEvent]) -> Vec<(String, u64)> {
    events.iter().map(|event| (event.process.to_string(), event.number)).collect()
}

/// Guards against an effect that sorts before its cause, and against events that are
/// returned twice or lost after a restart of their process.
#[test]
fn each_event_is_returned_once_in_causal_order() {
    let mut merge = TimelineMerge::default();
    merge.push([event("b", 1, 10, 1), event("b", 2, 30, 0)]);
    merge.push([event("a", 1, 10, 0), event("a", 2, 10, 2)]);
    merge.push([event("a", 1, 10, 0)]);
    let first = merge.take_until(20);
    assert_eq!(order(&first), [("a".into(), 1), ("b".into(), 1), ("a".into(), 2)]);
    merge.push([event("a", 1, 10, 0), event("a", 1, 40, 0)]);
    assert_eq!(order(&merge.take_all()), [("b".into(), 2), ("a".into(), 1)]);
    assert!(merge.take_all().is_empty());
}

/// Guards against events being sorted by wall clocks that disagree: a message contains
/// the time of its sender.
#[test]
fn the_receipt_of_a_message_sorts_after_its_sending() {
    let [sender, receiver] =
        ["one", "other"].map(|name| EventLog::open(ProcessName::new(name).unwrap()));
    sender.observe(HybridTime { wall_ms: u64::MAX / 2, counter: 0 });
    sender.record(EventKind::ProcessStopping);
    receiver.observe(sender.stamp());
    receiver.record(EventKind::ProcessStopping);
    let mut merge = TimelineMerge::default();
    merge.push(receiver.page(0, 10).events);
    merge.push(sender.page(0, 10).events);
    assert_eq!(order(&merge.take_all()), [("one".into(), 1), ("other".into(), 1)]);
}

/// Guards against filters that drop events about a requested subject or pass others.
#[test]
fn a_filter_passes_events_about_any_of_its_subjects() {
    let job = JobId { plan: "p".parse().unwrap(), key: "k".parse().unwrap() };
    let shard = ShardName::new("dc-1-0").unwrap();
    let vm = VmName::new("vm1").unwrap();
    let submitted = EventKind::JobSubmitted { job: job.clone(), shard: shard.clone() };
    let silent = EventKind::AgentSilent { vm: vm.clone(), shard };
    let sent = EventKind::RequestSent { request: "r".into(), vm: vm.clone(), attempt: 1 };
    let all = [submitted, silent, sent].map(|kind| TimelineEvent { kind, ..event("a", 1, 1, 0) });
    let passed = |subjects: &[EventSubject]| {
        let filter = EventFilter { subjects: subjects.to_vec() };
        all.iter().map(|event| filter.passes(event)).collect::<Vec<_>>()
    };
    let data_centre = EventSubject::DataCentre(DataCentre::new("dc-1").unwrap());
    assert_eq!(passed(&[]), [true, true, true]);
    assert_eq!(passed(&[EventSubject::Job(job.clone())]), [true, false, false]);
    assert_eq!(passed(&[EventSubject::Vm(vm)]), [false, true, true]);
    assert_eq!(passed(&[data_centre]), [true, true, false]);
    let both = [EventSubject::Job(job), EventSubject::Request("r".into())];
    assert_eq!(passed(&both), [true, false, true]);
}

/// Guards against an event field with the same name as a field of `TimelineEvent`: one
/// transfer event then made the whole page of its process unreadable.
#[test]
fn a_transfer_event_can_be_read_back_from_json() {
    let job = JobId { plan: "p".parse().unwrap(), key: "k".parse().unwrap() };
    let shard = |name: &str| ShardName::new(name).unwrap();
    let kind = EventKind::TaskTransferred {
        task: TaskId { job, index: 0 },
        from: shard("a-0"),
        to: shard("b-0"),
        move_number: 7,
    };
    let written = TimelineEvent { kind, ..event("a", 3, 10, 0) };
    let text = serde_json::to_string(&written).unwrap();
    assert_eq!(serde_json::from_str::<TimelineEvent>(&text).unwrap(), written);
}
