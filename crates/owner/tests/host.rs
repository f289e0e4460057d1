//! Hosts of several processes with a log service, over real connections.

#[path = "support/log_service.rs"]
mod log_service;

use std::net::SocketAddr;
use std::time::Duration;

use actix::Addr;
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::{JobClass, JobId, JobSpec, PlacementEnd, StartRefusal};
use cactusdoor_core::name::ShardName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardOwnership, TaskRecord};
use cactusdoor_log::client::LogClient;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_owner::{FindOwner, HostHeartbeat, HostSettings, OwnerHost, ReleaseShards};
use cactusdoor_peer::AgentService;
use cactusdoor_peer::answer::{
    CallFailure, CallRefusal, ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply,
    UpstreamAnswer, UpstreamCall,
};
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, EndedTask, HeartbeatRefusal, HeartbeatReply, OwnerNotice,
};
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_timeline::EventLog;
use futures::StreamExt;
use log_service::LogService;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Longest wait for any step; far above the usual time.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct FakeAgent {
    host: Addr<OwnerHost>,
    starts: mpsc::UnboundedSender<TaskStart>,
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
        heartbeat: AgentHeartbeat,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        self.host.send(HostHeartbeat(heartbeat)).await.unwrap()
    }

    async fn announce_owner(self, _: Context, _: OwnerNotice) {}

    async fn start(self, _: Context, starts: Vec<TaskStart>) -> Vec<Result<(), StartRefusal>> {
        starts
            .into_iter()
            .map(|start| self.starts.send(start).map_err(|_| StartRefusal::Draining))
            .collect()
    }

    async fn stop(self, _: Context, stops: Vec<TaskStop>) -> Vec<Result<StopReply, TaskRefusal>> {
        stops.iter().map(|_| Ok(StopReply::NotRunning)).collect()
    }

    async fn call(self, _: Context, _: UpstreamCall) -> Result<UpstreamAnswer, CallFailure> {
        Err(CallFailure::NotRun(CallRefusal::NoUpstream))
    }

    async fn deliver(
        self,
        _: Context,
        _: ClaimDelivery,
    ) -> Result<UpstreamAnswer, DeliveryFailure> {
        Err(DeliveryFailure::NotRun(CallRefusal::NoUpstream))
    }

    async fn fence(self, _: Context, _: ClaimFence) -> FenceReply {
        FenceReply::Fenced
    }
}

struct Process {
    host: Addr<OwnerHost>,
    identity: AgentIdentity,
    starts: mpsc::UnboundedReceiver<TaskStart>,
    serving: actix_rt::task::JoinHandle<()>,
    heartbeats: u64,
    epoch: u64,
}

impl Process {
    async fn spawn(name: &str, log: SocketAddr) -> Self {
        let mut listener =
            tarpc::serde_transport::tcp::listen("127.0.0.1:0", Bincode::default).await.unwrap();
        let identity = AgentIdentity {
            vm: name.parse().unwrap(),
            incarnation: rand::random::<u64>().max(1),
            address: listener.local_addr(),
            data_centre: "north".parse().unwrap(),
            rack: "rack".parse().unwrap(),
        };
        let process = name.parse().unwrap();
        let host = OwnerHost::spawn(HostSettings {
            identity: identity.clone(),
            writer: WriterId { process, incarnation: identity.incarnation },
            shards: vec![shard()],
            own_shard: shard(),
            entries: Vec::new(),
            log: LogClient::open(log),
            clock: MonotonicClock::open(),
            events: EventLog::open(name.parse().unwrap()),
            registry: prometheus::Registry::new(),
        });
        let (sender, starts) = mpsc::unbounded_channel();
        let agent = FakeAgent { host: host.clone(), starts: sender };
        let serving = actix_rt::spawn(async move {
            // Connections end with the process, as when it is killed.
            let mut connections = tokio::task::JoinSet::new();
            while let Some(Ok(transport)) = listener.next().await {
                let requests = BaseChannel::with_defaults(transport).execute(agent.clone().serve());
                connections.spawn_local(requests.for_each_concurrent(None, |answer| answer));
            }
        });
        Self { host, identity, starts, serving, heartbeats: 0, epoch: 0 }
    }

    async fn find(&self, silent_for: u64) -> ShardOwnership {
        let request = FindOwner { shard: shard(), silent_for };
        timeout(WAIT_LIMIT, self.host.send(request)).await.unwrap().unwrap().unwrap()
    }

    fn next_heartbeat(&mut self, ended: Vec<EndedTask>) -> AgentHeartbeat {
        self.heartbeats += 1;
        AgentHeartbeat {
            at: cactusdoor_timeline::HybridTime { wall_ms: self.heartbeats, counter: 0 },
            agent: self.identity.clone(),
            shard: shard(),
            epoch: self.epoch,
            number: self.heartbeats,
            config_revision: 0,
            lease_left_ms: 0,
            capacity: ResourceVector::new(4_000, 4_096, 0),
            committed: ResourceVector::ZERO,
            draining: false,
            held: Vec::new(),
            ended,
            usage: Vec::new(),
            upstreams: Vec::new(),
        }
    }

