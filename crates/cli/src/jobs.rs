//! `cactusdoor jobs`: submits, shows, lists and cancels jobs.

use std::io::Write;
use std::path::Path;

use cactusdoor_caller::client::CallerClient;
use cactusdoor_caller::job::{JobStatus, JobSubmission, TaskPhase};
use cactusdoor_operator::OperatorClient;

use crate::args::Jobs;
use crate::{CommandError, Run};

impl Run for Jobs {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        match self {
            Self::Submit { callers, key, file } => {
                let job = read_job(&file)?;
                let receipt = CallerClient::open(callers).submit(&key, &job).await?;
                let (plan, key) = (receipt.plan, receipt.key);
                writeln!(out, "job {plan}/{key} is accepted, home shard {}", receipt.shard)?;
            }
            Self::Show { callers, job } => {
                write_job(&CallerClient::open(callers).job(&job).await?, out)?;
            }
            Self::Cancel { callers, job } => {
                CallerClient::open(callers).cancel(&job).await?;
                writeln!(out, "the cancellation of job {job} is accepted")?;
            }
            Self::List { entry, shard } => {
                for job in OperatorClient::open(entry).shard_jobs(&shard).await? {
                    write_job(&job, out)?;
                }
            }
        }
        Ok(())
    }
}

fn read_job(path: &Path) -> Result<JobSubmission, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::Unreadable { path: path.into(), source })?;
    serde_json::from_str(&text)
        .map_err(|error| CommandError::InvalidFile { path: path.into(), reason: error.to_string() })
}

fn write_job(job: &JobStatus, out: &mut dyn Write) -> Result<(), CommandError> {
    write!(out, "job {}/{} in shard {}: {}", job.plan, job.key, job.shard, job.kind)?;
    if job.cancelled {
        write!(out, ", cancelled")?;
    }
    if let Some(reason) = &job.parked {
        write!(out, ", parked: {}", serde_json::to_string(reason)?)?;
    }
    writeln!(out)?;
    for task in &job.tasks {
        let state = match &task.state {
            TaskPhase::Pending { reason: None } => "pending".to_owned(),
            TaskPhase::Pending { reason: Some(reason) } => {
                format!("pending: {}", serde_json::to_string(reason)?)
            }
            TaskPhase::Placed { vm, token } => format!("placed on {vm}, token {token}"),
            TaskPhase::Moved { to } => format!("moved to shard {to}"),
            TaskPhase::Ended(outcome) => format!("ended: {}", serde_json::to_string(outcome)?),
        };
        writeln!(
            out,
            "  task {}: {state} (placements {}, failures {})",
            task.index, task.placements, task.failures
        )?;
    }
    Ok(())
}
