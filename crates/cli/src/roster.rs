//! `cactusdoor roster`: shows the entries, shards, agents and upstreams that an entry knows.

use std::io::Write;

use cactusdoor_operator::OperatorClient;
use cactusdoor_operator::types::{AgentView, ShardView};

use crate::args::Roster;
use crate::{CommandError, Run};

impl Run for Roster {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        let roster = OperatorClient::open(self.entry).roster().await?;
        if self.json {
            writeln!(out, "{}", serde_json::to_string(&roster)?)?;
            return Ok(());
        }
        for entry in &roster.entries {
            writeln!(out, "entry {entry}")?;
        }
        for shard in &roster.shards {
            write_shard(shard, out)?;
        }
        Ok(())
    }
}

fn write_shard(shard: &ShardView, out: &mut dyn Write) -> Result<(), CommandError> {
    writeln!(
        out,
        "shard {} epoch {} owner {} ({}), heard of {} ms ago, {} tasks pending",
        shard.shard,
        shard.epoch,
        shard.owner,
        shard.owner_address,
        shard.roster_age_ms,
        shard.capacity.pending_tasks
    )?;
    shard.agents.iter().try_for_each(|agent| write_agent(agent, out))
}

fn write_agent(agent: &AgentView, out: &mut dyn Write) -> Result<(), CommandError> {
    write!(out, "  agent {} ({})", agent.vm, agent.address)?;
    if agent.draining {
        write!(out, " stopping")?;
    }
    if agent.from_earlier_epoch {
        write!(out, " not listed in this epoch")?;
    }
    for upstream in &agent.upstreams {
        let leaving = if upstream.leaving { " leaving" } else { "" };
        let load = upstream.load;
        write!(
            out,
            ", {}{leaving} {} in flight, {} queued, {} slots",
            upstream.service, load.in_flight, load.queued, upstream.slots
        )?;
    }
    writeln!(out)?;
    Ok(())
}
