//! Cost of folds, snapshots, configuration changes and an entry's routing state.

use std::io;
use std::time::{Duration, Instant};

use cactusdoor_core::claim::{ClaimFold, ClaimRecord, ClaimSpec, RequestKey};
use cactusdoor_core::config::{
    ConfigFold, ConfigRecord, ItemChange, ItemName, ItemValue, PlanSpec,
};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::fold::{StreamFold, fold_text};
use cactusdoor_core::job::{JobClass, PlacementEnd, TaskId};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_policy::routing::pool::{AttemptResult, PoolChoice, ServicePool};
use cactusdoor_policy::routing::upstream::UpstreamListing;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::owner::median;
use super::shard::{configuration, identity, job};
use super::{micros_each, process};
use crate::report::ReportTable;

/// Repetitions, of which the median is printed.
const REPEATS: usize = 5;

pub fn run() -> anyhow::Result<()> {
    // All state stays allocated, so that later states do not reuse its memory.
    let _pools = measure_routing()?;
    let _folds = measure_task_folds()?;
    let _claims = measure_claim_folds()?;
    measure_configuration()
}

fn writer() -> anyhow::Result<WriterId> {
    Ok(WriterId { process: "agent-north-0012".parse()?, incarnation: 0x1234_5678_9abc_def0 })
}

/// Folds each record as soon as it is encoded, so that no freed memory hides the
/// memory of the fold. Measures the time of folding without encoding.
struct TimedFold<F> {
    fold: F,
    writer: WriterId,
    next_offset: Offset,
    folding_time: Duration,
    /// KiB of the process before the first record.
    resident_before: u64,
}

impl<F: StreamFold> TimedFold<F> {
    fn new(fold: F) -> anyhow::Result<Self> {
        let (writer, resident_before) = (writer()?, process::own_resident()?);
        Ok(Self { fold, writer, next_offset: 0, folding_time: Duration::ZERO, resident_before })
    }

    fn add(&mut self, body: F::Record) -> anyhow::Result<()> {
        let (writer, sequence) = (self.writer.clone(), self.next_offset + 1);
        let text = LogEnvelope { writer, sequence, body }.encode()?;
        let begin = Instant::now();
        fold_text(&mut self.fold, self.next_offset, &text)?;
        self.folding_time += begin.elapsed();
        self.next_offset += 1;
        Ok(())
    }

    /// Microseconds per record.
    fn micros_per_record(&self) -> f64 {
        micros_each(self.folding_time, usize::try_from(self.next_offset).unwrap_or(usize::MAX))
    }

    /// Memory of the fold in KiB.
    fn resident(&self) -> anyhow::Result<u64> {
        Ok(process::own_resident()?.saturating_sub(self.resident_before))
    }
}

/// Fold of `jobs` jobs with `tasks` tasks each, from submission to the end of every task.
fn task_fold(jobs: usize, tasks: u32) -> anyhow::Result<TimedFold<ShardFold>> {
    let owner = identity(0)?;
    let (vm, address) = (owner.vm, owner.address);
    let mut fold = TimedFold::new(ShardFold::new("north-0".parse()?))?;
    fold.add(TaskRecord::OwnerClaimed { epoch: 1, owner: vm.clone(), address })?;
    for number in 0..jobs {
        let spec = job(number, JobClass::Batch, tasks, ResourceVector::new(1_000, 4_000, 0))?;
        let (id, need) = (spec.id.clone(), spec.need);
        fold.add(TaskRecord::JobSubmitted(spec))?;
        for index in 0..tasks {
            let task = TaskId { job: id.clone(), index };
            let (token, vm) = (fold.next_offset, vm.clone());
            fold.add(TaskRecord::TaskPlaced { epoch: 1, task: task.clone(), vm, need })?;
            let end = PlacementEnd::Finished { digest: u64::MAX / 3 };
            fold.add(TaskRecord::TaskEnded { epoch: 1, task, token, end })?;
        }
    }
    Ok(fold)
}

fn measure_task_folds() -> anyhow::Result<Vec<ShardFold>> {
    let mut table = ReportTable::new(&[
        "jobs",
        "tasks a job",
        "records",
        "fold us/record",
        "snapshot bytes",
        "snapshot ms",
        "resident KiB",
    ]);
    let mut folds = Vec::new();
    let sizes = [(1_000, 1), (5_000, 1), (19_000, 1), (1_000, 13), (5_000, 13), (19_000, 13)];
    for (jobs, tasks) in sizes {
        let fold = task_fold(jobs, tasks)?;
        let (records, micros, resident) =
            (fold.next_offset, fold.micros_per_record(), fold.resident()?);
        folds.push(fold.fold);
        let Some(fold) = folds.last() else { continue };
        let begin = Instant::now();
        let mut snapshot = ByteCount::default();
        serde_json::to_writer(&mut snapshot, fold)?;
        let encoding_ms = begin.elapsed().as_secs_f64() * 1e3;
        table.row(vec![
            jobs.to_string(),
            tasks.to_string(),
            records.to_string(),
            format!("{micros:.2}"),
            snapshot.0.to_string(),
            format!("{encoding_ms:.1}"),
            resident.to_string(),
        ]);
    }
    println!("Task stream, all tasks ended:\n\n{}", table.text());
    Ok(folds)
}

/// Counts the bytes written and discards them.
#[derive(Default)]
struct ByteCount(usize);

