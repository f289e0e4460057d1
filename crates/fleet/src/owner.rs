//! One term of an owner: the event loop around the queue scheduler.
//!
//! The loop passes agents' reports, entries' calls and stored requests to the scheduler, stores
//! the scheduler's writes, and decides when the term ends. A decision takes effect only after
//! its record is stored: no start order and no job state leaves the owner earlier.

mod answers;
mod appends;
mod background;
mod explaining;
mod freshness;
pub mod learning;
mod order;
mod report_queue;
mod reports;
mod requests;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_peer::queue::{BacklogReply, FindReply, StoreReply, WatchReply, WatchRequest};
use cactusdoor_platform::store::StoreClient;
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::{AgentName, JobId, QueueName};
use cactusdoor_queue::report::{JobState, LoadReport};
use cactusdoor_queue::scheduler::{PendingWrite, QueueScheduler};
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot, watch};

use self::background::{
    AppendGroup, HEARTBEAT_INTERVAL, spawn_appender, spawn_heartbeats, spawn_request_reader,
};
use self::learning::LearnedWriter;
use self::report_queue::{ReportQueue, ReportSender};
use self::requests::REMOVAL_INTERVAL;
use crate::appender::{AppenderError, StoredAppend, TopicAppender};
use crate::candidate::open_appender;
use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;
use crate::finder::OwnerHeartbeat;
use crate::follower::TopicUpdate;
use crate::metrics::OwnerMetrics;
use crate::operators::ConfirmedView;
use crate::queue_server::{CallReceiver, OwnerCall, QueueServer};
use crate::state_changes::StateChanges;
use crate::topic::REQUESTS;

/// Least time between two appends; records that arrive meanwhile share the next one.
const APPEND_GAP: Millis = 15;
/// Duration of a round from which on it is logged, ms: half of an agent's answer timeout.
const SLOW_ROUND: Millis = 400;
/// Longest sleep of the loop without an event.
const IDLE_TICK: Millis = 250;
/// Longest wait of an acknowledgement for orders that it can go with, ms.
const ACKNOWLEDGE_DELAY: Millis = 60;
/// Time without a report after which an agent is unreachable, ms.
const UNREACHABLE_AFTER: Millis = 2_500;
/// An owner that knows at least this many agents resigns when fewer than half reach it.
const QUORUM_AGENTS: usize = 3;

/// Dependencies and settings of an owner.
#[derive(Clone)]
pub struct OwnerContext {
    pub name: AgentName,
    pub address: SocketAddr,
    pub store: StoreClient,
    pub clock: MonotonicClock,
    pub log: DecisionLog,
    pub queue_server: QueueServer,
    pub views: watch::Receiver<ConfirmedView>,
    pub metrics: OwnerMetrics,
    /// Longest lease that the workers accept.
    pub lease_limit: Millis,
    pub bounds: OwnerBounds,
    pub features: SchedulingFeatures,
}

/// Times, ms, within which a cancel or the removal of a data centre from service takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerBounds {
    /// Time after which no task of a cancelled job starts.
    pub cancel: Millis,
    /// Time after which no task starts in a data centre that was taken out.
    pub take_out: Millis,
}

/// Why a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TermEnd {
    /// A higher epoch has appended, or an agent has reported one.
    Fenced,
    /// Fewer than half of the known agents reach this owner.
    Isolated,
    /// Appends are confirmed, but reads of the requests fail.
    ReadsFailed,
    Stopped,
}

impl TermEnd {
    fn cause(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Isolated => "isolated",
            Self::ReadsFailed => "blind",
            Self::Stopped => "stopped",
        }
    }
}

type AppendResult = Result<StoredAppend, AppenderError>;
/// Request, reply channel and latest time of the answer.
type WaitingWatch = (WatchRequest, WatchSender, Moment);

/// Where the answer to a watch goes.
enum WatchSender {
    Plain(oneshot::Sender<WatchReply>),
    Backlog(oneshot::Sender<BacklogReply>),
}

