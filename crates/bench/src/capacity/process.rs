//! Memory, processor time and traffic of processes, from `/proc` and `ss`.
//!
//! Processes are named by their process ids as text.

use std::collections::HashMap;
use std::fs;
use std::process::Command;

use anyhow::Context;

/// Clock ticks of `/proc` per second; fixed in the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resident memory in KiB.
pub fn resident(process: &str) -> anyhow::Result<u64> {
    let path = format!("/proc/{process}/status");
    let status = fs::read_to_string(&path).with_context(|| format!("could not read {path}"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value
        .context("process status has no resident memory")?
        .parse()
        .context("could not parse resident memory")
}

/// Resident memory of this process in KiB.
pub fn own_resident() -> anyhow::Result<u64> {
    resident("self")
}

/// Seconds of processor time that a process has used.
pub fn processor_seconds(process: &str) -> anyhow::Result<f64> {
    let path = format!("/proc/{process}/stat");
    let stat = fs::read_to_string(&path).with_context(|| format!("could not read {path}"))?;
    // The program name in parentheses may contain spaces.
    let (_, fields) = stat.rsplit_once(')').context("process stat has no program name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| -> anyhow::Result<f64> {
        fields
            .get(index)
            .context("process stat has too few fields")?
            .parse()
            .context("could not parse clock ticks")
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Process id of a child of this process whose command line contains `text`.
pub fn child_with_argument(text: &str) -> anyhow::Result<String> {
    let own = std::process::id().to_string();
    for folder in fs::read_dir("/proc").context("could not list processes")?.flatten() {
        let process = folder.file_name().to_string_lossy().into_owned();
        if !process.bytes().all(|byte| byte.is_ascii_digit()) {
            continue;
        }
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let parent = stat.rsplit_once(')').and_then(|(_, fields)| fields.split_whitespace().nth(1));
        let command_line =
            fs::read_to_string(format!("/proc/{process}/cmdline")).unwrap_or_default();
        if parent == Some(own.as_str()) && command_line.contains(text) {
            return Ok(process);
        }
    }
    anyhow::bail!("no child process has {text} in its command line")
}

/// Bytes sent and received by each of `processes` on open connections with one
/// another and with `service`, as reported by `ss` of iproute2.
///
/// Connections to the stand-ins of the same VM are left out, since they would not
/// cross the network.
pub fn socket_bytes(processes: &[String], service: &str) -> anyhow::Result<Vec<u64>> {
    let output = Command::new("ss").arg("-tinpH").output().context("could not run ss")?;
    let text = String::from_utf8_lossy(&output.stdout);
    let mut sockets = Vec::new();
    let mut local_ends = HashMap::new();
    let mut lines = text.lines();
    while let (Some(socket), Some(detail)) = (lines.next(), lines.next()) {
        let fields: Vec<&str> = socket.split_whitespace().collect();
        let &[_, _, _, local, peer, ref users @ ..] = fields.as_slice() else { continue };
        let is_open_in = |process: &String| {
            let pid_field = format!("pid={process},");
            users.iter().any(|users| users.contains(&pid_field))
        };
        let Some(position) = processes.iter().position(is_open_in) else { continue };
        let count = |name: &str| -> u64 {
            let value = detail.split_whitespace().find_map(|field| field.strip_prefix(name));
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        local_ends.insert(local, position);
        sockets.push((position, peer, count("bytes_sent:") + count("bytes_received:")));
    }
    let mut bytes = vec![0; processes.len()];
    for (position, peer, count) in sockets {
        if peer == service || local_ends.contains_key(peer) {
            bytes[position] += count;
        }
    }
    Ok(bytes)
}
