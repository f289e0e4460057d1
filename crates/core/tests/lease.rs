//! A lease holder, an owner and its successor over an unreliable network.
//!
//! Guards against a task that runs in two places: when the newest owner considers a
//! lease certainly expired, the holder must have caused its last effect. This must hold
//! with messages lost, delayed, reordered or repeated, and clocks of different rates.

mod support;

use cactusdoor_core::constants::{
    LOG_TIMEOUT, OUTAGE_LEASE, PAUSE_MARGIN, TASK_LEASE, with_lease_margins,
};
use cactusdoor_core::lease::{GrantedLease, HeldLease, LeaseRequest, lease_duration};
use cactusdoor_core::unit::{Epoch, Millis, Moment};
use proptest::prelude::*;
use support::clock::{MAX_RATE, SimulatedClock, nanos_at};
use support::{Simulation, fuzz, pick_recent, property};

#[derive(Clone, Debug)]
enum Step {
    AdvanceTime {
        micros: u64,
    },
    /// Sets the clock rates of holder, owner and successor above the slowest, in units
    /// of 0.01%.
    SetRates {
        rates: [u64; 3],
    },
    /// The holder sends a heartbeat to the owner or the successor.
    SendHeartbeat {
        owner: usize,
    },
    /// A heartbeat arrives and is answered; the same one may arrive again later.
    Answer {
        number: usize,
    },
    /// A reply arrives at the holder.
    Receive {
        number: usize,
    },
    /// The owner reads the log and gets the answer at once.
    Confirm,
    /// The owner sends a read whose answer comes later.
    Read,
    ReadAnswered {
        number: usize,
    },
    /// The successor's claim is stored in the log.
    Claim,
    /// The holder learns of the successor other than by a heartbeat.
    Announce,
}

#[derive(Clone, Copy, Debug)]
struct Reply {
    epoch: Epoch,
    number: u64,
    duration: Millis,
}

struct LeaseSimulation {
    holder: SimulatedClock,
    held: HeldLease,
    epoch: Epoch,
    /// The holder's clock, in nanoseconds, when its lease was last valid.
    last_valid: Option<u128>,
    clocks: [SimulatedClock; 2],
    grants: [Option<GrantedLease>; 2],
    /// When the owner sent its last confirming read.
    confirmed: Moment,
    /// Whether the owner knows of the successor.
    replaced: bool,
    claimed: bool,
    /// When each read was sent, and whether it finds the successor's claim.
    reads: Vec<(Moment, bool)>,
    requests: Vec<(usize, LeaseRequest)>,
    replies: Vec<Reply>,
}

impl LeaseSimulation {
    fn newest(&self) -> usize {
        usize::from(self.claimed)
    }

    /// Advances the clocks, with a check as soon as the newest owner's expiry is reached.
    fn advance(&mut self, micros: u64) {
        let newest = self.newest();
        let mut remaining = micros;
        if let Some(grant) = self.grants[newest] {
            while remaining > 0 && !grant.is_certainly_expired(self.clocks[newest].now()) {
                let until_expiry = nanos_at(grant.certain_expiry()) - self.clocks[newest].nanos();
                // Never passes the expiry, as the clocks are less than 2% fast.
                let part = remaining.min(((until_expiry / 1_020) as u64).max(1));
                self.advance_clocks(part);
                remaining -= part;
            }
            self.check();
        }
        self.advance_clocks(remaining);
    }

    fn advance_clocks(&mut self, micros: u64) {
        let valid = self.held.is_valid(self.holder.now());
        self.holder.advance(micros);
        self.clocks.iter_mut().for_each(|clock| clock.advance(micros));
        if valid {
            let until = self.holder.nanos().min(nanos_at(self.held.deadline()));
            self.last_valid = self.last_valid.max(Some(until));
        }
    }

    fn answer(&mut self, owner: usize, request: LeaseRequest) {
        let (epoch, now) = (owner as Epoch + 1, self.clocks[owner].now());
        let duration = match owner {
            0 if self.replaced || request.epoch > epoch => return,
            0 => lease_duration(now.since(self.confirmed)),
            _ => TASK_LEASE,
        };
        if let Some(grant) = &mut self.grants[owner] {
            grant.renew(now, request, duration);
            self.replies.push(Reply { epoch, number: request.number, duration });
        }
    }
}

