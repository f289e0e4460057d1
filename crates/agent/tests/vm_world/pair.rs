//! Three VMs, two of which may own the shard, with a log and a network that lose and
//! delay messages.

use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::job::{JobClass, StartRefusal, TaskId};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_core::unit::{Incarnation, Millis, Moment, Token};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_owner::scheduler::CallOutcome;
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatReply};
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_timeline::HybridTime;
use proptest::prelude::*;

use super::{CAPACITY, SimulatedVm};
use crate::support::clock::MAX_RATE;
use crate::support::log::LogWriter;
use crate::support::{Simulation, names, pick_recent};

pub const VMS: usize = 3;
/// Only these VMs claim the shard.
const OWNERS: usize = 2;
const JOBS: usize = 4;

#[derive(Clone, Copy, Debug)]
pub enum Append {
    Stored,
    /// Stored, but the writer gets no answer and has to read the log.
    Unknown,
    Lost,
    /// Reported as lost, with a no-op in its place, but stored later.
    Late,
}

#[derive(Clone, Debug)]
pub enum Step {
    Advance {
        millis: Millis,
    },
    SetClockRate {
        vm: usize,
        rate: u64,
    },
    Submit {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    Claim {
        owner: usize,
    },
    Follow {
        owner: usize,
        count: usize,
    },
    Tick {
        owner: usize,
    },
    Store {
        owner: usize,
        append: Append,
    },
    /// An agent sends its heartbeats to another owner from now on.
    SwitchOwner {
        vm: usize,
        owner: usize,
    },
    Heartbeat {
        vm: usize,
    },
    AnswerHeartbeat {
        number: usize,
        lost: bool,
    },
    Receive {
        number: usize,
    },
    /// A start reaches its agent; the call reaches the worker `pause` later.
    Start {
        number: usize,
        pause: Millis,
        lost: bool,
    },
    Stop {
        number: usize,
        lost: bool,
    },
    Answer {
        number: usize,
    },
    /// The agent's timers fire; the renewal reaches the worker `pause` later.
    RunTimers {
        vm: usize,
        pause: Millis,
    },
    Inventory {
        vm: usize,
    },
    Finish {
        vm: usize,
        number: usize,
        fails: bool,
    },
    Restart {
        vm: usize,
    },
    /// A process claims the shard; the VMs whose bits are set send it their heartbeats.
    TakeOver {
        owner: usize,
        vms: usize,
    },
    /// An owner loses or regains its connection to the log.
    CutLog {
        owner: usize,
        cut: bool,
    },
    /// A heartbeat reaches some owner, but the answer is lost.
    LoseReply {
        vm: usize,
        owner: usize,
    },
    /// Seconds without faults for the VMs whose bits are set.
    RunWithoutFaults {
        vms: usize,
        seconds: usize,
    },
}

enum CallAnswer {
    Start(CallOutcome<Result<(), StartRefusal>>),
    Stop(usize, TaskStop, CallOutcome<Result<StopReply, TaskRefusal>>),
}

struct Call<T> {
    owner: usize,
    generation: u64,
    vm: usize,
    body: T,
}

pub struct TwoOwners {
    pub vms: Vec<SimulatedVm>,
    /// Owners without a connection to the log.
    cut: [bool; OWNERS],
    log: Vec<LogEnvelope<TaskRecord>>,
    late: Vec<LogEnvelope<TaskRecord>>,
    entry: LogWriter,
    heartbeats: Vec<(usize, Incarnation, usize, Moment, AgentHeartbeat)>,
    replies: Vec<(usize, Incarnation, Moment, u64, HeartbeatReply)>,
    starts: Vec<Call<TaskStart>>,
    stops: Vec<Call<TaskStop>>,
    answers: Vec<(usize, u64, Token, CallAnswer)>,
}

/// Removes the element that `number` selects, mostly one of the newest.
fn remove_selected<T>(items: &mut Vec<T>, number: usize) -> Option<T> {
    let positions: Vec<usize> = (0..items.len()).collect();
    pick_recent(&positions, number).map(|position| items.remove(*position))
}

impl TwoOwners {
    fn collect_actions(&mut self, owner: usize) {
        let (starts, stops) = self.vms[owner].collect_actions();
        let generation = self.vms[owner].generation;
        self.starts.extend(starts.into_iter().map(|(vm, body)| Call {
            owner,
            generation,
            vm,
            body,
        }));
        self.stops.extend(stops.into_iter().map(|(vm, body)| Call { owner, generation, vm, body }));
    }

