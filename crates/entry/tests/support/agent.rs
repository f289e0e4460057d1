//! A fake agent with an upstream, whose answers can be delayed, lost or corrupted.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use cactusdoor_core::claim::{ClaimOutcome, StoredAnswer};
use cactusdoor_core::job::StartRefusal;
use cactusdoor_core::name::{DataCentre, RackName, ServiceName, VmName};
use cactusdoor_core::unit::Incarnation;
use cactusdoor_peer::AgentService;
use cactusdoor_peer::answer::{
    CallFailure, CallRefusal, ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply,
    UpstreamAnswer, UpstreamCall, UpstreamLoad,
};
use cactusdoor_peer::digest;
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, HeartbeatRefusal, HeartbeatReply, OwnerNotice, UpstreamStatus,
};
use cactusdoor_peer::roster::RosterMember;
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_peer::wire::{MAX_FRAME_BYTES, disable_nagle};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

/// How the agent handles calls and deliveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Echo,
    /// Answers after a delay in ms.
    Slow(u64),
    /// Answers with the id of another request.
    OtherRequest,
    /// Leaves out the last byte of the body.
    Partial,
    /// As `Partial`, also in the stored outcome that a fence returns.
    PartialOutcome,
    /// Changes a byte of the body.
    Corrupted,
    Refuse(CallRefusal),
    Broken,
    /// Runs a delivery and never answers.
    RunAndHang,
    /// Neither runs nor answers.
    Hang,
}

struct AgentState {
    vm: VmName,
    incarnation: Cell<Incarnation>,
    behaviour: Cell<Behaviour>,
    calls: Cell<u32>,
    /// Keys in the order in which the upstream ran them.
    runs: RefCell<Vec<String>>,
    /// Outcomes by key and offset of the claim; `None` while a delivery is in progress.
    claims: RefCell<HashMap<(String, u64), Option<ClaimOutcome>>>,
    fences: Cell<u32>,
}

#[derive(Clone)]
pub struct FakeAgent {
    pub address: SocketAddr,
    state: Rc<AgentState>,
}

impl FakeAgent {
    pub async fn open(vm: &str) -> Self {
        let state = Rc::new(AgentState {
            vm: VmName::new(vm).unwrap(),
            incarnation: Cell::new(77),
            behaviour: Cell::new(Behaviour::Echo),
            calls: Cell::new(0),
            runs: RefCell::default(),
            claims: RefCell::default(),
            fences: Cell::new(0),
        });
        let bind: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let mut incoming = tcp::listen(bind, Bincode::default).await.unwrap();
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let agent = Self { address: incoming.local_addr(), state };
        let server = agent.clone();
        actix_rt::spawn(async move {
            while let Some(Ok(transport)) = incoming.next().await {
                disable_nagle(transport.get_ref()).unwrap();
                let serve = BaseChannel::with_defaults(transport).execute(server.clone().serve());
                actix_rt::spawn(serve.for_each(|call| async {
                    actix_rt::spawn(call);
                }));
            }
        });
        agent
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.behaviour.set(behaviour);
    }

    /// Starts a new incarnation and loses all claims.
    pub fn restart(&self) {
        self.state.incarnation.set(self.state.incarnation.get() + 1);
        self.state.claims.borrow_mut().clear();
    }

    pub fn calls(&self) -> u32 {
        self.state.calls.get()
    }

    pub fn fences(&self) -> u32 {
        self.state.fences.get()
    }

    /// Claims that were delivered, refused or fenced.
    pub fn known_claims(&self) -> usize {
        self.state.claims.borrow().len()
    }

    pub fn runs(&self) -> Vec<String> {
        self.state.runs.borrow().clone()
    }

    pub fn member(&self, data_centre: &str) -> RosterMember {
        RosterMember {
            agent: AgentIdentity {
                vm: self.state.vm.clone(),
                incarnation: self.state.incarnation.get(),
                address: self.address,
                data_centre: DataCentre::new(data_centre).unwrap(),
                rack: RackName::new("rack").unwrap(),
            },
            draining: false,
            upstreams: vec![UpstreamStatus {
                service: ServiceName::new("minutes").unwrap(),
                leaving: false,
                slots: 8,
                connections: 64,
                load: UpstreamLoad::default(),
                latency_us: 1_000,
            }],
        }
    }

    /// The intact answer of the upstream.
    fn answer(&self, call: &UpstreamCall) -> UpstreamAnswer {
        let body = [b"echo:", &call.body[..]].concat();
        let (length, digest) = (body.len() as u64, digest(&body));
        let (load, body) = (UpstreamLoad::default(), Bytes::from(body));
        UpstreamAnswer { id: call.id, status: 200, length, digest, body, load }
    }

