//! An installation of entries and agents with their stand-ins.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cactusdoor_core::name::DataCentre;
use cactusdoor_core::resource::ResourceVector;
use tempfile::TempDir;

use crate::harness::address::{free_address, loopback_ip};
use crate::harness::child::{ChildSet, ChildSpec, HarnessError, failed, program};
use crate::harness::settings::{self, ProcessAddresses, SharedSettings};
use crate::log_service::{LogOptions, LogStandin};
use crate::relay::TcpRelay;
use crate::upstream::{UpstreamOptions, UpstreamStandin};
use crate::worker::{WorkerOptions, WorkerStandin};

/// VMs in one rack, as in the installations of the design.
const VMS_PER_RACK: usize = 3;
/// Entries that the settings of every process name.
const SEED_ENTRIES: usize = 3;

/// Processes of one data centre.
#[derive(Clone, Debug)]
pub struct CentrePlan {
    pub name: String,
    pub entries: usize,
    pub agents: usize,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    pub data_centres: Vec<CentrePlan>,
    pub shards_per_data_centre: u32,
    pub log: LogOptions,
    /// Template; each VM's own name is filled in.
    pub worker: WorkerOptions,
    /// Template; name and addresses are filled in. No upstreams if absent.
    pub upstream: Option<UpstreamOptions>,
    /// Directory for histories as JSON lines, one file per stand-in.
    pub history: Option<PathBuf>,
    pub level: String,
    /// Keys of `[limits]`, which differ between the daemons.
    pub entry_limits: Vec<(String, String)>,
    pub agent_limits: Vec<(String, String)>,
    /// Puts a relay between every process and the log service.
    pub log_relays: bool,
}

impl ClusterPlan {
    /// Data centres `a`, `b`, ... with this many entries and agents each.
    #[must_use]
    pub fn uniform(data_centres: usize, entries: usize, agents: usize) -> Self {
        let names = ('a'..='z').take(data_centres).map(String::from);
        let data_centres = names.map(|name| CentrePlan { name, entries, agents }).collect();
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

/// An entry; its child has the same name.
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
    /// Name of the agent and its child.
    pub agent: String,
    pub data_centre: DataCentre,
    pub operator: SocketAddr,
    pub worker: WorkerStandin,
    /// Absent while the upstream is not running.
    pub upstream: Option<UpstreamStandin>,
    upstream_address: SocketAddr,
    upstream_options: Option<UpstreamOptions>,
}

/// A running installation; dropping it ends all of its processes.
pub struct Cluster {
    // Dropped first, while the stand-ins still answer.
    pub children: ChildSet,
    pub entries: Vec<EntryProcess>,
    pub vms: Vec<VmProcess>,
    /// Relays to the log service by process name, if the plan asks for them.
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

/// An entry or agent before it is started.
struct PlannedProcess {
    addresses: ProcessAddresses,
    /// For an entry.
    callers: Option<SocketAddr>,
}

impl Cluster {
    /// Starts everything, without waiting for readiness.
    pub fn spawn(plan: &ClusterPlan) -> Result<Self, HarnessError> {
        let directory = tempfile::Builder::new().prefix("cactusdoor-").tempdir();
        let directory = directory.map_err(failed("create a temporary directory"))?;
        let mut log_options = plan.log.clone();
        log_options.history = history_file(plan, "log");
        let log = LogStandin::spawn((loopback_ip(), 0).into(), log_options);
        let log = log.map_err(failed("start the log service"))?;
        let mut cluster = Self {
            children: ChildSet::default(),
            entries: Vec::new(),
            vms: Vec::new(),
            log_relays: indexmap::IndexMap::new(),
            log,
            directory: Some(directory),
        };
        let processes = cluster.plan_processes(plan)?;
        let shared = shared_settings(plan, &processes)?;
        for process in processes {
            match process.callers {
                Some(callers) => cluster.spawn_entry(&shared, process.addresses, callers)?,
                None => cluster.spawn_vm(plan, &shared, process.addresses)?,
            }
        }
        Ok(cluster)
    }

    /// Waits until every daemon is ready; `timeout` is the bound for each.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<(), HarnessError> {
        let names: Vec<String> = self.children.names().map(str::to_owned).collect();
        for name in names {
            self.children.wait_ready(&name, timeout).await?;
        }
        Ok(())
    }

    /// Directory with settings files and logs of the daemons.
    #[must_use]
    pub fn directory(&self) -> Option<&Path> {
        self.directory.as_ref().map(TempDir::path)
    }

    /// Keeps the directory after the end; `None` if that was done before.
    pub fn keep_directory(&mut self) -> Option<PathBuf> {
        self.directory.take().map(TempDir::keep)
    }

    /// Ends everything on a VM at once and forgets its tasks.
    pub fn lose_vm(&mut self, index: usize) -> Result<(), HarnessError> {
        let Some(vm) = self.vms.get_mut(index) else {
            return Err(HarnessError::UnknownChild(format!("VM number {index}")));
        };
        vm.upstream = None;
        self.children.kill(&vm.agent)?;
        vm.worker.restart_vm();
        Ok(())
    }