impl Simulation for LeaseSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let micros = prop_oneof![
            4 => 0..3_000_000_u64,
            2 => 0..12_000_000_u64,
            1 => 0..700_000_000_u64,
        ];
        prop_oneof![
            6 => micros.prop_map(|micros| Step::AdvanceTime { micros }),
            1 => [0..=MAX_RATE, 0..=MAX_RATE, 0..=MAX_RATE]
                .prop_map(|rates| Step::SetRates { rates }),
            5 => (0..2_usize).prop_map(|owner| Step::SendHeartbeat { owner }),
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
            grants: [Some(GrantedLease::assumed(1, now, 0)), None],
            clocks,
            confirmed: now,
            replaced: false,
            claimed: false,
            reads: Vec::new(),
            requests: Vec::new(),
            replies: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::AdvanceTime { micros } => self.advance(micros),
            Step::SetRates { rates: [holder, owner, successor] } => {
                self.holder.set_rate(holder);
                self.clocks[0].set_rate(owner);
                self.clocks[1].set_rate(successor);
            }
            Step::SendHeartbeat { owner } => {
                let request = self.held.request_renewal(self.holder.now(), self.epoch);
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
                    self.held.renew(reply.number, reply.duration);
                }
            }
            Step::Confirm if self.claimed => self.replaced = true,
            Step::Confirm => self.confirmed = self.clocks[0].now(),
            Step::Read => self.reads.push((self.clocks[0].now(), self.claimed)),
            Step::ReadAnswered { number } => match pick_recent(&self.reads, number).copied() {
                Some((_, true)) => self.replaced = true,
                Some((sent, false)) => self.confirmed = self.confirmed.max(sent),
                None => {}
            },
            Step::Claim => {
                if !self.claimed {
                    self.claimed = true;
                    let now = self.clocks[1].now();
                    self.grants[1] = Some(GrantedLease::assumed(2, now, OUTAGE_LEASE));
                }
            }
            Step::Announce => {
                if self.claimed {
                    self.epoch = 2;
                }
            }
        }
        self.advance_clocks(0);
    }

    fn check(&self) {
        let newest = self.newest();
        let Some(grant) = self.grants[newest] else { return };
        if !grant.is_certainly_expired(self.clocks[newest].now()) {
            return;
        }
        if let Some(last) = self.last_valid {
            let effect = last + u128::from(PAUSE_MARGIN) * 1_000_000;
            assert!(
                effect <= self.holder.nanos(),
                "certainly expired, but the holder may cause effects for another {} ns",
                effect - self.holder.nanos()
            );
        }
    }
}

#[test]
fn lease_certainly_expires_only_after_the_holders_last_effect() {
    fuzz::<LeaseSimulation>("lease", 2_048, 1..80);
}

/// Guards against a successor that waits for the longest possible lease although the
/// holder is in contact with it.
#[test]
fn request_under_the_new_epoch_brings_expiry_forward() {
    let mut held = HeldLease::granted(Moment(0), TASK_LEASE);
    let mut grant = GrantedLease::assumed(2, Moment(50_000), OUTAGE_LEASE);
    let before = grant.certain_expiry();
    let request = held.request_renewal(Moment(1_000), 1);
    grant.renew(Moment(51_000), request, TASK_LEASE);
    assert_eq!(grant.certain_expiry(), before, "the holder has not adopted the epoch yet");
    assert!(held.renew(request.number, TASK_LEASE));
    grant.renew(Moment(52_000), held.request_renewal(Moment(2_000), 2), TASK_LEASE);
    assert_eq!(grant.certain_expiry(), Moment(52_000).after(with_lease_margins(TASK_LEASE)));
}

/// Guards against a late request that brings the expiry forward while the reply with a
/// longer lease is in transit.
#[test]
fn late_request_does_not_bring_expiry_forward() {
    let mut held = HeldLease::default();
    let mut grant = GrantedLease::assumed(1, Moment(0), 0);
    let first = held.request_renewal(Moment(1_000), 1);
    let second = held.request_renewal(Moment(2_000), 1);
    grant.renew(Moment(3_000), second, OUTAGE_LEASE);
    grant.renew(Moment(4_000), first, TASK_LEASE);
    assert!(held.renew(second.number, OUTAGE_LEASE));
    assert!(grant.certain_expiry() > held.deadline());
}

/// Guards against a late reply that renews the lease for an earlier request.
#[test]
fn only_the_reply_to_the_newest_request_renews_the_lease() {
    let mut held = HeldLease::default();
    let first = held.request_renewal(Moment(1_000), 1);
    let second = held.request_renewal(Moment(2_000), 1);
    assert!(!held.renew(first.number, OUTAGE_LEASE));
    assert!(!held.is_valid(Moment(2_000)));
    assert!(held.renew(second.number, TASK_LEASE));
    assert_eq!(held.deadline(), Moment(2_000).after(TASK_LEASE));
}

/// Guards against tasks that wait longer for a lease to expire than documented.
#[test]
fn lease_margins_stay_within_the_documented_limit() {
    assert!(with_lease_margins(TASK_LEASE) <= 11_000);
    property("terms", 512, 0..2 * OUTAGE_LEASE, |age| {
        let duration = lease_duration(age);
        let usual = duration == TASK_LEASE && age <= LOG_TIMEOUT;
        prop_assert!(usual || duration == 0 || age + duration <= OUTAGE_LEASE);
        Ok(())
    });
}
