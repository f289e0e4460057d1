//! Runs one stand-in until it receives a stop signal.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use cactusdoor_core::name::ServiceName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Millis;
use cactusdoor_node::{logging, shutdown};
use cactusdoor_standin::log_service::{LogOptions, LogStandin};
use cactusdoor_standin::relay::TcpRelay;
use cactusdoor_standin::upstream::{UpstreamOptions, UpstreamStandin};
use cactusdoor_standin::worker::{WorkerOptions, WorkerStandin};

/// Longest time until a stopped upstream is withdrawn and its requests in progress
/// are completed.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Stand-ins for the external systems of cactusdoor.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Log service with streams in memory
    #[bpaf(command)]
    Log {
        /// Age in milliseconds at which records are dropped
        retention_ms: Option<Millis>,
        /// Rate limit of appends over all streams
        appends_per_second: Option<u32>,
        /// File for the history of stored records, as JSON lines
        history: Option<PathBuf>,
        /// Address to listen on
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// Platform worker with simulated tasks
    #[bpaf(command)]
    Worker {
        #[bpaf(fallback("worker".into()), display_fallback)]
        name: String,
        /// Capacity in thousandths of a processor
        #[bpaf(fallback(32_000), display_fallback)]
        processors: u64,
        /// Capacity in MiB
        #[bpaf(fallback(128_000), display_fallback)]
        memory: u64,
        #[bpaf(fallback(0), display_fallback)]
        accelerators: u32,
        /// Age of the reported usage in milliseconds
        #[bpaf(fallback(2_000), display_fallback)]
        usage_lag_ms: Millis,
        /// File for the history of starts and stops, as JSON lines
        history: Option<PathBuf>,
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// Upstream that announces itself to an agent
    #[bpaf(command)]
    Upstream {
        #[bpaf(fallback("upstream".into()), display_fallback)]
        name: String,
        service: ServiceName,
        /// Address of the agent for announcements
        agent: Option<SocketAddr>,
        /// Address to announce instead of ADDRESS
        announced: Option<SocketAddr>,
        #[bpaf(fallback(8), display_fallback)]
        slots: u32,
        #[bpaf(fallback(64), display_fallback)]
        connections: u32,
        #[bpaf(fallback(10), display_fallback)]
        service_time_ms: Millis,
        #[bpaf(fallback(1_000), display_fallback)]
        answer_bytes: usize,
        /// File for the history of executions, as JSON lines
        history: Option<PathBuf>,
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
    /// TCP relay that can delay and cut connections
    #[bpaf(command)]
    Relay {
        /// Address that clients connect to
        listen: SocketAddr,
        /// Address that connections are relayed to
        target: SocketAddr,
        /// Address of the HTTP control interface
        #[bpaf(positional("ADDRESS"))]
        address: SocketAddr,
    },
}

#[actix_web::main]
async fn main() -> Result<()> {
    let _logger = logging::open("info")?;
    match command().run() {
        Command::Log { retention_ms, appends_per_second, history, address } => {
            let options = LogOptions { retention_ms, appends_per_second, history };
            let _log =
                LogStandin::spawn(address, options).context("could not start the log service")?;
            shutdown::requested().await?;
        }
        Command::Worker {
            name,
            processors,
            memory,
            accelerators,
            usage_lag_ms,
            history,
            address,
        } => {
            let capacity = ResourceVector::new(processors, memory, accelerators);
            let behaviour = Default::default();
            let options = WorkerOptions { name, capacity, behaviour, usage_lag_ms, history };
            let _worker =
                WorkerStandin::spawn(address, options).context("could not start the worker")?;
            shutdown::requested().await?;
        }
        Command::Upstream {
            name,
            service,
            agent,
            announced,
            slots,
            connections,
            service_time_ms,
            answer_bytes,
            history,
            address,
        } => {
            let options = UpstreamOptions {
                name,
                service,
                agent,
                announced,
                slots,
                connections,
                service_time_ms,
                answer_bytes,
                history,
            };
            let upstream =
                UpstreamStandin::spawn(address, options).context("could not start the upstream")?;
            shutdown::requested().await?;
            withdraw(&upstream).await?;
        }
        Command::Relay { listen, target, address } => {
            let relay = TcpRelay::spawn(listen, target).context("could not start the relay")?;
            let _control =
                relay.serve_control(address).context("could not start the control interface")?;
            shutdown::requested().await?;
        }
    }
    Ok(())
}

/// Withdraws the upstream and waits until its requests in progress complete.
async fn withdraw(upstream: &UpstreamStandin) -> Result<()> {
    upstream.leave();
    let withdrawn = async {
        while upstream.status().withdrawn_unix_us.is_none() || upstream.status().in_progress > 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LEAVE_TIMEOUT, withdrawn)
        .await
        .context("could not withdraw the upstream in time")
}
