//! Usage figures: what tasks need, whom they slow down, and who must give way.

use cactusdoor_core::job::{JobClass, TaskId};
use cactusdoor_core::name::{TaskKind, VmName};
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeldTask, RunState};
use cactusdoor_peer::task::{StopMode, TaskStop};
use cactusdoor_policy::placement::eviction::PressureStep;
use cactusdoor_timeline::HybridTime;

use super::ShardBook;
use super::action::BookAction;

impl ShardBook {
    /// Takes the usage figures of the newest heartbeat of an agent.
    pub(super) fn take_usage(&mut self, now: Moment, beat: &AgentHeartbeat) {
        let mut worst: Option<(u8, Millis)> = None;
        for sample in &beat.usage {
            let Some(held) = beat.held.iter().find(|held| held.token == sample.token) else {
                continue;
            };
            self.learner.observe(held.token, &held.kind, sample.used);
            // The speed of a throttled task shows the throttle, not its neighbours.
            if held.state != RunState::Running {
                continue;
            }
            let others = beat.held.iter().filter(|other| other.token != held.token);
            let neighbours: Vec<&TaskKind> = others.map(|other| &other.kind).collect();
            self.pairs.observe(&held.kind, &neighbours, sample.speed_percent);
            if self.class(&held.task) == Some(JobClass::LatencyCritical) {
                let slowdown = 100 - sample.speed_percent.min(100);
                worst = worst.max(Some((slowdown, sample.lag_ms)));
            }
        }
        let vm = &beat.agent.vm;
        let Some(agent) = self.agents.get_mut(vm) else { return };
        // Without a latency-critical task there is nothing to protect.
        let (slowdown, lag) = worst.unwrap_or((0, 0));
        let step = agent.escalation.observe(now, slowdown, lag);
        let level = agent.escalation.step();
        if matches!(step, Some(PressureStep::Evict | PressureStep::Stop)) && worst.is_some() {
            self.evict_worst(now, vm, beat, level);
        }
        self.throttle(vm, beat, level.throttle_percent());
    }

    fn class(&self, task: &TaskId) -> Option<JobClass> {
        self.spec(&task.job).map(|spec| spec.class)
    }

    /// Tasks on the VM that may be held back.
    fn yielding<'a>(&'a self, beat: &'a AgentHeartbeat) -> impl Iterator<Item = &'a HeldTask> {
        beat.held.iter().filter(|held| {
            self.class(&held.task).is_some_and(|class| class != JobClass::LatencyCritical)
        })
    }

    /// Evicts the task that disturbs the latency-critical ones most.
    fn evict_worst(
        &mut self,
        now: Moment,
        vm: &VmName,
        beat: &AgentHeartbeat,
        level: PressureStep,
    ) {
        let critical: Vec<&TaskKind> = beat
            .held
            .iter()
            .filter(|held| self.class(&held.task) == Some(JobClass::LatencyCritical))
            .map(|held| &held.kind)
            .collect();
        let harm = |held: &HeldTask| -> f64 {
            critical.iter().map(|victim| self.pairs.weight(victim, &held.kind)).sum()
        };
        let candidates = self.yielding(beat).filter(|held| held.state != RunState::Stopping);
        let worst = candidates.max_by(|a, b| {
            let by_harm = harm(a).total_cmp(&harm(b));
            by_harm.then(a.need.processors.cmp(&b.need.processors))
        });
        let Some((token, task)) = worst.map(|held| (held.token, held.task.clone())) else { return };
        let mode = match level {
            PressureStep::Stop => StopMode::Cancel,
            _ => StopMode::CheckpointAndStop,
        };
        self.request_stop(now, token, &task, vm, mode);
        self.send_stops(now);
    }

    /// Brings the tasks that may be held back to `percent` of their processors.
    fn throttle(&mut self, vm: &VmName, beat: &AgentHeartbeat, percent: u8) {
        let Some(epoch) = self.owned_epoch() else { return };
        let wrong: Vec<(Token, TaskId)> = self
            .yielding(beat)
            .filter(|held| match held.state {
                RunState::Running => percent != 100,
                RunState::Throttled(current) => current != percent,
                RunState::Starting | RunState::Stopping => false,
            })
            .map(|held| (held.token, held.task.clone()))
            .collect();
        for (token, task) in wrong {
            let stop = TaskStop {
                at: HybridTime::default(),
                shard: self.settings.shard.clone(),
                epoch,
                task,
                token,
                mode: StopMode::Throttle(percent),
            };
            let address = beat.agent.address;
            self.act(BookAction::Stop { vm: vm.clone(), address, stop });
        }
    }
}
