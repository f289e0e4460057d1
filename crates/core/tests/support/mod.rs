//! Fuzzing by random steps against an oracle.
//!
//! A simulation contains the code under test and a simple oracle, and compares the two
//! after each step. Steps refer to items by number, and a simulation reduces each number
//! modulo the count of its items, so any sequence of steps is valid and shrinks well.
#![allow(dead_code)] // Each test file uses a part of this module.

pub mod clock;
pub mod log;
pub mod names;
pub mod owner;

use std::collections::hash_map::RandomState;
use std::fmt::Debug;
use std::hash::BuildHasher;
use std::marker::PhantomData;
use std::ops::Range;

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Environment variable that sets the number of cases of every test and makes the seed
/// random.
pub const CASES_VARIABLE: &str = "CACTUSDOOR_FUZZ_CASES";

/// Seed of a normal run, so that its result is reproducible.
const FIXED_SEED: u64 = 20_261_204;

/// The code under test with its oracle.
pub trait Simulation: Sized + 'static {
    type Step: Clone + Debug + 'static;

    fn steps() -> BoxedStrategy<Self::Step>;
    fn new() -> Self;
    fn step(&mut self, step: Self::Step);
    /// Compares the code under test with the oracle; runs after each step.
    fn check(&self);
    /// Runs once after the last step.
    fn finish(self) {}
}

/// Generates steps independently of the simulation's state.
pub struct Script<W>(PhantomData<W>);

impl<W: Simulation> ReferenceStateMachine for Script<W> {
    type State = ();
    type Transition = W::Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<W::Step> {
        W::steps()
    }

    fn apply((): (), _: &W::Step) {}
}

struct Trial<W>(PhantomData<W>);

impl<W: Simulation> StateMachineTest for Trial<W> {
    type SystemUnderTest = W;
    type Reference = Script<W>;

    fn init_test((): &()) -> W {
        W::new()
    }

    fn apply(mut simulation: W, (): &(), step: W::Step) -> W {
        simulation.step(step);
        simulation
    }

    fn check_invariants(simulation: &W, (): &()) {
        simulation.check();
    }

    fn teardown(simulation: W, (): ()) {
        simulation.finish();
    }
}

fn config(subject: &str, cases: u32) -> ProptestConfig {
    let (cases, seed) = match std::env::var(CASES_VARIABLE) {
        Ok(text) => {
            let cases = text.parse().expect("CACTUSDOOR_FUZZ_CASES must be a number");
            let seed = RandomState::new().hash_one(subject);
            println!("{subject}: {cases} cases with seed {seed}");
            (cases, seed)
        }
        Err(_) => (cases, FIXED_SEED),
    };
    let seed = std::env::var("CACTUSDOOR_FUZZ_SEED")
        .map_or(seed, |text| text.parse().expect("CACTUSDOOR_FUZZ_SEED must be a number"));
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

/// Runs `cases` random scripts of a simulation; panics with the shrunk script on failure.
pub fn fuzz<W: Simulation>(subject: &str, cases: u32, length: Range<usize>) {
    let config = config(subject, cases);
    let mut runner = TestRunner::new(config.clone());
    let scripts = Script::<W>::sequential_strategy(length);
    let result = runner.run(&scripts, |((), steps, seen)| {
        Trial::<W>::test_sequential(config.clone(), (), steps, seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{subject}, seed {:?}: {failure}", config.rng_seed);
    }
}

/// Checks a stateless property with `cases` random inputs; panics on failure.
pub fn property<S: Strategy>(
    subject: &str,
    cases: u32,
    inputs: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let config = config(subject, cases);
    let seed = config.rng_seed;
    if let Err(failure) = TestRunner::new(config).run(&inputs, test) {
        panic!("{subject}, seed {seed:?}: {failure}");
    }
}

/// The element at `number` modulo the length; `None` if there are none.
pub fn pick<T>(items: &[T], number: usize) -> Option<&T> {
    (!items.is_empty()).then(|| &items[number % items.len()])
}

/// The element that `number` selects, in 7 of 8 cases among the last three.
pub fn pick_recent<T>(items: &[T], number: usize) -> Option<&T> {
    let recent = &items[items.len().saturating_sub(3)..];
    if number.is_multiple_of(8) { pick(items, number / 8) } else { pick(recent, number / 8) }
}
