//! The news that a member passes on, each a bounded number of times.

use crate::id::{Server, Shard, Vm};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Items above which profiles and claims are passed on less: when a large part of the group is
/// new, the exchanges of digests carry them in fewer bytes than passing on does.
const BULK: usize = 400;
/// How often they are passed on then.
const BULK_LIMIT: u32 = 3;

/// What a piece of news is about; its content is looked up when it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Item {
    Status(Vm),
    Profile(Vm),
    Applied(Vm),
    /// A shard and who owns it; claims of one owner are sent together.
    Claim(Vm, Shard),
    Leaving(Server),
}

impl Item {
    /// Claims come last. A refutation that waits behind the claims of a large takeover comes too
    /// late, and the VM is dropped.
    fn rank(&self, salt: u64) -> (bool, u64) {
        match self {
            Self::Claim(vm, _) => (true, xxh3_64_with_seed(vm.as_str().as_bytes(), salt)),
            _ => (false, 0),
        }
    }
}

/// News by how often they were passed on or heard again.
#[derive(Debug)]
pub(super) struct Queue {
    salt: u64,
    items: BTreeMap<Item, u32>,
}

impl Queue {
    /// An empty queue; `salt` differs from VM to VM.
    pub(super) fn new(salt: u64) -> Self {
        let items = BTreeMap::new();
        Self { salt, items }
    }

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
        let bulky = matches!(item, Item::Profile(_) | Item::Claim(..));
        let limit = if bulky && self.items.len() > BULK {
            limit.min(BULK_LIMIT)
        } else {
            limit
        };
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

    /// The items, urgent ones first, then those passed on least; claims of one owner stand
    /// together, the owners in an order that differs from VM to VM.
    pub(super) fn fresh(&self) -> Vec<Item> {
        let ranked = |(item, sent): (&Item, &u32)| (item.rank(self.salt), *sent, item.clone());
        let mut items: Vec<((bool, u64), u32, Item)> = self.items.iter().map(ranked).collect();
        items.sort_by(|a, b| (a.0.0, a.1, a.0.1, &a.2).cmp(&(b.0.0, b.1, b.0.1, &b.2)));
        items.into_iter().map(|(_, _, item)| item).collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }
}
