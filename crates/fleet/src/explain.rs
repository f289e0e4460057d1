//! `cactusdoor-fleet explain`: where the owner would place a job, and why.
//!
//! Asks the owner and prints its answer; nothing is submitted.

use std::io::{ErrorKind, Read as _, Write, stdin, stdout};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;
use cactusdoor_peer::queue::ExplainRequest;
use cactusdoor_queue::explain::{JobExplanation, StepExplanation, StepOutcome};
use cactusdoor_queue::rank::RankClass;
use serde_json::json;

use crate::check::Run;
use crate::owner_client::OwnerClient;

/// Longest wait for the answer: an owner on a busy machine answers within a second.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks the owner about a job and prints the answer.
pub struct JobExplain {
    /// Peer address of the owner.
    pub owner: SocketAddr,
    pub queue: String,
    /// Whether to print JSON lines.
    pub json: bool,
    /// The job; `-` for standard input.
    pub file: PathBuf,
}

impl Run for JobExplain {
    fn run(self) -> anyhow::Result<()> {
        let request =
            ExplainRequest { queue: self.queue.as_str().into(), body: read_body(&self.file)? };
        let answer = actix_rt::System::new().block_on(async {
            OwnerClient::default().explain(self.owner, request, ANSWER_TIMEOUT).await
        });
        let answer = answer.with_context(|| format!("no answer from {}", self.owner))?;
        let answer = answer.with_context(|| format!("{} is not the owner", self.owner))?;
        let explanation = answer.context("the owner does not explain the job")?;
        let output = stdout().lock();
        let written = if self.json {
            print_json(&explanation, output)
        } else {
            print_text(&explanation, output)
        };
        match written {
            // The process that reads the output has closed the pipe.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
            written => written.context("could not write the explanation"),
        }
    }
}

fn read_body(path: &Path) -> anyhow::Result<Vec<u8>> {
    if path != Path::new("-") {
        return std::fs::read(path).with_context(|| format!("could not read {}", path.display()));
    }
    let mut body = Vec::new();
    stdin().lock().read_to_end(&mut body).context("could not read the job")?;
    Ok(body)
}

/// Writes a line for the job and one for each step.
pub fn print_json(job: &JobExplanation, mut output: impl Write) -> std::io::Result<()> {
    let line = json!({"priority": job.priority, "budget": job.budget, "deadline": job.deadline,
        "due": job.due, "rank": job.rank, "omitted": job.omitted});
    writeln!(output, "{line}")?;
    for step in &job.steps {
        writeln!(output, "{}", serde_json::to_string(step)?)?;
    }
    Ok(())
}

/// Writes a text for operators.
pub fn print_text(job: &JobExplanation, mut output: impl Write) -> std::io::Result<()> {
    let (priority, budget, deadline) = (job.priority, job.budget, job.deadline);
    writeln!(output, "job: priority {priority}, budget {budget} ms, deadline {deadline}")?;
    if let Some(due) = job.due {
        writeln!(output, "  first occurrence begins at {due}; the steps are shown as if now")?;
    }
    if let Some(ranked) = job.rank {
        let class = match ranked.class {
            RankClass::Feasible => "can be in time",
            RankClass::Useful => "late, but useful",
            RankClass::Neither => "late, budget passed three times",
        };
        writeln!(output, "  best-effort rank {}: {class}", ranked.rank)?;
    }
    for step in &job.steps {
        print_step(step, &mut output)?;
    }
    if job.omitted > 0 {
        writeln!(output, "{} more steps are not shown", job.omitted)?;
    }
    Ok(())
}

fn print_step(step: &StepExplanation, output: &mut impl Write) -> std::io::Result<()> {
    let kind = if step.best_effort { ", best-effort" } else { "" };
    let gang = if step.gang { ", gang (one task was looked at)" } else { "" };
    let outcome = describe_outcome(&step.outcome);
    writeln!(output, "step {}: {} tasks{kind}{gang}: {outcome}", step.step, step.tasks)?;
    let is_examined = step.fitting > 0 || !step.unfit.is_empty();
    if !is_examined {
        return Ok(());
    }
    writeln!(output, "  {} steps ahead, {} workers can take a task", step.ahead, step.fitting)?;
    for worker in &step.workers {
        let speed = worker.speed.map(|speed| format!(", speed {speed} %")).unwrap_or_default();
        writeln!(output, "  {}: cost {}{speed}", worker.agent, worker.cost)?;
    }
    for unfit in &step.unfit {
        writeln!(output, "  {} workers: {}", unfit.workers, unfit.reason)?;
    }
    Ok(())
}

fn describe_outcome(outcome: &StepOutcome) -> String {
    match outcome {
        StepOutcome::Placed => "would be placed at once".to_owned(),
        StepOutcome::Waits => "would wait for a worker".to_owned(),
        StepOutcome::NeverFits => "fits on no known worker".to_owned(),
        StepOutcome::After(steps) => format!("waits for steps {steps:?}"),
        StepOutcome::Empty => "has no task".to_owned(),
        StepOutcome::NotExamined => "not examined: too many distinct needs".to_owned(),
    }
}
