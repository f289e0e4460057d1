//! A simulated platform worker that follows its specification and records what runs.

use std::collections::BTreeMap;

use cactusdoor_agent::table::{LaunchAnswer, StopAnswer};
use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::{CheckpointName, TaskKind};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_peer::task::TaskStart;
use cactusdoor_worker::{EndedTask, RunningTask, TaskEnd, TaskInventory};

#[derive(Clone, Debug)]
struct SimulatedTask {
    task: TaskId,
    kind: TaskKind,
    need: ResourceVector,
    /// End of the lease on the VM's clock, in nanoseconds.
    until: u128,
}

/// The tasks that run on one VM; restarts of the agent do not change them.
#[derive(Clone, Debug, Default)]
pub struct SimulatedWorker {
    running: BTreeMap<Token, SimulatedTask>,
    ended: Vec<EndedTask>,
    /// Highest token used for each task.
    used: BTreeMap<TaskId, Token>,
    checkpoints: u64,
}

fn lease_end(nanos: u128, lease: Millis) -> u128 {
    nanos + u128::from(lease) * 1_000_000
}

impl SimulatedWorker {
    pub fn running(&self) -> impl Iterator<Item = (&TaskId, ResourceVector)> {
        self.running.values().map(|task| (&task.task, task.need))
    }

    fn end(&mut self, token: Token, end: TaskEnd) {
        if let Some(task) = self.running.remove(&token) {
            self.ended.push(EndedTask { token, task: task.task, end });
        }
    }

    /// Ends tasks whose lease has expired.
    pub fn expire_leases(&mut self, nanos: u128) {
        let expired = self.running.iter().filter(|(_, task)| task.until <= nanos);
        let expired: Vec<Token> = expired.map(|(token, _)| *token).collect();
        expired.into_iter().for_each(|token| self.end(token, TaskEnd::Lapsed));
    }

    pub fn start(&mut self, nanos: u128, start: &TaskStart, lease: Millis) -> LaunchAnswer {
        if self.running.contains_key(&start.token) {
            return LaunchAnswer::Runs;
        }
        if self.used.get(&start.task).is_some_and(|used| *used >= start.token) {
            return LaunchAnswer::NotStarted;
        }
        self.used.insert(start.task.clone(), start.token);
        let until = lease_end(nanos, lease);
        let (task, kind, need) = (start.task.clone(), start.kind.clone(), start.need);
        self.running.insert(start.token, SimulatedTask { task, kind, need, until });
        LaunchAnswer::Runs
    }

    pub fn renew(&mut self, nanos: u128, tokens: &[Token], lease: Millis) {
        for token in tokens {
            if let Some(task) = self.running.get_mut(token) {
                task.until = task.until.max(lease_end(nanos, lease));
            }
        }
    }

    pub fn stop(&mut self, token: Token, cancel: bool) -> StopAnswer {
        if self.running.contains_key(&token) {
            self.checkpoints += 1;
            let name = format!("checkpoint-{}", self.checkpoints);
            let checkpoint = (!cancel).then(|| CheckpointName::new(&name).unwrap());
            self.end(token, TaskEnd::Stopped { checkpoint });
        }
        match self.ended.iter().find(|ended| ended.token == token) {
            Some(ended) => StopAnswer::Ended(ended.end.clone()),
            None => StopAnswer::UnknownToken,
        }
    }

    /// Ends the running task that `number` selects.
    pub fn finish(&mut self, number: usize, fails: bool) {
        let tokens: Vec<Token> = self.running.keys().copied().collect();
        if !tokens.is_empty() {
            let token = tokens[number % tokens.len()];
            let end = if fails { TaskEnd::Failed } else { TaskEnd::Finished { digest: token } };
            self.end(token, end);
        }
    }

    pub fn acknowledge(&mut self, tokens: &[Token]) {
        self.ended.retain(|ended| !tokens.contains(&ended.token));
    }

    pub fn inventory(&self, nanos: u128) -> TaskInventory {
        let running = self.running.iter().map(|(token, task)| RunningTask {
            token: *token,
            task: task.task.clone(),
            kind: task.kind.clone(),
            need: task.need,
            throttle_percent: 100,
            lease_left_ms: (task.until.saturating_sub(nanos) / 1_000_000) as Millis,
        });
        TaskInventory { running: running.collect(), ended: self.ended.clone() }
    }
}
