//! Folds, snapshots, configuration and the routing state of an entry.

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
use super::{each, process};
use crate::report::ReportTable;

const REPEATS: usize = 5;

pub fn run() -> anyhow::Result<()> {
    // All state stays alive to the end, so that later states do not reuse its memory.
    let _pools = routing()?;
    let _folds = folds()?;
    let _claims = claims()?;
    configurations()
}

fn writer() -> anyhow::Result<WriterId> {
    Ok(WriterId { process: "agent-north-0012".parse()?, incarnation: 0x1234_5678_9abc_def0 })
}

/// Folds records as they are encoded, so that no freed memory hides what the
/// fold takes; tells the time of the folding alone.
struct TimedFold<F> {
    fold: F,
    writer: WriterId,
    next: Offset,
    spent: Duration,
    resident: u64,
}

impl<F: StreamFold> TimedFold<F> {
    fn open(fold: F) -> anyhow::Result<Self> {
        let (writer, resident) = (writer()?, process::own_resident()?);
        Ok(Self { fold, writer, next: 0, spent: Duration::ZERO, resident })
    }

    fn add(&mut self, body: F::Record) -> anyhow::Result<()> {
        let (writer, sequence) = (self.writer.clone(), self.next + 1);
        let text = LogEnvelope { writer, sequence, body }.encode()?;
        let begin = Instant::now();
        fold_text(&mut self.fold, self.next, &text)?;
        self.spent += begin.elapsed();
        self.next += 1;
        Ok(())
    }

    fn micros(&self) -> f64 {
        each(self.spent, usize::try_from(self.next).unwrap_or(usize::MAX))
    }

    fn resident(&self) -> anyhow::Result<u64> {
        Ok(process::own_resident()?.saturating_sub(self.resident))
    }
}

/// The whole life of `jobs` jobs with `tasks` tasks each.
fn task_fold(jobs: usize, tasks: u32) -> anyhow::Result<TimedFold<ShardFold>> {
    let owner = identity(0)?;
    let (vm, address) = (owner.vm, owner.address);
    let mut fold = TimedFold::open(ShardFold::new("north-0".parse()?))?;
    fold.add(TaskRecord::OwnerClaimed { epoch: 1, owner: vm.clone(), address })?;
    for number in 0..jobs {
        let spec = job(number, JobClass::Batch, tasks, ResourceVector::new(1_000, 4_000, 0))?;
        let (id, need) = (spec.id.clone(), spec.need);
        fold.add(TaskRecord::JobSubmitted(spec))?;
        for index in 0..tasks {
            let task = TaskId { job: id.clone(), index };
            let (token, vm) = (fold.next, vm.clone());
            fold.add(TaskRecord::TaskPlaced { epoch: 1, task: task.clone(), vm, need })?;
            let end = PlacementEnd::Finished { digest: u64::MAX / 3 };
            fold.add(TaskRecord::TaskEnded { epoch: 1, task, token, end })?;
        }
    }
    Ok(fold)
}

fn folds() -> anyhow::Result<Vec<ShardFold>> {
    let mut table = ReportTable::new(&[
        "jobs",
        "tasks a job",
        "records",
        "fold us/record",
        "snapshot bytes",
        "snapshot ms",
        "resident KiB",
    ]);
    let mut kept = Vec::new();
    let sizes = [(1_000, 1), (5_000, 1), (19_000, 1), (1_000, 13), (5_000, 13), (19_000, 13)];
    for (jobs, tasks) in sizes {
        let fold = task_fold(jobs, tasks)?;
        let (records, spent, resident) = (fold.next, fold.micros(), fold.resident()?);
        kept.push(fold.fold);
        let Some(fold) = kept.last() else { continue };
        let begin = Instant::now();
        let mut snapshot = ByteCount::default();
        serde_json::to_writer(&mut snapshot, fold)?;
        let encoding = begin.elapsed().as_secs_f64() * 1e3;
        table.row(vec![
            jobs.to_string(),
            tasks.to_string(),
            records.to_string(),
            format!("{spent:.2}"),
            snapshot.0.to_string(),
            format!("{encoding:.1}"),
            resident.to_string(),
        ]);
    }
    println!("Task stream, all tasks ended:\n\n{}", table.text());
    Ok(kept)
}