/// Event loop of one term.
pub struct OwnerTerm {
    context: OwnerContext,
    scheduler: QueueScheduler,
    calls: CallReceiver,
    requests: mpsc::UnboundedReceiver<TopicUpdate>,
    groups: mpsc::UnboundedSender<AppendGroup>,
    results: mpsc::UnboundedReceiver<AppendResult>,
    heartbeats: mpsc::UnboundedReceiver<AppendResult>,
    /// Offset after the newest confirmed heartbeat.
    heartbeat_end: Offset,
    /// When the newest answered read of the requests was sent.
    requests_read: Moment,
    /// Whether no task may start, as the requests or the operators' records were last
    /// read too long ago.
    outdated: bool,
    /// Appends to the requests; `relayed` holds the reply channel of each, in order.
    request_groups: mpsc::UnboundedSender<AppendGroup>,
    request_results: mpsc::UnboundedReceiver<AppendResult>,
    relayed: VecDeque<Option<oneshot::Sender<StoreReply>>>,
    /// Whether the operators' records may have changed since they were last adopted.
    view_changed: bool,
    resignation: watch::Sender<bool>,
    writes: VecDeque<PendingWrite>,
    /// Writes of the append that is under way.
    in_flight: Option<Vec<PendingWrite>>,
    /// When the newest append was sent.
    appended: Moment,
    /// When the newest confirmed append was sent.
    confirmed: Moment,
    /// Since when appends have been confirmed without a long gap.
    confirmed_since: Moment,
    began: Moment,
    reports: ReportQueue,
    watches: Vec<WaitingWatch>,
    /// When watches were last answered with changes.
    watches_answered: Moment,
    finds: Vec<(JobId, oneshot::Sender<FindReply>, Moment)>,
    /// Published job states of this term.
    changes: StateChanges,
    published: IndexMap<JobId, JobState>,
    /// Number of the newest pending counts, and the pending jobs of each queue.
    pending: (u64, IndexMap<QueueName, u64>),
    /// Ended jobs whose requests are still stored.
    ended: Vec<JobId>,
    removal_at: Moment,
    /// Whether an agent has reported a higher epoch: another owner has been elected.
    superseded: bool,
    /// `None` unless learned state is stored.
    learned: Option<LearnedWriter>,
    /// When the age of the loads was last recorded.
    load_age_recorded: Moment,
    /// When each agent was last sent the interference estimates.
    estimates_sent: IndexMap<AgentName, Moment>,
}

impl OwnerTerm {
    #[must_use]
    pub fn open(
        context: OwnerContext,
        scheduler: QueueScheduler,
        (requests_end, requests_read): (Offset, Moment),
        confirmed: Moment,
        (task_appender, heartbeat_appender, heartbeat): (
            TopicAppender,
            TopicAppender,
            OwnerHeartbeat,
        ),
    ) -> Self {
        let (groups, results) = spawn_appender(task_appender);
        let (resignation, resigned) = watch::channel(false);
        let heartbeats = spawn_heartbeats(heartbeat_appender, heartbeat, resigned);
        let requests = spawn_request_reader(&context, requests_end);
        let (request_groups, request_results) =
            spawn_appender(open_appender(&context.store, context.clock, REQUESTS, scheduler.epoch));
        let now = context.clock.now();
        context.metrics.owns.set(1);
        let learned = context
            .features
            .learned_state
            .then(|| LearnedWriter::spawn(&context.store, context.clock, scheduler.epoch));
        Self {
            calls: context.queue_server.open(),
            scheduler,
            requests,
            groups,
            results,
            heartbeats,
            heartbeat_end: 0,
            requests_read,
            outdated: false,
            request_groups,
            request_results,
            relayed: VecDeque::new(),
            view_changed: true,
            resignation,
            writes: VecDeque::new(),
            in_flight: None,
            appended: now,
            confirmed,
            confirmed_since: confirmed,
            began: now,
            reports: ReportQueue::default(),
            watches: Vec::new(),
            watches_answered: now,
            finds: Vec::new(),
            changes: StateChanges::default(),
            published: IndexMap::new(),
            pending: (1, IndexMap::new()),
            ended: Vec::new(),
            removal_at: now.after(REMOVAL_INTERVAL),
            superseded: false,
            learned,
            load_age_recorded: now,
            estimates_sent: IndexMap::new(),
            context,
        }
    }

