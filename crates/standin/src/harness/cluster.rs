//! A cluster of entries and agents with the stand-ins that they use.
//!
//! It decides names, racks and addresses, writes the settings files and starts
//! the daemons.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cactusdoor_core::name::DataCentre;
use cactusdoor_core::resource::ResourceVector;
use tempfile::TempDir;

use crate::harness::address::{free_address, loopback_ip};
use crate::harness::child::{ChildSet, ChildSpec, HarnessError, find_program, io_error};
use crate::harness::settings::{self, ProcessAddresses, SharedSettings};
use crate::log_service::{LogOptions, LogStandin};
use crate::relay::TcpRelay;
use crate::upstream::{UpstreamOptions, UpstreamStandin};
use crate::worker::{WorkerOptions, WorkerStandin};

/// VMs in one rack, as the design assumes.
const VMS_PER_RACK: usize = 3;
/// Entries that the settings of every process list for first contact.
const SEED_ENTRIES: usize = 3;

/// Name of a data centre and its numbers of entries and agents.
#[derive(Clone, Debug)]
pub struct DataCentreSpec {
    pub name: String,
    pub entries: usize,
    pub agents: usize,
}

/// Size and options of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    pub data_centres: Vec<DataCentreSpec>,
    pub shards_per_data_centre: u32,
    pub log: LogOptions,
    /// Template; the cluster sets the name and the history file for each VM.
    pub worker: WorkerOptions,
    /// Template; the cluster sets name, agent and history file for each VM. There
    /// are no upstreams if absent.
    pub upstream: Option<UpstreamOptions>,
    /// Directory for histories as JSON lines, one file per stand-in.
    pub history: Option<PathBuf>,
    /// Log filter of the daemons, with levels by module.
    pub level: String,
    /// Keys and values of `[limits]` in the settings of entries.
    pub entry_limits: Vec<(String, String)>,
    /// Keys and values of `[limits]` in the settings of agents.
    pub agent_limits: Vec<(String, String)>,
    /// Whether each daemon reaches the log service through a relay of its own.
    pub log_relays: bool,
}

impl ClusterSpec {
    /// Data centres `a`, `b` and so on, with this many entries and agents each.
    #[must_use]
    pub fn uniform(data_centres: usize, entries: usize, agents: usize) -> Self {
        let names = ('a'..='z').take(data_centres).map(String::from);
        let data_centres = names.map(|name| DataCentreSpec { name, entries, agents }).collect();
        let capacity = ResourceVector::new(32_000, 128_000, 2);
        Self {
            data_centres,
            shards_per_data_centre: 1,
            log: LogOptions::default(),
            worker: WorkerOptions { capacity, usage_lag_ms: 1_000, ..WorkerOptions::default() },
            upstream: None,
            history: None,
            level: "info, tarpc=warn, actix_server=warn".into(),
            entry_limits: Vec::new(),
            agent_limits: Vec::new(),
            log_relays: false,
        }
    }
}

/// A running entry; `name` is also the name of its child.
#[derive(Clone, Debug)]
pub struct EntryProcess {
    pub name: String,
    pub data_centre: DataCentre,
    pub callers: SocketAddr,
    pub operator: SocketAddr,
}

/// A VM with its agent, worker and upstream.
pub struct VmProcess {
    /// Name of the VM.
    pub vm: String,
    /// Name of the agent and of its child.
    pub agent: String,
    pub data_centre: DataCentre,
    pub operator: SocketAddr,
    pub worker: WorkerStandin,
    /// Absent while the upstream is not running.
    pub upstream: Option<UpstreamStandin>,
    upstream_address: SocketAddr,
    upstream_options: Option<UpstreamOptions>,
}

/// A running cluster; dropping it ends all daemons and stand-ins.
pub struct Cluster {
    // First field, so that the daemons end while the stand-ins still answer.
    pub children: ChildSet,
    pub entries: Vec<EntryProcess>,
    pub vms: Vec<VmProcess>,
    /// Relays to the log service by process name; empty without `log_relays`.
    pub log_relays: indexmap::IndexMap<String, TcpRelay>,
    pub log: LogStandin,
    directory: Option<TempDir>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Some(directory) = self.keep_directory()
        {
            eprintln!("logs and settings are kept in {}", directory.display());
        }
    }
}

/// An entry or agent that is not started yet.
struct ProcessSpec {
    addresses: ProcessAddresses,
    /// Address for callers; absent for an agent.
    callers: Option<SocketAddr>,
}

