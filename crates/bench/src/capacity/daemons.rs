//! Processor time, memory and traffic of running daemons, idle and under load.

use std::time::Duration;

use anyhow::Context;
use awc::http::Method;
use bytes::Bytes;
use cactusdoor_core::config::{AllowanceSpec, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::name::{PlanName, ServiceName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_standin::harness::{ApiClient, Cluster, ClusterSpec};
use cactusdoor_standin::upstream::UpstreamOptions;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use super::process;
use crate::report::ReportTable;

/// Agents of each measured cluster.
const AGENT_COUNTS: [usize; 3] = [3, 12, 24];
/// Longest time until the cluster is ready, and then until an upstream answers.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Length of one measurement.
const MEASURED_TIME: Duration = Duration::from_secs(8);
/// Interactive requests per second through the entry.
const REQUEST_RATE: u32 = 200;
/// Task starts per second.
const START_RATE: u32 = 20;

/// Resource usage of one daemon.
struct DaemonUsage {
    /// Processor time in percent of one core.
    core_percent: f64,
    /// Resident memory in KiB.
    resident: u64,
    /// Sent and received, without connections to stand-ins of the same VM.
    kilobytes_per_second: f64,
}

pub async fn run() -> anyhow::Result<()> {
    let mut table = ReportTable::new(&[
        "agents",
        "load",
        "entry core %",
        "entry KiB",
        "entry KB/s",
        "owner core %",
        "owner KiB",
        "owner KB/s",
        "other agents core %, median",
        "other agents KiB, highest",
        "other agents KB/s, median",
        "log appends/s",
    ]);
    for agents in AGENT_COUNTS {
        measure_cluster(agents, &mut table).await?;
    }
    print!("{}", table.text());
    println!(
        "\nLoad: {REQUEST_RATE} interactive requests/s and {START_RATE} task starts/s of 1 s each."
    );
    Ok(())
}

/// Measures a cluster of `agents` agents idle, then under load.
async fn measure_cluster(agents: usize, table: &mut ReportTable) -> anyhow::Result<()> {
    let service: ServiceName = "counter".parse()?;
    let mut spec = ClusterSpec::uniform(1, 1, agents);
    spec.upstream = Some(UpstreamOptions {
        name: String::new(),
        service: service.clone(),
        agent: None,
        announced: None,
        slots: 8,
        connections: 64,
        service_time_ms: 5,
        answer_bytes: 500,
        history: None,
    });
    let mut cluster = Cluster::spawn(&spec)?;
    cluster.wait_ready(STARTUP_TIMEOUT).await?;
    let plan: PlanName = "plan-1".parse()?;
    publish_plan(&cluster, &plan).await?;
    let caller = caller_client(&cluster)?;
    let begin = Instant::now();
    while caller.interactive(&service, &plan, Bytes::from("{}")).await?.status != 200 {
        anyhow::ensure!(begin.elapsed() < STARTUP_TIMEOUT, "no upstream answered in time");
        sleep(Duration::from_millis(50)).await;
    }
    sleep(Duration::from_secs(3)).await;
    table.row(measure_daemons(&cluster, agents, "idle", async { Ok(()) }).await?);
    let load = offer_load(&caller, &service, &plan);
    table.row(measure_daemons(&cluster, agents, "load", load).await?);
    Ok(())
}

fn caller_client(cluster: &Cluster) -> anyhow::Result<ApiClient> {
    Ok(ApiClient::open(cluster.entries.first().context("the cluster has no entry")?.callers))
}

/// Configures `plan` with an allowance that the load does not reach.
async fn publish_plan(cluster: &Cluster, plan: &PlanName) -> anyhow::Result<()> {
    let batch = ResourceVector::new(8_000_000, 64_000_000, 0);
    let allowance = AllowanceSpec { batch, requests_per_second: 100_000 };
    let spec = PlanSpec { team: "team-1".parse()?, weight: 1 };
    let values = [
        ItemValue::Plan(plan.clone(), Some(spec)),
        ItemValue::Allowance(plan.clone(), Some(allowance)),
    ];
    let items = values.map(|value| ItemChange { premise: 0, value });
    let operator =
        ApiClient::open(cluster.entries.first().context("the cluster has no entry")?.operator);
    let body = json!({ "items": items });
    operator.send_json(Method::POST, "/v1/config/changes", &[], &body).await?.success()?;
    Ok(())
}

/// Offers requests and jobs for the length of a measurement.
async fn offer_load(
    caller: &ApiClient,
    service: &ServiceName,
    plan: &PlanName,
) -> anyhow::Result<()> {
    let begin = Instant::now();
    let mut number = 0_u32;
    while begin.elapsed() < MEASURED_TIME {
        if number.is_multiple_of(REQUEST_RATE) {
            let job = json!({
                "plan": plan,
                "kind": "transcription",
                "class": "batch",
                "tasks": START_RATE,
                "need": ResourceVector::new(1_000, 1_000, 0),
                "run_time_ms": 1_000,
                "checkpoints": true,
            });
            let (caller, key) = (caller.clone(), format!("job-{number}"));
            actix_rt::spawn(async move {
                if let Err(error) = caller.submit(&key, &job).await {
                    eprintln!("could not submit job {key}: {error}");
                }
            });
        }
        let (caller, service, plan) = (caller.clone(), service.clone(), plan.clone());
        actix_rt::spawn(async move {
            let answer = caller.interactive(&service, &plan, Bytes::from("{}")).await;
            if !answer.is_ok_and(|answer| answer.status == 200) {
                eprintln!("an interactive request was not answered with status 200");
            }
        });
        number += 1;
        sleep_until(begin + Duration::from_secs(1) * number / REQUEST_RATE).await;
    }
    Ok(())
}

/// Table row of the daemons' usage while `load` runs, for at least `MEASURED_TIME`.
async fn measure_daemons(
    cluster: &Cluster,
    agents: usize,
    name: &str,
    load: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<Vec<String>> {
    let names = cluster.entries.iter().map(|entry| &entry.name);
    let names: Vec<&String> = names.chain(cluster.vms.iter().map(|vm| &vm.agent)).collect();
    let processes: anyhow::Result<Vec<String>> =
        names.iter().map(|name| process::child_with_argument(&format!("/{name}.ini"))).collect();
    let processes = processes?;
    let processor_time = |process: &String| process::processor_seconds(process);
    let before = processes.iter().map(processor_time).collect::<anyhow::Result<Vec<f64>>>()?;
    let appends = cluster.log.counters().appends;
    let service = cluster.log.address().to_string();
    let bytes = process::socket_bytes(&processes, &service)?;
    let begin = Instant::now();
    load.await?;
    sleep_until(begin + MEASURED_TIME).await;
    let seconds = begin.elapsed().as_secs_f64();
    let mut usages = Vec::new();
    let bytes_after = process::socket_bytes(&processes, &service)?;
    let bytes = bytes_after.iter().zip(bytes).map(|(after, before)| after.saturating_sub(before));
    for ((process, before), bytes) in processes.iter().zip(before).zip(bytes) {
        let core_percent = 100.0 * (process::processor_seconds(process)? - before) / seconds;
        let resident = process::resident(process)?;
        let kilobytes_per_second = bytes as f64 / 1e3 / seconds;
        usages.push(DaemonUsage { core_percent, resident, kilobytes_per_second });
    }
    let appends = (cluster.log.counters().appends - appends) as f64 / seconds;
    let entry = usages.remove(0);
    let owner = owner_position(cluster).await?;
    let owner = usages.remove(owner);
    let other_cores = usages.iter().map(|daemon| daemon.core_percent).collect();
    let other_traffic = usages.iter().map(|daemon| daemon.kilobytes_per_second).collect();
    let highest_resident = usages.iter().map(|daemon| daemon.resident).max().unwrap_or(0);
    Ok(vec![
        agents.to_string(),
        name.to_owned(),
        format!("{:.1}", entry.core_percent),
        entry.resident.to_string(),
        format!("{:.1}", entry.kilobytes_per_second),
        format!("{:.1}", owner.core_percent),
        owner.resident.to_string(),
        format!("{:.1}", owner.kilobytes_per_second),
        format!("{:.1}", super::owner::median(other_cores)),
        highest_resident.to_string(),
        format!("{:.1}", super::owner::median(other_traffic)),
        format!("{appends:.1}"),
    ])
}

/// Position of the VM whose agent owns the shard.
async fn owner_position(cluster: &Cluster) -> anyhow::Result<usize> {
    let operator =
        ApiClient::open(cluster.entries.first().context("the cluster has no entry")?.operator);
    let roster: serde_json::Value = operator.get("/v1/roster").await?.success()?.json()?;
    let owner = roster["shards"][0]["owner"].as_str().context("the roster names no owner")?;
    let position = cluster.vms.iter().position(|vm| vm.vm == owner);
    position.with_context(|| format!("owner {owner} is not a VM of the cluster"))
}