    /// Runs until another owner is elected or this one resigns.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let (mut began, mut waiting) = (self.context.clock.now(), 0);
        let end = loop {
            if let Some(end) = self.step() {
                break end;
            }
            let wake = self.context.clock.instant(self.next_wake());
            self.record_round(began, waiting);
            tokio::select! {
                call = self.calls.recv() => if let Some(call) = call { self.handle_call(call) },
                Some(update) = self.requests.recv() => self.apply_requests(update),
                Some(result) = self.results.recv() => {
                    if let Some(end) = self.handle_append_result(result) { break end }
                }
                Some(result) = self.heartbeats.recv() => {
                    if let Some(end) = self.handle_heartbeat_result(result) { break end }
                }
                Some(result) = self.request_results.recv() => self.handle_request_result(result),
                _ = self.context.views.changed() => self.view_changed = true,
                _ = stopping.changed() => if *stopping.borrow() { break TermEnd::Stopped },
                () = tokio::time::sleep_until(wake.into()) => {}
            }
            (began, waiting) = (self.context.clock.now(), self.calls.len());
            while let Ok(call) = self.calls.try_recv() {
                self.handle_call(call);
            }
        };
        self.close(end).await;
    }

    /// Records the duration of a round and the number of calls that had waited for it.
    fn record_round(&self, began: Moment, calls: usize) {
        let round = self.context.clock.now().since(began);
        let metrics = &self.context.metrics;
        metrics.rounds.observe(Duration::from_millis(round).as_secs_f64());
        metrics.waiting_calls.set(i64::try_from(calls).unwrap_or(i64::MAX));
        if round >= SLOW_ROUND {
            let epoch = self.scheduler.epoch;
            self.context.log.record(DecisionEvent::OwnerSlow { epoch, round, calls });
        }
    }

    async fn close(self, end: TermEnd) {
        let epoch = self.scheduler.epoch;
        self.context.log.record(DecisionEvent::OwnerResigned { epoch, cause: end.cause() });
        self.context.queue_server.close();
        self.context.metrics.owns.set(0);
        self.context.metrics.ranked_steps.reset();
        self.context.metrics.backlog.reset();
        if end != TermEnd::Fenced && self.resignation.send(true).is_ok() {
            // The last heartbeat announces the resignation: a successor need not wait
            // for the heartbeat timeout.
            let mut heartbeats = self.heartbeats;
            let last = async { while heartbeats.recv().await.is_some() {} };
            if tokio::time::timeout(HEARTBEAT_INTERVAL, last).await.is_err() {
                log::warn!("resignation of epoch {epoch} was not confirmed by the store");
            }
        }
    }

    fn next_wake(&self) -> Moment {
        let now = self.context.clock.now();
        let append_at = self.in_flight.is_none().then(|| self.appended.after(APPEND_GAP));
        let placing = self.scheduler.next_wake(now, unix_ms()).filter(|_| self.may_place());
        let placing = append_at.and_then(|at| placing.map(|next| next.max(at)));
        let flush = append_at.filter(|_| !self.writes.is_empty());
        let events = [placing, flush, self.reports.next_due(), self.next_watch()];
        events.into_iter().flatten().fold(now.after(IDLE_TICK), Moment::min)
    }

    /// Whether tasks may be placed. Only the configuration says which workers serve a queue.
    fn may_place(&self) -> bool {
        self.scheduler.view().config.is_some() && !self.outdated
    }

    /// Whether the next append may be sent.
    fn may_append(&self, now: Moment) -> bool {
        self.in_flight.is_none() && now >= self.appended.after(APPEND_GAP)
    }

    /// Places tasks, starts the next append and answers calls; returns why the term ends.
    fn step(&mut self) -> Option<TermEnd> {
        let (now, unix) = (self.context.clock.now(), unix_ms());
        if self.superseded {
            return Some(TermEnd::Fenced);
        }
        if self.is_isolated(now) {
            return Some(TermEnd::Isolated);
        }
        if self.reads_failed(now) {
            return Some(TermEnd::ReadsFailed);
        }
        let view_read = self.read_view();
        self.check_freshness(now, view_read);
        for (agent, silent) in self.scheduler.expire(now, unix) {
            self.context.log.record(DecisionEvent::AgentSilent { agent, silent });
        }
        self.record_observations(&[]);
        self.record_load_age(now);
        self.remove_ended(now, unix);
        // A placement leaves with the next append; until then, more room may be reported.
        if self.may_place() && self.may_append(now) {
            // A placement is released only once it is stored, a stop at once.
            if self.is_confirmed(now) {
                self.scheduler.balance(now, unix);
                if let Some(counts) = self.scheduler.take_rank_counts(now) {
                    self.record_order(counts);
                }
            }
            self.scheduler.place(now, unix);
        }
        self.writes.extend(self.scheduler.take_writes());
        self.flush(now);
        if let Some(learned) = &mut self.learned {
            learned.update(&self.scheduler.interference, now, unix);
        }
        self.count_pending();
        self.answer(now);
        None
    }

    /// Adopts the operators' records; returns when they were read.
    fn read_view(&mut self) -> Moment {
        let changed = std::mem::take(&mut self.view_changed);
        let confirmed = self.context.views.borrow();
        if changed && confirmed.view != *self.scheduler.view() {
            self.scheduler.set_view(confirmed.view.clone());
        }
        confirmed.confirmed
    }

    /// Whether fewer than half of the known agents reach this owner.
    fn is_isolated(&self, now: Moment) -> bool {
        if now < self.began.after(2 * UNREACHABLE_AFTER) {
            return false;
        }
        let (reached, agents) = self.scheduler.reached_agents(UNREACHABLE_AFTER, now);
        agents >= QUORUM_AGENTS && reached * 2 < agents
    }

    fn handle_call(&mut self, call: OwnerCall) {
        let now = self.context.clock.now();
        match call {
            OwnerCall::Report(report, reply) => {
                let report = LoadReport { report: *report, load: None };
                self.handle_report(&report, ReportSender::Plain(reply), now);
            }
            OwnerCall::LoadReport(report, reply) => {
                self.handle_report(&report, ReportSender::Ordered(reply), now);
            }
            OwnerCall::Watch(request, reply) => {
                let until = now.after(request.wait);
                self.watches.push((request, WatchSender::Plain(reply), until));
            }
            OwnerCall::WatchBacklog(request, reply) => {
                let until = now.after(request.wait);
                self.watches.push((request, WatchSender::Backlog(reply), until));
            }
            OwnerCall::Store(requests, reply) => {
                self.relay(requests, reply, now);
            }
            OwnerCall::Explain(request, reply) => send(reply, self.explain(&request, now)),
            OwnerCall::Append(append, reply) => self.repeat_append(append, reply, now),
            OwnerCall::Find(job, reply) => match self.published.get(&job) {
                Some(state) => send(reply, FindReply::Known(*state)),
                // Only a read sent after the call shows that there is no such job.
                None => self.finds.push((job, reply, now)),
            },
        }
    }

    fn count_pending(&mut self) {
        if *self.scheduler.pending() != self.pending.1 {
            self.pending = (self.pending.0 + 1, self.scheduler.pending().clone());
        }
    }
}

/// Answers a call, unless the peer has closed it.
fn send<T>(reply: oneshot::Sender<T>, answer: T) {
    if reply.send(answer).is_err() {
        log::debug!("a peer closed its call before the answer");
    }
}
