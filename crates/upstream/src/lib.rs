//! The upstreams on an agent's VM: their announcements and the requests sent to them.
//!
//! [`announcement`] decides, without I/O or clock, which upstreams are present.
//! [`endpoint`] receives their announcements over HTTP. [`client`] sends each request
//! at most once and distinguishes complete answers from truncated ones.

pub mod announcement;
pub mod client;
pub mod endpoint;
mod watched;

pub use announcement::{Announcement, LocalUpstream, UpstreamTable};
pub use client::{CompleteAnswer, SendFailure, UpstreamClient, UpstreamRequest};
pub use endpoint::UpstreamRegistry;
