//! A holder, its owner and that owner's successor over a faulty network.
//!
//! Guards against a task that runs in two places: once the newest owner holds a
//! lease for surely over, the holder must have had its last effect, whatever was
//! lost, delayed, reordered or repeated, and with clocks of different rates.

mod support;

use cactusdoor_core::constants::{
    LOG_SILENCE, OUTAGE_LEASE, PAUSE_MARGIN, TASK_LEASE, with_lease_margins,
};
use cactusdoor_core::lease::{GrantedLease, HeldLease, LeaseRequest, grant_term};
use cactusdoor_core::unit::{Epoch, Millis, Moment};
use proptest::prelude::*;
use support::clock::{MAX_PACE, SimulatedClock, nanos_at};
use support::{World, fuzz, pick_recent, property};

#[derive(Clone, Debug)]
enum Step {
    Pass {
        micros: u64,
    },
    /// Rates of the clocks of holder, owner and successor.
    Pace {
        rates: [u64; 3],
    },
    /// A heartbeat to the owner or the successor.
    Ask {
        owner: usize,
    },
    /// A heartbeat arrives; the same one may arrive again later.
    Answer {
        number: usize,
    },
    Receive {
        number: usize,
    },
    /// The owner reads the log.
    Confirm,
    /// The same with an answer that comes later.
    Read,
    ReadAnswered {
        number: usize,
    },
    /// The successor's claim stands in the log.
    Claim,
    /// The holder hears of the successor without a heartbeat.
    Announce,
}

#[derive(Clone, Copy, Debug)]
struct Reply {
    epoch: Epoch,
    number: u64,
    term: Millis,
}

struct LeaseWorld {
    holder: SimulatedClock,
    held: HeldLease,
    epoch: Epoch,
    /// The holder's clock when its last lease check that passed was possible.
    last_valid: Option<u128>,
    clocks: [SimulatedClock; 2],
    grants: [Option<GrantedLease>; 2],
    /// Read of the owner's log view, and whether it knows of the successor.
    confirmed: Moment,
    deposed: bool,
    claimed: bool,
    reads: Vec<(Moment, bool)>,
    requests: Vec<(usize, LeaseRequest)>,
    replies: Vec<Reply>,
}

impl LeaseWorld {
    fn newest(&self) -> usize {
        usize::from(self.claimed)
    }

    /// Lets time pass, with a check as soon as the newest owner's bound is reached.
    fn pass(&mut self, micros: u64) {
        let newest = self.newest();
        let mut rest = micros;
        if let Some(grant) = self.grants[newest] {
            while rest > 0 && !grant.is_surely_over(self.clocks[newest].now()) {
                let left = nanos_at(grant.surely_over()) - self.clocks[newest].nanos();
                // Never beyond the bound, as the clocks are less than 2% fast.
                let part = rest.min(((left / 1_020) as u64).max(1));
                self.pass_at_once(part);
                rest -= part;
            }
            self.check();
        }
        self.pass_at_once(rest);
    }

    fn pass_at_once(&mut self, micros: u64) {
        let valid = self.held.is_valid(self.holder.now());
        self.holder.pass(micros);
        self.clocks.iter_mut().for_each(|clock| clock.pass(micros));
        if valid {
            let until = self.holder.nanos().min(nanos_at(self.held.deadline()));
            self.last_valid = self.last_valid.max(Some(until));
        }
    }

    fn answer(&mut self, owner: usize, request: LeaseRequest) {
        let (epoch, now) = (owner as Epoch + 1, self.clocks[owner].now());
        let term = match owner {
            0 if self.deposed || request.epoch > epoch => return,
            0 => grant_term(now.since(self.confirmed)),
            _ => TASK_LEASE,
        };
        if let Some(grant) = &mut self.grants[owner] {
            grant.renew(now, request, term);
            self.replies.push(Reply { epoch, number: request.number, term });
        }
    }
}

