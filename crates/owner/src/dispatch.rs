//! Sends starts and stops, collected into one call per agent, and calls to witnesses.
//! Passes their outcomes to the scheduler.

use std::net::SocketAddr;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use cactusdoor_core::name::VmName;
use cactusdoor_peer::AgentServiceClient;
use cactusdoor_peer::heartbeat::OwnerNotice;
use cactusdoor_peer::task::{TaskStart, TaskStop};
use cactusdoor_peer::witness::WitnessRequest;
use indexmap::IndexMap;
use tarpc::client::RpcError;

use crate::peers::{CallError, TASK_CALL_TIMEOUT, call_within, short_call};
use crate::scheduler::{CallOutcome, ShardScheduler};
use crate::shard_actor::ShardActor;

/// Calls to send after the current event.
#[derive(Default)]
pub struct CallDispatch {
    starts: IndexMap<SocketAddr, Vec<TaskStart>>,
    stops: IndexMap<(VmName, SocketAddr), Vec<TaskStop>>,
}

impl CallDispatch {
    pub fn start(&mut self, _: VmName, address: SocketAddr, start: TaskStart) {
        self.starts.entry(address).or_default().push(start);
    }

    pub fn stop(&mut self, vm: VmName, address: SocketAddr, stop: TaskStop) {
        self.stops.entry((vm, address)).or_default().push(stop);
    }
}

impl ShardActor {
    pub(crate) fn send_calls(&mut self, ctx: &mut Context<Self>) {
        for (address, starts) in std::mem::take(&mut self.calls.starts) {
            self.send_starts(ctx, address, starts);
        }
        for ((vm, address), stops) in std::mem::take(&mut self.calls.stops) {
            self.send_stops(ctx, vm, address, stops);
        }
    }

    fn send_starts(
        &mut self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        mut starts: Vec<TaskStart>,
    ) {
        let at = self.core.settings.events.stamp();
        starts.iter_mut().for_each(|start| start.at = at);
        let tokens: Vec<_> = starts.iter().map(|start| start.token).collect();
        let peers = self.core.peers.clone();
        let call = async move {
            let client = peers.agent(address).await?;
            let sent = client.start(call_within(TASK_CALL_TIMEOUT), starts).await;
            peers.answer(address, sent)
        };
        ctx.spawn(call.into_actor(self).map(move |result, actor, ctx| {
            let answers = actor.outcomes(result, tokens.len());
            let now = actor.core.settings.clock.now();
            for (token, answer) in tokens.into_iter().zip(answers) {
                actor.scheduler.start_answered(now, token, answer);
            }
            actor.execute_actions(ctx);
        }));
    }

    fn send_stops(
        &mut self,
        ctx: &mut Context<Self>,
        vm: VmName,
        address: SocketAddr,
        mut stops: Vec<TaskStop>,
    ) {
        let at = self.core.settings.events.stamp();
        stops.iter_mut().for_each(|stop| stop.at = at);
        let requested = stops.clone();
        let peers = self.core.peers.clone();
        let call = async move {
            let client = peers.agent(address).await?;
            let sent = client.stop(call_within(TASK_CALL_TIMEOUT), stops).await;
            peers.answer(address, sent)
        };
        ctx.spawn(call.into_actor(self).map(move |result, actor, ctx| {
            let answers = actor.outcomes(result, requested.len());
            let now = actor.core.settings.clock.now();
            for (stop, answer) in requested.iter().zip(answers) {
                actor.scheduler.stop_answered(now, &vm, stop, answer);
            }
            actor.execute_actions(ctx);
        }));
    }

    /// One outcome per task of a batch. An answer of another length counts as lost.
    fn outcomes<T>(
        &self,
        result: Result<Vec<T>, CallError>,
        expected: usize,
    ) -> Vec<CallOutcome<T>> {
        match result {
            Ok(answers) if answers.len() == expected => {
                answers.into_iter().map(CallOutcome::Answered).collect()
            }
            other => {
                if let Err(error) = other {
                    log::debug!("could not send starts or stops; treating them as lost: {error}");
                }
                self.core.update_metrics(|metrics| metrics.lost_calls.inc());
                (0..expected).map(|_| CallOutcome::Lost).collect()
            }
        }
    }

    pub(crate) fn announce(
        &self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        notice: OwnerNotice,
    ) {
        let peers = self.core.peers.clone();
        let call = async move {
            let client = peers.agent(address).await?;
            peers.answer(address, client.announce_owner(short_call(), notice).await)
        };
        ctx.spawn(call.into_actor(self).map(|result: Result<(), CallError>, _, _| {
            if let Err(error) = result {
                log::debug!("could not announce the owner: {error}");
            }
        }));
    }

    pub(crate) fn request_attestation(
        &self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        request: WitnessRequest,
    ) {
        let requested = request.clone();
        self.call_witness(
            ctx,
            address,
            async move |client| client.vouch(short_call(), request).await,
            move |scheduler, answer| scheduler.attest_answered(&requested, answer),
        );
    }

    pub(crate) fn close_naming(
        &self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        request: WitnessRequest,
    ) {
        let requested = request.clone();
        self.call_witness(
            ctx,
            address,
            async move |client| client.close_naming(short_call(), request).await,
            move |scheduler, answer| scheduler.naming_closed(&requested, answer),
        );
    }

    /// Calls a witness and passes the outcome to the scheduler.
    fn call_witness<T: 'static>(
        &self,
        ctx: &mut Context<Self>,
        address: SocketAddr,
        call: impl AsyncFnOnce(AgentServiceClient) -> Result<T, RpcError> + 'static,
        report: impl FnOnce(&mut ShardScheduler, CallOutcome<T>) + 'static,
    ) {
        let peers = self.core.peers.clone();
        let answer = async move {
            let client = peers.agent(address).await?;
            peers.answer(address, call(client).await)
        };
        ctx.spawn(answer.into_actor(self).map(move |result, actor, _| {
            report(&mut actor.scheduler, outcome(result));
        }));
    }
}

fn outcome<T>(result: Result<T, CallError>) -> CallOutcome<T> {
    match result {
        Ok(answer) => CallOutcome::Answered(answer),
        Err(error) => {
            log::debug!("could not call a witness: {error}");
            CallOutcome::Lost
        }
    }
}
