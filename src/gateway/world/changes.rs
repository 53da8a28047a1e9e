//! The newest changes to the directory, for VMs that follow this one.

use crate::gateway::world::directory::Change;
use crate::id::Offset;
use std::collections::VecDeque;

/// Changes that are kept.
const KEPT: usize = 8192;

/// Changes in the order of the store, from one offset on.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// Every change after this offset is kept.
    start: Offset,
    kept: VecDeque<(Offset, Change)>,
    /// How many were noted so far; one more each time that they begin anew.
    noted: u64,
}

/// A part of the changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// What stands in the directory after these changes, as an offset of the store.
    pub until: Offset,
    /// The changes.
    pub changes: Vec<Change>,
    /// Whether these are all.
    pub whole: bool,
}

impl Changes {
    /// Changes of a directory that was read as a whole at an offset.
    #[must_use]
    pub fn from(start: Offset) -> Self {
        Self {
            start,
            ..Self::default()
        }
    }

    /// Begins anew with a directory that was read as a whole at an offset.
    pub fn restart(&mut self, start: Offset) {
        self.start = start;
        self.kept.clear();
        self.noted += 1;
    }

    /// How many changes were noted so far.
    #[must_use]
    pub const fn noted(&self) -> u64 {
        self.noted
    }

    /// The changes since so many were noted; none where they are not kept any more.
    #[must_use]
    pub fn since(&self, noted: u64) -> Option<impl Iterator<Item = &Change>> {
        let count = usize::try_from(self.noted - noted).ok()?;
        let first = self.kept.len().checked_sub(count)?;
        Some(self.kept.iter().skip(first).map(|(_, change)| change))
    }

    /// Notes a change that stands at an offset.
    pub fn push(&mut self, at: Offset, change: Change) {
        self.kept.push_back((at, change));
        self.noted += 1;
        if self.kept.len() > KEPT
            && let Some((dropped, _)) = self.kept.pop_front()
        {
            self.start = self.start.max(dropped);
        }
    }

    /// The offset of the newest change.
    #[must_use]
    pub fn newest(&self) -> Offset {
        self.kept.back().map_or(self.start, |(at, _)| *at)
    }

    /// How many changes came after an offset.
    #[must_use]
    pub fn count_after(&self, offset: Offset) -> usize {
        self.kept.len() - self.kept.partition_point(|(at, _)| *at <= offset)
    }

    /// The changes after an offset, as many as `fits` takes; none where they are not kept any more, or where those of
    /// one offset do not fit together.
    pub fn after(&self, offset: Offset, mut fits: impl FnMut(&Change) -> bool) -> Option<Part> {
        if offset < self.start {
            return None;
        }
        let first = self.kept.partition_point(|(at, _)| *at <= offset);
        let mut part = Part {
            until: self.newest().max(offset),
            changes: Vec::new(),
            whole: true,
        };
        for (at, change) in self.kept.iter().skip(first) {
            if !fits(change) {
                // Those of one offset belong together.
                let end = self.kept.partition_point(|(other, _)| other < at);
                part.changes.truncate(end.saturating_sub(first));
                part.until = self.kept.get(end.checked_sub(1)?)?.0;
                part.whole = false;
                return (!part.changes.is_empty()).then_some(part);
            }
            part.changes.push(change.clone());
        }
        Some(part)
    }
}
