//! A fake owner whose answers a test controls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{Actor, Addr, Context, Handler, MessageResult};
use cactusdoor_core::constants::TASK_LEASE;
use cactusdoor_core::job::PlacementEnd;
use cactusdoor_core::shard::ShardOwnership;
use cactusdoor_core::unit::{Epoch, Millis, Token};
use cactusdoor_owner::{FindError, FindOwner, HostHeartbeat, ReleaseShards, SilentShards};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply};

/// Settings of the fake owner and the messages it has received.
pub struct OwnerState {
    /// Address that searches return; `None` if no owner is found.
    pub address: Option<SocketAddr>,
    pub epoch: Epoch,
    pub lease: Millis,
    /// Whether heartbeats are never answered.
    pub silent: bool,
    /// Whether searches are never answered.
    pub search_hangs: bool,
    /// Whether replies list the reported ends as recorded.
    pub records: bool,
    pub heartbeats: Vec<AgentHeartbeat>,
    pub ends: Vec<(Token, PlacementEnd)>,
    pub searches: Vec<Millis>,
    pub released: bool,
}

pub struct FakeOwner(pub Rc<RefCell<OwnerState>>);

impl FakeOwner {
    pub fn spawn(address: SocketAddr) -> (Addr<Self>, Rc<RefCell<OwnerState>>) {
        let state = Rc::new(RefCell::new(OwnerState {
            address: Some(address),
            epoch: 1,
            lease: TASK_LEASE,
            silent: false,
            search_hangs: false,
            records: true,
            heartbeats: Vec::new(),
            ends: Vec::new(),
            searches: Vec::new(),
            released: false,
        }));
        (Self(Rc::clone(&state)).start(), state)
    }
}

impl Actor for FakeOwner {
    type Context = Context<Self>;
}

impl Handler<HostHeartbeat> for FakeOwner {
    type Result = actix::ResponseFuture<Result<HeartbeatReply, HeartbeatRefusal>>;

    fn handle(
        &mut self,
        HostHeartbeat(heartbeat): HostHeartbeat,
        _: &mut Context<Self>,
    ) -> Self::Result {
        let mut state = self.0.borrow_mut();
        if state.silent {
            return Box::pin(std::future::pending());
        }
        let mut reply = super::reply(state.epoch, state.lease, Some(0));
        for task in &heartbeat.ended {
            if !state.ends.iter().any(|(token, _)| *token == task.token) {
                state.ends.push((task.token, task.end.clone()));
            }
        }
        if state.records {
            reply.recorded = heartbeat.ended.iter().map(|task| task.token).collect();
        }
        state.heartbeats.push(heartbeat);
        Box::pin(async move { Ok(reply) })
    }
}

impl Handler<FindOwner> for FakeOwner {
    type Result = actix::ResponseFuture<Result<ShardOwnership, FindError>>;

    fn handle(&mut self, request: FindOwner, _: &mut Context<Self>) -> Self::Result {
        let mut state = self.0.borrow_mut();
        state.searches.push(request.silent_for);
        if state.search_hangs {
            return Box::pin(std::future::pending());
        }
        let epoch = state.epoch;
        let found = state.address.map(|address| ShardOwnership {
            epoch,
            owner: "vm".parse().unwrap(),
            address,
        });
        Box::pin(async move { found.ok_or(FindError::NoOwner(request.shard)) })
    }
}

impl Handler<SilentShards> for FakeOwner {
    type Result = ();

    fn handle(&mut self, _: SilentShards, _: &mut Context<Self>) {}
}

impl Handler<ReleaseShards> for FakeOwner {
    type Result = MessageResult<ReleaseShards>;

    fn handle(&mut self, _: ReleaseShards, _: &mut Context<Self>) -> Self::Result {
        self.0.borrow_mut().released = true;
        MessageResult(())
    }
}
