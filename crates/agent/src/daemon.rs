//! Starts and stops the parts of an agent process: actors, RPC service and HTTP servers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix::Addr;
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer};
use anyhow::Context as _;
use cactusdoor_core::envelope::WriterId;
use cactusdoor_log::client::LogClient;
use cactusdoor_node::agent::AgentSettings;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::monitor::ProcessMonitor;
use cactusdoor_node::process::draw_incarnation;
use cactusdoor_owner::{HostSettings, OwnerHost, ReleaseShards};
use cactusdoor_peer::heartbeat::AgentIdentity;
use cactusdoor_timeline::{EventKind, EventLog};
use cactusdoor_upstream::UpstreamRegistry;
use cactusdoor_worker::WorkerClient;

use crate::claims::ClaimLimits;
use crate::metrics::AgentMetrics;
use crate::ownership::OwnershipRecipients;
use crate::relay::{DrainRequests, RelaySettings, RequestRelay};
use crate::routes;
use crate::service::AgentServer;
use crate::task_actor::{DrainTasks, TaskActor, TaskActorSettings};
use cactusdoor_owner::witness::AttestationRecords;

/// Wait before the servers stop, so that the last answers reach their callers.
const CLOSE_DELAY: Duration = Duration::from_millis(100);

/// A running agent.
pub struct AgentDaemon {
    pub identity: AgentIdentity,
    /// Address of the operator routes.
    pub operator_address: SocketAddr,
    /// Address at which upstreams announce themselves.
    pub upstream_address: SocketAddr,
    monitor: ProcessMonitor,
    task_actor: Addr<TaskActor>,
    relay: Addr<RequestRelay>,
    ownership: OwnershipRecipients,
    servers: Vec<ServerHandle>,
    stop_limit: Duration,
}

impl AgentDaemon {
    /// Starts all parts on the current actix system.
    pub async fn spawn(settings: AgentSettings) -> anyhow::Result<Self> {
        let AgentSettings { process, shards, limits, .. } = settings;
        let clock = MonotonicClock::open();
        let events = EventLog::open(process.name.clone());
        let monitor = ProcessMonitor::open(events.clone());
        let metrics =
            AgentMetrics::open(&monitor.registry).context("could not register metrics")?;
        let service = AgentServer::bind(process.peer_address)
            .await
            .with_context(|| format!("could not listen at {}", process.peer_address))?;
        let identity = AgentIdentity {
            vm: process.vm,
            incarnation: draw_incarnation(),
            address: service.address,
            data_centre: process.data_centre.clone(),
            rack: process.rack,
        };
        let upstreams = UpstreamRegistry::open(identity.vm.clone(), clock, events.clone());
        let relay = RequestRelay::spawn(RelaySettings {
            incarnation: identity.incarnation,
            clock,
            upstreams: upstreams.clone(),
            limits: ClaimLimits {
                claims: limits.remembered_claims,
                answer_bytes: limits.stored_answer_bytes,
            },
            metrics: metrics.clone(),
        });
        let host = OwnerHost::spawn(HostSettings {
            identity: identity.clone(),
            writer: WriterId { process: process.name, incarnation: identity.incarnation },
            shards: shards.all,
            own_shard: shards.own.clone(),
            entries: settings.entries,
            log: LogClient::open(settings.log_address),
            clock,
            events: events.clone(),
            registry: monitor.registry.clone(),
        });
        let ownership = OwnershipRecipients::of(&host);
        let task_actor = TaskActor::spawn(TaskActorSettings {
            identity: identity.clone(),
            shard: shards.own,
            clock,
            monitor: monitor.clone(),
            worker: WorkerClient::open(settings.worker_address),
            worker_poll: limits.worker_poll,
            ownership: ownership.clone(),
            upstreams: relay.clone().recipient(),
            metrics,
        });
        let (operator_address, operator) =
            serve_operators(process.operator_address, &monitor, &task_actor)?;
        let (upstream_address, announcements) =
            serve_upstreams(settings.upstream_address, &upstreams)?;
        events.record(EventKind::ProcessStarted { data_centre: process.data_centre });
        service.spawn(AgentServer {
            task_actor: task_actor.clone(),
            relay: relay.clone(),
            host: ownership.heartbeat.clone(),
            events,
            witness: Arc::new(Mutex::new(AttestationRecords::new(identity.incarnation))),
        });
        log::info!(incarnation = identity.incarnation; "agent listens at {}", identity.address);
        Ok(Self {
            identity,
            operator_address,
            upstream_address,
            monitor,
            task_actor,
            relay,
            ownership,
            servers: vec![operator, announcements],
            stop_limit: Duration::from_millis(limits.stop),
        })
    }

    /// Stops gracefully: refuses new work, completes requests in progress, checkpoints and
    /// stops tasks, and releases the shards that this process owns.
    pub async fn stop(self) {
        self.monitor.set_ready(false);
        self.monitor.events.record(EventKind::ProcessStopping);
        let drain = async {
            let requests = self.relay.send(DrainRequests);
            let tasks = self.task_actor.send(DrainTasks);
            let (requests, tasks) = tokio::join!(requests, tasks);
            if requests.is_err() || tasks.is_err() {
                log::error!("an actor stopped before it was drained");
            }
            if self.ownership.release.send(ReleaseShards).await.is_err() {
                log::error!("owner host stopped before it released its shards");
            }
        };
        if tokio::time::timeout(self.stop_limit, drain).await.is_err() {
            log::error!("graceful stop exceeded its time limit; stopping the servers");
        }
        tokio::time::sleep(CLOSE_DELAY).await;
        for server in self.servers {
            server.stop(true).await;
        }
    }
}

fn serve_operators(
    address: SocketAddr,
    monitor: &ProcessMonitor,
    task_actor: &Addr<TaskActor>,
) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    let (monitor, task_actor) = (monitor.clone(), task_actor.clone());
    let server = HttpServer::new(move || {
        let (monitor, task_actor) = (monitor.clone(), task_actor.clone());
        App::new()
            .configure(|config| monitor.configure(config))
            .configure(|config| routes::configure(config, task_actor))
    });
    let server = server.workers(1).disable_signals().shutdown_timeout(1);
    let server = server.bind(address).with_context(|| format!("could not listen at {address}"))?;
    Ok(spawn_server(address, server.addrs(), server.run()))
}

fn serve_upstreams(
    address: SocketAddr,
    upstreams: &UpstreamRegistry,
) -> anyhow::Result<(SocketAddr, ServerHandle)> {
    let upstreams = upstreams.clone();
    let server = HttpServer::new(move || {
        let upstreams = upstreams.clone();
        App::new().configure(|config| upstreams.configure(config))
    });
    let server = server.workers(1).disable_signals().shutdown_timeout(1);
    let server = server.bind(address).with_context(|| format!("could not listen at {address}"))?;
    Ok(spawn_server(address, server.addrs(), server.run()))
}

fn spawn_server(
    requested: SocketAddr,
    bound: Vec<SocketAddr>,
    server: actix_web::dev::Server,
) -> (SocketAddr, ServerHandle) {
    let handle = server.handle();
    actix_rt::spawn(server);
    (bound.first().copied().unwrap_or(requested), handle)
}
