//! Choice of the server for requests about one object, without messages between VMs.
//!
//! A plain server that handled an object recently handles it in about half the time, so all VMs
//! should choose the same server for it. Rendezvous hashing over the directory gives each object an
//! order of servers that is the same on every VM, and moves only the objects of a server that
//! leaves. A popular object must not overload its server: a server above a bound on its load is
//! passed over for the next one in the object's order (rendezvous hashing with bounded load).

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Highest load of a chosen server, relative to the mean of the usable servers. A lower bound moves
/// more objects away from the server that knows them; a higher one lets popular objects queue.
const MAX_LOAD_RATIO: f64 = 1.25;

/// A usable server of the service.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Identity of the server, the same on all VMs.
    pub id: &'a str,
    /// Requests on the server.
    pub load: f64,
    /// Whether it may take one more request.
    pub has_room: bool,
}

/// The server chosen for an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Position of the server among the candidates.
    pub index: usize,
    /// Whether it is the first server in the object's order.
    pub first: bool,
}

/// Chooses the first server in the object's order that has room and whose load, with one more
/// request, does not exceed 1.25 times the mean, rounded up to whole requests.
///
/// `None` if no candidate has room.
///
/// ```
/// use vanillatrail::policy::affinity::{Candidate, choose};
/// let servers = ["s1", "s2", "s3"];
/// let idle = servers.map(|id| Candidate { id, load: 0.0, has_room: true });
/// let home = choose(7, &idle).unwrap();
/// assert!(home.first);
/// let mut busy = idle;
/// busy[home.index].load = 3.0;
/// assert_ne!(choose(7, &busy).unwrap().index, home.index);
/// ```
#[must_use]
pub fn choose(object: u64, candidates: &[Candidate<'_>]) -> Option<Choice> {
    let total: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let max_load = (MAX_LOAD_RATIO * (total + 1.0) / candidates.len() as f64).ceil();
    let (mut first, mut within_bound, mut least_loaded) = (None, None, None);
    for (index, candidate) in candidates.iter().enumerate() {
        let rank = xxh3_64_with_seed(candidate.id.as_bytes(), object);
        let best = Some((rank, index));
        first = first.max(best);
        if !candidate.has_room {
            continue;
        }
        if candidate.load + 1.0 <= max_load {
            within_bound = within_bound.max(best);
        }
        // All servers with room may be above the bound if servers without room pull the mean down.
        if least_loaded.is_none_or(|(load, _)| candidate.load < load) {
            least_loaded = Some((candidate.load, index));
        }
    }
    let index = within_bound
        .map(|(_, index)| index)
        .or_else(|| least_loaded.map(|(_, index)| index))?;
    let first = first.is_some_and(|(_, first)| first == index);
    Some(Choice { index, first })
}

/// Requests placed by object, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Sent to the first server in the order of their object.
    pub first: u64,
    /// Sent to a later one: the first was too loaded, or the request had failed there.
    pub later: u64,
}

impl Counts {
    pub(super) const fn record(&mut self, choice: Choice) {
        if choice.first {
            self.first += 1;
        } else {
            self.later += 1;
        }
    }
}