impl io::Write for ByteCount {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn measure_claim_folds() -> anyhow::Result<Vec<ClaimFold>> {
    let mut table = ReportTable::new(&["claims", "fold us/record", "resident KiB"]);
    let agent = identity(0)?;
    let mut folds = Vec::new();
    for count in [10_000_u64, 50_000, 100_000] {
        let mut fold = TimedFold::new(ClaimFold::default())?;
        for number in 0..count {
            let key = format!("settle-2026-12-04-{number:08}").parse()?;
            fold.add(ClaimRecord::Claimed(ClaimSpec {
                key: RequestKey { plan: "plan-01".parse()?, key },
                request_digest: u64::MAX / 3,
                agent: agent.vm.clone(),
                agent_incarnation: agent.incarnation,
                claimed_unix_ms: 1_700_000_000_000,
            }))?;
        }
        let (micros, resident) = (fold.micros_per_record(), fold.resident()?);
        table.row(vec![count.to_string(), format!("{micros:.2}"), resident.to_string()]);
        folds.push(fold.fold);
    }
    println!("Claim stream, no body kept:\n\n{}", table.text());
    Ok(folds)
}

fn measure_configuration() -> anyhow::Result<()> {
    let mut table =
        ReportTable::new(&["plans", "items", "change us", "copy us", "delta us", "snapshot bytes"]);
    for plans in [65, 650, 6_500] {
        let mut fold = configuration(plans)?;
        let (mut changes, mut copies, mut deltas) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..990_u64 {
            let text = config_change(&fold, number)?;
            let begin = Instant::now();
            fold_text(&mut fold, number + 1, &text)?;
            changes.push(micros_each(begin.elapsed(), 1));
            let begin = Instant::now();
            let copy = fold.state().clone();
            copies.push(micros_each(begin.elapsed(), 1));
            let begin = Instant::now();
            let delta = copy.delta_since(number + 1);
            deltas.push(micros_each(begin.elapsed(), 1));
            anyhow::ensure!(delta.items.len() == 1, "the configuration change was not accepted");
        }
        table.row(vec![
            plans.to_string(),
            fold.state().items().count().to_string(),
            format!("{:.2}", median(changes)),
            format!("{:.1}", median(copies)),
            format!("{:.1}", median(deltas)),
            serde_json::to_vec(&fold)?.len().to_string(),
        ]);
    }
    println!("Configuration, 990 changes of one item:\n\n{}", table.text());
    Ok(())
}

/// Encoded record that changes the weight of one plan.
fn config_change(fold: &ConfigFold, number: u64) -> anyhow::Result<String> {
    let plan: cactusdoor_core::name::PlanName = format!("plan-{:02}", number % 65).parse()?;
    let premise = fold.state().premise(&ItemName::Plan(plan.clone()));
    let weight = 1 + u32::try_from(number % 1_000)?;
    let spec = PlanSpec { team: "team-01".parse()?, weight };
    let items = vec![ItemChange { premise, value: ItemValue::Plan(plan, Some(spec)) }];
    let body = ConfigRecord::Changed { items };
    Ok(LogEnvelope { writer: writer()?, sequence: number + 1, body }.encode()?)
}

fn measure_routing() -> anyhow::Result<Vec<ServicePool>> {
    /// Choices of one measurement.
    const CHOICES: usize = 20_000;
    /// Pools of each size, to measure the mean memory of one.
    const POOLS: usize = 20;
    let mut table = ReportTable::new(&["upstreams", "choice us", "end us", "bytes/upstream"]);
    let mut all_pools = Vec::new();
    for count in [100, 500, 2_100] {
        let before = process::own_resident()?;
        let pools: anyhow::Result<Vec<ServicePool>> =
            (0..POOLS).map(|_| service_pool(count)).collect();
        let mut pools = pools?;
        let resident = process::own_resident()?.saturating_sub(before) * 1_024;
        let mut pool = pools.swap_remove(0);
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let local = "dc-00".parse()?;
        let now = Moment(1_000_000);
        let (mut choices, mut ends) = (Vec::new(), Vec::new());
        for _ in 0..REPEATS {
            let (mut choosing, mut ending) = (0.0, 0.0);
            for _ in 0..CHOICES / REPEATS {
                let pair = [rng.random(), rng.random()];
                let begin = Instant::now();
                let choice = pool.choose(now, &local, |_| true, &[], pair);
                choosing += micros_each(begin.elapsed(), 1);
                let PoolChoice::Send(vm) = choice else {
                    anyhow::bail!("the pool chose no upstream")
                };
                pool.sent(&vm);
                let latency = 20_000 + rng.random_range(0..5_000);
                let begin = Instant::now();
                pool.ended(&vm, now, AttemptResult::Answered(latency));
                ending += micros_each(begin.elapsed(), 1);
            }
            choices.push(choosing * REPEATS as f64 / CHOICES as f64);
            ends.push(ending * REPEATS as f64 / CHOICES as f64);
        }
        table.row(vec![
            count.to_string(),
            format!("{:.1}", median(choices)),
            format!("{:.1}", median(ends)),
            (resident / (POOLS * count) as u64).to_string(),
        ]);
        all_pools.push(pool);
        all_pools.append(&mut pools);
    }
    println!("Routing among upstreams of one service in 11 data centres:\n\n{}", table.text());
    Ok(all_pools)
}

/// A pool of `count` upstreams in 11 data centres.
fn service_pool(count: usize) -> anyhow::Result<ServicePool> {
    let mut pool = ServicePool::default();
    for number in 0..count {
        let listing = UpstreamListing {
            data_centre: format!("dc-{:02}", number % 11).parse()?,
            incarnation: 7,
            leaving: false,
            slots: 8,
            connections: 64,
            latency: 20_000,
        };
        let vm: VmName = format!("north-vm-{number:04}").parse()?;
        pool.update_listing(&vm, listing);
    }
    Ok(pool)
}
