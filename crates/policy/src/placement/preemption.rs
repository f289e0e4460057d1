//! Which batch tasks of a VM make room for an urgent one.

use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};

/// A batch task that may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VictimOffer {
    pub token: Token,
    pub need: ResourceVector,
    /// Run time that is lost, 0 for a task that saves its progress.
    pub lost: Millis,
    /// Run time so far, whether or not it is lost.
    pub elapsed: Millis,
}

impl VictimOffer {
    /// Work lost by the eviction, in millicores times milliseconds.
    fn work_lost(&self) -> u64 {
        self.lost.saturating_mul(self.need.processors)
    }
}

/// The tasks to evict on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VictimChoice {
    pub tokens: Vec<Token>,
    pub work_lost: u64,
}

impl VictimChoice {
    /// Order of the choices of several VMs; the lowest is taken.
    #[must_use]
    pub fn rank(&self) -> (u64, usize) {
        (self.work_lost, self.tokens.len())
    }
}

/// The tasks whose eviction lets `need` fit into a VM with `free`, `None` if all
/// of them do not make enough room.
///
/// Tasks are taken in order of the work lost until there is room; then those that
/// are not needed stay, the most expensive ones first.
#[must_use]
pub fn choose_victims(
    free: ResourceVector,
    need: ResourceVector,
    mut offers: Vec<VictimOffer>,
) -> Option<VictimChoice> {
    offers.sort_by_key(|offer| (offer.work_lost(), offer.elapsed, offer.token));
    let room = |taken: &[VictimOffer]| {
        taken.iter().fold(free, |room, offer| room.saturating_add(offer.need)).holds(need)
    };
    let enough = (0..=offers.len()).find(|&count| room(&offers[..count]))?;
    offers.truncate(enough);
    for position in (0..offers.len()).rev() {
        let spared = offers.remove(position);
        if !room(&offers) {
            offers.insert(position, spared);
        }
    }
    let work_lost = offers.iter().fold(0u64, |lost, offer| lost.saturating_add(offer.work_lost()));
    Some(VictimChoice { tokens: offers.iter().map(|offer| offer.token).collect(), work_lost })
}
