//! `cactusdoor timeline`: merges the events of several processes in hybrid-time order.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use cactusdoor_node::clock::unix_ms;
use cactusdoor_operator::OperatorClient;
use cactusdoor_timeline::{EventFilter, EventSubject, TimelineEvent, TimelineMerge};
use futures::future::join_all;
use serde_json::Value;

use crate::args::Timeline;
use crate::{CommandError, Run};

const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before followed events are printed, so that events fetched later from
/// another process are still printed in order.
const REORDER_DELAY_MS: u64 = 1_000;

/// A process whose events are fetched, and the number of the next event.
struct EventSource {
    address: SocketAddr,
    client: OperatorClient,
    next: u64,
    reachable: bool,
}

impl EventSource {
    fn open(address: SocketAddr) -> Self {
        let client = OperatorClient::open(address);
        Self { address, client, next: 1, reachable: true }
    }

    /// Fetches the events recorded since the last fetch, until none remain or a call fails.
    async fn fetch(&mut self) -> Vec<TimelineEvent> {
        let mut events = Vec::new();
        loop {
            match self.client.events(self.next).await {
                // The process was restarted and its event numbers start again.
                Ok(page) if page.next < self.next => self.next = page.first,
                Ok(page) => {
                    self.reachable = true;
                    let Some(last) = page.events.last() else { return events };
                    self.next = last.number + 1;
                    events.extend(page.events);
                }
                Err(error) => {
                    if self.reachable {
                        eprintln!("cactusdoor: no events from {}: {error}", self.address);
                    }
                    self.reachable = false;
                    return events;
                }
            }
        }
    }
}

impl Run for Timeline {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        let filter = self.filter();
        let mut sources: Vec<_> = self.from.iter().copied().map(EventSource::open).collect();
        let mut merge = TimelineMerge::default();
        loop {
            let fetched = join_all(sources.iter_mut().map(EventSource::fetch)).await;
            merge.push(fetched.into_iter().flatten());
            let ready = if self.follow {
                merge.take_until(unix_ms().saturating_sub(REORDER_DELAY_MS))
            } else {
                merge.take_all()
            };
            for event in ready.iter().filter(|event| filter.passes(event)) {
                writeln!(out, "{}", format_event(event, self.json)?)?;
            }
            if !self.follow {
                break;
            }
            out.flush()?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let total = sources.len();
        match sources.iter().filter(|source| !source.reachable).count() {
            0 => Ok(()),
            unreachable => Err(CommandError::IncompleteTimeline { unreachable, total }),
        }
    }
}

impl Timeline {
    fn filter(&self) -> EventFilter {
        let jobs = self.job.iter().cloned().map(EventSubject::Job);
        let requests = self.request.iter().cloned().map(EventSubject::Request);
        let vms = self.vm.iter().cloned().map(EventSubject::Vm);
        let data_centres = self.data_centre.iter().cloned().map(EventSubject::DataCentre);
        EventFilter { subjects: jobs.chain(requests).chain(vms).chain(data_centres).collect() }
    }
}

/// Formats an event as one line: time, process, event name and fields, or as JSON.
fn format_event(event: &TimelineEvent, json: bool) -> Result<String, CommandError> {
    if json {
        return Ok(serde_json::to_string(event)?);
    }
    let (seconds, millis) = (event.at.wall_ms / 1_000, event.at.wall_ms % 1_000);
    let mut line = format!("{seconds}.{millis:03}+{} {}", event.at.counter, event.process);
    if let Value::Object(fields) = serde_json::to_value(&event.kind)? {
        let name = fields.get("event").and_then(Value::as_str).unwrap_or_default();
        line.push_str(&format!(" {name}"));
        for (key, value) in fields.iter().filter(|(key, _)| *key != "event") {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            line.push_str(&format!(" {key}={value}"));
        }
    }
    Ok(line)
}
