//! Decisions of the owner of one shard.

use cactusdoor_core::job::JobClass;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_owner::scheduler::EntryView;
use std::time::Instant;

use super::shard::{ModelShard, TASKS_PER_VM, job};
use super::{each, process, wire};
use crate::report::ReportTable;

const SIZES: [usize; 4] = [24, 95, 190, 2_100];
/// Placements for one measurement; eight rounds of the owner.
const BATCH: u32 = 4_096;
const REPEATS: usize = 5;
/// Ticks of the owner in four seconds.
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
    // Shards stay alive, so that later ones do not reuse their memory.
    let mut shards = Vec::new();
    for vms in SIZES {
        let before = process::own_resident()?;
        let mut shard = ModelShard::filled(vms)?;
        let resident = process::own_resident()?.saturating_sub(before);
        table.row(measure(&mut shard, vms, resident)?);
        shards.push(shard);
    }
    print!("{}", table.text());
    Ok(())
}

fn measure(shard: &mut ModelShard, vms: usize, resident: u64) -> anyhow::Result<Vec<String>> {
    shard.take_spent();
    for _ in 0..REPEATS {
        shard.beat_all()?;
    }
    let beat = each(shard.take_spent(), REPEATS * vms);
    let mut ticks = std::time::Duration::ZERO;
    for number in 1..=TICKS {
        shard.tick(50)?;
        ticks += shard.take_spent();
        if number % 20 == 0 {
            shard.beat_all()?;
            shard.take_spent();
        }
    }
    let (roster, changes, full) = roster(shard)?;
    let (mut placing, mut ending) = (Vec::new(), Vec::new());
    for repeat in 0..REPEATS {
        let need = ResourceVector::new(4, 4, 0);
        let mut spec = job(1_000_000 + repeat, JobClass::Batch, BATCH, need)?;
        // What is learned of the running tasks must not change this need.
        spec.kind = "settlement".parse()?;
        let id = spec.id.clone();
        shard.submit(spec)?;
        shard.take_spent();
        shard.place(BATCH as usize)?;
        placing.push(each(shard.take_spent(), BATCH as usize));
        // The heartbeats that tell the ends are part of their cost.
        let ended = shard.finish(|held| held.task.job == id)?;
        ending.push((each(shard.take_spent(), 1) - beat * vms as f64) / ended as f64);
        shard.beat_all()?;
        shard.take_spent();
    }
    let (placing, ending) = (median(placing), median(ending));
    Ok(vec![
        vms.to_string(),
        (vms * TASKS_PER_VM as usize).to_string(),
        format!("{beat:.1}"),
        format!("{:.1}", each(ticks, TICKS)),
        format!("{placing:.1}"),
        format!("{:.0}", 1e6 / placing),
        format!("{ending:.1}"),
        format!("{roster:.0}"),
        changes.to_string(),
        full.to_string(),
        resident.to_string(),
    ])
}

/// Time and size of an update when the load of each upstream has changed, and
/// size of the complete list.
fn roster(shard: &mut ModelShard) -> anyhow::Result<(f64, usize, usize)> {
    let mut view = EntryView::default();
    let full = shard.book.roster(shard.now, &mut view);
    let full = full.map(|update| wire::encoded(&update)).transpose()?.unwrap_or(0);
    let (mut times, mut bytes) = (Vec::new(), 0);
    for _ in 0..REPEATS {
        shard.beat_all()?;
        let begin = Instant::now();
        let update = shard.book.roster(shard.now, &mut view);
        times.push(each(begin.elapsed(), 1));
        bytes = update.map(|update| wire::encoded(&update)).transpose()?.unwrap_or(0);
    }
    shard.take_spent();
    Ok((median(times), bytes, full))
}

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
