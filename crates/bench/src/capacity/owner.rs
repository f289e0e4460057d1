//! Cost of the decisions of one shard's owner.

use cactusdoor_core::job::JobClass;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_owner::scheduler::EntryView;
use std::time::Instant;

use super::shard::{ModelShard, TASKS_PER_VM, job};
use super::{micros_each, process, wire};
use crate::report::ReportTable;

/// VMs of each measured shard.
const VM_COUNTS: [usize; 4] = [24, 95, 190, 2_100];
/// Placements of one measurement, eight rounds of the owner.
const PLACEMENTS: u32 = 4_096;
/// Repetitions, of which the median is printed.
const REPEATS: usize = 5;
/// Ticks of the owner in four seconds, one every 50 ms.
const TICKS: usize = 80;

pub fn run() -> anyhow::Result<()> {
    let mut table = ReportTable::new(&[
        "VMs",
        "tasks",
        "heartbeat us",
        "idle tick us",
        "placement us",
        "placements/s on a core",
        "end us",
        "roster us",
        "roster bytes",
        "full roster bytes",
        "resident KiB",
    ]);
    // Earlier shards stay allocated, so that later ones do not reuse their memory.
    let mut shards = Vec::new();
    for vms in VM_COUNTS {
        let before = process::own_resident()?;
        let mut shard = ModelShard::with_running_tasks(vms)?;
        let resident = process::own_resident()?.saturating_sub(before);
        table.row(measure_shard(&mut shard, vms, resident)?);
        shards.push(shard);
    }
    print!("{}", table.text());
    Ok(())
}

fn measure_shard(shard: &mut ModelShard, vms: usize, resident: u64) -> anyhow::Result<Vec<String>> {
    shard.take_scheduler_time();
    for _ in 0..REPEATS {
        shard.exchange_heartbeats()?;
    }
    let heartbeat = micros_each(shard.take_scheduler_time(), REPEATS * vms);
    let mut ticks = std::time::Duration::ZERO;
    for number in 1..=TICKS {
        shard.tick(50)?;
        ticks += shard.take_scheduler_time();
        if number % 20 == 0 {
            shard.exchange_heartbeats()?;
            shard.take_scheduler_time();
        }
    }
    let (roster, update_bytes, full_bytes) = measure_roster(shard)?;
    let (mut placing, mut ending) = (Vec::new(), Vec::new());
    for repeat in 0..REPEATS {
        let need = ResourceVector::new(4, 4, 0);
        let mut spec = job(1_000_000 + repeat, JobClass::Batch, PLACEMENTS, need)?;
        // A separate kind, so that the need learned from the running tasks does not apply.
        spec.kind = "settlement".parse()?;
        let id = spec.id.clone();
        shard.submit(spec)?;
        shard.take_scheduler_time();
        shard.place(PLACEMENTS as usize)?;
        placing.push(micros_each(shard.take_scheduler_time(), PLACEMENTS as usize));
        // The ends arrive in heartbeats; the cost of heartbeats without ends is subtracted.
        let ended = shard.end_tasks(|held| held.task.job == id)?;
        ending.push(
            (micros_each(shard.take_scheduler_time(), 1) - heartbeat * vms as f64) / ended as f64,
        );
        shard.exchange_heartbeats()?;
        shard.take_scheduler_time();
    }
    let (placing, ending) = (median(placing), median(ending));
    Ok(vec![
        vms.to_string(),
        (vms * TASKS_PER_VM as usize).to_string(),
        format!("{heartbeat:.1}"),
        format!("{:.1}", micros_each(ticks, TICKS)),
        format!("{placing:.1}"),
        format!("{:.0}", 1e6 / placing),
        format!("{ending:.1}"),
        format!("{roster:.0}"),
        update_bytes.to_string(),
        full_bytes.to_string(),
        resident.to_string(),
    ])
}

/// Microseconds and bytes of a roster update after the load of every upstream has
/// changed, and bytes of a full update.
fn measure_roster(shard: &mut ModelShard) -> anyhow::Result<(f64, usize, usize)> {
    let mut view = EntryView::default();
    let full_bytes = shard.scheduler.roster(shard.now, &mut view);
    let full_bytes =
        full_bytes.map(|update| wire::encoded_length(&update)).transpose()?.unwrap_or(0);
    let (mut times, mut bytes) = (Vec::new(), 0);
    for _ in 0..REPEATS {
        shard.exchange_heartbeats()?;
        let begin = Instant::now();
        let update = shard.scheduler.roster(shard.now, &mut view);
        times.push(micros_each(begin.elapsed(), 1));
        bytes = update.map(|update| wire::encoded_length(&update)).transpose()?.unwrap_or(0);
    }
    shard.take_scheduler_time();
    Ok((median(times), bytes, full_bytes))
}

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
