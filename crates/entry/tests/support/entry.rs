//! An entry under test, and clients for its callers, operators and owners.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cactusdoor_core::config::{AllowanceSpec, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::name::{DataCentre, PlanName, ShardName, TeamName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_entry::EntryDaemon;
use cactusdoor_node::entry::EntrySettings;
use cactusdoor_node::settings::SettingsFile;
use cactusdoor_operator::OperatorClient;
use cactusdoor_peer::roster::{RosterMember, RosterReply, RosterUpdate, ShardCapacity};
use cactusdoor_peer::wire::connect_entry;
use cactusdoor_timeline::HybridTime;
use serde_json::Value;

use super::eventually;
use super::log::FakeLog;

pub struct Reply {
    pub status: u16,
    pub request: Option<String>,
    pub length: Option<String>,
    pub digest: Option<String>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Text field of the error in the body; empty if absent.
    pub fn error(&self, field: &str) -> String {
        self.json()["error"][field].as_str().unwrap_or_default().to_owned()
    }
}

pub struct TestEntry {
    pub daemon: EntryDaemon,
    pub operators: OperatorClient,
    pub http: awc::Client,
}

pub fn settings(name: &str, log: SocketAddr, peers: &[SocketAddr]) -> EntrySettings {
    let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
    let text = format!(
        "[process]\nname={name}\nvm={name}\ndata_centre=dc1\nrack=r1\n\
         peer_address=127.0.0.1:0\noperator_address=127.0.0.1:0\n\
         [log]\naddress={log}\n[entries]\npeers={}\n\
         [shards]\ndata_centres=dc1,dc2\n[callers]\naddress=127.0.0.1:0\n\
         [limits]\nclaim_flush_ms=0\njob_flush_ms=0\n",
        peers.join(",")
    );
    EntrySettings::read(SettingsFile::parse(Path::new("entry.ini"), &text).unwrap()).unwrap()
}

pub fn plan_items(plan: &str, requests_per_second: u32) -> Vec<ItemChange> {
    let name = PlanName::new(plan).unwrap();
    let team = TeamName::new("team").unwrap();
    let batch = ResourceVector::new(4_000, 4_096, 0);
    let allowance = AllowanceSpec { batch, requests_per_second };
    vec![
        ItemChange {
            premise: 0,
            value: ItemValue::Plan(name.clone(), Some(PlanSpec { team, weight: 1 })),
        },
        ItemChange { premise: 0, value: ItemValue::Allowance(name, Some(allowance)) },
    ]
}

impl TestEntry {
    /// Starts an entry and waits until it is ready.
    pub async fn open(name: &str, log: &FakeLog, peers: &[SocketAddr]) -> Self {
        let entry = Self::open_unready(name, log, peers).await;
        entry.wait_ready().await;
        entry
    }

    pub async fn open_unready(name: &str, log: &FakeLog, peers: &[SocketAddr]) -> Self {
        let daemon = EntryDaemon::open(&settings(name, log.address, peers)).await.unwrap();
        let operators = OperatorClient::open(daemon.operator_address);
        let http = awc::Client::builder().timeout(Duration::from_secs(90)).finish();
        Self { daemon, operators, http }
    }

    pub async fn wait_ready(&self) {
        eventually("entry ready", async || self.daemon.is_ready().then_some(())).await;
    }

    /// Publishes the plan `koperasi`.
    pub async fn publish_plan(&self) {
        self.operators.change(plan_items("koperasi", 1_000)).await.unwrap();
    }

    /// Waits until this entry has applied the configuration `revision`.
    pub async fn wait_revision(&self, revision: u64) {
        eventually("configuration", async || {
            let view = self.operators.config().await.ok()?;
            (view.revision >= revision).then_some(())
        })
        .await;
    }

    pub async fn roster(&self, update: RosterUpdate) -> RosterReply {
        let (client, dispatch) = connect_entry(self.daemon.peer_address).await.unwrap();
        actix_rt::spawn(dispatch);
        client.roster(tarpc::context::current(), update).await.unwrap()
    }

    /// Sends the full member list of shard `dc1-0` in epoch 1.
    pub async fn list_members(&self, number: u64, members: Vec<RosterMember>) -> RosterReply {
        self.roster(update(1, number, true, members)).await
    }

    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Reply {
        let url = format!("http://{}{path}", self.daemon.caller_address);
        let mut request = self.http.post(url);
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(body.to_vec()).await.unwrap();
        let text = |name: &str| {
            response.headers().get(name).map(|value| value.to_str().unwrap().to_owned())
        };
        let (request, length) = (text("X-Request-Id"), text("X-Answer-Length"));
        let (digest, status) = (text("X-Answer-Digest"), response.status().as_u16());
        let body = response.body().limit(64 << 20).await.unwrap().to_vec();
        Reply { status, request, length, digest, body }
    }

    pub async fn interactive(&self, body: &[u8], deadline_ms: u64) -> Reply {
        let deadline = deadline_ms.to_string();
        let headers = [("X-Plan", "koperasi"), ("X-Deadline-Ms", &*deadline)];
        self.post("/v1/services/minutes/requests", &headers, body).await
    }

    pub async fn binding(&self, key: &str, body: &[u8], deadline_ms: u64) -> Reply {
        let deadline = deadline_ms.to_string();
        let headers =
            [("X-Plan", "koperasi"), ("X-Deadline-Ms", &*deadline), ("Idempotency-Key", key)];
        self.post("/v1/services/minutes/binding", &headers, body).await
    }
}

pub fn update(epoch: u64, number: u64, full: bool, members: Vec<RosterMember>) -> RosterUpdate {
    RosterUpdate {
        at: HybridTime::default(),
        shard: ShardName::new("dc1-0").unwrap(),
        data_centre: DataCentre::new("dc1").unwrap(),
        epoch,
        owner: VmName::new("vm-owner").unwrap(),
        owner_address: "127.0.0.1:9".parse().unwrap(),
        number,
        full,
        members,
        gone: Vec::new(),
        room: ShardCapacity::default(),
    }
}
