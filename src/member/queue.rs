//! The news that a member passes on, each a bounded number of times.

use crate::id::{Server, Shard, Vm};
use std::collections::BTreeMap;

/// What a piece of news is about; its content is looked up when it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Item {
    Status(Vm),
    Profile(Vm),
    Applied(Vm),
    Claim(Shard),
    Leaving(Server),
}

/// News by how often they were passed on or heard again.
#[derive(Debug, Default)]
pub(super) struct Queue {
    items: BTreeMap<Item, u32>,
}

impl Queue {
    /// Passes an item on from now.
    pub(super) fn push(&mut self, item: Item) {
        if let Item::Profile(vm) = &item {
            self.items.remove(&Item::Status(vm.clone()));
        }
        if let Item::Status(vm) = &item
            && let Some(sent) = self.items.get_mut(&Item::Profile(vm.clone()))
        {
            *sent = 0;
            return;
        }
        self.items.insert(item, 0);
    }

    /// Counts that an item was passed on, or heard from another member that has it already; an
    /// item that everybody has is dropped the sooner.
    pub(super) fn count(&mut self, item: &Item, limit: u32) {
        if let Some(sent) = self.items.get_mut(item) {
            *sent += 1;
            if *sent >= limit {
                self.items.remove(item);
            }
        }
    }

    /// Drops an item.
    pub(super) fn remove(&mut self, item: &Item) {
        self.items.remove(item);
    }

    /// The items, those passed on least first.
    pub(super) fn fresh(&self) -> Vec<Item> {
        let mut items: Vec<(u32, &Item)> = self
            .items
            .iter()
            .map(|(item, sent)| (*sent, item))
            .collect();
        items.sort();
        items.into_iter().map(|(_, item)| item.clone()).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }
}
