//! An owner that answers heartbeats as a test tells it to.

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

/// What the owner knows and does.
pub struct OwnerState {
    /// Where heartbeats go; `None` while no owner is found.
    pub address: Option<SocketAddr>,
    pub epoch: Epoch,
    pub lease: Millis,
    pub silent: bool,
    /// Whether searches are never answered.
    pub search_hangs: bool,
    /// Whether it records the ends that it hears of.
    pub records: bool,
    pub beats: Vec<AgentHeartbeat>,
    pub ends: Vec<(Token, PlacementEnd)>,
    pub finds: Vec<Millis>,
    pub handed_back: bool,
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
            beats: Vec::new(),
            ends: Vec::new(),
            finds: Vec::new(),
            handed_back: false,
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
        HostHeartbeat(beat): HostHeartbeat,
        _: &mut Context<Self>,
    ) -> Self::Result {
        let mut state = self.0.borrow_mut();
        if state.silent {
            return Box::pin(std::future::pending());
        }
        let mut reply = super::reply(state.epoch, state.lease, Some(0));
        for task in &beat.ended {
            if !state.ends.iter().any(|(token, _)| *token == task.token) {
                state.ends.push((task.token, task.end.clone()));
            }
        }
        if state.records {
            reply.recorded = beat.ended.iter().map(|task| task.token).collect();
        }
        state.beats.push(beat);
        Box::pin(async move { Ok(reply) })
    }
}

impl Handler<FindOwner> for FakeOwner {
    type Result = actix::ResponseFuture<Result<ShardOwnership, FindError>>;

    fn handle(&mut self, ask: FindOwner, _: &mut Context<Self>) -> Self::Result {
        let mut state = self.0.borrow_mut();
        state.finds.push(ask.silent_for);
        if state.search_hangs {
            return Box::pin(std::future::pending());
        }
        let epoch = state.epoch;
        let found = state.address.map(|address| ShardOwnership {
            epoch,
            owner: "vm".parse().unwrap(),
            address,
        });
        Box::pin(async move { found.ok_or(FindError::NoOwner(ask.shard)) })
    }
}

impl Handler<SilentShards> for FakeOwner {
    type Result = ();

    fn handle(&mut self, _: SilentShards, _: &mut Context<Self>) {}
}

impl Handler<ReleaseShards> for FakeOwner {
    type Result = MessageResult<ReleaseShards>;

    fn handle(&mut self, _: ReleaseShards, _: &mut Context<Self>) -> Self::Result {
        self.0.borrow_mut().handed_back = true;
        MessageResult(())
    }
}
