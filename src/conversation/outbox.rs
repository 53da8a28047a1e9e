//! Turns of one bucket that are not recorded in the store yet.

use super::{Id, Turn};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Queue of turns to write to the store. A turn stays until a write that contains it is
/// acknowledged, so writes may fail or be repeated.
///
/// ```
/// use std::rc::Rc;
/// use vanillatrail::conversation::{Outbox, Turn};
/// let turn = Turn { id: "t".parse().unwrap(), prev: None, until_ms: 9, input: "a".into(), output: "b\n".into() };
/// let mut outbox = Outbox::default();
/// outbox.push(Rc::new(turn.clone()));
/// let batch = outbox.batch(1000);
/// outbox.mark_recorded(&batch);
/// assert!(!outbox.contains(&turn.id));
/// ```
#[derive(Debug, Default)]
pub struct Outbox {
    turns: BTreeMap<Id, Rc<Turn>>,
}

impl Outbox {
    /// Adds a turn, or replaces a queued one that expires earlier.
    pub fn push(&mut self, turn: Rc<Turn>) {
        let queued = self.turns.get(&turn.id);
        if queued.is_none_or(|queued| queued.until_ms < turn.until_ms) {
            self.turns.insert(turn.id.clone(), turn);
        }
    }

    /// Turns for the next write, up to `limit` bytes but at least one turn.
    #[must_use]
    pub fn batch(&self, limit: usize) -> Vec<Rc<Turn>> {
        let mut bytes = 0;
        let selected = self.turns.values().enumerate().take_while(|(index, turn)| {
            bytes += turn.size();
            *index == 0 || bytes <= limit
        });
        selected.map(|(_, turn)| Rc::clone(turn)).collect()
    }

    /// Removes turns whose write was acknowledged, unless a longer retention was queued since.
    pub fn mark_recorded(&mut self, batch: &[Rc<Turn>]) {
        for turn in batch {
            self.remove(turn);
        }
    }

    /// Removes a turn that need not be written any more, unless a longer retention was queued since.
    pub fn remove(&mut self, turn: &Turn) {
        let queued = self.turns.get(&turn.id);
        if queued.is_some_and(|queued| queued.until_ms <= turn.until_ms) {
            self.turns.remove(&turn.id);
        }
    }

    /// Removes expired turns.
    pub fn expire(&mut self, now_ms: u64) {
        self.turns.retain(|_, turn| turn.until_ms > now_ms);
    }

    /// Whether a turn is queued, that is, possibly not in the store yet.
    #[must_use]
    pub fn contains(&self, id: &Id) -> bool {
        self.turns.contains_key(id)
    }

    /// Returns a queued turn.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Rc<Turn>> {
        self.turns.get(id)
    }

    /// Number of queued turns.
    #[must_use]
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether no turn is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
