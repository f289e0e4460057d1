//! `cactusdoor-fleet entry`: the process that serves callers.
//!
//! Starts the parts of an entry and stops them in order: readiness is withdrawn first, and
//! calls are still answered until the load balancer sends no more.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::web::{self, Data, PayloadConfig};
use actix_web::{App, HttpServer};
use anyhow::Context as _;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::process::draw_incarnation;
use cactusdoor_node::shutdown;
use cactusdoor_platform::store::StoreClient;
use prometheus::Registry;
use tokio::sync::mpsc;

use crate::api::{self, ApiContext};
use crate::check::Run;
use crate::decision::DecisionEvent;
use crate::decision_log::{DecisionLog, open_logger};
use crate::finder::OwnerFinder;
use crate::metrics::EntryMetrics;
use crate::settings::EntrySettings;
use crate::submitter::SubmitContext;
use crate::watcher::JobStates;
use crate::{operators, signals, submitter, watcher};

/// Time for which callers' idle connections stay open: longer than the operators' limit.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Largest body of a call: more than the operators' limits allow.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Time after which the load balancer sends no more calls: two failed probes, 1 s apart.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Runs the entry until a signal requests a stop.
pub struct EntryCommand {
    pub settings: PathBuf,
}

impl Run for EntryCommand {
    fn run(self) -> anyhow::Result<()> {
        let settings = EntrySettings::load(&self.settings)?;
        let name = settings.process.name.clone();
        let log = DecisionLog::open(name, std::io::stdout()).context("could not open the log")?;
        let _logger = open_logger(&settings.process.log_level, &log)?;
        actix_rt::System::new().block_on(run(self.settings, settings, log))
    }
}

async fn run(path: PathBuf, settings: EntrySettings, log: DecisionLog) -> anyhow::Result<()> {
    let process = &settings.process;
    let incarnation = draw_incarnation();
    log.record(DecisionEvent::ProcessStarted { role: "entry", incarnation });
    let registry = Registry::new();
    let clock = MonotonicClock::open();
    let store = StoreClient::open(process.store_address);
    let finder = OwnerFinder::open(store.clone(), clock, log.clone());
    let states = JobStates::default();
    let (finds, find_calls) = mpsc::unbounded_channel();
    watcher::spawn(Rc::clone(&finder), clock, states.clone(), find_calls);
    let producer = format!("{}-{incarnation:016x}", process.name);
    let metrics = EntryMetrics::open(&registry).context("could not register metrics")?;
    let stopping = Arc::new(AtomicBool::new(false));
    let context = Data::new(ApiContext {
        ready_address: settings.ready_address,
        metrics_address: process.metrics_address,
        config_bound: settings.config_bound,
        clock,
        log: log.clone(),
        metrics: metrics.clone(),
        registry,
        views: operators::spawn(store.clone(), clock, log.clone()),
        states,
        submits: submitter::spawn(SubmitContext { store, clock, producer, finder, metrics }),
        finds,
        refusals: settings.features.refusals,
        stopping: Arc::clone(&stopping),
    });
    let server = serve(&settings, context)?;
    let reload = signals::watch_settings(&path, log.clone(), EntrySettings::load);
    tokio::select! {
        stopped = shutdown::requested() => stopped.context("could not wait for signals")?,
        reloaded = reload => reloaded.context("could not wait for signals")?,
    }
    log.record(DecisionEvent::ProcessStopping);
    stopping.store(true, Ordering::Relaxed);
    let linger = Duration::from_millis(process.stop / 2).min(DRAIN_TIME);
    tokio::time::sleep(linger).await;
    server.stop(true).await;
    log.record(DecisionEvent::ProcessStopped);
    log.finish();
    Ok(())
}

fn serve(settings: &EntrySettings, context: Data<ApiContext>) -> anyhow::Result<ServerHandle> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(context.clone())
            .app_data(PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(api::answer))
    });
    let grace = settings.process.stop.saturating_sub(3_000).max(1_000) / 1_000;
    let mut server =
        server.workers(1).disable_signals().keep_alive(KEEP_ALIVE).shutdown_timeout(grace);
    let process = &settings.process;
    for address in [settings.caller_address, settings.ready_address, process.metrics_address] {
        server = server.bind(address).with_context(|| format!("could not listen at {address}"))?;
    }
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
