//! Limits on callers and peers, which bound the memory and the descriptors of a process.
//!
//! The defaults are derived for the smallest machines: entries with 160 MB and 4,100
//! descriptors, agents with 128 MB and 4,096 descriptors.

use std::time::Duration;

use cactusdoor_core::unit::Millis;
use cactusdoor_node::settings::SettingsFile;
use serde::Serialize;

/// Most bytes of a request head: heads of up to 16 KiB are served, and the request line fits too.
pub const MAX_HEAD_BYTES: usize = 20 * 1024;
/// Bytes of a body that are read before the handler has taken them.
pub const READ_WINDOW_BYTES: usize = 16 * 1024;
/// Largest body that is accepted if the operators configure none: their usual limit.
pub const DEFAULT_MAX_BODY_BYTES: usize = 256 * 1024;
/// Most memory charged for a body beside its bytes: the record's key and the waiting call.
pub const CALL_BYTES: usize = 1024;

/// 96 bodies of the largest legal size: with the connections 121 MB of the 160 MB of an
/// entry, of which the process itself takes about 20 MB.
const BODY_BYTES: u64 = 24 * 1024 * 1024;
/// Connections of callers: with the largest heads, 48 KiB each (32 KiB read, 16 KiB written and
/// state), 96 MB. About half of the 3,900 descriptors that are not for files; the rest is
/// for connections to other processes and for those that are being refused.
const CONNECTIONS: u64 = 2_000;
/// All callers may come through one load balancer, so one address may have all connections.
const PEER_CONNECTIONS: u64 = CONNECTIONS;
/// Above the 3 s that a well-behaved client may need for a head.
const HEAD_MS: u64 = 5_000;
/// Longest pause of a body: several retransmissions on a lossy link.
const BODY_MS: u64 = 5_000;
/// A hundredth of a link of 10 Mbit/s, which the callers of a job may share.
const BODY_RATE: u64 = 12_500;
/// Answers of a few hundred bytes take no time on a working link; as long as the idle limit.
const ANSWER_MS: u64 = 15_000;
/// Well-behaved clients wait for answers; a balancer may send a few requests ahead.
const REQUESTS_AHEAD: u64 = 64;
/// Parsing a step takes about 1 KB beside its values: 4 MB, for one job at a time.
const STEPS: u64 = 4_096;
/// One value for every 4 bytes of the largest body; a parsed value takes up to 100 bytes: 6.5 MB,
/// for one job at a time.
const FIELDS: u64 = 65_536;
/// Permitted times, ms.
const TIME_RANGE: (u64, u64) = (100, 600_000);

/// The `[limits]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Most bytes of bodies held over all connections.
    pub body_bytes: usize,
    /// Most open connections of callers.
    pub connections: usize,
    /// Most open connections of one peer address.
    pub peer_connections: usize,
    /// Time within which a head must have arrived.
    pub head: Millis,
    /// Longest time without progress of a body.
    pub body: Millis,
    /// Least rate of a body, bytes per second.
    pub body_rate: u64,
    /// Time within which the client must have read an answer.
    pub answer: Millis,
    /// Most pipelined requests that are read without a pause.
    pub requests_ahead: usize,
    pub steps: usize,
    /// Most JSON values in a body.
    pub fields: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            body_bytes: size(BODY_BYTES),
            connections: size(CONNECTIONS),
            peer_connections: size(PEER_CONNECTIONS),
            head: HEAD_MS,
            body: BODY_MS,
            body_rate: BODY_RATE,
            answer: ANSWER_MS,
            requests_ahead: size(REQUESTS_AHEAD),
            steps: size(STEPS),
            fields: size(FIELDS),
        }
    }
}

impl ClientLimits {
    /// Reads the `[limits]` section; a missing key has its default.
    pub fn read(file: &mut SettingsFile) -> Option<Self> {
        let mut read =
            |key: &str, range, default| file.integer("limits", key, range, Some(default));
        let body_bytes = read("body_bytes", (65_536, 1 << 30), BODY_BYTES);
        let connections = read("connections", (1, 60_000), CONNECTIONS);
        let peer_connections = read("peer_connections", (1, 60_000), PEER_CONNECTIONS);
        let head = read("head_ms", TIME_RANGE, HEAD_MS);
        let body = read("body_ms", TIME_RANGE, BODY_MS);
        let body_rate = read("body_rate", (1, 1 << 30), BODY_RATE);
        let answer = read("answer_ms", TIME_RANGE, ANSWER_MS);
        let requests_ahead = read("requests_ahead", (1, 1_000), REQUESTS_AHEAD);
        let steps = read("steps", (1, 20_000), STEPS);
        let fields = read("fields", (16, 1 << 20), FIELDS);
        Some(Self {
            body_bytes: size(body_bytes?),
            connections: size(connections?),
            peer_connections: size(peer_connections?),
            head: head?,
            body: body?,
            body_rate: body_rate?,
            answer: answer?,
            requests_ahead: size(requests_ahead?),
            steps: size(steps?),
            fields: size(fields?),
        })
    }

    /// Limits of the addresses that only the system's own processes use.
    ///
    /// Probes and metric readers need few connections, and their requests have no bodies.
    #[must_use]
    pub fn reserved(self) -> Self {
        Self { connections: RESERVED_CONNECTIONS, peer_connections: RESERVED_CONNECTIONS, ..self }
    }

    /// Longest time for a body of `bytes`: at the least rate, after one permitted pause.
    #[must_use]
    pub fn body_time(self, bytes: usize) -> Duration {
        let needed = (bytes as u64).saturating_mul(1_000) / self.body_rate.max(1);
        Duration::from_millis(self.body.saturating_add(needed))
    }
}

/// Connections to the ready and metrics addresses: probes once a second from a few balancers.
const RESERVED_CONNECTIONS: usize = 64;

fn size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Which limit a rejected connection or request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectCause {
    Connections,
    PeerConnections,
    /// Closed in favour of a new connection or body, having waited longest.
    Displaced,
    HeadTime,
    HeadSize,
    BodySize,
    BodyTime,
    BodyBytes,
    AnswerTime,
    RequestsAhead,
    Steps,
    Fields,
    CallsWaiting,
}

impl RejectCause {
    /// Label of the metric; the same as in the log.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::PeerConnections => "peer_connections",
            Self::Displaced => "displaced",
            Self::HeadTime => "head_time",
            Self::HeadSize => "head_size",
            Self::BodySize => "body_size",
            Self::BodyTime => "body_time",
            Self::BodyBytes => "body_bytes",
            Self::AnswerTime => "answer_time",
            Self::RequestsAhead => "requests_ahead",
            Self::Steps => "steps",
            Self::Fields => "fields",
            Self::CallsWaiting => "calls_waiting",
        }
    }
}
