//! Compares the choice of upstreams and the retry budget with a simple model.
//!
//! Guards against requests to an upstream that is leaving, whose data centre is out of
//! service, or that is at its limit, and against retries that exceed their share.

#[path = "../../core/tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;

use cactusdoor_core::name::VmName;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_policy::routing::budget::{MAX_SAVED, RetryBudget};
use cactusdoor_policy::routing::pool::{AttemptResult, PoolChoice, ServicePool};
use cactusdoor_policy::routing::upstream::UpstreamListing;
use proptest::prelude::*;
use support::{Simulation, fuzz, names};

const VMS: usize = 6;
const CENTRES: usize = 2;
/// Time for which an upstream that refused as leaving gets no requests.
const CLOSED_TIME: Millis = 3_000;

#[derive(Clone, Debug)]
enum Step {
    List { vm: usize, incarnation: u64, leaving: bool, slots: u32, connections: u32 },
    Drop { vm: usize },
    Choose { local: usize, open: usize, tried: usize, random: [u64; 2] },
    End { number: usize, result: AttemptResult },
    AdvanceTime { millis: Millis },
    Earn { requests: usize },
    Spend,
}

#[derive(Clone, Debug, Default)]
struct UpstreamModel {
    incarnation: u64,
    leaving: bool,
    in_flight: u32,
    closed_until: Moment,
}

struct PoolSimulation {
    pool: ServicePool,
    now: Moment,
    model: BTreeMap<usize, UpstreamModel>,
    attempts: Vec<usize>,
    budget: RetryBudget,
    earned: u64,
    spent: u64,
}

impl PoolSimulation {
    fn record(&self, vm: usize) -> &cactusdoor_policy::routing::upstream::UpstreamRecord {
        self.pool.upstream(&names::vm(vm)).expect("listed upstream is missing")
    }

    fn choose(&mut self, local: usize, open: usize, tried: usize, random: [u64; 2]) {
        let names_tried: Vec<VmName> =
            (0..VMS).filter(|vm| tried >> vm & 1 == 1).map(names::vm).collect();
        let is_open = |centre: usize| open >> centre & 1 == 1;
        let choice = self.pool.choose(
            self.now,
            &names::centre(local),
            |name| (0..CENTRES).any(|centre| names::centre(centre) == *name && is_open(centre)),
            &names_tried,
            random,
        );
        let usable: Vec<usize> = self
            .model
            .iter()
            .filter(|(vm, model)| {
                !model.leaving
                    && model.closed_until <= self.now
                    && tried >> **vm & 1 == 0
                    && is_open(**vm % CENTRES)
            })
            .map(|(vm, _)| *vm)
            .collect();
        let available = usable.iter().filter(|vm| !self.record(**vm).detector.is_ejected(self.now));
        let available: Vec<usize> = available.copied().collect();
        let most_ejected = (usable.len() - available.len()) * 2 > usable.len();
        let candidates = if most_ejected { usable } else { available };
        let has_capacity = |vm: &usize| self.model[vm].in_flight < self.record(*vm).limit.current();
        match choice {
            PoolChoice::Send(name) => {
                let vm = (0..VMS).find(|vm| names::vm(*vm) == name).unwrap();
                assert!(candidates.contains(&vm), "vm{vm} is no candidate of {candidates:?}");
                assert!(has_capacity(&vm), "vm{vm} is at its limit");
                self.pool.sent(&name);
                self.model.get_mut(&vm).unwrap().in_flight += 1;
                self.attempts.push(vm);
            }
            PoolChoice::Full => {
                assert!(!candidates.is_empty() && !candidates.iter().any(has_capacity));
            }
            PoolChoice::None => assert!(candidates.is_empty(), "{candidates:?} accept requests"),
        }
    }
}

fn results() -> impl Strategy<Value = AttemptResult> {
    prop_oneof![
        4 => (100..2_000_000_u64).prop_map(AttemptResult::Answered),
        2 => Just(AttemptResult::Failed),
        1 => Just(AttemptResult::Busy),
        1 => Just(AttemptResult::Closed),
        1 => Just(AttemptResult::Abandoned),
    ]
}

impl Simulation for PoolSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let leaving = proptest::bool::weighted(0.2);
        prop_oneof![
            5 => (0..VMS, 1..3_u64, leaving, 0..6_u32, 0..12_u32).prop_map(
                |(vm, incarnation, leaving, slots, connections)| Step::List {
                    vm, incarnation, leaving, slots, connections
                }
            ),
            1 => (0..VMS).prop_map(|vm| Step::Drop { vm }),
            12 => (0..CENTRES, 0..1_usize << CENTRES, 0..1_usize << VMS, any::<[u64; 2]>())
                .prop_map(|(local, open, tried, random)| Step::Choose {
                    local, open: open | 1, tried: tried & (tried >> 2), random
                }),
            8 => (any::<usize>(), results())
                .prop_map(|(number, result)| Step::End { number, result }),
            3 => (0..4_000_u64).prop_map(|millis| Step::AdvanceTime { millis }),
            3 => (0..30_usize).prop_map(|requests| Step::Earn { requests }),
            6 => Just(Step::Spend),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self {
            pool: ServicePool::default(),
            now: Moment(1_000_000),
            model: BTreeMap::new(),
            attempts: Vec::new(),
            budget: RetryBudget::default(),
            earned: 0,
            spent: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::List { vm, incarnation, leaving, slots, connections } => {
                let data_centre = names::centre(vm % CENTRES);
                let listing = UpstreamListing {
                    data_centre,
                    incarnation,
                    leaving,
                    slots,
                    connections,
                    latency: 0,
                };
                self.pool.update_listing(&names::vm(vm), listing);
                let model = self.model.entry(vm).or_default();
                if model.incarnation != incarnation {
                    model.closed_until = Moment::default();
                }
                (model.incarnation, model.leaving) = (incarnation, leaving);
            }
            Step::Drop { vm } => {
                self.pool.retain(|name| *name != names::vm(vm));
                self.model.remove(&vm);
                self.attempts.retain(|attempt| *attempt != vm);
            }
            Step::Choose { local, open, tried, random } => {
                self.choose(local, open, tried, random);
            }
            Step::End { number, result } => {
                if !self.attempts.is_empty() {
                    let vm = self.attempts.swap_remove(number % self.attempts.len());
                    self.pool.ended(&names::vm(vm), self.now, result);
                    let model = self.model.get_mut(&vm).unwrap();
                    model.in_flight -= 1;
                    if result == AttemptResult::Closed {
                        model.closed_until = self.now.after(CLOSED_TIME);
                    }
                }
            }
            Step::AdvanceTime { millis } => self.now = self.now.after(millis),
            Step::Earn { requests } => {
                (0..requests).for_each(|_| self.budget.earn());
                self.earned += requests as u64;
            }
            Step::Spend => self.spent += u64::from(self.budget.spend()),
        }
    }

    fn check(&self) {
        for (vm, model) in &self.model {
            assert_eq!(self.record(*vm).in_flight, model.in_flight, "in flight to vm{vm}");
        }
        assert!(self.spent * 10 <= self.earned, "{} of {}", self.spent, self.earned);
        assert!(
            self.earned > MAX_SAVED * 10
                || self.budget.can_spend() == (self.earned - self.spent * 10 >= 10)
        );
    }
}

#[test]
fn choices_respect_limits_and_the_retry_budget() {
    fuzz::<PoolSimulation>("pool", 512, 1..120);
}