    fn advance(&mut self, millis: Millis) {
        // In small parts, so that each overlap is checked.
        let mut micros = millis * 1_000;
        while micros > 0 {
            let part = micros.min(250_000);
            micros -= part;
            self.vms.iter_mut().for_each(|vm| vm.advance(part));
            self.check();
        }
    }

    fn store(&mut self, owner: usize, append: Append) {
        let append = if self.cut[owner] { Append::Lost } else { append };
        let vm = &mut self.vms[owner];
        let Some((append_id, body)) = vm.appends.pop_front() else { return };
        let record = vm.writer.record(body);
        let stored = StoredRecord { offset: self.log.len() as u64, sequence: record.sequence };
        let result = match append {
            Append::Stored => Ok(stored),
            Append::Unknown => Err(NotStored::Unknown),
            Append::Lost | Append::Late => Err(NotStored::Lost),
        };
        match append {
            Append::Stored | Append::Unknown => self.log.push(record),
            Append::Lost => {}
            Append::Late => {
                self.late.push(record);
                self.log.push(vm.writer.record(TaskRecord::Noop));
            }
        }
        let now = vm.now();
        vm.scheduler.appended(now, append_id, result);
        self.collect_actions(owner);
    }

    fn follow(&mut self, owner: usize, count: usize) {
        if self.cut[owner] {
            return;
        }
        self.vms[owner].follow(&self.log, count);
        self.collect_actions(owner);
        self.vms[owner].replace_scheduler();
    }

    fn tick(&mut self, owner: usize) {
        let now = self.vms[owner].now();
        self.vms[owner].scheduler.tick(now, 1_700_000_000_000);
        self.collect_actions(owner);
    }

    fn heartbeat(&mut self, vm: usize) {
        let (sent, heartbeat) = self.vms[vm].heartbeat();
        let (incarnation, owner) = (self.vms[vm].incarnation(), self.vms[vm].owner);
        self.heartbeats.push((vm, incarnation, owner, sent, heartbeat));
    }

    fn answer_heartbeat(&mut self, number: usize, lost: bool) {
        let Some((vm, incarnation, owner, sent, heartbeat)) =
            remove_selected(&mut self.heartbeats, number)
        else {
            return;
        };
        let now = self.vms[owner].now();
        let answer =
            self.vms[owner].scheduler.handle_heartbeat(now, HybridTime::default(), &heartbeat);
        self.collect_actions(owner);
        if let Ok(reply) = answer
            && !lost
        {
            self.replies.push((vm, incarnation, sent, heartbeat.number, reply));
        }
    }

    fn receive(&mut self, number: usize) {
        if let Some((vm, incarnation, sent, request, reply)) =
            remove_selected(&mut self.replies, number)
            && self.vms[vm].incarnation() == incarnation
        {
            self.vms[vm].receive(sent, request, &reply);
        }
    }

    fn start(&mut self, number: usize, pause: Millis, lost: bool) {
        let Some(Call { owner, generation, vm, body }) = remove_selected(&mut self.starts, number)
        else {
            return;
        };
        let answer = self.vms[vm].begin_start(&body);
        if let Ok(Some(lease)) = answer {
            self.advance(pause);
            self.vms[vm].launch(&body, lease);
        }
        let outcome =
            if lost { CallOutcome::Lost } else { CallOutcome::Answered(answer.map(|_| ())) };
        self.answers.push((owner, generation, body.token, CallAnswer::Start(outcome)));
    }

    fn stop(&mut self, number: usize, lost: bool) {
        let Some(Call { owner, generation, vm, body }) = remove_selected(&mut self.stops, number)
        else {
            return;
        };
        let answer = self.vms[vm].stop(&body);
        let outcome = if lost { CallOutcome::Lost } else { CallOutcome::Answered(answer) };
        let token = body.token;
        self.answers.push((owner, generation, token, CallAnswer::Stop(vm, body, outcome)));
    }

    fn answer(&mut self, number: usize) {
        let Some((owner, generation, token, answer)) = remove_selected(&mut self.answers, number)
        else {
            return;
        };
        if self.vms[owner].generation != generation {
            return;
        }
        let now = self.vms[owner].now();
        let scheduler = &mut self.vms[owner].scheduler;
        match answer {
            CallAnswer::Start(outcome) => scheduler.start_answered(now, token, outcome),
            CallAnswer::Stop(vm, stop, outcome) => {
                scheduler.stop_answered(now, &names::vm(vm), &stop, outcome);
            }
        }
        self.collect_actions(owner);
    }

