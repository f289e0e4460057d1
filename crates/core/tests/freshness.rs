//! Age of a relayed confirmation under delay, loss and clocks of different rates.
//!
//! Guards against a task that starts under a configuration older than the gate
//! allows: the recorded moment must not lie after the confirming read was sent.

mod support;

use cactusdoor_core::constants::CONFIG_FRESHNESS;
use cactusdoor_core::freshness::ConfirmedView;
use cactusdoor_core::unit::{Millis, Moment};
use proptest::prelude::*;
use support::clock::{MAX_PACE, SimulatedClock, nanos_at};
use support::{World, fuzz, property};

#[derive(Clone, Debug)]
enum Step {
    Pass {
        micros: u64,
    },
    /// Rates of the clocks of owner and agent, above the slowest in 0.01%.
    Pace {
        owner: u64,
        agent: u64,
    },
    /// The owner sends a read; its answer comes with one of the next `Answer`.
    Read,
    Answer {
        number: usize,
    },
    AgentAsks,
    OwnerReplies {
        number: usize,
    },
    AgentReceives {
        number: usize,
    },
    AgentRestarts,
}

/// A heartbeat reply on its way.
#[derive(Clone, Copy)]
struct Reply {
    sent: Moment,
    age: Option<Millis>,
    /// The agent's clock when the confirming read was sent.
    truth: u128,
}

struct FreshnessWorld {
    owner: SimulatedClock,
    agent: SimulatedClock,
    owner_view: ConfirmedView,
    owner_truth: u128,
    agent_view: ConfirmedView,
    /// The agent's clock at the latest read whose confirmation reached the agent.
    agent_truth: Option<u128>,
    /// Reads on their way: when they were sent on the clocks of owner and agent.
    reads: Vec<(Moment, u128)>,
    heartbeats: Vec<Moment>,
    replies: Vec<Reply>,
}

impl World for FreshnessWorld {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            6 => prop_oneof![0..2_000_u64, 0..2_000_000_u64, 0..20_000_000_u64]
                .prop_map(|micros| Step::Pass { micros }),
            1 => (0..=MAX_PACE, 0..=MAX_PACE).prop_map(|(owner, agent)| Step::Pace { owner, agent }),
            4 => Just(Step::Read),
            4 => any::<usize>().prop_map(|number| Step::Answer { number }),
            4 => Just(Step::AgentAsks),
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
            owner_truth: 0,
            agent_view: ConfirmedView::default(),
            agent_truth: None,
            reads: Vec::new(),
            heartbeats: Vec::new(),
            replies: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass { micros } => {
                self.owner.pass(micros);
                self.agent.pass(micros);
            }
            Step::Pace { owner, agent } => {
                self.owner.pace(owner);
                self.agent.pace(agent);
            }
            Step::Read => self.reads.push((self.owner.now(), self.agent.nanos())),
            Step::Answer { number } => {
                if let Some((sent, truth)) = support::pick(&self.reads, number) {
                    self.owner_view.confirm(*sent);
                    self.owner_truth = self.owner_truth.max(*truth);
                }
            }
            Step::AgentAsks => self.heartbeats.push(self.agent.now()),
            Step::OwnerReplies { number } => {
                if let Some(sent) = support::pick(&self.heartbeats, number) {
                    let age = self.owner_view.age(self.owner.now());
                    self.replies.push(Reply { sent: *sent, age, truth: self.owner_truth });
                }
            }
            Step::AgentReceives { number } => {
                if let Some(reply) = support::pick(&self.replies, number)
                    && let Some(age) = reply.age
                {
                    self.agent_view.confirm_relayed(reply.sent, age);
                    self.agent_truth = self.agent_truth.max(Some(reply.truth));
                }
            }
            Step::AgentRestarts => {
                self.agent_view = ConfirmedView::default();
                self.agent_truth = None;
                self.heartbeats.clear();
                self.replies.clear();
            }
        }
    }

    fn check(&self) {
        let now = self.agent.now();
        let Some(age) = self.agent_view.age(now) else {
            assert!(!self.agent_view.allows_start(now), "a start without any confirmation");
            return;
        };
        let truth = self.agent_truth.expect("a confirmation that nobody sent");
        let recorded = nanos_at(now.before(age));
        assert!(
            recorded <= truth,
            "recorded {} ns after the read was sent, age {age} ms",
            recorded - truth
        );
        if self.agent_view.allows_start(now) {
            let limit = u128::from(CONFIG_FRESHNESS + 1) * 1_000_000;
            assert!(self.agent.nanos() - truth < limit, "a start under an older configuration");
        }
    }
}

#[test]
fn relayed_confirmation_is_never_later_than_the_read() {
    fuzz::<FreshnessWorld>("freshness", 512, 1..80);
}

/// Guards against a gate that is open forever or never.
#[test]
fn gate_opens_for_its_term() {
    let mut view = ConfirmedView::default();
    assert!(!view.allows_start(Moment(0)));
    view.confirm(Moment(10_000));
    assert!(view.allows_start(Moment(10_000 + CONFIG_FRESHNESS)));
    assert!(!view.allows_start(Moment(10_001 + CONFIG_FRESHNESS)));
    view.confirm(Moment(9_000));
    assert_eq!(view.age(Moment(10_000)), Some(0), "an older read must not replace a newer one");
}

/// Guards against a view that loses more of the gate than the margins take.
#[test]
fn relayed_confirmation_costs_only_the_margins() {
    property("relayed age", 512, (0..CONFIG_FRESHNESS, 20_000..90_000_u64), |(age, sent)| {
        let mut view = ConfirmedView::default();
        view.confirm_relayed(Moment(sent), age);
        let found = view.age(Moment(sent)).unwrap();
        prop_assert!(found > age && found <= age + age / 100 + 3, "age {age} became {found}");
        Ok(())
    });
}
