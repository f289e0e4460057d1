//! `cactusdoor-fleet trace`: the decisions about one job in the logs of all processes.

use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, stdin, stdout};
use std::path::{Path, PathBuf};

use anyhow::Context as _;
use serde_json::Value;

use crate::check::Run;

/// Prints the decisions about one job in the order of their time.
pub struct JobTrace {
    pub job: String,
    /// Logs of the processes; standard input if empty.
    pub files: Vec<PathBuf>,
}

impl Run for JobTrace {
    fn run(self) -> anyhow::Result<()> {
        let mut lines = Vec::new();
        for path in &self.files {
            lines.extend(read_file(path, &self.job)?);
        }
        if self.files.is_empty() {
            lines.extend(read_lines(stdin().lock(), &self.job).context("could not read the logs")?);
        }
        match print(lines, stdout().lock()) {
            // The process that reads the output has closed the pipe.
            Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
            written => written.context("could not write the trace"),
        }
    }
}

fn read_file(path: &Path, job: &str) -> anyhow::Result<Vec<Value>> {
    let file = File::open(path).with_context(|| format!("could not open {}", path.display()))?;
    read_lines(BufReader::new(file), job)
        .with_context(|| format!("could not read {}", path.display()))
}

/// Reads the decisions about `job`; text before the first brace of a line is skipped, as
/// log collectors add names and times there.
pub fn read_lines(input: impl BufRead, job: &str) -> std::io::Result<Vec<Value>> {
    let mut found = Vec::new();
    for line in input.lines() {
        let line = line?;
        let Some(start) = line.find('{').filter(|_| line.contains(job)) else { continue };
        if let Ok(decision) = serde_json::from_str::<Value>(&line[start..])
            && is_about(&decision, job)
        {
            found.push(decision);
        }
    }
    Ok(found)
}

fn is_about(decision: &Value, job: &str) -> bool {
    let names_job = decision["job"].as_str() == Some(job);
    let task = decision["task"].as_str().and_then(|task| task.strip_prefix(job));
    names_job || task.is_some_and(|suffix| suffix.starts_with('.'))
}

/// Writes decisions in the order of their time.
pub fn print(mut decisions: Vec<Value>, mut output: impl std::io::Write) -> std::io::Result<()> {
    decisions.sort_by_key(|decision| decision["at"].as_u64());
    for decision in decisions {
        writeln!(output, "{decision}")?;
    }
    Ok(())
}
