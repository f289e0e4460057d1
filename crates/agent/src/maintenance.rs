//! Periodic work of the task actor: polls the worker's inventory, stops tasks when
//! the lease expires, renews the worker's leases and measures usage.
//!
//! [`TaskManager`](crate::manager::TaskManager) decides which tasks are stopped and
//! renewed; this module makes the calls.

use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::constants::{HEARTBEAT_INTERVAL, PAUSE_MARGIN};
use cactusdoor_core::unit::Millis;
use cactusdoor_peer::heartbeat::UsageSample;
use cactusdoor_worker::{CallError, EndAcknowledgement, LeaseRenewal};

use crate::task_actor::TaskActorState;

/// Longest answer time that shows that the worker was not paused.
const PROMPT_ANSWER_LIMIT: Millis = 100;

impl TaskActorState {
    fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.settings.worker_poll)
    }

    /// Loads the first inventory, then polls the worker for further ones.
    pub(crate) async fn poll_worker(self: Rc<Self>) {
        self.wait_for_worker().await;
        while let Err(error) = self.load_inventory().await {
            log::warn!("could not load the worker's inventory: {error}");
            tokio::time::sleep(self.poll_interval()).await;
        }
        self.inventory_loaded.notify_waiters();
        let draining = self.manager.borrow().is_draining();
        self.settings.monitor.set_ready(!draining);
        log::info!("loaded the worker's inventory");
        self.heartbeat_wanted.notify_one();
        loop {
            tokio::time::sleep(self.poll_interval()).await;
            if let Err(error) = self.reconcile_inventory().await {
                log::warn!("could not reconcile with the worker's inventory: {error}");
            }
        }
    }

    /// Waits until the worker answers promptly, or until [`PAUSE_MARGIN`] after its first
    /// answer.
    ///
    /// A start of an earlier incarnation can wait in the socket of a paused worker, which
    /// reads it soon after it resumes.
    async fn wait_for_worker(&self) {
        let sent = self.now();
        let mut answered = self.settings.worker.status().await.is_ok();
        if answered && self.now().since(sent) <= PROMPT_ANSWER_LIMIT {
            return;
        }
        while !answered {
            log::warn!("worker does not answer; retrying");
            tokio::time::sleep(self.poll_interval()).await;
            answered = self.settings.worker.status().await.is_ok();
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MARGIN)).await;
    }

    async fn load_inventory(self: &Rc<Self>) -> Result<(), CallError> {
        let status = self.settings.worker.status().await?;
        let sent = self.now();
        let inventory = self.settings.worker.inventory().await?;
        let now = self.now();
        self.manager.borrow_mut().load_inventory(now, sent, status.capacity, &inventory);
        self.report_ends();
        Ok(())
    }

    async fn reconcile_inventory(self: &Rc<Self>) -> Result<(), CallError> {
        let sent = self.now();
        let inventory = self.settings.worker.inventory().await?;
        self.manager.borrow_mut().reconcile(self.now(), sent, &inventory);
        self.report_ends();
        self.send_stops();
        let tokens = self.manager.borrow().table().map(|table| table.acknowledgeable(&inventory));
        match tokens {
            Some(tokens) if !tokens.is_empty() => {
                self.settings.worker.acknowledge(&EndAcknowledgement { tokens }).await
            }
            _ => Ok(()),
        }
    }

    /// Stops tasks when the lease is about to expire, for as long as the process runs.
    pub(crate) async fn enforce_lease(self: Rc<Self>) {
        loop {
            self.stop_if_not_allowed();
            tokio::time::sleep(self.poll_interval()).await;
        }
    }

    /// Renews the worker's leases whenever the agent's own lease allows it.
    pub(crate) async fn renew_leases(self: Rc<Self>) {
        let interval = Duration::from_millis(HEARTBEAT_INTERVAL);
        loop {
            // Checked right before the call: the lease may have expired during a pause.
            let renewal = self.manager.borrow().renewal(self.now());
            if let Some((tokens, lease_ms)) = renewal {
                let renewal = LeaseRenewal { tokens, lease_ms };
                if let Err(error) = self.settings.worker.renew(&renewal).await {
                    log::warn!("could not renew leases at the worker: {error}");
                }
                self.measure_usage().await;
            }
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.renewed.notified() => {}
            }
        }
    }

    async fn measure_usage(&self) {
        let Ok(report) = self.settings.worker.usage().await else { return };
        let samples = report.tasks.iter().map(|task| UsageSample {
            token: task.token,
            used: task.used,
            speed_percent: task.speed_percent,
            lag_ms: report.lag_ms,
        });
        *self.usage.borrow_mut() = (self.now(), samples.collect());
    }
}
