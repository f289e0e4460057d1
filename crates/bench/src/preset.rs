//! Sizes and delays of the two installations that the experiments model.

use std::str::FromStr;

use cactusdoor_core::resource::ResourceVector;
use thiserror::Error;

use crate::event::{MILLISECOND, Micros};

/// Sizes and delays of one installation.
#[derive(Clone, Debug)]
pub struct SitePreset {
    pub name: &'static str,
    pub data_centres: usize,
    pub vms: usize,
    pub vms_per_rack: usize,
    /// Capacity of a VM.
    pub vm: ResourceVector,
    /// Requests that an upstream serves concurrently.
    pub slots: u32,
    /// Requests that an agent accepts for its upstream, served and queued.
    pub connections: u32,
    /// One-way delay between data centres.
    pub link_delay: Micros,
    /// One-way delay between clients and entries.
    pub client_delay: Micros,
    /// Mean service time of a request without interference.
    pub service_time: Micros,
}

/// The name of a preset that does not exist.
#[derive(Debug, Error)]
#[error("no preset {0:?}; there are koperasi and termovizia")]
pub struct UnknownPreset(String);

impl SitePreset {
    #[must_use]
    pub fn koperasi() -> Self {
        Self {
            name: "koperasi",
            data_centres: 3,
            vms: 11,
            vms_per_rack: 3,
            vm: ResourceVector::new(32_000, 125 * 1024, 2),
            slots: 8,
            connections: 64,
            link_delay: 3 * MILLISECOND,
            client_delay: 3 * MILLISECOND,
            service_time: 20 * MILLISECOND,
        }
    }

    #[must_use]
    pub fn termovizia() -> Self {
        Self {
            name: "termovizia",
            vm: ResourceVector::new(64_000, 250 * 1024, 2),
            link_delay: 5 * MILLISECOND,
            client_delay: MILLISECOND,
            service_time: 8 * MILLISECOND,
            ..Self::koperasi()
        }
    }

    /// Data centre of a VM; racks are assigned to data centres round-robin.
    #[must_use]
    pub fn data_centre_of(&self, vm: usize) -> usize {
        (vm / self.vms_per_rack) % self.data_centres
    }

    /// Requests per second that all slots serve without interference.
    #[must_use]
    pub fn capacity_rate(&self) -> f64 {
        self.vms as f64 * f64::from(self.slots) * 1e6 / self.service_time as f64
    }
}

impl FromStr for SitePreset {
    type Err = UnknownPreset;

    fn from_str(name: &str) -> Result<Self, UnknownPreset> {
        match name {
            "koperasi" => Ok(Self::koperasi()),
            "termovizia" => Ok(Self::termovizia()),
            _ => Err(UnknownPreset(name.to_owned())),
        }
    }
}
