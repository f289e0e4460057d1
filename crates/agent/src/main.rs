//! `cactusdoor-agent --settings FILE`.

use anyhow::Context as _;
use cactusdoor_agent::args::agent_args;
use cactusdoor_agent::daemon::AgentDaemon;
use cactusdoor_node::agent::AgentSettings;
use cactusdoor_node::{logging, shutdown};

fn main() -> anyhow::Result<()> {
    let args = agent_args().run();
    let settings = AgentSettings::load(&args.settings)?;
    let _logger = logging::open(&settings.log_level)?;
    actix_rt::System::new().block_on(async {
        let daemon = AgentDaemon::spawn(settings).await?;
        shutdown::requested().await.context("could not wait for signals")?;
        daemon.stop().await;
        Ok(())
    })
}