impl Cluster {
    /// Starts all stand-ins and daemons; does not wait until they are ready.
    pub fn spawn(spec: &ClusterSpec) -> Result<Self, HarnessError> {
        let directory = tempfile::Builder::new().prefix("cactusdoor-").tempdir();
        let directory = directory.map_err(io_error("create a temporary directory"))?;
        let mut log_options = spec.log.clone();
        log_options.history = history_file(spec, "log");
        let log = LogStandin::spawn((loopback_ip(), 0).into(), log_options);
        let log = log.map_err(io_error("start the log service"))?;
        let mut cluster = Self {
            children: ChildSet::default(),
            entries: Vec::new(),
            vms: Vec::new(),
            log_relays: indexmap::IndexMap::new(),
            log,
            directory: Some(directory),
        };
        let processes = cluster.list_processes(spec)?;
        let shared = shared_settings(spec, &processes)?;
        for process in processes {
            match process.callers {
                Some(callers) => cluster.spawn_entry(&shared, process.addresses, callers)?,
                None => cluster.spawn_vm(spec, &shared, process.addresses)?,
            }
        }
        Ok(cluster)
    }

    /// Waits until every daemon is ready, each for at most `timeout`.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<(), HarnessError> {
        let names: Vec<String> = self.children.names().map(str::to_owned).collect();
        for name in names {
            self.children.wait_ready(&name, timeout).await?;
        }
        Ok(())
    }

    /// Directory with the daemons' settings and logs; `None` after `keep_directory`.
    #[must_use]
    pub fn directory(&self) -> Option<&Path> {
        self.directory.as_ref().map(TempDir::path)
    }

    /// Keeps the directory when the cluster is dropped; `None` if it is already kept.
    pub fn keep_directory(&mut self) -> Option<PathBuf> {
        self.directory.take().map(TempDir::keep)
    }

    /// Kills the agent and upstream of a VM and restarts its worker without tasks.
    pub fn crash_vm(&mut self, index: usize) -> Result<(), HarnessError> {
        let Some(vm) = self.vms.get_mut(index) else {
            return Err(HarnessError::UnknownChild(format!("VM number {index}")));
        };
        vm.upstream = None;
        self.children.kill(&vm.agent)?;
        vm.worker.restart_vm();
        Ok(())
    }

    /// Starts the agent and upstream of a crashed VM.
    pub fn restore_vm(&mut self, index: usize) -> Result<(), HarnessError> {
        let Some(vm) = self.vms.get_mut(index) else {
            return Err(HarnessError::UnknownChild(format!("VM number {index}")));
        };
        self.children.start(&vm.agent)?;
        vm.start_upstream()
    }

    /// Names all entries and agents and assigns their addresses.
    fn list_processes(&mut self, spec: &ClusterSpec) -> Result<Vec<ProcessSpec>, HarnessError> {
        let mut processes = Vec::new();
        for centre in &spec.data_centres {
            let name = DataCentre::new(&centre.name);
            let data_centre = name.map_err(|_| HarnessError::InvalidName(centre.name.clone()))?;
            for number in 0..centre.entries {
                let name = format!("entry-{data_centre}-{number}");
                let rack = format!("{data_centre}-rack-entries");
                let vm = format!("{data_centre}-entry-vm-{number}");
                let addresses = self.assign_addresses(spec, name, vm, &data_centre, rack)?;
                let callers = Some(unused_address()?);
                processes.push(ProcessSpec { addresses, callers });
            }
            for number in 0..centre.agents {
                let name = format!("agent-{data_centre}-{number}");
                let rack = format!("{data_centre}-rack-{}", number / VMS_PER_RACK);
                let vm = format!("{data_centre}-vm-{number}");
                let addresses = self.assign_addresses(spec, name, vm, &data_centre, rack)?;
                processes.push(ProcessSpec { addresses, callers: None });
            }
        }
        Ok(processes)
    }

    /// Assigns free addresses to a daemon, and starts its log relay if `log_relays` is set.
    fn assign_addresses(
        &mut self,
        spec: &ClusterSpec,
        name: String,
        vm: String,
        data_centre: &DataCentre,
        rack: String,
    ) -> Result<ProcessAddresses, HarnessError> {
        let mut log = self.log.address();
        if spec.log_relays {
            let relay = TcpRelay::spawn(unused_address()?, log);
            let relay = relay.map_err(io_error(format!("start the log relay of {name}")))?;
            log = relay.address();
            self.log_relays.insert(name.clone(), relay);
        }
        let (peer, operator) = (unused_address()?, unused_address()?);
        let data_centre = data_centre.clone();
        Ok(ProcessAddresses { name, vm, data_centre, rack, peer, operator, log })
    }

    fn spawn_entry(
        &mut self,
        shared: &SharedSettings,
        process: ProcessAddresses,
        callers: SocketAddr,
    ) -> Result<(), HarnessError> {
        let ini = settings::entry_settings(shared, &process, callers);
        self.spawn_child("cactusdoor-entry", &ini, &process)?;
        self.entries.push(EntryProcess {
            name: process.name,
            data_centre: process.data_centre,
            callers,
            operator: process.operator,
        });
        Ok(())
    }

    fn spawn_vm(
        &mut self,
        spec: &ClusterSpec,
        shared: &SharedSettings,
        process: ProcessAddresses,
    ) -> Result<(), HarnessError> {
        let announcements = unused_address()?;
        let worker_options = WorkerOptions {
            name: process.vm.clone(),
            history: history_file(spec, &format!("worker-{}", process.vm)),
            ..spec.worker.clone()
        };
        let worker = WorkerStandin::spawn(unused_address()?, worker_options);
        let worker = worker.map_err(io_error(format!("start the worker of {}", process.vm)))?;
        let upstream_options = spec.upstream.clone().map(|template| UpstreamOptions {
            name: process.vm.clone(),
            agent: Some(announcements),
            history: history_file(spec, &format!("upstream-{}", process.vm)),
            ..template
        });
        let ini = settings::agent_settings(shared, &process, worker.address(), announcements);
        self.spawn_child("cactusdoor-agent", &ini, &process)?;
        let mut vm = VmProcess {
            vm: process.vm,
            agent: process.name,
            data_centre: process.data_centre,
            operator: process.operator,
            worker,
            upstream: None,
            upstream_address: unused_address()?,
            upstream_options,
        };
        vm.start_upstream()?;
        self.vms.push(vm);
        Ok(())
    }

    fn spawn_child(
        &mut self,
        binary: &str,
        ini: &ini::Ini,
        process: &ProcessAddresses,
    ) -> Result<(), HarnessError> {
        let directory = self.directory.as_ref().map(TempDir::path).unwrap_or(Path::new("."));
        let settings = directory.join(format!("{}.ini", process.name));
        settings::write_settings(ini, &settings)?;
        let spec = ChildSpec {
            program: find_program(binary)?,
            arguments: vec!["--settings".into(), settings.into()],
            log: directory.join(format!("{}.log", process.name)),
            operator: process.operator,
        };
        self.children.spawn(&process.name, spec)
    }
}