/// Counts what is written, without keeping it.
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

fn claims() -> anyhow::Result<Vec<ClaimFold>> {
    let mut table = ReportTable::new(&["claims", "fold us/record", "resident KiB"]);
    let agent = identity(0)?;
    let mut kept = Vec::new();
    for count in [10_000_u64, 50_000, 100_000] {
        let mut fold = TimedFold::open(ClaimFold::default())?;
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
        let (spent, resident) = (fold.micros(), fold.resident()?);
        table.row(vec![count.to_string(), format!("{spent:.2}"), resident.to_string()]);
        kept.push(fold.fold);
    }
    println!("Claim stream, no body kept:\n\n{}", table.text());
    Ok(kept)
}

fn configurations() -> anyhow::Result<()> {
    let mut table =
        ReportTable::new(&["plans", "items", "change us", "copy us", "delta us", "snapshot bytes"]);
    for plans in [65, 650, 6_500] {
        let mut fold = configuration(plans)?;
        let (mut changes, mut copies, mut deltas) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..990_u64 {
            let text = change(&fold, number)?;
            let begin = Instant::now();
            fold_text(&mut fold, number + 1, &text)?;
            changes.push(each(begin.elapsed(), 1));
            let begin = Instant::now();
            let copy = fold.state().clone();
            copies.push(each(begin.elapsed(), 1));
            let begin = Instant::now();
            let delta = copy.delta_since(number + 1);
            deltas.push(each(begin.elapsed(), 1));
            anyhow::ensure!(delta.items.len() == 1, "the change was not accepted");
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

fn change(fold: &ConfigFold, number: u64) -> anyhow::Result<String> {
    let plan: cactusdoor_core::name::PlanName = format!("plan-{:02}", number % 65).parse()?;
    let premise = fold.state().premise(&ItemName::Plan(plan.clone()));
    let weight = 1 + u32::try_from(number % 1_000)?;
    let spec = PlanSpec { team: "team-01".parse()?, weight };
    let items = vec![ItemChange { premise, value: ItemValue::Plan(plan, Some(spec)) }];
    let body = ConfigRecord::Changed { items };
    Ok(LogEnvelope { writer: writer()?, sequence: number + 1, body }.encode()?)
}

fn routing() -> anyhow::Result<Vec<ServicePool>> {
    const CHOICES: usize = 20_000;
    const POOLS: usize = 20;
    let mut table = ReportTable::new(&["upstreams", "choice us", "end us", "bytes/upstream"]);
    let mut kept = Vec::new();
    for count in [100, 500, 2_100] {
        let before = process::own_resident()?;
        let pools: anyhow::Result<Vec<ServicePool>> = (0..POOLS).map(|_| pool(count)).collect();
        let mut pools = pools?;
        let resident = process::own_resident()?.saturating_sub(before) * 1_024;
        let mut pool = pools.swap_remove(0);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let local = "dc-00".parse()?;
        let now = Moment(1_000_000);
        let (mut choices, mut ends) = (Vec::new(), Vec::new());
        for _ in 0..REPEATS {
            let (mut choosing, mut ending) = (0.0, 0.0);
            for _ in 0..CHOICES / REPEATS {
                let pair = [random.random(), random.random()];
                let begin = Instant::now();
                let choice = pool.choose(now, &local, |_| true, &[], pair);
                choosing += each(begin.elapsed(), 1);
                let PoolChoice::Send(vm) = choice else { anyhow::bail!("no upstream chosen") };
                pool.sent(&vm);
                let latency = 20_000 + random.random_range(0..5_000);
                let begin = Instant::now();
                pool.ended(&vm, now, AttemptResult::Answered(latency));
                ending += each(begin.elapsed(), 1);
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
        kept.push(pool);
        kept.append(&mut pools);
    }
    println!("Routing among upstreams of one service in 11 data centres:\n\n{}", table.text());
    Ok(kept)
}

fn pool(count: usize) -> anyhow::Result<ServicePool> {
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
        pool.list(&vm, listing);
    }
    Ok(pool)
}
