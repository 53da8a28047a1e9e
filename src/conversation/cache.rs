//! Turns in the memory of one VM.
//!
//! Load it answers: programs whose next turn comes some tens of milliseconds after the one before,
//! mostly through the same VM, and some that come back after a minute. The former are served from
//! memory; the latter, and what passes the bound, are read again from other VMs or the store.

use super::{Id, Turn};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A turn and when it was last of use.
#[derive(Debug)]
struct Held {
    turn: Rc<Turn>,
    used: Instant,
}

/// The turns that lead to one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum History {
    /// All of them, the oldest first.
    Complete(Vec<Rc<Turn>>),
    /// This one is not here.
    Missing(Id),
    /// They are larger than the bound.
    TooLong,
}

/// What a turn counts against a bound.
fn cost(turn: &Turn) -> usize {
    turn.size().max(1)
}

/// Turns by identity, bounded by bytes and by the time since they were of use.
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
    turns: HashMap<Id, Held>,
    by_use: BTreeSet<(Instant, Id)>,
    bytes: usize,
    limit: usize,
    idle: Duration,
}

impl Cache {
    /// A cache of at most `limit` bytes of turns that were of use within `idle`.
    #[must_use]
    pub fn new(limit: usize, idle: Duration) -> Self {
        Self {
            turns: HashMap::new(),
            by_use: BTreeSet::new(),
            bytes: 0,
            limit,
            idle,
        }
    }

    /// Takes in a turn; the least recently used ones go where it does not fit.
    pub fn insert(&mut self, now: Instant, turn: Rc<Turn>) {
        self.remove(&turn.id);
        self.bytes += turn.size();
        self.by_use.insert((now, turn.id.clone()));
        self.turns.insert(turn.id.clone(), Held { turn, used: now });
        while self.bytes > self.limit && self.turns.len() > 1 {
            self.drop_first();
        }
    }

    /// A turn by its identity.
    pub fn get(&mut self, now: Instant, id: &Id) -> Option<Rc<Turn>> {
        let held = self.turns.get_mut(id)?;
        self.by_use.remove(&(held.used, id.clone()));
        held.used = now;
        self.by_use.insert((now, id.clone()));
        Some(Rc::clone(&held.turn))
    }

    /// The turns that lead to `last`, itself included, at most `limit` bytes of them.
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

    /// The turns that lead to `last`, the newest first, until `limit` bytes are passed or one is not
    /// here; and the next one, if there is one.
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
                // The identities are the callers': one that was used twice could lead back to
                // itself, so that even empty turns count.
                return (turns, next.or_else(|| Some(last.clone())));
            }
        }
        (turns, next)
    }

    /// Drops what was of no use for too long.
    pub fn expire(&mut self, now: Instant) {
        while let Some((used, _)) = self.by_use.first() {
            if *used + self.idle > now {
                return;
            }
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, id)) = self.by_use.pop_first()
            && let Some(held) = self.turns.remove(&id)
        {
            self.bytes -= held.turn.size();
        }
    }

    fn remove(&mut self, id: &Id) {
        if let Some(held) = self.turns.remove(id) {
            self.by_use.remove(&(held.used, id.clone()));
            self.bytes -= held.turn.size();
        }
    }

    /// How many turns there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Bytes of all turns.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}
