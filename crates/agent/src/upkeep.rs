//! Regular work towards the worker: inventory, lease watch and renewals.

use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::constants::{HEARTBEAT_INTERVAL, PAUSE_MARGIN};
use cactusdoor_core::unit::Millis;
use cactusdoor_peer::heartbeat::UsageSample;
use cactusdoor_worker::{CallError, EndAcknowledgement, LeaseRenewal};

use crate::task_actor::TaskActorState;

/// Longest time to an answer of a worker that was not paused.
const PROMPT_ANSWER: Millis = 100;

impl TaskActorState {
    fn poll_time(&self) -> Duration {
        Duration::from_millis(self.settings.worker_poll)
    }

    /// Takes the inventory, then follows what the worker runs.
    pub(crate) async fn watch_worker(self: Rc<Self>) {
        self.await_worker().await;
        while let Err(error) = self.take_inventory().await {
            log::warn!("could not take the inventory: {error}");
            tokio::time::sleep(self.poll_time()).await;
        }
        self.inventoried.notify_waiters();
        let draining = self.manager.borrow().is_draining();
        self.settings.monitor.set_ready(!draining);
        log::info!("inventory is taken");
        self.beat_wanted.notify_one();
        loop {
            tokio::time::sleep(self.poll_time()).await;
            if let Err(error) = self.compare_inventory().await {
                log::warn!("could not ask the worker for its tasks: {error}");
            }
        }
    }

    /// Waits until the worker answers promptly, or has answered for a while.
    ///
    /// A start of an earlier incarnation can lie in the socket of a paused worker,
    /// which reads it soon after it resumes.
    async fn await_worker(&self) {
        let asked = self.now();
        let mut answered = self.settings.worker.status().await.is_ok();
        if answered && self.now().since(asked) <= PROMPT_ANSWER {
            return;
        }
        while !answered {
            log::warn!("worker does not answer");
            tokio::time::sleep(self.poll_time()).await;
            answered = self.settings.worker.status().await.is_ok();
        }
        tokio::time::sleep(Duration::from_millis(PAUSE_MARGIN)).await;
    }

    async fn take_inventory(self: &Rc<Self>) -> Result<(), CallError> {
        let status = self.settings.worker.status().await?;
        let sent = self.now();
        let inventory = self.settings.worker.inventory().await?;
        let now = self.now();
        self.manager.borrow_mut().take_inventory(now, sent, status.capacity, &inventory);
        self.after_change();
        Ok(())
    }

    async fn compare_inventory(self: &Rc<Self>) -> Result<(), CallError> {
        let sent = self.now();
        let inventory = self.settings.worker.inventory().await?;
        self.manager.borrow_mut().reconcile(self.now(), sent, &inventory);
        self.after_change();
        self.send_stops();
        let tokens = self.manager.borrow().table().map(|table| table.acknowledgeable(&inventory));
        match tokens {
            Some(tokens) if !tokens.is_empty() => {
                self.settings.worker.acknowledge(&EndAcknowledgement { tokens }).await
            }
            _ => Ok(()),
        }
    }

    /// Stops tasks when the lease passes.
    pub(crate) async fn watch_lease(self: Rc<Self>) {
        loop {
            self.stop_unentitled();
            tokio::time::sleep(self.poll_time()).await;
        }
    }

    /// Renews the leases at the worker for as long as the own lease holds.
    pub(crate) async fn renew_always(self: Rc<Self>) {
        let interval = Duration::from_millis(HEARTBEAT_INTERVAL);
        loop {
            // The own lease is checked right before the call: after a pause it may have passed.
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
