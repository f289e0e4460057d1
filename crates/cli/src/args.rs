//! All arguments of the command line. Doc comments on the derived types are help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, Doc, OptionParser, Parser};
use cactusdoor_core::job::JobId;
use cactusdoor_core::name::{DataCentre, IdempotencyKey, PlanName, ShardName, VmName};

/// Operates cactusdoor: plans, allowances, data centres, jobs and the timeline
#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
#[bpaf(options, generate(command_parser), footer(footer()))]
pub enum Command {
    /// Show or publish the list of plans
    #[bpaf(command("plans"), footer(plans_footer()))]
    Plans(#[bpaf(external(list_command))] ListCommand<Plans>),
    /// Show or publish the list of allowances
    #[bpaf(command("allowances"), footer(allowances_footer()))]
    Allowances(#[bpaf(external(list_command))] ListCommand<Allowances>),
    /// Take a data centre out of service: tasks checkpoint and move, no new ones start there
    #[bpaf(command("take-out"))]
    TakeOut(#[bpaf(external(take_out))] TakeOut),
    /// Bring a data centre back into service; its work returns gradually
    #[bpaf(command("bring-back"))]
    BringBack(#[bpaf(external(bring_back))] BringBack),
    /// Submit, show and cancel jobs
    #[bpaf(command("jobs"), footer(jobs_footer()))]
    Jobs(#[bpaf(external(jobs))] Jobs),
    /// Show shards, owners, agents and upstreams as an entry knows them
    #[bpaf(command("roster"))]
    Roster(#[bpaf(external(roster))] Roster),
    /// Merge the events of several processes into one timeline
    #[bpaf(command("timeline"), footer(timeline_footer()))]
    Timeline(#[bpaf(external(timeline))] Timeline),
    /// Check the settings file of an entry or agent and report every fault
    #[bpaf(command("check"))]
    Check(#[bpaf(external(check))] Check),
}

/// Selects the list of plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plans;

/// Selects the list of allowances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowances;

/// A subcommand on one of the two lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListCommand<L> {
    pub list: std::marker::PhantomData<L>,
    pub action: ListAction,
}

fn list_command<L: 'static>() -> impl Parser<ListCommand<L>> {
    list_action().map(|action| ListCommand { list: std::marker::PhantomData, action })
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum ListAction {
    /// Print the current list in the form that `publish` reads
    #[bpaf(command("show"))]
    Show {
        /// Operator address of any entry
        #[bpaf(argument("ADDRESS"))]
        entry: SocketAddr,
    },
    /// Make the list of the file the current one, by one change
    #[bpaf(command("publish"))]
    Publish {
        /// Operator address of any entry
        #[bpaf(argument("ADDRESS"))]
        entry: SocketAddr,
        /// Print what would change and change nothing
        dry_run: bool,
        /// Accept a file without sections, which removes every entry
        allow_empty: bool,
        /// List to be published
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct TakeOut {
    /// Operator address of any entry
    #[bpaf(argument("ADDRESS"))]
    pub entry: SocketAddr,
    /// Name of the data centre
    #[bpaf(positional("DC"))]
    pub data_centre: DataCentre,
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct BringBack {
    /// Operator address of any entry
    #[bpaf(argument("ADDRESS"))]
    pub entry: SocketAddr,
    /// Name of the data centre
    #[bpaf(positional("DC"))]
    pub data_centre: DataCentre,
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub enum Jobs {
    /// Submit a job; the same key submits it at most once
    #[bpaf(command("submit"))]
    Submit {
        /// Caller address of any entry
        #[bpaf(argument("ADDRESS"))]
        callers: SocketAddr,
        /// Idempotency key
        #[bpaf(argument("KEY"))]
        key: IdempotencyKey,
        /// Job as JSON
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show a job and its tasks
    #[bpaf(command("show"))]
    Show {
        /// Caller address of any entry
        #[bpaf(argument("ADDRESS"))]
        callers: SocketAddr,
        /// The job
        #[bpaf(positional::<String>("PLAN/KEY"), parse(parse_job_id))]
        job: JobId,
    },
    /// Cancel a job
    #[bpaf(command("cancel"))]
    Cancel {
        /// Caller address of any entry
        #[bpaf(argument("ADDRESS"))]
        callers: SocketAddr,
        /// The job
        #[bpaf(positional::<String>("PLAN/KEY"), parse(parse_job_id))]
        job: JobId,
    },
    /// Show all jobs of a shard and why their tasks wait
    #[bpaf(command("list"))]
    List {
        /// Operator address of any entry
        #[bpaf(argument("ADDRESS"))]
        entry: SocketAddr,
        /// Name of the shard, such as dc1-0
        #[bpaf(positional("SHARD"))]
        shard: ShardName,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Roster {
    /// Operator address of an entry
    #[bpaf(argument("ADDRESS"))]
    pub entry: SocketAddr,
    /// Print JSON
    pub json: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Timeline {
    /// Operator addresses of entries and agents, separated by commas
    #[bpaf(argument::<String>("ADDRESS,..."), parse(parse_addresses))]
    pub from: Vec<SocketAddr>,
    /// Only events about this job; may be repeated
    #[bpaf(argument::<String>("PLAN/KEY"), parse(parse_job_id), many)]
    pub job: Vec<JobId>,
    /// Only events about this request (X-Request-Id); may be repeated
    #[bpaf(argument("ID"), many)]
    pub request: Vec<String>,
    /// Only events about this VM; may be repeated
    #[bpaf(argument("VM"), many)]
    pub vm: Vec<VmName>,
    /// Only events about this data centre; may be repeated
    #[bpaf(argument("DC"), many)]
    pub data_centre: Vec<DataCentre>,
    /// Print one JSON object per event
    pub json: bool,
    /// Go on with new events until interrupted
    pub follow: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Bpaf)]
pub struct Check {
    /// Settings file of an entry or agent
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

fn parse_addresses(text: String) -> Result<Vec<SocketAddr>, String> {
    let parse = |part: &str| part.parse().map_err(|error| format!("{part:?}: {error}"));
    text.split(',').map(str::trim).map(parse).collect()
}

fn parse_job_id(text: String) -> Result<JobId, String> {
    let (plan, key) = text.split_once('/').ok_or("expected PLAN/KEY")?;
    let plan: PlanName = plan.parse().map_err(|error| format!("plan: {error}"))?;
    let key: IdempotencyKey = key.parse().map_err(|error| format!("key: {error}"))?;
    Ok(JobId { plan, key })
}

fn help_doc(text: &str) -> Doc {
    text.into()
}

fn footer() -> Doc {
    help_doc(
        "Exit codes:\n 0  done\n 1  wrong arguments or faulty file; nothing was sent\n \
         2  refused; nothing was changed\n 3  conflict: another operator's change came first; \
         nothing was changed\n 4  outcome unknown: look before you repeat\n \
         5  a process could not be reached",
    )
}

fn plans_footer() -> Doc {
    help_doc(
        "A list is an INI file with one section per plan: [koperasi] with the keys team and \
         weight (1 to 1000). Plans that the file does not name are removed. Start with: \
         cactusdoor plans show --entry 127.0.0.1:7100 > plans.ini",
    )
}

fn allowances_footer() -> Doc {
    help_doc(
        "A list is an INI file with one section per plan: [koperasi] with the keys processors \
         (thousandths), memory (MiB), accelerators and requests_per_second. Allowances that the \
         file does not name are removed.",
    )
}

fn jobs_footer() -> Doc {
    help_doc(
        "A job file is JSON: {\"plan\": \"koperasi\", \"kind\": \"transcription\", \"class\": \
         \"batch\", \"tasks\": 8, \"need\": {\"processors\": 2000, \"memory\": 4096, \
         \"accelerators\": 1}, \"run_time_ms\": 600000}. Classes are batch, watch and \
         latency_critical; urgent, deadline_unix_ms and checkpoints are optional.",
    )
}

fn timeline_footer() -> Doc {
    help_doc(
        "Events are ordered by hybrid time, so a cause comes before its effects whatever the \
         clocks of the VMs say. With several of --job, --request, --vm and --data-centre, an \
         event is shown if it is about any of them.",
    )
}

/// Parser of the whole command line.
#[must_use]
pub fn parser() -> OptionParser<Command> {
    command_parser()
}
