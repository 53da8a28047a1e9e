//! In-memory LRU cache of turns.
//!
//! Serves programs whose next turn follows shortly, usually through the same VM. Evicted turns are
//! read again from other VMs or the store.

use super::{Id, Turn};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug)]
struct Entry {
    turn: Rc<Turn>,
    last_used: Instant,
}

/// Conversation history up to a turn, as far as it is cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum History {
    /// All turns, oldest first.
    Complete(Vec<Rc<Turn>>),
    /// The turn with this id is not cached.
    Missing(Id),
    /// The history exceeds the size limit.
    TooLong,
}

/// Memory of a cached turn beside its input and output; bounds the number of small turns.
const MIN_TURN_BYTES: usize = 512;
/// Turns that are kept however small the cache is.
const MIN_TURNS: usize = 64;

/// Bytes that a turn counts toward the size limit of a history.
fn cost(turn: &Turn) -> usize {
    turn.size().max(1)
}

/// LRU cache of turns by id, bounded by total size and idle time.
///
/// ```
/// use std::rc::Rc;
/// use std::time::Duration;
/// use tokio::time::Instant;
/// use vanillatrail::conversation::{Cache, Turn, History};
/// let mut cache = Cache::new(1000, Duration::from_secs(20));
/// let turn = Turn { id: "t".parse().unwrap(), prev: None, until_ms: 0, input: "a".into(), output: "b\n".into() };
/// cache.insert(Instant::now(), Rc::new(turn.clone()));
/// assert_eq!(cache.history(Instant::now(), &turn.id, 100), History::Complete(vec![Rc::new(turn)]));
/// ```
#[derive(Debug)]
pub struct Cache {
    turns: HashMap<Id, Entry>,
    by_last_use: BTreeSet<(Instant, Id)>,
    bytes: usize,
    max_bytes: usize,
    idle_timeout: Duration,
}

impl Cache {
    /// Creates a cache that holds at most `max_bytes` and drops turns unused for `idle_timeout`.
    ///
    /// A single turn larger than `max_bytes` is kept until the next insert.
    #[must_use]
    pub fn new(max_bytes: usize, idle_timeout: Duration) -> Self {
        Self {
            turns: HashMap::new(),
            by_last_use: BTreeSet::new(),
            bytes: 0,
            max_bytes,
            idle_timeout,
        }
    }

    /// Inserts or replaces a turn and evicts the least recently used turns over the size limit.
    pub fn insert(&mut self, now: Instant, turn: Rc<Turn>) {
        self.remove(&turn.id);
        self.bytes += turn.size();
        self.by_last_use.insert((now, turn.id.clone()));
        self.turns.insert(
            turn.id.clone(),
            Entry {
                turn,
                last_used: now,
            },
        );
        let max_turns = (self.max_bytes / MIN_TURN_BYTES).max(MIN_TURNS);
        while self.turns.len() > 1 && (self.bytes > self.max_bytes || self.turns.len() > max_turns)
        {
            self.evict_oldest();
        }
    }

    /// Whether a turn is cached; does not mark it as used.
    #[must_use]
    pub fn contains(&self, id: &Id) -> bool {
        self.turns.contains_key(id)
    }

    /// Returns a cached turn and marks it as used.
    pub fn get(&mut self, now: Instant, id: &Id) -> Option<Rc<Turn>> {
        let entry = self.turns.get_mut(id)?;
        self.by_last_use.remove(&(entry.last_used, id.clone()));
        entry.last_used = now;
        self.by_last_use.insert((now, id.clone()));
        Some(Rc::clone(&entry.turn))
    }

    /// Turns up to and including `last`, if all are cached and have at most `limit` bytes.
    pub fn history(&mut self, now: Instant, last: &Id, limit: usize) -> History {
        let (mut turns, next) = self.newest_turns(now, last, limit);
        match next {
            Some(_) if turns.iter().map(|turn| cost(turn)).sum::<usize>() > limit => {
                History::TooLong
            }
            Some(id) => History::Missing(id),
            None => {
                turns.reverse();
                History::Complete(turns)
            }
        }
    }

    /// Cached turns back from `last`, newest first, until one is missing or `limit` is exceeded.
    ///
    /// Also returns the id of the next older turn, or `None` if the history is complete.
    pub fn newest_turns(
        &mut self,
        now: Instant,
        last: &Id,
        limit: usize,
    ) -> (Vec<Rc<Turn>>, Option<Id>) {
        let mut turns = Vec::new();
        let mut next = Some(last.clone());
        let mut bytes = 0;
        while let Some(turn) = next.as_ref().and_then(|id| self.get(now, id)) {
            bytes += cost(&turn);
            next.clone_from(&turn.prev);
            turns.push(turn);
            if bytes > limit {
                // Ids are chosen by callers, so a reused id may form a cycle. Empty turns cost at
                // least 1 byte, which ends the loop.
                return (turns, next.or_else(|| Some(last.clone())));
            }
        }
        (turns, next)
    }

    /// Evicts turns that were not used for the idle timeout.
    pub fn expire(&mut self, now: Instant) {
        while let Some((last_used, _)) = self.by_last_use.first() {
            if *last_used + self.idle_timeout > now {
                return;
            }
            self.evict_oldest();
        }
    }

    /// Evicts the least recently used turns until at most `bytes` are left.
    pub fn shrink(&mut self, bytes: usize) {
        while self.bytes > bytes {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, id)) = self.by_last_use.pop_first()
            && let Some(entry) = self.turns.remove(&id)
        {
            self.bytes -= entry.turn.size();
        }
    }

    fn remove(&mut self, id: &Id) {
        if let Some(entry) = self.turns.remove(id) {
            self.by_last_use.remove(&(entry.last_used, id.clone()));
            self.bytes -= entry.turn.size();
        }
    }

    /// Number of cached turns.
    #[must_use]
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is cached.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Total size of the cached turns in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