    /// Starts agent and upstream of a lost VM again.
    pub fn return_vm(&mut self, index: usize) -> Result<(), HarnessError> {
        let Some(vm) = self.vms.get_mut(index) else {
            return Err(HarnessError::UnknownChild(format!("VM number {index}")));
        };
        self.children.start(&vm.agent)?;
        vm.start_upstream()
    }

    fn plan_processes(&mut self, plan: &ClusterPlan) -> Result<Vec<PlannedProcess>, HarnessError> {
        let mut processes = Vec::new();
        for centre in &plan.data_centres {
            let name = DataCentre::new(&centre.name);
            let data_centre = name.map_err(|_| HarnessError::Name(centre.name.clone()))?;
            for number in 0..centre.entries {
                let name = format!("entry-{data_centre}-{number}");
                let rack = format!("{data_centre}-rack-entries");
                let vm = format!("{data_centre}-entry-vm-{number}");
                let addresses = self.addresses(plan, name, vm, &data_centre, rack)?;
                let callers = Some(free()?);
                processes.push(PlannedProcess { addresses, callers });
            }
            for number in 0..centre.agents {
                let name = format!("agent-{data_centre}-{number}");
                let rack = format!("{data_centre}-rack-{}", number / VMS_PER_RACK);
                let vm = format!("{data_centre}-vm-{number}");
                let addresses = self.addresses(plan, name, vm, &data_centre, rack)?;
                processes.push(PlannedProcess { addresses, callers: None });
            }
        }
        Ok(processes)
    }

    fn addresses(
        &mut self,
        plan: &ClusterPlan,
        name: String,
        vm: String,
        data_centre: &DataCentre,
        rack: String,
    ) -> Result<ProcessAddresses, HarnessError> {
        let mut log = self.log.address();
        if plan.log_relays {
            let relay = TcpRelay::spawn(free()?, log);
            let relay = relay.map_err(failed(format!("start the log relay of {name}")))?;
            log = relay.address();
            self.log_relays.insert(name.clone(), relay);
        }
        let (peer, operator) = (free()?, free()?);
        let data_centre = data_centre.clone();
        Ok(ProcessAddresses { name, vm, data_centre, rack, peer, operator, log })
    }

    fn spawn_entry(
        &mut self,
        shared: &SharedSettings,
        process: ProcessAddresses,
        callers: SocketAddr,
    ) -> Result<(), HarnessError> {
        let ini = settings::entry(shared, &process, callers);
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
        plan: &ClusterPlan,
        shared: &SharedSettings,
        process: ProcessAddresses,
    ) -> Result<(), HarnessError> {
        let announcements = free()?;
        let worker_options = WorkerOptions {
            name: process.vm.clone(),
            history: history_file(plan, &format!("worker-{}", process.vm)),
            ..plan.worker.clone()
        };
        let worker = WorkerStandin::spawn(free()?, worker_options);
        let worker = worker.map_err(failed(format!("start the worker of {}", process.vm)))?;
        let upstream_options = plan.upstream.clone().map(|template| UpstreamOptions {
            name: process.vm.clone(),
            agent: Some(announcements),
            history: history_file(plan, &format!("upstream-{}", process.vm)),
            ..template
        });
        let ini = settings::agent(shared, &process, worker.address(), announcements);
        self.spawn_child("cactusdoor-agent", &ini, &process)?;
        let mut vm = VmProcess {
            vm: process.vm,
            agent: process.name,
            data_centre: process.data_centre,
            operator: process.operator,
            worker,
            upstream: None,
            upstream_address: free()?,
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
        settings::write(ini, &settings)?;
        let spec = ChildSpec {
            program: program(binary)?,
            arguments: vec!["--settings".into(), settings.into()],
            log: directory.join(format!("{}.log", process.name)),
            operator: process.operator,
        };
        self.children.spawn(&process.name, spec)
    }
}

impl VmProcess {
    /// Starts the upstream if the plan has one and it is not running.
    pub fn start_upstream(&mut self) -> Result<(), HarnessError> {
        if self.upstream.is_none()
            && let Some(options) = self.upstream_options.clone()
        {
            let upstream = UpstreamStandin::spawn(self.upstream_address, options);
            let upstream = upstream.map_err(failed(format!("start the upstream of {}", self.vm)));
            self.upstream = Some(upstream?);
        }
        Ok(())
    }
}

fn free() -> Result<SocketAddr, HarnessError> {
    free_address().map_err(failed("find a free address"))
}

fn history_file(plan: &ClusterPlan, name: &str) -> Option<PathBuf> {
    plan.history.as_ref().map(|directory| directory.join(format!("{name}.jsonl")))
}

fn shared_settings(
    plan: &ClusterPlan,
    processes: &[PlannedProcess],
) -> Result<SharedSettings, HarnessError> {
    let names = plan.data_centres.iter().map(|centre| {
        DataCentre::new(&centre.name).map_err(|_| HarnessError::Name(centre.name.clone()))
    });
    let entries = processes.iter().filter(|process| process.callers.is_some());
    Ok(SharedSettings {
        data_centres: names.collect::<Result<_, _>>()?,
        shards_per_data_centre: plan.shards_per_data_centre,
        entries: entries.map(|entry| entry.addresses.peer).take(SEED_ENTRIES).collect(),
        level: plan.level.clone(),
        entry_limits: plan.entry_limits.clone(),
        agent_limits: plan.agent_limits.clone(),
    })
}
