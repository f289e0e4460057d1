//! Age of a relayed confirmation under delay, loss and clocks of different rates.
//!
//! Guards against a task that starts under a configuration older than the limit: the
//! recorded time must not be later than the confirming read was sent.

mod support;

use cactusdoor_core::constants::MAX_CONFIG_AGE;
use cactusdoor_core::freshness::ConfirmedView;
use cactusdoor_core::unit::{Millis, Moment};
use proptest::prelude::*;
use support::clock::{MAX_RATE, SimulatedClock, nanos_at};
use support::{Simulation, fuzz, property};

#[derive(Clone, Debug)]
enum Step {
    AdvanceTime {
        micros: u64,
    },
    /// Sets the clock rates of owner and agent above the slowest, in units of 0.01%.
    SetRates {
        owner: u64,
        agent: u64,
    },
    /// The owner sends a read; a later `Answer` may answer it.
    Read,
    Answer {
        number: usize,
    },
    AgentSendsHeartbeat,
    OwnerReplies {
        number: usize,
    },
    AgentReceives {
        number: usize,
    },
    AgentRestarts,
}

/// A heartbeat reply in transit.
#[derive(Clone, Copy)]
struct Reply {
    sent: Moment,
    age: Option<Millis>,
    /// The agent's clock when the confirming read was sent.
    read_sent: u128,
}

struct FreshnessSimulation {
    owner: SimulatedClock,
    agent: SimulatedClock,
    owner_view: ConfirmedView,
    /// The agent's clock when the owner's latest answered read was sent.
    owner_read_sent: u128,
    agent_view: ConfirmedView,
    /// The agent's clock when the latest read was sent whose confirmation it received.
    agent_read_sent: Option<u128>,
    /// Reads in transit: when they were sent, on the clocks of owner and agent.
    reads: Vec<(Moment, u128)>,
    heartbeats: Vec<Moment>,
    replies: Vec<Reply>,
}

impl Simulation for FreshnessSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            6 => prop_oneof![0..2_000_u64, 0..2_000_000_u64, 0..20_000_000_u64]
                .prop_map(|micros| Step::AdvanceTime { micros }),
            1 => (0..=MAX_RATE, 0..=MAX_RATE)
                .prop_map(|(owner, agent)| Step::SetRates { owner, agent }),
            4 => Just(Step::Read),
            4 => any::<usize>().prop_map(|number| Step::Answer { number }),
            4 => Just(Step::AgentSendsHeartbeat),
            4 => any::<usize>().prop_map(|number| Step::OwnerReplies { number }),
            4 => any::<usize>().prop_map(|number| Step::AgentReceives { number }),
            1 => Just(Step::AgentRestarts),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self {
            owner: SimulatedClock::new(777_123_456),
            agent: SimulatedClock::new(5_000_900),
            owner_view: ConfirmedView::default(),
            owner_read_sent: 0,
            agent_view: ConfirmedView::default(),
            agent_read_sent: None,
            reads: Vec::new(),
            heartbeats: Vec::new(),
            replies: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::AdvanceTime { micros } => {
                self.owner.advance(micros);
                self.agent.advance(micros);
            }
            Step::SetRates { owner, agent } => {
                self.owner.set_rate(owner);
                self.agent.set_rate(agent);
            }
            Step::Read => self.reads.push((self.owner.now(), self.agent.nanos())),
            Step::Answer { number } => {
                if let Some((sent, read_sent)) = support::pick(&self.reads, number) {
                    self.owner_view.confirm(*sent);
                    self.owner_read_sent = self.owner_read_sent.max(*read_sent);
                }
            }
            Step::AgentSendsHeartbeat => self.heartbeats.push(self.agent.now()),
            Step::OwnerReplies { number } => {
                if let Some(sent) = support::pick(&self.heartbeats, number) {
                    let age = self.owner_view.age(self.owner.now());
                    self.replies.push(Reply { sent: *sent, age, read_sent: self.owner_read_sent });
                }
            }
            Step::AgentReceives { number } => {
                if let Some(reply) = support::pick(&self.replies, number)
                    && let Some(age) = reply.age
                {
                    self.agent_view.confirm_relayed(reply.sent, age);
                    self.agent_read_sent = self.agent_read_sent.max(Some(reply.read_sent));
                }
            }
            Step::AgentRestarts => {
                self.agent_view = ConfirmedView::default();
                self.agent_read_sent = None;
                self.heartbeats.clear();
                self.replies.clear();
            }
        }
    }

    fn check(&self) {
        let now = self.agent.now();
        let Some(age) = self.agent_view.age(now) else {
            assert!(
                !self.agent_view.allows_start(now),
                "a start is allowed without any confirmation"
            );
            return;
        };
        let read_sent = self.agent_read_sent.expect("the view was confirmed without a read");
        let recorded = nanos_at(now.before(age));
        assert!(
            recorded <= read_sent,
            "recorded {} ns after the read was sent, age {age} ms",
            recorded - read_sent
        );
        if self.agent_view.allows_start(now) {
            let limit = u128::from(MAX_CONFIG_AGE + 1) * 1_000_000;
            assert!(
                self.agent.nanos() - read_sent < limit,
                "a start is allowed under an older configuration"
            );
        }
    }
}

#[test]
fn relayed_confirmation_is_never_later_than_its_read() {
    fuzz::<FreshnessSimulation>("freshness", 512, 1..80);
}

/// Guards against a limit that allows starts forever, or never.
#[test]
fn confirmed_view_allows_starts_only_while_fresh() {
    let mut view = ConfirmedView::default();
    assert!(!view.allows_start(Moment(0)));
    view.confirm(Moment(10_000));
    assert!(view.allows_start(Moment(10_000 + MAX_CONFIG_AGE)));
    assert!(!view.allows_start(Moment(10_001 + MAX_CONFIG_AGE)));
    view.confirm(Moment(9_000));
    assert_eq!(view.age(Moment(10_000)), Some(0), "an older read must not replace a newer one");
}

/// Guards against a relayed age that grows by more than the margins.
#[test]
fn relayed_confirmation_ages_only_by_the_margins() {
    property("relayed age", 512, (0..MAX_CONFIG_AGE, 20_000..90_000_u64), |(age, sent)| {
        let mut view = ConfirmedView::default();
        view.confirm_relayed(Moment(sent), age);
        let found = view.age(Moment(sent)).unwrap();
        prop_assert!(found > age && found <= age + age / 100 + 3, "age {age} became {found}");
        Ok(())
    });
}
