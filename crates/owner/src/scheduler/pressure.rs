//! Usage reports of agents: learns the needs of tasks and the interference between their
//! kinds, and throttles or evicts tasks that slow down latency-critical ones.

use cactusdoor_core::job::{JobClass, TaskId};
use cactusdoor_core::name::{TaskKind, VmName};
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeldTask, RunState};
use cactusdoor_peer::task::{StopMode, TaskStop};
use cactusdoor_policy::placement::eviction::PressureStep;
use cactusdoor_timeline::HybridTime;

use super::ShardScheduler;
use super::action::SchedulerAction;

impl ShardScheduler {
    /// Applies the usage samples of the newest heartbeat of an agent.
    pub(super) fn apply_usage(&mut self, now: Moment, heartbeat: &AgentHeartbeat) {
        let mut worst: Option<(u8, Millis)> = None;
        for sample in &heartbeat.usage {
            let Some(held) = heartbeat.held.iter().find(|held| held.token == sample.token) else {
                continue;
            };
            self.learner.observe(held.token, &held.kind, sample.used);
            // A throttled task's speed reflects its throttle and not its neighbours.
            if held.state != RunState::Running {
                continue;
            }
            let others = heartbeat.held.iter().filter(|other| other.token != held.token);
            let neighbours: Vec<&TaskKind> = others.map(|other| &other.kind).collect();
            self.interference.observe(&held.kind, &neighbours, sample.speed_percent);
            if self.class(&held.task) == Some(JobClass::LatencyCritical) {
                let slowdown = 100 - sample.speed_percent.min(100);
                worst = worst.max(Some((slowdown, sample.lag_ms)));
            }
        }
        let vm = &heartbeat.agent.vm;
        let Some(agent) = self.agents.get_mut(vm) else { return };
        // Without a latency-critical task there is nothing to protect.
        let (slowdown, lag) = worst.unwrap_or((0, 0));
        let step = agent.escalation.observe(now, slowdown, lag);
        let level = agent.escalation.step();
        if matches!(step, Some(PressureStep::Evict | PressureStep::Stop)) && worst.is_some() {
            self.evict_worst(now, vm, heartbeat, level);
        }
        self.throttle(vm, heartbeat, level.throttle_percent());
    }

    fn class(&self, task: &TaskId) -> Option<JobClass> {
        self.spec(&task.job).map(|spec| spec.class)
    }

    /// Tasks on the VM that may be throttled or evicted.
    fn throttleable<'a>(
        &'a self,
        heartbeat: &'a AgentHeartbeat,
    ) -> impl Iterator<Item = &'a HeldTask> {
        heartbeat.held.iter().filter(|held| {
            self.class(&held.task).is_some_and(|class| class != JobClass::LatencyCritical)
        })
    }

    /// Evicts the task that interferes most with the latency-critical ones.
    fn evict_worst(
        &mut self,
        now: Moment,
        vm: &VmName,
        heartbeat: &AgentHeartbeat,
        level: PressureStep,
    ) {
        let critical: Vec<&TaskKind> = heartbeat
            .held
            .iter()
            .filter(|held| self.class(&held.task) == Some(JobClass::LatencyCritical))
            .map(|held| &held.kind)
            .collect();
        let interference = |held: &HeldTask| -> f64 {
            critical.iter().map(|victim| self.interference.weight(victim, &held.kind)).sum()
        };
        let candidates =
            self.throttleable(heartbeat).filter(|held| held.state != RunState::Stopping);
        let worst = candidates.max_by(|a, b| {
            let by_interference = interference(a).total_cmp(&interference(b));
            by_interference.then(a.need.processors.cmp(&b.need.processors))
        });
        let Some((token, task)) = worst.map(|held| (held.token, held.task.clone())) else { return };
        let mode = match level {
            PressureStep::Stop => StopMode::Cancel,
            _ => StopMode::CheckpointAndStop,
        };
        self.request_stop(now, token, &task, vm, mode);
        self.send_stops(now);
    }

    /// Throttles the tasks that are not latency-critical to `percent` of full speed.
    fn throttle(&mut self, vm: &VmName, heartbeat: &AgentHeartbeat, percent: u8) {
        let Some(epoch) = self.owned_epoch() else { return };
        let changed: Vec<(Token, TaskId)> = self
            .throttleable(heartbeat)
            .filter(|held| match held.state {
                RunState::Running => percent != 100,
                RunState::Throttled(current) => current != percent,
                RunState::Starting | RunState::Stopping => false,
            })
            .map(|held| (held.token, held.task.clone()))
            .collect();
        for (token, task) in changed {
            let stop = TaskStop {
                at: HybridTime::default(),
                shard: self.settings.shard.clone(),
                epoch,
                task,
                token,
                mode: StopMode::Throttle(percent),
            };
            let address = heartbeat.agent.address;
            self.push_action(SchedulerAction::Stop { vm: vm.clone(), address, stop });
        }
    }
}
