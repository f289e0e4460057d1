//! Grouped appends against one append per record, under a limit of appends.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_log::appender::{FlushMode, GroupAppender};
use cactusdoor_log::client::{AppendError, LogClient};
use cactusdoor_standin::log_service::{LogOptions, LogStandin};
use tokio::time::{Instant, sleep, sleep_until};

use super::shard;
use crate::report::{LatencyRecord, ReportTable};

const LIMITS: [u32; 2] = [300, 500];
const OFFERED: [u64; 3] = [100, 500, 1_700];
/// Time for which records are offered.
const LENGTH: Duration = Duration::from_secs(5);
/// Time after which a record that was not stored counts as lost work.
const PATIENCE: Duration = Duration::from_secs(2);
/// As the owner groups.
const GROUP_INTERVAL: u64 = 50;
/// As the appender repeats a refused append.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);

struct RunTally {
    latency: LatencyRecord,
    /// Records stored while records were offered.
    stored: u64,
    late: u64,
}

pub async fn run() -> anyhow::Result<()> {
    let mut table = ReportTable::new(&[
        "limit appends/s",
        "offered records/s",
        "way",
        "stored records/s",
        "p50 ms",
        "p99 ms",
        "not stored in 2 s %",
        "appends/s",
        "refused appends/s",
    ]);
    for limit in LIMITS {
        for offered in OFFERED {
            for grouped in [false, true] {
                table.row(measure(limit, offered, grouped).await?);
            }
        }
    }
    print!("{}", table.text());
    Ok(())
}

async fn measure(limit: u32, offered: u64, grouped: bool) -> anyhow::Result<Vec<String>> {
    let options = LogOptions { appends_per_second: Some(limit), ..LogOptions::default() };
    let log = LogStandin::spawn(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), options)?;
    let client = LogClient::open(log.address());
    let stream: StreamName = "tasks-north-0".parse()?;
    let writer = WriterId { process: "agent-north-0012".parse()?, incarnation: 7 };
    let appender =
        GroupAppender::spawn(client.clone(), stream.clone(), writer.clone(), GROUP_INTERVAL);
    let spec =
        shard::job(1, cactusdoor_core::job::JobClass::Batch, 13, ResourceVector::new(1, 1, 0))?;
    let vm = shard::identity(3)?.vm;
    let latency = LatencyRecord::open()?;
    let tally = Rc::new(RefCell::new(RunTally { latency, stored: 0, late: 0 }));
    let begin = Instant::now();
    let count = offered * LENGTH.as_secs();
    for number in 0..count {
        let due = begin + Duration::from_secs_f64(number as f64 / offered as f64);
        sleep_until(due).await;
        let task = TaskId { job: spec.id.clone(), index: u32::try_from(number)? };
        let (vm, need) = (vm.clone(), spec.need);
        let body = TaskRecord::TaskPlaced { epoch: 3, task, vm, need };
        let (tally, appender, client) = (tally.clone(), appender.clone(), client.clone());
        let (stream, writer) = (stream.clone(), writer.clone());
        actix_rt::spawn(async move {
            let stored = async {
                if grouped {
                    return appender.append(body, FlushMode::Grouped).await.is_ok();
                }
                let text = LogEnvelope { writer, sequence: number + 1, body }.encode();
                match text {
                    Ok(text) => append_alone(&client, &stream, text).await,
                    Err(_) => false,
                }
            };
            let stored = tokio::time::timeout(PATIENCE, stored).await.unwrap_or(false);
            let mut tally = tally.borrow_mut();
            if !stored {
                tally.late += 1;
                return;
            }
            let spent = due.elapsed().as_micros();
            tally.latency.add(u64::try_from(spent).unwrap_or(u64::MAX));
            if begin.elapsed() <= LENGTH {
                tally.stored += 1;
            }
        });
    }
    sleep_until(begin + LENGTH).await;
    let counters = log.counters();
    sleep(PATIENCE + Duration::from_millis(200)).await;
    let tally = tally.borrow();
    let per_second = |count: u64| format!("{:.0}", count as f64 / LENGTH.as_secs_f64());
    Ok(vec![
        limit.to_string(),
        offered.to_string(),
        if grouped { "groups" } else { "single" }.to_owned(),
        per_second(tally.stored),
        format!("{:.1}", tally.latency.millis(0.5)),
        format!("{:.1}", tally.latency.millis(0.99)),
        format!("{:.1}", 100.0 * tally.late as f64 / count as f64),
        per_second(counters.appends),
        per_second(counters.rate_limited),
    ])
}

/// Appends one record, repeating what the rate limit refuses.
async fn append_alone(client: &LogClient, stream: &StreamName, text: String) -> bool {
    let records = [text];
    loop {
        match client.append(stream, &records).await {
            Ok(_) => return true,
            Err(AppendError::RateLimited) => sleep(REFUSAL_PAUSE).await,
            Err(_) => return false,
        }
    }
}
