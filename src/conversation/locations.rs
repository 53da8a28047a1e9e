//! Which VM has a turn in its memory.

use super::Id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Hints, told by the VMs that served turns, to whoever is asked for them. A hint that is lost or
/// wrong costs a read of the store, no more.
///
/// ```
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::conversation::Locations;
/// let mut locations = Locations::new(Duration::from_secs(20));
/// let (id, vm) = ("t".parse().unwrap(), "10.0.0.1:80".parse().unwrap());
/// locations.set(Instant::now(), id, vm);
/// assert_eq!(locations.get(&"t".parse().unwrap()), Some(vm));
/// ```
#[derive(Debug)]
pub struct Locations {
    holders: HashMap<Id, (SocketAddr, Instant)>,
    kept: Duration,
}

/// Hints at the most: 100 bytes each, 5 MB in all.
const MOST: usize = 50_000;

impl Locations {
    /// Hints that are kept for as long as a VM keeps a turn in memory.
    #[must_use]
    pub fn new(kept: Duration) -> Self {
        Self {
            holders: HashMap::new(),
            kept,
        }
    }

    /// A VM has a turn.
    pub fn set(&mut self, now: Instant, id: Id, holder: SocketAddr) {
        if self.holders.len() >= MOST {
            self.expire(now);
        }
        if self.holders.len() < MOST {
            self.holders.insert(id, (holder, now));
        }
    }

    /// The VM that has a turn.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<SocketAddr> {
        self.holders.get(id).map(|(holder, _)| *holder)
    }

    /// The VM does not have it.
    pub fn remove(&mut self, id: &Id) {
        self.holders.remove(id);
    }

    /// Drops hints that are too old.
    pub fn expire(&mut self, now: Instant) {
        let kept = self.kept;
        self.holders.retain(|_, (_, told)| *told + kept > now);
    }

    /// How many hints there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
