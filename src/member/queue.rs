//! Queue of updates to gossip, each a bounded number of times.

use crate::id::{Server, Shard, Vm};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Queue length above which profiles and claims are sent less often: when much of the group is
/// new, anti-entropy exchanges transfer them in fewer bytes.
const BULK_QUEUE_LENGTH: usize = 400;
const MAX_BULK_TRANSMISSIONS: u32 = 3;

/// What an update is about; its content is looked up when it is sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Subject {
    Status(Vm),
    Profile(Vm),
    Applied(Vm),
    /// Owner and shard; claims of one owner are sent together.
    Claim(Vm, Shard),
    Draining(Server),
}

impl Subject {
    /// Claims sort last: a refutation queued behind the claims of a large takeover would come too
    /// late to keep the VM in the group.
    fn priority(&self, salt: u64) -> (bool, u64) {
        match self {
            Self::Claim(vm, _) => (true, xxh3_64_with_seed(vm.as_str().as_bytes(), salt)),
            _ => (false, 0),
        }
    }
}

/// Subjects with the number of times each was sent or received again.
#[derive(Debug)]
pub(super) struct Queue {
    salt: u64,
    send_counts: BTreeMap<Subject, u32>,
}

impl Queue {
    /// `salt` should differ between VMs, so that they send claims in different orders.
    pub(super) fn new(salt: u64) -> Self {
        let send_counts = BTreeMap::new();
        Self { salt, send_counts }
    }

    /// Queues a new update. A profile includes the status, so a queued profile replaces a status.
    pub(super) fn push(&mut self, subject: Subject) {
        if let Subject::Profile(vm) = &subject {
            self.send_counts.remove(&Subject::Status(vm.clone()));
        }
        if let Subject::Status(vm) = &subject
            && let Some(sends) = self.send_counts.get_mut(&Subject::Profile(vm.clone()))
        {
            *sends = 0;
            return;
        }
        self.send_counts.insert(subject, 0);
    }

    /// Counts that an update was sent, or received from a member that already has it, and drops it
    /// at the limit.
    pub(super) fn count_transmission(&mut self, subject: &Subject, limit: u32) {
        let is_bulk = matches!(subject, Subject::Profile(_) | Subject::Claim(..));
        let limit = if is_bulk && self.send_counts.len() > BULK_QUEUE_LENGTH {
            limit.min(MAX_BULK_TRANSMISSIONS)
        } else {
            limit
        };
        if let Some(sends) = self.send_counts.get_mut(subject) {
            *sends += 1;
            if *sends >= limit {
                self.send_counts.remove(subject);
            }
        }
    }

    pub(super) fn remove(&mut self, subject: &Subject) {
        self.send_counts.remove(subject);
    }

    /// Sorted subjects: urgent ones first, then those sent least. Claims of one owner are adjacent,
    /// with the owners in an order that differs between VMs.
    pub(super) fn by_priority(&self) -> Vec<Subject> {
        let with_priority = |(subject, sends): (&Subject, &u32)| {
            (subject.priority(self.salt), *sends, subject.clone())
        };
        let mut subjects: Vec<((bool, u64), u32, Subject)> =
            self.send_counts.iter().map(with_priority).collect();
        subjects.sort_by(|a, b| (a.0.0, a.1, a.0.1, &a.2).cmp(&(b.0.0, b.1, b.0.1, &b.2)));
        subjects
            .into_iter()
            .map(|(_, _, subject)| subject)
            .collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.send_counts.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.send_counts.len()
    }
}
