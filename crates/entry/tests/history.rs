//! Histories of binding requests under random faults, checked against what the
//! agents' upstreams recorded.

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
const REQUESTS: u32 = 30;

/// What a caller was told about a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Told {
    Done(Vec<u8>),
    NotRun,
    UnknownForGood,
    Undecided,
}

struct World {
    log: FakeLog,
    agents: Vec<FakeAgent>,
    entries: Vec<TestEntry>,
    told: RefCell<HashMap<String, Vec<Told>>>,
    callers_left: Cell<u32>,
}

fn body(key: &str) -> Vec<u8> {
    format!("record of {key}").into_bytes()
}

impl World {
    async fn ask(&self, entry: usize, key: &str, deadline_ms: u64) -> Told {
        let reply = self.entries[entry].binding(key, &body(key), deadline_ms).await;
        let told = if reply.status == 200 {
            Told::Done(reply.body)
        } else {
            match (&*reply.error("outcome"), &*reply.error("retry")) {
                ("not_run", "new_request") => Told::NotRun,
                ("unknown", "never") => Told::UnknownForGood,
                ("unknown", "same_key") => Told::Undecided,
                other => panic!("{other:?}"),
            }
        };
        self.told.borrow_mut().entry(key.to_owned()).or_default().push(told.clone());
        told
    }

    async fn call(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        for _ in 0..REQUESTS {
            let key = format!("k{}", random.random_range(0..KEYS));
            let entry = random.random_range(0..self.entries.len());
            let deadline_ms = [20, 60, 200, 1_000][random.random_range(0..4)];
            self.ask(entry, &key, deadline_ms).await;
        }
        self.callers_left.set(self.callers_left.get() - 1);
    }

    /// Faults until all callers are through.
    async fn disturb(&self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        while self.callers_left.get() > 0 {
            let stream = format!("claims-{}", random.random_range(0..4));
            match random.random_range(0..9) {
                0 => drop(self.log.state().lose_answers.insert(stream, 1)),
                1 => drop(self.log.state().lose_appends.insert(stream, 1)),
                2 => self.log.state().stall = Some(stream),
                3 => self.log.state().down = true,
                4 => self.agents[random.random_range(0..self.agents.len())].restart(),
                _ => {
                    let agent = &self.agents[random.random_range(0..self.agents.len())];
                    agent.behave(match random.random_range(0..7) {
                        0 => Behaviour::Slow(400),
                        1 => Behaviour::Foreign,
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
        self.agents.iter().for_each(|agent| agent.behave(Behaviour::Echo));
    }

    /// Owners go on to send rosters.
    async fn list(&self) {
        let mut number = 0;
        while self.callers_left.get() > 0 {
            number += 1;
            for entry in &self.entries {
                let members = self.agents.iter().map(|agent| agent.member("dc1")).collect();
                entry.list(number, members).await;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }

    fn check(&self, seed: u64) {
        let runs: Vec<String> = self.agents.iter().flat_map(FakeAgent::runs).collect();
        for (key, told) in self.told.borrow().iter() {
            let full = format!("koperasi/{key}");
            let ran = runs.iter().filter(|run| **run == full).count();
            assert!(ran <= 1, "seed {seed}: {key} ran {ran} times");
            let mut finals: Vec<_> = told.iter().filter(|told| **told != Told::Undecided).collect();
            finals.dedup();
            assert!(finals.len() <= 1, "seed {seed}: {key} had the outcomes {finals:?}");
            match finals.first() {
                Some(Told::Done(answer)) => {
                    assert_eq!(ran, 1, "seed {seed}: {key} was done without a run");
                    let expected = [&b"echo:"[..], &body(key)].concat();
                    assert_eq!(*answer, expected, "seed {seed}: {key}");
                }
                Some(Told::NotRun) => assert_eq!(ran, 0, "seed {seed}: {key} ran all the same"),
                _ => {}
            }
        }
    }
}

async fn history(seed: u64) {
    let log = FakeLog::open();
    let agents = vec![FakeAgent::open("vm1").await, FakeAgent::open("vm2").await];
    let entries = vec![
        TestEntry::open("entry1", &log, &[]).await,
        TestEntry::open("entry2", &log, &[]).await,
    ];
    entries[0].publish_plan().await;
    entries[1].knows(1).await;
    let callers_left = Cell::new(CALLERS);
    let world = World { log, agents, entries, told: RefCell::default(), callers_left };
    let callers = (0..CALLERS).map(|caller| world.call(seed * 100 + u64::from(caller)));
    futures::join!(futures::future::join_all(callers), world.disturb(seed), world.list());

    // After the faults every key gets an outcome, and both entries name the same.
    let keys: Vec<String> = world.told.borrow().keys().cloned().collect();
    let members = || world.agents.iter().map(|agent| agent.member("dc1")).collect();
    for (number, key) in (1_000..).zip(&keys) {
        for (position, entry) in world.entries.iter().enumerate() {
            entry.list(number, members()).await;
            eventually("an outcome", async || {
                (world.ask(position, key, 1_000).await != Told::Undecided).then_some(())
            })
            .await;
        }
    }
    world.check(seed);
}

/// Guards against keys that run twice, run after "not run", or have two
/// outcomes, whatever happens to the log, the agents and their answers.
#[actix::test]
async fn outcomes_hold_under_random_faults() {
    for seed in 1..=4 {
        history(seed).await;
    }
}
