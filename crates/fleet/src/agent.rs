//! `cactusdoor-fleet agent`: the process beside a worker.
//!
//! Starts the parts of an agent and stops them in order: if this agent is the owner, it
//! resigns before the process ends.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::process::draw_incarnation;
use cactusdoor_node::shutdown;
use cactusdoor_platform::store::StoreClient;
use cactusdoor_platform::worker::WorkerClient;
use prometheus::Registry;
use tokio::sync::watch;

use crate::candidate::{self, CandidateContext, OwnerContact};
use crate::check::Run;
use crate::decision::DecisionEvent;
use crate::decision_log::{DecisionLog, open_logger};
use crate::finder::OwnerFinder;
use crate::metrics::{AgentMetrics, OwnerMetrics};
use crate::owner::OwnerContext;
use crate::queue_server::QueueServer;
use crate::rejections::Rejections;
use crate::reporter::OwnerReporter;
use crate::settings::AgentSettings;
use crate::worker_controller::{ControllerContext, WorkerController};
use crate::{announcements, operators, signals};

/// Longest wait for the owner to resign when the process stops.
const RESIGN_LIMIT: Duration = Duration::from_millis(1_500);

/// Longest wait for announcements in progress when the process stops.
const SERVER_GRACE: Duration = Duration::from_secs(1);

/// Runs the agent until a signal requests a stop.
pub struct AgentCommand {
    pub settings: PathBuf,
}

impl Run for AgentCommand {
    fn run(self) -> anyhow::Result<()> {
        let settings = AgentSettings::load(&self.settings)?;
        let name = settings.process.name.clone();
        let log = DecisionLog::open(name, std::io::stdout()).context("could not open the log")?;
        let _logger = open_logger(&settings.process.log_level, &log)?;
        actix_rt::System::new().block_on(run(self.settings, settings, log))
    }
}

async fn run(path: PathBuf, settings: AgentSettings, log: DecisionLog) -> anyhow::Result<()> {
    let process = &settings.process;
    let incarnation = draw_incarnation();
    log.record(DecisionEvent::ProcessStarted { role: "agent", incarnation });
    let registry = Registry::new();
    let clock = MonotonicClock::open();
    let store = StoreClient::open(process.store_address);
    let queue_server = QueueServer::bind(settings.peer_address)
        .await
        .with_context(|| format!("could not listen at {}", settings.peer_address))?;
    let metrics = AgentMetrics::open(&registry).context("could not register metrics")?;
    let (server, messages) = announcements::bind(
        settings.announce_address,
        process.metrics_address,
        registry.clone(),
        settings.limits,
        Rejections::new(metrics.rejected.clone(), log.clone()),
    )?;
    let finder = OwnerFinder::open(store.clone(), clock, log.clone());
    let (contact, contacts) = watch::channel(OwnerContact::Unconfirmed);
    let (stop, stopping) = watch::channel(false);
    let controller = WorkerController::spawn(ControllerContext {
        worker: WorkerClient::open(settings.worker_address),
        clock,
        log: log.clone(),
        metrics: metrics.clone(),
        lease_limit: settings.lease_limit,
        cancel_bound: settings.bounds.cancel,
        harm_bound: settings.harm_bound,
        features: settings.features,
        messages,
    });
    OwnerReporter::spawn(OwnerReporter {
        name: process.name.clone(),
        incarnation,
        clock,
        finder: Rc::clone(&finder),
        controller: Rc::clone(&controller),
        contact,
        metrics,
        log: log.clone(),
    });
    let owner = OwnerContext {
        name: process.name.clone(),
        address: settings.peer_address,
        store: store.clone(),
        clock,
        log: log.clone(),
        queue_server,
        views: operators::spawn(store, clock, log.clone()),
        metrics: OwnerMetrics::open(&registry).context("could not register metrics")?,
        lease_limit: settings.lease_limit,
        bounds: settings.bounds,
        features: settings.features,
    };
    let candidate = actix_rt::spawn(candidate::run(CandidateContext {
        owner,
        finder,
        contact: contacts,
        stopping,
    }));
    let reload = signals::watch_settings(&path, log.clone(), AgentSettings::load);
    tokio::select! {
        stopped = shutdown::requested() => stopped.context("could not wait for signals")?,
        reloaded = reload => reloaded.context("could not wait for signals")?,
    }
    log.record(DecisionEvent::ProcessStopping);
    if stop.send(true).is_ok() && tokio::time::timeout(RESIGN_LIMIT, candidate).await.is_err() {
        log::warn!("owner did not resign in time; the process ends without a resignation");
    }
    server.stop(SERVER_GRACE).await;
    log.record(DecisionEvent::ProcessStopped);
    log.finish();
    Ok(())
}
