//! A bounded log of recent directory changes, for VMs that follow this one.

use crate::gateway::world::directory::Change;
use crate::id::Offset;
use std::collections::VecDeque;

const MAX_CHANGES: usize = 8192;

/// The changes after one store offset, in the order of their offsets.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// All changes after this offset are in `entries`.
    start: Offset,
    entries: VecDeque<(Offset, Change)>,
    /// Number of changes and restarts so far.
    revision: u64,
}

/// Consecutive changes after an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The store offset that a directory reflects once the changes are applied.
    pub end: Offset,
    /// The changes in the order in which they have to be applied.
    pub changes: Vec<Change>,
    /// Whether the log has no further changes.
    pub complete: bool,
}

impl Changes {
    /// An empty log that follows a full read of the directory at `start`.
    #[must_use]
    pub fn starting_at(start: Offset) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Clears the log after a full read of the directory at `start`.
    pub fn restart(&mut self, start: Offset) {
        self.start = start;
        self.entries.clear();
        self.revision += 1;
    }

    /// Number of changes and restarts so far, for [`Changes::since`].
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The changes since [`Changes::revision`] returned `revision`; `None` if some were dropped.
    #[must_use]
    pub fn since(&self, revision: u64) -> Option<impl Iterator<Item = &Change>> {
        let count = usize::try_from(self.revision - revision).ok()?;
        let first = self.entries.len().checked_sub(count)?;
        Some(self.entries.iter().skip(first).map(|(_, change)| change))
    }

    /// Appends a change with its offset; drops the oldest change if the log is full.
    pub fn push(&mut self, at: Offset, change: Change) {
        self.entries.push_back((at, change));
        self.revision += 1;
        if self.entries.len() > MAX_CHANGES
            && let Some((dropped, _)) = self.entries.pop_front()
        {
            self.start = self.start.max(dropped);
        }
    }

    /// The offset of the newest change, or the start of the log if it is empty.
    #[must_use]
    pub fn newest_offset(&self) -> Offset {
        self.entries.back().map_or(self.start, |(at, _)| *at)
    }

    /// Number of logged changes after an offset.
    #[must_use]
    pub fn count_after(&self, offset: Offset) -> usize {
        self.entries.len() - self.entries.partition_point(|(at, _)| *at <= offset)
    }

    /// The changes after an offset, up to the first one that `fits` rejects. Changes of one offset
    /// are never split. `None` if changes were dropped, or if those of the first offset do not fit.
    pub fn after(&self, offset: Offset, mut fits: impl FnMut(&Change) -> bool) -> Option<Batch> {
        if offset < self.start {
            return None;
        }
        let first = self.entries.partition_point(|(at, _)| *at <= offset);
        let mut part = Batch {
            end: self.newest_offset().max(offset),
            changes: Vec::new(),
            complete: true,
        };
        for (at, change) in self.entries.iter().skip(first) {
            if !fits(change) {
                // Changes of one offset must be applied together.
                let end = self.entries.partition_point(|(other, _)| other < at);
                part.changes.truncate(end.saturating_sub(first));
                part.end = self.entries.get(end.checked_sub(1)?)?.0;
                part.complete = false;
                return (!part.changes.is_empty()).then_some(part);
            }
            part.changes.push(change.clone());
        }
        Some(part)
    }
}
