//! Client of the upstreams beside an agent, and the endpoint at which they
//! announce themselves.
//!
//! [`announcement`] keeps which upstreams are there, without I/O or clock;
//! [`endpoint`] serves it over HTTP. [`client`] sends one request at most once
//! and tells a whole answer from one that broke off.

pub mod announcement;
pub mod client;
pub mod endpoint;
mod watched;

pub use announcement::{Announcement, AnnouncementBook, LocalUpstream};
pub use client::{SendFailure, UpstreamClient, UpstreamRequest, WholeAnswer};
pub use endpoint::UpstreamRegistry;
