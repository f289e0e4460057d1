//! Builds, starts and stops the actors and servers of an entry.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix::prelude::*;
use actix_web::dev::ServerHandle;
use actix_web::{App, HttpServer};
use anyhow::Context as _;
use cactusdoor_core::claim::ClaimFold;
use cactusdoor_core::config::ConfigFold;
use cactusdoor_core::constants::CLAIM_STREAMS;
use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::rendezvous::stream;
use cactusdoor_log::client::LogClient;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::monitor::ProcessMonitor;
use cactusdoor_node::process::draw_incarnation;
use cactusdoor_timeline::{EventKind, EventLog};
use tokio::sync::watch;

use crate::binding::BindingContext;
use crate::caller::CallerApi;
use crate::config::SharedConfig;
use crate::job::{JobActor, JobParts};
use crate::key_expiry::expire_keys;
use crate::membership::{MembershipActor, MembershipParts};
use crate::metrics::EntryMetrics;
use crate::operator::{OperatorActor, OperatorApi};
use crate::peer::PeerListener;
use crate::readiness::ReadinessState;
use crate::request::{RequestActor, RequestParts, RequestRouter};
use crate::stream::{EntryFold, FoldHook, StreamHandle, StreamParts};
use cactusdoor_node::entry::EntrySettings;

/// Time for settlements in the background to finish when the entry stops.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for open connections to close once the last request is answered, in seconds.
const CONNECTION_CLOSE_TIMEOUT_S: u64 = 2;

/// A running entry and its bound addresses.
pub struct EntryDaemon {
    pub caller_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    monitor: ProcessMonitor,
    readiness: ReadinessState,
    servers: Vec<ServerHandle>,
}

/// Starts streams with the dependencies that all of them share.
struct StreamSpawner {
    client: LogClient,
    clock: MonotonicClock,
    writer: WriterId,
    readiness: ReadinessState,
}

impl StreamSpawner {
    fn spawn<F: EntryFold>(
        &self,
        stream: cactusdoor_core::name::StreamName,
        flush_ms: u64,
        empty: F,
        hook: Option<FoldHook<F>>,
        events: Option<EventLog>,
    ) -> StreamHandle<F> {
        self.readiness.set_missing(stream.as_str(), "not loaded");
        StreamHandle::spawn(StreamParts {
            client: self.client.clone(),
            clock: self.clock,
            stream,
            writer: self.writer.clone(),
            flush_ms: Some(flush_ms),
            empty,
            publishes_snapshots: true,
            events,
            readiness: Some(self.readiness.clone()),
            hook,
        })
    }
}

