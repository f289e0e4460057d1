//! Reservations of a VM, compared with a plain sum of the needs.
//!
//! Guards against a VM that is overcommitted when two owners place tasks on it at the
//! same time, and after a restart of its agent.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::capacity::{CapacityError, CapacityReservations};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Token;
use proptest::prelude::*;
use support::{Simulation, fuzz};

const CAPACITY: ResourceVector =
    ResourceVector { processors: 32_000, memory: 128_000, accelerators: 4 };

#[derive(Clone, Debug)]
enum Step {
    /// An owner places a task; tokens of different owners may be equal.
    Reserve {
        token: Token,
        need: ResourceVector,
    },
    Release {
        token: Token,
    },
    /// A restarted agent adopts the worker's running tasks, in any order, some twice.
    Restart {
        rotation: usize,
    },
    /// The worker reports a running task that the agent may not know.
    Adopt {
        token: Token,
        need: ResourceVector,
    },
}

fn needs() -> impl Strategy<Value = ResourceVector> {
    let usual = (0..20_000_u64, 0..70_000_u64, 0..3_u32);
    let extreme = (
        prop_oneof![Just(0), Just(u64::MAX), Just(u64::MAX - 1)],
        prop_oneof![Just(0), Just(u64::MAX)],
        prop_oneof![Just(0), Just(u32::MAX)],
    );
    let vector =
        |(processors, memory, accelerators)| ResourceVector::new(processors, memory, accelerators);
    prop_oneof![9 => usual.prop_map(vector), 1 => extreme.prop_map(vector)]
}

#[derive(Default)]
struct Sum {
    processors: u128,
    memory: u128,
    accelerators: u128,
}

impl Sum {
    fn of<'a>(needs: impl Iterator<Item = &'a ResourceVector>) -> Self {
        needs.fold(Self::default(), |sum, need| Self {
            processors: sum.processors + u128::from(need.processors),
            memory: sum.memory + u128::from(need.memory),
            accelerators: sum.accelerators + u128::from(need.accelerators),
        })
    }

    fn fits(&self) -> bool {
        self.processors <= u128::from(CAPACITY.processors)
            && self.memory <= u128::from(CAPACITY.memory)
            && self.accelerators <= u128::from(CAPACITY.accelerators)
    }
}

struct ReservationSimulation {
    reservations: CapacityReservations,
    /// Tasks that the worker runs.
    running: BTreeMap<Token, ResourceVector>,
}

impl Simulation for ReservationSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            10 => (0..12_u64, needs()).prop_map(|(token, need)| Step::Reserve { token, need }),
            6 => (0..12_u64).prop_map(|token| Step::Release { token }),
            1 => any::<usize>().prop_map(|rotation| Step::Restart { rotation }),
            1 => (0..12_u64, needs()).prop_map(|(token, need)| Step::Adopt { token, need }),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self { reservations: CapacityReservations::new(CAPACITY), running: BTreeMap::new() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Reserve { token, need } => {
                let known = self.running.contains_key(&token);
                let sum = Sum::of(self.running.values().chain([&need]));
                // Where adopted tasks exceed the capacity, only a need of 0 fits.
                let free = self.reservations.free();
                let fits = if Sum::of(self.running.values()).fits() {
                    sum.fits()
                } else {
                    free.can_fit(need)
                };
                match self.reservations.reserve(token, need) {
                    Ok(()) => {
                        assert!(!known && fits, "reserved {need:?} beyond capacity");
                        self.running.insert(token, need);
                    }
                    Err(CapacityError::AlreadyReserved(refused)) => {
                        assert!(known && refused == token)
                    }
                    Err(CapacityError::DoesNotFit(_)) => {
                        assert!(!known && !fits, "{need:?} fits");
                    }
                }
            }
            Step::Release { token } => {
                let expected = self.running.remove(&token).is_some();
                assert_eq!(self.reservations.release(token), expected);
            }
            Step::Restart { rotation } => {
                self.reservations = CapacityReservations::new(CAPACITY);
                let running: Vec<_> = self.running.iter().collect();
                let first = rotation % running.len().max(1);
                let twice = running.iter().chain(&running);
                for (token, need) in twice.skip(first) {
                    self.reservations.adopt(**token, **need);
                }
            }
            Step::Adopt { token, need } => {
                self.reservations.adopt(token, need);
                self.running.entry(token).or_insert(need);
            }
        }
    }

    fn check(&self) {
        let sum = Sum::of(self.running.values());
        let committed = self.reservations.committed();
        assert_eq!(u128::from(committed.processors), sum.processors.min(u64::MAX.into()));
        assert_eq!(u128::from(committed.memory), sum.memory.min(u64::MAX.into()));
        assert_eq!(u128::from(committed.accelerators), sum.accelerators.min(u32::MAX.into()));
        assert_eq!(self.reservations.free(), CAPACITY.saturating_sub(committed));
        for token in 0..12 {
            assert_eq!(self.reservations.contains(token), self.running.contains_key(&token));
        }
    }
}

#[test]
fn reservations_equal_running_tasks_and_fit_the_vm() {
    fuzz::<ReservationSimulation>("capacity", 512, 1..60);
}