    async fn send_heartbeat(
        &mut self,
        owner: &Addr<OwnerHost>,
        ended: Vec<EndedTask>,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        let heartbeat = self.next_heartbeat(ended);
        let reply = owner.send(HostHeartbeat(heartbeat)).await.unwrap();
        if let Ok(reply) = &reply {
            self.epoch = reply.epoch;
        }
        reply
    }

    /// Stops serving without releasing anything.
    fn kill(self) {
        self.serving.abort();
    }
}

fn shard() -> ShardName {
    ShardName::new("north-0").unwrap()
}

async fn append(log: &LogClient, stream: &str, sequence: u64, body: impl serde::Serialize) {
    let writer = WriterId { process: "entry".parse().unwrap(), incarnation: 3 };
    let text = LogEnvelope { writer, sequence, body }.encode().unwrap();
    log.append(&stream.parse().unwrap(), &[text]).await.unwrap();
}

async fn publish_plan(log: &LogClient) {
    use cactusdoor_core::config::{AllowanceSpec, ConfigRecord, ItemChange, ItemValue};
    let batch = ResourceVector::new(100_000, 100_000, 0);
    let allowance = AllowanceSpec { batch, requests_per_second: 1 };
    let value = ItemValue::Allowance("gold".parse().unwrap(), Some(allowance));
    let change = ConfigRecord::Changed { items: vec![ItemChange { premise: 0, value }] };
    append(log, "config", 1, change).await;
}

fn job() -> JobSpec {
    JobSpec {
        id: JobId { plan: "gold".parse().unwrap(), key: "a".parse().unwrap() },
        kind: "transcription".parse().unwrap(),
        class: JobClass::Batch,
        tasks: 1,
        need: ResourceVector::new(1_000, 1_024, 0),
        run_time_ms: 1_000,
        urgent: true,
        deadline_unix_ms: None,
        checkpoints: false,
    }
}

/// Guards against a host that claims a shard, but whose placements never reach the agent
/// or whose recorded ends never reach the log.
#[actix_rt::test]
async fn an_owner_places_and_records_tasks_over_real_connections() {
    let (service, address) = LogService::spawn();
    let log = LogClient::open(address);
    publish_plan(&log).await;
    let mut process = Process::spawn("vm-1", address).await;
    let host = process.host.clone();
    let ownership = process.find(0).await;
    assert_eq!((ownership.epoch, ownership.owner.as_str()), (1, "vm-1"));
    append(&log, "tasks-north-0", 1, TaskRecord::JobSubmitted(job())).await;
    let start = timeout(WAIT_LIMIT, async {
        loop {
            process.send_heartbeat(&host, Vec::new()).await.unwrap();
            if let Ok(Some(start)) =
                timeout(Duration::from_millis(200), process.starts.recv()).await
            {
                return start;
            }
        }
    })
    .await
    .unwrap();
    let ended = EndedTask {
        token: start.token,
        task: start.task.clone(),
        end: PlacementEnd::Finished { digest: 4 },
    };
    timeout(WAIT_LIMIT, async {
        loop {
            let reply = process.send_heartbeat(&host, vec![ended.clone()]).await.unwrap();
            if reply.recorded.contains(&start.token) {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .unwrap();
    timeout(WAIT_LIMIT, async {
        while service.records("tasks-north-0.snapshot").is_empty() {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .expect("a snapshot is published");
    let records = service.records("tasks-north-0");
    assert_eq!(records.iter().filter(|record| record.contains("task_ended")).count(), 1);
}

/// Guards against agents that still use an owner that has stopped, and against two owners after
/// a simultaneous claim.
#[actix_rt::test]
async fn agents_agree_on_the_next_owner() {
    let (_service, address) = LogService::spawn();
    let first = Process::spawn("vm-1", address).await;
    let second = Process::spawn("vm-2", address).await;
    let third = Process::spawn("vm-3", address).await;
    assert_eq!(first.find(0).await.owner.as_str(), "vm-1");
    assert_eq!(
        second.find(5_000).await.owner.as_str(),
        "vm-1",
        "an owner that answers is not replaced"
    );
    let first_host = first.host.clone();
    first.kill();
    let (a, b) = futures::join!(second.find(5_000), third.find(5_000));
    assert_eq!(a.epoch, 2);
    let again = third.find(5_000).await;
    assert_eq!(again, a);
    assert!(b.epoch <= 2);
    // The first host is still running, and reads that it was replaced.
    let mut probe = second;
    timeout(WAIT_LIMIT, async {
        loop {
            if probe.send_heartbeat(&first_host, Vec::new()).await.is_err() {
                return;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .unwrap();
}

/// Guards against a shard that keeps answering after it was released.
#[actix_rt::test]
async fn a_host_that_released_its_shards_owns_nothing() {
    let (_service, address) = LogService::spawn();
    let mut process = Process::spawn("vm-1", address).await;
    let host = process.host.clone();
    process.find(0).await;
    process.send_heartbeat(&host, Vec::new()).await.unwrap();
    timeout(WAIT_LIMIT, host.send(ReleaseShards)).await.unwrap().unwrap();
    assert!(process.send_heartbeat(&host, Vec::new()).await.is_err());
    let other = Process::spawn("vm-2", address).await;
    assert_eq!(other.find(5_000).await.owner.as_str(), "vm-2");
}
