//! Announces an upstream periodically to the agent of its VM, and withdraws the
//! announcement when the upstream leaves.

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use awc::ClientRequest;
use cactusdoor_core::name::ServiceName;
use serde::{Deserialize, Serialize};

use crate::upstream_state::UpstreamState;

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two attempts to withdraw.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of `PUT /v1/upstream`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    pub service: ServiceName,
    pub address: SocketAddr,
    pub slots: u32,
    pub connections: u32,
}

/// Announces the upstream at `address` until it is closed or the agent has
/// acknowledged its withdrawal.
pub fn spawn(state: &Arc<UpstreamState>, address: SocketAddr) {
    let Some(agent) = state.options.agent else { return };
    let options = &state.options;
    let announcement = UpstreamAnnouncement {
        service: options.service.clone(),
        address: options.announced.unwrap_or(address),
        slots: options.slots,
        connections: options.connections,
    };
    let state = Arc::downgrade(state);
    std::thread::spawn(move || {
        actix_web::rt::System::new().block_on(announce(state, agent, announcement));
    });
}

async fn announce(
    state: Weak<UpstreamState>,
    agent: SocketAddr,
    announcement: UpstreamAnnouncement,
) {
    let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let url = format!("http://{agent}/v1/upstream");
    while let Some(state) = state.upgrade().filter(|state| !state.is_closed()) {
        if state.is_leaving() {
            if is_accepted(http.delete(&url), None).await {
                state.set_withdrawn();
                return;
            }
            tokio::time::sleep(WITHDRAWAL_INTERVAL).await;
            continue;
        }
        if !is_accepted(http.put(&url), Some(&announcement)).await {
            log::debug!("agent at {agent} did not accept the announcement; retrying");
        }
        tokio::select! {
            () = state.leave_signal.notified() => {}
            () = tokio::time::sleep(ANNOUNCE_INTERVAL) => {}
        }
    }
}

/// Whether the agent answered `request` with success.
async fn is_accepted(request: ClientRequest, body: Option<&UpstreamAnnouncement>) -> bool {
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    sent.is_ok_and(|response| response.status().is_success())
}
