//! One term of an owner: the loop around its book.

mod answers;
mod feeds;
mod readings;
mod requests;

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_peer::queue::{FindReply, StoreReply, WatchReply, WatchRequest};
use cactusdoor_platform::store::{KeyedRecord, StoreClient};
use cactusdoor_queue::book::{BookEffect, BookEntry, QueueBook};
use cactusdoor_queue::name::{AgentName, JobId, QueueName};
use cactusdoor_queue::report::{AgentReport, JobState, ReportReply, RunEnd};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot, watch};

use self::answers::CONFIRM_DOUBT;
use self::feeds::{BEACON_INTERVAL, LaneGroup, spawn_beacons, spawn_lane, spawn_requests};
use self::requests::FORGET_INTERVAL;
use crate::candidate::open_lane;
use crate::decision::DecisionEvent;
use crate::finder::OwnerBeacon;
use crate::follower::TopicReading;
use crate::journal::DecisionLog;
use crate::lane::{AppendLane, LaneFault, StoredAppend};
use crate::meters::OwnerMeters;
use crate::operators::ConfirmedView;
use crate::port::{CallReceiver, OwnerCall, OwnerPort};
use crate::topic::REQUESTS;

/// Between two appends: groups what arrives meanwhile.
const APPEND_GAP: Millis = 15;
/// Most records of one append, and most bytes: a fraction of what a call may hold.
const APPEND_RECORDS: usize = 600;
const APPEND_BYTES: usize = 400_000;
/// Time after which the loop looks at its deadlines without any event.
const IDLE: Millis = 250;
/// Time after which the loop looks again at tasks that wait for a retry.
const RETRY_TICK: Millis = 50;
/// Agents that have not reported for so long are out of reach.
const OUT_OF_REACH: Millis = 2_500;
/// Least number of agents of which an owner that reaches fewer than half resigns.
const QUORUM_AGENTS: usize = 3;

/// What an owner needs.
#[derive(Clone)]
pub struct OwnerContext {
    pub name: AgentName,
    pub address: SocketAddr,
    pub store: StoreClient,
    pub clock: MonotonicClock,
    pub log: DecisionLog,
    pub port: OwnerPort,
    pub views: watch::Receiver<ConfirmedView>,
    pub meters: OwnerMeters,
    /// Longest lease that the workers accept.
    pub lease_limit: Millis,
    pub bounds: OwnerBounds,
}

/// Times within which what callers and operators say must be obeyed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerBounds {
    /// After it no task of a cancelled job starts.
    pub cancel: Millis,
    /// After it no task starts in a data centre that was taken out.
    pub take_out: Millis,
}

/// Why a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TermEnd {
    Fenced,
    Isolated,
    /// It stores, but cannot read what callers ask for.
    Blind,
    Stopped,
}

impl TermEnd {
    fn cause(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Isolated => "isolated",
            Self::Blind => "blind",
            Self::Stopped => "stopped",
        }
    }
}

type LaneVerdict = Result<StoredAppend, LaneFault>;
type WaitingReport = (oneshot::Sender<ReportReply>, Moment, Moment);
type WaitingWatch = (WatchRequest, oneshot::Sender<WatchReply>, Moment);

