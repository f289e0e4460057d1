//! Memory and processor time of processes.

use std::fs;

use anyhow::Context;

/// Ticks of `/proc` in a second; fixed in the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resident memory in KiB.
pub fn resident(process: &str) -> anyhow::Result<u64> {
    let path = format!("/proc/{process}/status");
    let status = fs::read_to_string(&path).with_context(|| format!("could not read {path}"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.context("no resident memory in status")?.parse().context("could not parse memory")
}

/// Resident memory of this process in KiB.
pub fn own_resident() -> anyhow::Result<u64> {
    resident("self")
}

/// Seconds of processor time that a process has used.
pub fn processor_seconds(process: &str) -> anyhow::Result<f64> {
    let path = format!("/proc/{process}/stat");
    let stat = fs::read_to_string(&path).with_context(|| format!("could not read {path}"))?;
    // The name in parentheses may hold spaces.
    let (_, fields) = stat.rsplit_once(')').context("no name in stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> anyhow::Result<f64> {
        fields.get(index).context("stat is too short")?.parse().context("could not parse ticks")
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Children of this process whose command line contains `text`.
pub fn child_with(text: &str) -> anyhow::Result<String> {
    let own = std::process::id().to_string();
    for entry in fs::read_dir("/proc").context("could not list processes")?.flatten() {
        let process = entry.file_name().to_string_lossy().into_owned();
        if !process.bytes().all(|byte| byte.is_ascii_digit()) {
            continue;
        }
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let parent = stat.rsplit_once(')').and_then(|(_, rest)| rest.split_whitespace().nth(1));
        let line = fs::read_to_string(format!("/proc/{process}/cmdline")).unwrap_or_default();
        if parent == Some(own.as_str()) && line.contains(text) {
            return Ok(process);
        }
    }
    anyhow::bail!("no child process runs with {text}")
}