impl World for LeaseWorld {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let micros = prop_oneof![
            4 => 0..3_000_000_u64,
            2 => 0..12_000_000_u64,
            1 => 0..700_000_000_u64,
        ];
        prop_oneof![
            6 => micros.prop_map(|micros| Step::Pass { micros }),
            1 => [0..=MAX_PACE, 0..=MAX_PACE, 0..=MAX_PACE].prop_map(|rates| Step::Pace { rates }),
            5 => (0..2_usize).prop_map(|owner| Step::Ask { owner }),
            5 => any::<usize>().prop_map(|number| Step::Answer { number }),
            5 => any::<usize>().prop_map(|number| Step::Receive { number }),
            2 => Just(Step::Confirm),
            1 => Just(Step::Read),
            1 => any::<usize>().prop_map(|number| Step::ReadAnswered { number }),
            1 => Just(Step::Claim),
            1 => Just(Step::Announce),
        ]
        .boxed()
    }

    fn new() -> Self {
        let clocks = [SimulatedClock::new(1_000_300), SimulatedClock::new(99_000_999)];
        let now = clocks[0].now();
        Self {
            holder: SimulatedClock::new(5_123_456),
            held: HeldLease::default(),
            epoch: 1,
            last_valid: None,
            grants: [Some(GrantedLease::unknown(1, now, 0)), None],
            clocks,
            confirmed: now,
            deposed: false,
            claimed: false,
            reads: Vec::new(),
            requests: Vec::new(),
            replies: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass { micros } => self.pass(micros),
            Step::Pace { rates: [holder, owner, successor] } => {
                self.holder.pace(holder);
                self.clocks[0].pace(owner);
                self.clocks[1].pace(successor);
            }
            Step::Ask { owner } => {
                let request = self.held.ask(self.holder.now(), self.epoch);
                self.requests.push((owner, request));
            }
            Step::Answer { number } => {
                if let Some((owner, request)) = pick_recent(&self.requests, number).copied() {
                    self.answer(owner, request);
                }
            }
            Step::Receive { number } => {
                if let Some(reply) = pick_recent(&self.replies, number).copied()
                    && reply.epoch >= self.epoch
                {
                    self.epoch = reply.epoch;
                    self.held.renew(reply.number, reply.term);
                }
            }
            Step::Confirm if self.claimed => self.deposed = true,
            Step::Confirm => self.confirmed = self.clocks[0].now(),
            Step::Read => self.reads.push((self.clocks[0].now(), self.claimed)),
            Step::ReadAnswered { number } => match pick_recent(&self.reads, number).copied() {
                Some((_, true)) => self.deposed = true,
                Some((sent, false)) => self.confirmed = self.confirmed.max(sent),
                None => {}
            },
            Step::Claim => {
                if !self.claimed {
                    self.claimed = true;
                    let now = self.clocks[1].now();
                    self.grants[1] = Some(GrantedLease::unknown(2, now, OUTAGE_LEASE));
                }
            }
            Step::Announce => {
                if self.claimed {
                    self.epoch = 2;
                }
            }
        }
        self.pass_at_once(0);
    }

    fn check(&self) {
        let newest = self.newest();
        let Some(grant) = self.grants[newest] else { return };
        if !grant.is_surely_over(self.clocks[newest].now()) {
            return;
        }
        if let Some(last) = self.last_valid {
            let effect = last + u128::from(PAUSE_MARGIN) * 1_000_000;
            assert!(
                effect <= self.holder.nanos(),
                "surely over, but the holder may have effects for {} more ns",
                effect - self.holder.nanos()
            );
        }
    }
}

#[test]
fn lease_is_surely_over_only_after_the_last_effect() {
    fuzz::<LeaseWorld>("lease", 2_048, 1..80);
}

/// Guards against a successor that waits minutes for a holder it is in contact with.
#[test]
fn contact_under_the_new_epoch_shortens_the_bound() {
    let mut held = HeldLease::granted(Moment(0), TASK_LEASE);
    let mut grant = GrantedLease::unknown(2, Moment(50_000), OUTAGE_LEASE);
    let before = grant.surely_over();
    let request = held.ask(Moment(1_000), 1);
    grant.renew(Moment(51_000), request, TASK_LEASE);
    assert_eq!(grant.surely_over(), before, "the holder has not adopted the epoch yet");
    assert!(held.renew(request.number, TASK_LEASE));
    grant.renew(Moment(52_000), held.ask(Moment(2_000), 2), TASK_LEASE);
    assert_eq!(grant.surely_over(), Moment(52_000).after(with_lease_margins(TASK_LEASE)));
}

/// Guards against a bound that a late request lowers while a longer term is on its way.
#[test]
fn late_request_does_not_lower_the_bound() {
    let mut held = HeldLease::default();
    let mut grant = GrantedLease::unknown(1, Moment(0), 0);
    let first = held.ask(Moment(1_000), 1);
    let second = held.ask(Moment(2_000), 1);
    grant.renew(Moment(3_000), second, OUTAGE_LEASE);
    grant.renew(Moment(4_000), first, TASK_LEASE);
    assert!(held.renew(second.number, OUTAGE_LEASE));
    assert!(grant.surely_over() > held.deadline());
}

/// Guards against a late reply that revives an older term.
#[test]
fn only_the_newest_request_renews() {
    let mut held = HeldLease::default();
    let first = held.ask(Moment(1_000), 1);
    let second = held.ask(Moment(2_000), 1);
    assert!(!held.renew(first.number, OUTAGE_LEASE));
    assert!(!held.is_valid(Moment(2_000)));
    assert!(held.renew(second.number, TASK_LEASE));
    assert_eq!(held.deadline(), Moment(2_000).after(TASK_LEASE));
}

/// Guards against tasks that wait much longer than the page promises.
#[test]
fn margins_stay_within_the_promise() {
    assert!(with_lease_margins(TASK_LEASE) <= 11_000);
    property("terms", 512, 0..2 * OUTAGE_LEASE, |age| {
        let term = grant_term(age);
        let usual = term == TASK_LEASE && age <= LOG_SILENCE;
        prop_assert!(usual || term == 0 || age + term <= OUTAGE_LEASE);
        Ok(())
    });
}