/// The term of an owner.
pub struct OwnerTerm {
    context: OwnerContext,
    book: QueueBook,
    calls: CallReceiver,
    requests: mpsc::UnboundedReceiver<TopicReading>,
    groups: mpsc::UnboundedSender<LaneGroup>,
    verdicts: mpsc::UnboundedReceiver<LaneVerdict>,
    beacons: mpsc::UnboundedReceiver<LaneVerdict>,
    /// Offset after the newest confirmed beacon.
    beacon_end: Offset,
    /// Sending of the newest answered reading of the requests.
    requests_read: Moment,
    /// Whether nothing may be started, as what callers and operators say is not
    /// known up to now.
    outdated: bool,
    /// Appends to the requests, and who waits for each, in order.
    request_groups: mpsc::UnboundedSender<LaneGroup>,
    request_verdicts: mpsc::UnboundedReceiver<LaneVerdict>,
    relayed: VecDeque<Option<oneshot::Sender<StoreReply>>>,
    resignation: watch::Sender<bool>,
    entries: VecDeque<BookEntry>,
    in_flight: Option<Vec<BookEntry>>,
    appended: Moment,
    confirmed: Moment,
    /// Since when appends have been confirmed without a long gap.
    confirmed_since: Moment,
    began: Moment,
    reports: IndexMap<AgentName, WaitingReport>,
    watches: Vec<WaitingWatch>,
    finds: Vec<(JobId, oneshot::Sender<FindReply>, Moment)>,
    changes: Vec<(JobId, JobState)>,
    shown: IndexMap<JobId, JobState>,
    pending: (u64, IndexMap<QueueName, u64>),
    ended: Vec<JobId>,
    forget_at: Moment,
    /// An agent follows a later owner.
    deposed: bool,
    /// When each agent was last told the learned figures.
    told: IndexMap<AgentName, Moment>,
}

impl OwnerTerm {
    #[must_use]
    pub fn open(
        context: OwnerContext,
        book: QueueBook,
        (requests_end, requests_read): (Offset, Moment),
        confirmed: Moment,
        (tasks, beacons, beacon): (AppendLane, AppendLane, OwnerBeacon),
    ) -> Self {
        let (groups, verdicts) = spawn_lane(tasks);
        let (resignation, resigned) = watch::channel(false);
        let beacons = spawn_beacons(beacons, beacon, resigned);
        let requests = spawn_requests(&context, requests_end);
        let (request_groups, request_verdicts) =
            spawn_lane(open_lane(&context.store, context.clock, REQUESTS, book.epoch));
        let now = context.clock.now();
        Self {
            calls: context.port.open(),
            book,
            requests,
            groups,
            verdicts,
            beacons,
            beacon_end: 0,
            requests_read,
            outdated: false,
            request_groups,
            request_verdicts,
            relayed: VecDeque::new(),
            resignation,
            entries: VecDeque::new(),
            in_flight: None,
            appended: now,
            confirmed,
            confirmed_since: confirmed,
            began: now,
            reports: IndexMap::new(),
            watches: Vec::new(),
            finds: Vec::new(),
            changes: Vec::new(),
            shown: IndexMap::new(),
            pending: (1, IndexMap::new()),
            ended: Vec::new(),
            forget_at: now.after(FORGET_INTERVAL),
            deposed: false,
            told: IndexMap::new(),
            context,
        }
    }

