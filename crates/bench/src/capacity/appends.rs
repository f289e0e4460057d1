//! Compares grouped appends with one append per record under the log's rate limit.

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

/// Rate limits of the log, in appends per second.
const APPEND_LIMITS: [u32; 2] = [300, 500];
/// Records per second.
const OFFERED_RATES: [u64; 3] = [100, 500, 1_700];
/// Time for which records are offered.
const OFFER_DURATION: Duration = Duration::from_secs(5);
/// Time after which a record counts as not stored.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// The owner's interval between grouped appends, in ms.
const GROUP_INTERVAL: u64 = 50;
/// The appender's delay before it repeats a refused append.
const RETRY_DELAY: Duration = Duration::from_millis(50);

struct AppendTally {
    /// From the time a record is due until it is stored.
    latency: LatencyRecord,
    /// Records stored within `OFFER_DURATION`.
    stored: u64,
    /// Records not stored within `STORE_TIMEOUT`.
    not_stored: u64,
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
    for limit in APPEND_LIMITS {
        for offered in OFFERED_RATES {
            for grouped in [false, true] {
                table.row(measure_appends(limit, offered, grouped).await?);
            }
        }
    }
    print!("{}", table.text());
    Ok(())
}

async fn measure_appends(limit: u32, offered: u64, grouped: bool) -> anyhow::Result<Vec<String>> {
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
    let latency = LatencyRecord::new()?;
    let tally = Rc::new(RefCell::new(AppendTally { latency, stored: 0, not_stored: 0 }));
    let begin = Instant::now();
    let count = offered * OFFER_DURATION.as_secs();
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
            let stored = tokio::time::timeout(STORE_TIMEOUT, stored).await.unwrap_or(false);
            let mut tally = tally.borrow_mut();
            if !stored {
                tally.not_stored += 1;
                return;
            }
            let elapsed = due.elapsed().as_micros();
            tally.latency.add(u64::try_from(elapsed).unwrap_or(u64::MAX));
            if begin.elapsed() <= OFFER_DURATION {
                tally.stored += 1;
            }
        });
    }
    sleep_until(begin + OFFER_DURATION).await;
    let counters = log.counters();
    sleep(STORE_TIMEOUT + Duration::from_millis(200)).await;
    let tally = tally.borrow();
    let per_second = |count: u64| format!("{:.0}", count as f64 / OFFER_DURATION.as_secs_f64());
    Ok(vec![
        limit.to_string(),
        offered.to_string(),
        if grouped { "groups" } else { "single" }.to_owned(),
        per_second(tally.stored),
        format!("{:.1}", tally.latency.millis(0.5)),
        format!("{:.1}", tally.latency.millis(0.99)),
        format!("{:.1}", 100.0 * tally.not_stored as f64 / count as f64),
        per_second(counters.appends),
        per_second(counters.rate_limited),
    ])
}

/// Appends one record, again while the rate limit refuses it; returns whether it was
/// stored.
async fn append_alone(client: &LogClient, stream: &StreamName, text: String) -> bool {
    let records = [text];
    loop {
        match client.append(stream, &records).await {
            Ok(_) => return true,
            Err(AppendError::RateLimited) => sleep(RETRY_DELAY).await,
            Err(_) => return false,
        }
    }
}