    fn run_timers(&mut self, vm: usize, pause: Millis) {
        self.vms[vm].stop_due();
        if let Some((tokens, lease)) = self.vms[vm].renewal() {
            self.advance(pause);
            let nanos = self.vms[vm].clock.nanos();
            self.vms[vm].worker.renew(nanos, &tokens, lease);
        }
    }

    fn take_over(&mut self, owner: usize, vms: usize) {
        self.follow(owner, usize::MAX);
        self.vms[owner].scheduler.claim();
        self.collect_actions(owner);
        while !self.vms[owner].appends.is_empty() {
            self.store(owner, Append::Stored);
        }
        self.follow(owner, usize::MAX);
        for vm in (0..VMS).filter(|vm| vms >> vm & 1 == 1) {
            self.vms[vm].owner = owner;
        }
    }

    /// One second without faults for some VMs, in which the others do nothing.
    fn run_without_faults(&mut self, vms: usize) {
        let healthy: Vec<usize> = (0..VMS).filter(|vm| vms >> vm & 1 == 1).collect();
        for owner in healthy.iter().copied().filter(|vm| *vm < OWNERS) {
            for _ in 0..3 {
                self.follow(owner, usize::MAX);
                self.tick(owner);
                while !self.vms[owner].appends.is_empty() {
                    self.store(owner, Append::Stored);
                }
            }
            self.follow(owner, usize::MAX);
        }
        for vm in healthy {
            self.heartbeat(vm);
            // Index 8 * (n - 1) selects the newest of n.
            self.answer_heartbeat(8 * (self.heartbeats.len() - 1), false);
            if !self.replies.is_empty() {
                self.receive(8 * (self.replies.len() - 1));
            }
            while let Some(position) = self.starts.iter().position(|call| call.vm == vm) {
                self.start(8 * position, 0, false);
            }
            while let Some(position) = self.stops.iter().position(|call| call.vm == vm) {
                self.stop(8 * position, false);
            }
            self.run_timers(vm, 0);
            self.vms[vm].reconcile_inventory();
        }
        while !self.answers.is_empty() {
            self.answer(0);
        }
        self.advance(1_000);
    }
}

impl Simulation for TwoOwners {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let (vm, owner) = (0..VMS, 0..OWNERS);
        let append = prop_oneof![
            4 => Just(Append::Stored),
            1 => Just(Append::Unknown),
            1 => Just(Append::Lost),
            1 => Just(Append::Late),
        ];
        let millis = prop_oneof![4 => 0..2_000_u64, 2 => 0..9_000_u64, 1 => 0..30_000_u64];
        let rarely = proptest::bool::weighted(0.2);
        let pause = prop_oneof![3 => Just(0_u64), 1 => 0..2_000_u64];
        prop_oneof![
            4 => millis.prop_map(|millis| Step::Advance { millis }),
            1 => (vm.clone(), 0..=MAX_RATE).prop_map(|(vm, rate)| Step::SetClockRate { vm, rate }),
            3 => (0..JOBS).prop_map(|job| Step::Submit { job }),
            1 => (0..JOBS).prop_map(|job| Step::Cancel { job }),
            2 => owner.clone().prop_map(|owner| Step::Claim { owner }),
            4 => (owner.clone(), 0..20_usize)
                .prop_map(|(owner, count)| Step::Follow { owner, count }),
            4 => owner.clone().prop_map(|owner| Step::Tick { owner }),
            6 => (owner.clone(), append)
                .prop_map(|(owner, append)| Step::Store { owner, append }),
            2 => (vm.clone(), owner).prop_map(|(vm, owner)| Step::SwitchOwner { vm, owner }),
            4 => vm.clone().prop_map(|vm| Step::Heartbeat { vm }),
            4 => (any::<usize>(), rarely)
                .prop_map(|(number, lost)| Step::AnswerHeartbeat { number, lost }),
            4 => any::<usize>().prop_map(|number| Step::Receive { number }),
            4 => (any::<usize>(), pause.clone(), rarely)
                .prop_map(|(number, pause, lost)| Step::Start { number, pause, lost }),
            4 => (any::<usize>(), rarely)
                .prop_map(|(number, lost)| Step::Stop { number, lost }),
            4 => any::<usize>().prop_map(|number| Step::Answer { number }),
            4 => (vm.clone(), pause).prop_map(|(vm, pause)| Step::RunTimers { vm, pause }),
            2 => vm.clone().prop_map(|vm| Step::Inventory { vm }),
            1 => (vm.clone(), any::<usize>(), any::<bool>())
                .prop_map(|(vm, number, fails)| Step::Finish { vm, number, fails }),
            1 => vm.prop_map(|vm| Step::Restart { vm }),
            2 => (0..OWNERS, any::<bool>()).prop_map(|(owner, cut)| Step::CutLog { owner, cut }),
            2 => (0..VMS, 0..OWNERS).prop_map(|(vm, owner)| Step::LoseReply { vm, owner }),
            3 => (0..OWNERS, 0..1_usize << VMS)
                .prop_map(|(owner, vms)| Step::TakeOver { owner, vms }),
            24 => (
                prop_oneof![Just((1_usize << VMS) - 1), 1..1_usize << VMS],
                prop_oneof![5 => Just(1_usize), 2 => 2..14_usize],
            )
                .prop_map(|(vms, seconds)| Step::RunWithoutFaults { vms, seconds }),
        ]
        .boxed()
    }

