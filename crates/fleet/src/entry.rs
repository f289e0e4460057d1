//! `cactusdoor-fleet entry`: the process that serves callers.
//!
//! Starts the parts of an entry and stops them in order: readiness is withdrawn first, and
//! calls are still answered until the load balancer sends no more.

use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::web::{self, Data};
use anyhow::Context as _;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::process::draw_incarnation;
use cactusdoor_node::shutdown;
use cactusdoor_platform::store::StoreClient;
use prometheus::Registry;
use tokio::sync::mpsc;

use crate::api::{self, ApiContext};
use crate::body::BodyBudget;
use crate::check::Run;
use crate::connection_table::ServedAddress;
use crate::decision::DecisionEvent;
use crate::decision_log::{DecisionLog, open_logger};
use crate::finder::OwnerFinder;
use crate::guard::{self, ConfigureApp, GuardContext, GuardHandle, GuardedAddress};
use crate::metrics::EntryMetrics;
use crate::rejections::Rejections;
use crate::settings::EntrySettings;
use crate::submitter::SubmitContext;
use crate::watcher::{JobStates, MAX_FINDS};
use crate::{operators, signals, submitter, watcher};

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
    let (finds, find_calls) = mpsc::channel(MAX_FINDS);
    watcher::spawn(Rc::clone(&finder), clock, states.clone(), find_calls);
    let producer = format!("{}-{incarnation:016x}", process.name);
    let metrics = EntryMetrics::open(&registry).context("could not register metrics")?;
    let stopping = Arc::new(AtomicBool::new(false));
    let rejections = Rejections::new(metrics.rejected.clone(), log.clone());
    let context = Data::new(ApiContext {
        limits: settings.limits,
        bodies: BodyBudget::new(settings.limits.body_bytes),
        rejections: rejections.clone(),
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
    let server = serve(&settings, context, rejections)?;
    let reload = signals::watch_settings(&path, log.clone(), EntrySettings::load);
    tokio::select! {
        stopped = shutdown::requested() => stopped.context("could not wait for signals")?,
        reloaded = reload => reloaded.context("could not wait for signals")?,
    }
    log.record(DecisionEvent::ProcessStopping);
    stopping.store(true, Ordering::Relaxed);
    let linger = Duration::from_millis(process.stop / 2).min(DRAIN_TIME);
    tokio::time::sleep(linger).await;
    let grace = process.stop.saturating_sub(3_000).max(1_000);
    server.stop(Duration::from_millis(grace)).await;
    log.record(DecisionEvent::ProcessStopped);
    log.finish();
    Ok(())
}

/// Serves callers, and on a thread of their own the ready and metrics addresses.
fn serve(
    settings: &EntrySettings,
    api: Data<ApiContext>,
    rejections: Rejections,
) -> anyhow::Result<GuardHandle> {
    let configure: ConfigureApp = Arc::new(move |config| {
        config.app_data(api.clone()).default_service(web::to(api::answer));
    });
    let callers = GuardContext { configure, limits: settings.limits, rejections };
    let reserved = GuardContext { limits: settings.limits.reserved(), ..callers.clone() };
    let at = |address, kind| GuardedAddress { address, kind };
    let own = vec![
        at(settings.ready_address, ServedAddress::Ready),
        at(settings.process.metrics_address, ServedAddress::Metrics),
    ];
    let groups =
        vec![(callers, vec![at(settings.caller_address, ServedAddress::Callers)]), (reserved, own)];
    Ok(guard::serve(groups)?)
}
