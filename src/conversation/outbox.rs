//! Turns that the store has not taken yet, of one bucket.

use super::{Id, Turn};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Turns to be recorded. Each stays until a write that held it was acknowledged, so that a write may
/// fail, be lost or be done twice.
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
    /// Takes in a turn, or one that is to be kept for longer.
    pub fn push(&mut self, turn: Rc<Turn>) {
        let longer = self.turns.get(&turn.id);
        if longer.is_none_or(|known| known.until_ms < turn.until_ms) {
            self.turns.insert(turn.id.clone(), turn);
        }
    }

    /// Turns for one write, at most `limit` bytes of them, but one at least.
    #[must_use]
    pub fn batch(&self, limit: usize) -> Vec<Rc<Turn>> {
        let mut bytes = 0;
        let fits = self.turns.values().enumerate().take_while(|(index, turn)| {
            bytes += turn.size();
            *index == 0 || bytes <= limit
        });
        fits.map(|(_, turn)| Rc::clone(turn)).collect()
    }

    /// A write of these turns was acknowledged.
    pub fn mark_recorded(&mut self, batch: &[Rc<Turn>]) {
        for turn in batch {
            let same = self.turns.get(&turn.id);
            if same.is_some_and(|known| known.until_ms <= turn.until_ms) {
                self.turns.remove(&turn.id);
            }
        }
    }

    /// Drops a turn whose answer did not end as whole: nobody goes on from it.
    pub fn remove(&mut self, id: &Id) {
        self.turns.remove(id);
    }

    /// Drops turns that nobody can come back to.
    pub fn expire(&mut self, now_ms: u64) {
        self.turns.retain(|_, turn| turn.until_ms > now_ms);
    }

    /// Whether the store may lack a turn.
    #[must_use]
    pub fn contains(&self, id: &Id) -> bool {
        self.turns.contains_key(id)
    }

    /// A turn that the store may lack.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Rc<Turn>> {
        self.turns.get(id)
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
}
