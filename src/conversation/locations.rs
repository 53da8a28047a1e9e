//! Hints about which VM has a turn in memory.

use super::Id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Last known holder of each turn, as reported by the VMs that served them. A missing or wrong
/// hint only costs a read from the store.
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
    max_age: Duration,
}

/// Limit on the number of hints; about 5 MB.
const MAX_HINTS: usize = 50_000;

impl Locations {
    /// Creates an empty map; `max_age` should be the time for which VMs cache unused turns.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Self {
            holders: HashMap::new(),
            max_age,
        }
    }

    /// Records that a VM holds a turn; ignored while the map is full.
    pub fn set(&mut self, now: Instant, id: Id, holder: SocketAddr) {
        if self.holders.len() >= MAX_HINTS {
            self.expire(now);
        }
        if self.holders.len() < MAX_HINTS {
            self.holders.insert(id, (holder, now));
        }
    }

    /// Address of the VM that last reported to hold a turn.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<SocketAddr> {
        self.holders.get(id).map(|(holder, _)| *holder)
    }

    /// Removes a hint that turned out to be wrong.
    pub fn remove(&mut self, id: &Id) {
        self.holders.remove(id);
    }

    /// Drops hints older than the maximum age.
    pub fn expire(&mut self, now: Instant) {
        let max_age = self.max_age;
        self.holders
            .retain(|_, (_, reported_at)| *reported_at + max_age > now);
    }

    /// Number of hints, including expired ones that were not dropped yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether there are no hints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}
