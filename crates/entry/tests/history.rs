//! Binding requests under random faults of the log and the agents. The answers to
//! callers are checked against the runs that the agents' upstreams recorded.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use cactusdoor_peer::answer::CallRefusal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::agent::{Behaviour, FakeAgent};
use support::entry::TestEntry;
use support::eventually;
use support::log::FakeLog;

const KEYS: u32 = 40;
const CALLERS: u32 = 6;
const REQUESTS_PER_CALLER: u32 = 30;

/// Outcome of a request according to the answer to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CallerOutcome {
    Done(Vec<u8>),
    NotRun,
    /// Unknown, and never to be decided.
    FinalUnknown,
    /// The same key may be sent again.
    Undecided,
}

/// A running set-up and the outcomes that its callers received.
struct FaultHistory {
    log: FakeLog,
    agents: Vec<FakeAgent>,
    entries: Vec<TestEntry>,
    /// By key.
    outcomes: RefCell<HashMap<String, Vec<CallerOutcome>>>,
    active_callers: Cell<u32>,
}

fn body(key: &str) -> Vec<u8> {
    format!("record of {key}").into_bytes()
}

impl FaultHistory {
    async fn send_binding(&self, entry: usize, key: &str, deadline_ms: u64) -> CallerOutcome {
        let reply = self.entries[entry].binding(key, &body(key), deadline_ms).await;
        let outcome = if reply.status == 200 {
            CallerOutcome::Done(reply.body)
        } else {
            match (&*reply.error("outcome"), &*reply.error("retry")) {
                ("not_run", "new_request") => CallerOutcome::NotRun,
                ("unknown", "never") => CallerOutcome::FinalUnknown,
                ("unknown", "same_key") => CallerOutcome::Undecided,
                other => panic!("{other:?}"),
            }
        };
        self.outcomes.borrow_mut().entry(key.to_owned()).or_default().push(outcome.clone());
        outcome
    }

    /// Sends the requests of one caller.
    async fn call(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..REQUESTS_PER_CALLER {
            let key = format!("k{}", random.random_range(0..KEYS));
            let entry = random.random_range(0..self.entries.len());
            let deadline_ms = [20, 60, 200, 1_000][random.random_range(0..4)];
            self.send_binding(entry, &key, deadline_ms).await;
        }
        self.active_callers.set(self.active_callers.get() - 1);
    }

    /// Injects faults until all callers have finished.
    async fn inject_faults(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while self.active_callers.get() > 0 {
            let stream = format!("claims-{}", random.random_range(0..4));
            match random.random_range(0..9) {
                0 => drop(self.log.state().lose_answers.insert(stream, 1)),
                1 => drop(self.log.state().lose_appends.insert(stream, 1)),
                2 => self.log.state().stall = Some(stream),
                3 => self.log.state().down = true,
                4 => self.agents[random.random_range(0..self.agents.len())].restart(),
                _ => {
                    let agent = &self.agents[random.random_range(0..self.agents.len())];
                    agent.set_behaviour(match random.random_range(0..7) {
                        0 => Behaviour::Slow(400),
                        1 => Behaviour::OtherRequest,
                        2 => Behaviour::Partial,
                        3 => Behaviour::Refuse(CallRefusal::ConnectionRefused),
                        4 => Behaviour::RunAndHang,
                        5 => Behaviour::Hang,
                        _ => Behaviour::Echo,
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
            let mut log = self.log.state();
            log.down = false;
            log.stall = None;
        }
        self.agents.iter().for_each(|agent| agent.set_behaviour(Behaviour::Echo));
    }

    /// Sends rosters, as owners do, until all callers have finished.
    async fn send_rosters(&self) {
        let mut number = 0;
        while self.active_callers.get() > 0 {
            number += 1;
            for entry in &self.entries {
                let members = self.agents.iter().map(|agent| agent.member("dc1")).collect();
                entry.list_members(number, members).await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    /// Checks that each key ran at most once, had one final outcome, and that the
    /// two agree.
    fn check(&self, seed: u64) {
        let runs: Vec<String> = self.agents.iter().flat_map(FakeAgent::runs).collect();
        for (key, outcomes) in self.outcomes.borrow().iter() {
            let full_key = format!("koperasi/{key}");
            let ran = runs.iter().filter(|run| **run == full_key).count();
            assert!(ran <= 1, "seed {seed}: {key} ran {ran} times");
            let mut finals: Vec<_> =
                outcomes.iter().filter(|outcome| **outcome != CallerOutcome::Undecided).collect();
            finals.dedup();
            assert!(finals.len() <= 1, "seed {seed}: {key} had the outcomes {finals:?}");
            match finals.first() {
                Some(CallerOutcome::Done(answer)) => {
                    assert_eq!(ran, 1, "seed {seed}: {key} was done without a run");
                    let expected = [&b"echo:"[..], &body(key)].concat();
                    assert_eq!(*answer, expected, "seed {seed}: {key}");
                }
                Some(CallerOutcome::NotRun) => {
                    assert_eq!(ran, 0, "seed {seed}: {key} ran although it was \"not run\"")
                }
                _ => {}
            }
        }
    }
}

async fn run_history(seed: u64) {
    let log = FakeLog::open();
    let agents = vec![FakeAgent::open("vm1").await, FakeAgent::open("vm2").await];
    let entries = vec![
        TestEntry::open("entry1", &log, &[]).await,
        TestEntry::open("entry2", &log, &[]).await,
    ];
    entries[0].publish_plan().await;
    entries[1].wait_revision(1).await;
    let active_callers = Cell::new(CALLERS);
    let history =
        FaultHistory { log, agents, entries, outcomes: RefCell::default(), active_callers };
    let callers = (0..CALLERS).map(|caller| history.call(seed * 100 + u64::from(caller)));
    futures::join!(
        futures::future::join_all(callers),
        history.inject_faults(seed),
        history.send_rosters()
    );

    // After the faults, every key gets an outcome, and both entries return the same.
    let keys: Vec<String> = history.outcomes.borrow().keys().cloned().collect();
    let members = || history.agents.iter().map(|agent| agent.member("dc1")).collect();
    for (number, key) in (1_000..).zip(&keys) {
        for (position, entry) in history.entries.iter().enumerate() {
            entry.list_members(number, members()).await;
            eventually("an outcome", async || {
                (history.send_binding(position, key, 1_000).await != CallerOutcome::Undecided)
                    .then_some(())
            })
            .await;
        }
    }
    history.check(seed);
}

/// Guards against keys that run twice, run although a caller was answered "not run",
/// or have two final outcomes, under faults of the log, the agents and their answers.
#[actix::test]
async fn outcomes_are_consistent_under_random_faults() {
    for seed in 1..=4 {
        run_history(seed).await;
    }
}