impl VmProcess {
    /// Starts the upstream, if there is one and it is not running.
    pub fn start_upstream(&mut self) -> Result<(), HarnessError> {
        if self.upstream.is_none()
            && let Some(options) = self.upstream_options.clone()
        {
            let upstream = UpstreamStandin::spawn(self.upstream_address, options);
            let upstream = upstream.map_err(io_error(format!("start the upstream of {}", self.vm)));
            self.upstream = Some(upstream?);
        }
        Ok(())
    }
}

fn unused_address() -> Result<SocketAddr, HarnessError> {
    free_address().map_err(io_error("find a free address"))
}

/// History file of the stand-in `name`, if histories are written.
fn history_file(spec: &ClusterSpec, name: &str) -> Option<PathBuf> {
    spec.history.as_ref().map(|directory| directory.join(format!("{name}.jsonl")))
}

fn shared_settings(
    spec: &ClusterSpec,
    processes: &[ProcessSpec],
) -> Result<SharedSettings, HarnessError> {
    let names = spec.data_centres.iter().map(|centre| {
        DataCentre::new(&centre.name).map_err(|_| HarnessError::InvalidName(centre.name.clone()))
    });
    let entries = processes.iter().filter(|process| process.callers.is_some());
    Ok(SharedSettings {
        data_centres: names.collect::<Result<_, _>>()?,
        shards_per_data_centre: spec.shards_per_data_centre,
        entries: entries.map(|entry| entry.addresses.peer).take(SEED_ENTRIES).collect(),
        level: spec.level.clone(),
        entry_limits: spec.entry_limits.clone(),
        agent_limits: spec.agent_limits.clone(),
    })
}