    fn new() -> Self {
        let mut world = Self {
            vms: (0..VMS).map(SimulatedVm::new).collect(),
            cut: [false; OWNERS],
            log: Vec::new(),
            late: Vec::new(),
            entry: LogWriter::new(50),
            heartbeats: Vec::new(),
            replies: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            answers: Vec::new(),
        };
        world.take_over(0, (1 << VMS) - 1);
        (0..2).for_each(|job| world.step(Step::Submit { job }));
        (0..3).for_each(|_| world.run_without_faults((1 << VMS) - 1));
        world
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Advance { millis } => self.advance(millis),
            Step::SetClockRate { vm, rate } => self.vms[vm].clock.set_rate(rate),
            Step::Submit { job } => {
                let class = if job == 0 { JobClass::Watch } else { JobClass::Batch };
                let record = TaskRecord::JobSubmitted(names::spec(job, class, 1));
                self.log.push(self.entry.record(record));
            }
            Step::Cancel { job } => {
                self.log.push(self.entry.record(TaskRecord::JobCancelled(names::job(job))));
            }
            Step::Claim { owner } => {
                self.vms[owner].scheduler.claim();
                self.collect_actions(owner);
            }
            Step::Follow { owner, count } => self.follow(owner, count),
            Step::Tick { owner } => self.tick(owner),
            Step::Store { owner, append } => self.store(owner, append),
            Step::SwitchOwner { vm, owner } => self.vms[vm].owner = owner,
            Step::Heartbeat { vm } => self.heartbeat(vm),
            Step::AnswerHeartbeat { number, lost } => self.answer_heartbeat(number, lost),
            Step::Receive { number } => self.receive(number),
            Step::Start { number, pause, lost } => self.start(number, pause, lost),
            Step::Stop { number, lost } => self.stop(number, lost),
            Step::Answer { number } => self.answer(number),
            Step::RunTimers { vm, pause } => self.run_timers(vm, pause),
            Step::Inventory { vm } => self.vms[vm].reconcile_inventory(),
            Step::Finish { vm, number, fails } => self.vms[vm].worker.finish(number, fails),
            Step::Restart { vm } => self.vms[vm].restart(),
            Step::TakeOver { owner, vms } => self.take_over(owner, vms),
            Step::CutLog { owner, cut } => self.cut[owner] = cut,
            Step::LoseReply { vm, owner } => {
                let before = std::mem::replace(&mut self.vms[vm].owner, owner);
                self.heartbeat(vm);
                self.answer_heartbeat(8 * (self.heartbeats.len() - 1), true);
                self.vms[vm].owner = before;
            }
            Step::RunWithoutFaults { vms, seconds } => {
                (0..seconds).for_each(|_| self.run_without_faults(vms));
            }
        }
        // Late records are stored one at a time.
        if self.late.len() > 2 {
            self.log.push(self.late.remove(0));
        }
    }

    fn check(&self) {
        let mut running: Vec<(&TaskId, usize)> = Vec::new();
        for (number, vm) in self.vms.iter().enumerate() {
            let mut sum = ResourceVector::ZERO;
            for (task, need) in vm.worker.running() {
                let other = running.iter().find(|(known, _)| *known == task);
                assert_eq!(other, None, "{task} runs on vm{number} too");
                running.push((task, number));
                sum = sum.saturating_add(need);
            }
            assert!(CAPACITY.can_fit(sum), "vm{number} runs {sum:?}");
        }
    }
}