    /// The answer as sent, corrupted according to the behaviour.
    fn corrupt(&self, mut answer: UpstreamAnswer) -> UpstreamAnswer {
        let mut body = answer.body.to_vec();
        match self.state.behaviour.get() {
            Behaviour::OtherRequest => answer.id.number += 1,
            Behaviour::Partial | Behaviour::PartialOutcome => drop(body.pop()),
            Behaviour::Corrupted => body[0] ^= 1,
            _ => {}
        }
        answer.body = Bytes::from(body);
        answer
    }
}

impl AgentService for FakeAgent {
    async fn vouch(
        self,
        _: tarpc::context::Context,
        _: cactusdoor_peer::witness::WitnessRequest,
    ) -> cactusdoor_peer::witness::AttestReply {
        cactusdoor_peer::witness::AttestReply::OtherIncarnation
    }

    async fn close_naming(
        self,
        _: tarpc::context::Context,
        _: cactusdoor_peer::witness::WitnessRequest,
    ) -> cactusdoor_peer::witness::ClosingReply {
        cactusdoor_peer::witness::ClosingReply::OtherIncarnation
    }

    async fn heartbeat(
        self,
        _: Context,
        _: AgentHeartbeat,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        std::future::pending().await
    }

    async fn announce_owner(self, _: Context, _: OwnerNotice) {}

    async fn start(self, _: Context, starts: Vec<TaskStart>) -> Vec<Result<(), StartRefusal>> {
        starts.iter().map(|_| Err(StartRefusal::Draining)).collect()
    }

    async fn stop(self, _: Context, stops: Vec<TaskStop>) -> Vec<Result<StopReply, TaskRefusal>> {
        stops.iter().map(|_| Ok(StopReply::NotRunning)).collect()
    }

    async fn call(self, _: Context, call: UpstreamCall) -> Result<UpstreamAnswer, CallFailure> {
        self.state.calls.set(self.state.calls.get() + 1);
        match self.state.behaviour.get() {
            Behaviour::Refuse(refusal) => return Err(CallFailure::NotRun(refusal)),
            Behaviour::Broken => return Err(CallFailure::Broken),
            Behaviour::Hang | Behaviour::RunAndHang => std::future::pending().await,
            Behaviour::Slow(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            _ => {}
        }
        Ok(self.corrupt(self.answer(&call)))
    }

    async fn deliver(
        self,
        _: Context,
        delivery: ClaimDelivery,
    ) -> Result<UpstreamAnswer, DeliveryFailure> {
        if delivery.agent_incarnation != self.state.incarnation.get() {
            return Err(DeliveryFailure::OtherIncarnation);
        }
        let claim = (delivery.key.to_string(), delivery.claim);
        if self.state.claims.borrow().contains_key(&claim) {
            return Err(DeliveryFailure::DeliveredBefore);
        }
        match self.state.behaviour.get() {
            Behaviour::Refuse(refusal) => {
                self.state.claims.borrow_mut().insert(claim, Some(ClaimOutcome::NotRun));
                return Err(DeliveryFailure::NotRun(refusal));
            }
            Behaviour::Hang => std::future::pending().await,
            Behaviour::Slow(millis) => {
                self.state.claims.borrow_mut().insert(claim.clone(), None);
                tokio::time::sleep(Duration::from_millis(millis)).await;
            }
            _ => {}
        }
        self.state.runs.borrow_mut().push(claim.0.clone());
        let answer = self.answer(&delivery.call);
        let stored = StoredAnswer {
            status: answer.status,
            length: answer.length,
            digest: answer.digest,
            body: Some(match self.state.behaviour.get() {
                Behaviour::PartialOutcome => self.corrupt(answer.clone()).body.to_vec(),
                _ => answer.body.to_vec(),
            }),
        };
        self.state.claims.borrow_mut().insert(claim, Some(ClaimOutcome::Done(stored)));
        if self.state.behaviour.get() == Behaviour::RunAndHang {
            std::future::pending().await
        }
        Ok(self.corrupt(answer))
    }

    async fn fence(self, _: Context, fence: ClaimFence) -> FenceReply {
        self.state.fences.set(self.state.fences.get() + 1);
        if fence.agent_incarnation != self.state.incarnation.get() {
            return FenceReply::OtherIncarnation;
        }
        let claim = (fence.key.to_string(), fence.claim);
        let mut claims = self.state.claims.borrow_mut();
        match claims.entry(claim).or_insert(Some(ClaimOutcome::NotRun)) {
            Some(ClaimOutcome::NotRun) => FenceReply::Fenced,
            Some(outcome) => FenceReply::Ended(outcome.clone()),
            None => FenceReply::InProgress,
        }
    }
}