    /// Runs until another owner is elected or this one resigns.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let end = loop {
            if let Some(end) = self.step() {
                break end;
            }
            let wake = self.context.clock.instant(self.next_wake());
            tokio::select! {
                call = self.calls.recv() => if let Some(call) = call { self.take_call(call) },
                Some(reading) = self.requests.recv() => self.take_requests(reading),
                Some(verdict) = self.verdicts.recv() => {
                    if let Some(end) = self.take_verdict(verdict) { break end }
                }
                Some(verdict) = self.beacons.recv() => {
                    if let Some(end) = self.take_beacon(verdict) { break end }
                }
                Some(verdict) = self.request_verdicts.recv() => self.take_stored(verdict),
                _ = self.context.views.changed() => {}
                _ = stopping.changed() => if *stopping.borrow() { break TermEnd::Stopped },
                () = tokio::time::sleep_until(wake.into()) => {}
            }
            while let Ok(call) = self.calls.try_recv() {
                self.take_call(call);
            }
        };
        self.close(end).await;
    }

    async fn close(self, end: TermEnd) {
        let epoch = self.book.epoch;
        self.context.log.note(DecisionEvent::OwnerResigned { epoch, cause: end.cause() });
        self.context.port.close();
        self.context.meters.owns.set(0);
        if end != TermEnd::Fenced && self.resignation.send(true).is_ok() {
            // The last beacon says so; a successor need not wait for silence.
            let mut beacons = self.beacons;
            let last = async { while beacons.recv().await.is_some() {} };
            if tokio::time::timeout(BEACON_INTERVAL, last).await.is_err() {
                log::warn!("resignation of epoch {epoch} was not confirmed");
            }
        }
    }

    fn next_wake(&self) -> Moment {
        let now = self.context.clock.now();
        let waiting = self.book.jobs.values().any(|job| job.has_waiting());
        let mut wake = now.after(if waiting { RETRY_TICK } else { IDLE });
        let deadlines = self.reports.values().map(|(_, until, _)| *until);
        let deadlines = deadlines.chain(self.watches.iter().map(|(_, _, until)| *until));
        if let Some(first) = deadlines.min() {
            wake = wake.min(first);
        }
        if self.in_flight.is_none() && !self.entries.is_empty() {
            wake = wake.min(self.appended.after(APPEND_GAP));
        }
        wake
    }

    /// Decides, stores and answers what there is; returns why the term ends.
    fn step(&mut self) -> Option<TermEnd> {
        let (now, unix) = (self.context.clock.now(), unix_ms());
        if self.deposed {
            return Some(TermEnd::Fenced);
        }
        if self.is_isolated(now) {
            return Some(TermEnd::Isolated);
        }
        if self.is_blind(now) {
            return Some(TermEnd::Blind);
        }
        let view_read = {
            let confirmed = self.context.views.borrow_and_update();
            if confirmed.view != self.book.view {
                self.book.view = confirmed.view.clone();
            }
            confirmed.confirmed
        };
        self.check_readings(now, view_read);
        for (agent, silent) in self.book.expire(now, unix) {
            self.context.log.note(DecisionEvent::AgentSilent { agent, silent });
        }
        // Without a configuration nobody knows which workers serve a queue.
        if self.book.view.config.is_some() && !self.outdated {
            self.book.place(now, unix);
        }
        self.forget(now, unix);
        self.entries.extend(self.book.take_entries());
        self.flush(now);
        self.count_pending();
        self.answer(now);
        None
    }

    /// Whether too few agents reach this owner.
    fn is_isolated(&self, now: Moment) -> bool {
        if now < self.began.after(2 * OUT_OF_REACH) {
            return false;
        }
        let known = self.book.seats.values().filter(|seat| seat.incarnation != 0);
        let (mut agents, mut reached) = (0, 0);
        for seat in known {
            agents += 1;
            reached += usize::from(now <= seat.heard.after(OUT_OF_REACH));
        }
        agents >= QUORUM_AGENTS && reached * 2 < agents
    }

    /// Releases what needs no storing and starts the next append.
    fn flush(&mut self, now: Moment) {
        while self.in_flight.is_none() && self.entries.front().is_some_and(|e| e.record.is_none()) {
            if let Some(effect) = self.entries.pop_front().and_then(|entry| entry.effect) {
                self.release(&effect);
            }
        }
        if self.in_flight.is_some() || self.entries.is_empty() {
            return;
        }
        if now < self.appended.after(APPEND_GAP) {
            return;
        }
        let (mut group, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        while bytes < APPEND_BYTES && records.len() < APPEND_RECORDS {
            let Some(entry) = self.entries.pop_front() else { break };
            if let Some((key, value)) = &entry.record {
                let value = value.clone().map(Bytes::from);
                let record = KeyedRecord { key: key.clone(), value };
                bytes += record.size();
                records.push(record);
            }
            group.push(entry);
        }
        self.appended = now;
        self.context.meters.appended_records.inc_by(records.len() as u64);
        if self.groups.send(LaneGroup { records, insists: true }).is_err() {
            log::error!("lane of the owner has ended");
        }
        self.in_flight = Some(group);
    }

    fn take_verdict(&mut self, verdict: LaneVerdict) -> Option<TermEnd> {
        match verdict {
            Ok(stored) => {
                self.confirm(stored.sent);
                let group = self.in_flight.take().unwrap_or_default();
                for effect in group.into_iter().filter_map(|entry| entry.effect) {
                    self.release(&effect);
                }
                None
            }
            Err(_) => Some(TermEnd::Fenced),
        }
    }

    fn confirm(&mut self, sent: Moment) {
        if sent > self.confirmed.after(CONFIRM_DOUBT) {
            self.confirmed_since = sent;
        }
        self.confirmed = self.confirmed.max(sent);
    }

    fn take_beacon(&mut self, verdict: LaneVerdict) -> Option<TermEnd> {
        match verdict {
            Ok(stored) => {
                self.beacon_end = self.beacon_end.max(stored.end);
                self.confirm(stored.sent);
                None
            }
            Err(LaneFault::Fenced) => Some(TermEnd::Fenced),
            Err(_) => None,
        }
    }

    fn release(&mut self, effect: &BookEffect) {
        self.book.release(effect);
        let epoch = self.book.epoch;
        match effect {
            BookEffect::Started { agent, task, run } => {
                let (task, run, agent) = (task.clone(), *run, agent.clone());
                self.context.meters.started.inc();
                self.context.log.note(DecisionEvent::TaskPlaced { task, run, agent, epoch });
            }
            BookEffect::Shown { job, state } => {
                if self.shown.insert(job.clone(), *state) != Some(*state) {
                    self.changes.push((job.clone(), *state));
                    let (job, state) = (job.clone(), *state);
                    self.context.log.note(DecisionEvent::JobShown { job, state, epoch });
                }
                if state.has_ended() {
                    self.ended.push(job.clone());
                }
            }
            BookEffect::Noted { .. } | BookEffect::Settled { .. } => {}
        }
    }

    fn take_call(&mut self, call: OwnerCall) {
        let now = self.context.clock.now();
        match call {
            OwnerCall::Report(report, reply) => self.take_report(&report, reply, now),
            OwnerCall::Watch(request, reply) => {
                let until = now.after(request.wait);
                self.watches.push((request, reply, until));
            }
            OwnerCall::Store(requests, reply) => {
                self.relay(requests, reply, now);
            }
            OwnerCall::Find(job, reply) => match self.shown.get(&job) {
                Some(state) => send(reply, FindReply::Known(*state)),
                // Only a reading sent after the call shows that there is no such job.
                None => self.finds.push((job, reply, now)),
            },
        }
    }

    fn take_report(
        &mut self,
        report: &AgentReport,
        reply: oneshot::Sender<ReportReply>,
        now: Moment,
    ) {
        if report.epoch > self.book.epoch {
            // The agent follows a later owner.
            send(reply, ReportReply::NotOwner);
            self.deposed = true;
            return;
        }
        let epoch = self.book.epoch;
        for ended in &report.ended {
            if self.book.holds(&report.agent, &ended.task, ended.run) {
                self.context.meters.ended.with_label_values(&[end_label(ended.end)]).inc();
                self.context.log.note(DecisionEvent::RunEnded {
                    task: ended.task.clone(),
                    run: ended.run,
                    agent: report.agent.clone(),
                    end: ended.end,
                    epoch,
                });
            }
        }
        let bars = self.bars(&report.agent);
        self.book.report(report, now, unix_ms());
        if self.bars(&report.agent) > bars {
            let (agent, bars) = (report.agent.clone(), self.bars(&report.agent));
            self.context.log.note(DecisionEvent::WorkerBarred { agent, bars, epoch });
        }
        let until = now.after(report.wait);
        if let Some((older, _, received)) =
            self.reports.insert(report.agent.clone(), (reply, until, now))
        {
            self.answer_report(&report.agent, older, received);
        }
    }

    fn bars(&self, agent: &AgentName) -> u32 {
        self.book.seats.get(agent).map_or(0, |seat| seat.trust.bars())
    }

    fn count_pending(&mut self) {
        let pending = self.book.pending();
        if pending != self.pending.1 {
            self.pending = (self.pending.0 + 1, pending);
        }
    }
}

/// Answers a call; the caller may have given up.
fn send<T>(reply: oneshot::Sender<T>, answer: T) {
    if reply.send(answer).is_err() {
        log::debug!("a peer gave up its call");
    }
}

fn end_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Lapsed => "lapsed",
        RunEnd::Broken => "broken",
        RunEnd::Alone => "alone",
        RunEnd::NotStarted => "not_started",
    }
}