impl EntryDaemon {
    /// Binds the addresses and starts actors and servers on the current actix system.
    pub async fn open(settings: &EntrySettings) -> anyhow::Result<Self> {
        let process = &settings.process;
        let clock = MonotonicClock::open();
        let events = EventLog::open(process.name.clone());
        let monitor = ProcessMonitor::open(events.clone());
        let metrics =
            EntryMetrics::open(&monitor.registry).context("could not register metrics")?;
        let readiness = ReadinessState::open(monitor.clone());
        let incarnation = draw_incarnation();
        let writer = WriterId { process: process.name.clone(), incarnation };
        let client = LogClient::open(settings.log_address);

        let peers = PeerListener::bind(process.peer_address)
            .await
            .with_context(|| format!("could not bind peer address {}", process.peer_address))?;
        let callers = bind(settings.caller_address)?;
        let operators = bind(process.operator_address)?;
        let peer_address = peers.address();

        let streams = StreamSpawner {
            client: client.clone(),
            clock,
            writer: writer.clone(),
            readiness: readiness.clone(),
        };
        let (config, hook) = SharedConfig::open(events.clone(), metrics.clone());
        let config_stream = streams.spawn(
            stream::config()?,
            0,
            ConfigFold::default(),
            Some(hook),
            Some(events.clone()),
        );
        let claims: Vec<_> = (0..CLAIM_STREAMS)
            .map(|number| {
                let flush = settings.limits.claim_flush_ms;
                Ok(streams.spawn(stream::claims(number)?, flush, ClaimFold::default(), None, None))
            })
            .collect::<anyhow::Result<_>>()?;
        for stream in &claims {
            expire_keys(stream.clone());
        }

        let (entries, entry_count) = watch::channel(1);
        let router = RequestRouter::new(RequestParts {
            incarnation,
            data_centre: process.data_centre.clone(),
            clock,
            events: events.clone(),
            metrics: metrics.clone(),
            readiness: readiness.clone(),
            config: config.clone(),
            entries: entry_count,
            queue_length: settings.limits.queue_length,
            requests_in_progress: settings.limits.requests_in_progress,
        });
        let binding = BindingContext { router: router.clone(), claims };
        let requests = RequestActor::new(router, binding.into()).start();
        let membership = MembershipActor::new(MembershipParts {
            own_address: peer_address,
            seeds: settings.entries.clone(),
            clock,
            events: events.clone(),
            metrics: metrics.clone(),
            config: config.clone(),
            changes: requests.clone().recipient(),
            entries,
        })
        .start();
        let jobs = JobActor::new(JobParts {
            client,
            clock,
            writer,
            shards: settings.shards.clone(),
            flush_ms: settings.limits.job_flush_ms,
            config,
            events: events.clone(),
            metrics: metrics.clone(),
            readiness: readiness.clone(),
            membership: membership.clone(),
        })
        .start();
        let operator = OperatorActor {
            config: config_stream,
            data_centres: settings.data_centres.clone(),
            clock,
            metrics,
            readiness: readiness.clone(),
        }
        .start();

        peers.serve(membership.clone());
        let caller_address = callers.local_addr()?;
        let operator_address = operators.local_addr()?;
        let api = CallerApi { requests, jobs: jobs.clone() };
        let caller_server = HttpServer::new(move || {
            App::new().configure(|config| cactusdoor_caller::configure(api.clone(), config))
        });
        let api = OperatorApi { operators: operator, membership, jobs };
        let http_monitor = monitor.clone();
        let operator_server = HttpServer::new(move || {
            App::new()
                .configure(|config| http_monitor.configure(config))
                .configure(|config| cactusdoor_operator::configure(api.clone(), config))
        });
        let caller_server = caller_server
            .workers(1)
            .disable_signals()
            .shutdown_timeout(CONNECTION_CLOSE_TIMEOUT_S)
            .listen(callers)?
            .run();
        let operator_server = operator_server
            .workers(1)
            .disable_signals()
            .shutdown_timeout(CONNECTION_CLOSE_TIMEOUT_S)
            .listen(operators)?
            .run();
        let servers = vec![caller_server.handle(), operator_server.handle()];
        actix_rt::spawn(caller_server);
        actix_rt::spawn(operator_server);
        let data_centre = process.data_centre.clone();
        events.record(EventKind::ProcessStarted { data_centre });
        log::info!("entry {} serves callers at {caller_address}", process.name);
        Ok(Self { caller_address, operator_address, peer_address, monitor, readiness, servers })
    }

    /// Whether the entry is ready to serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.monitor.is_ready()
    }

    /// Refuses new work, finishes the requests in progress, and stops the servers.
    pub async fn stop(&self) {
        self.monitor.events.record(EventKind::ProcessStopping);
        self.readiness.drain();
        self.readiness.wait_finished(SETTLE_TIMEOUT).await;
        for server in &self.servers {
            server.stop(true).await;
        }
    }
}

fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("could not bind {address}"))
}

/// Runs an entry until SIGTERM or SIGINT.
pub fn run(settings: &EntrySettings) -> anyhow::Result<()> {
    let _logging = cactusdoor_node::logging::open(&settings.log_level)?;
    System::new().block_on(async {
        let daemon = EntryDaemon::open(settings).await?;
        cactusdoor_node::shutdown::requested().await.context("could not wait for signals")?;
        log::info!("stopping");
        daemon.stop().await;
        Ok(())
    })
}
