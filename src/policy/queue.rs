//! Priority queue of calls that wait for a server.

use crate::id::Permit;
use std::collections::{BTreeSet, HashMap};

/// Priority band of a call. On-time calls go first, then late ones, then backfill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Band {
    /// Only gets slots that the other bands leave: it has ample slack, or is too late to be useful.
    Backfill,
    /// Can meet its target if it is granted in order.
    OnTime,
    /// Is expected to miss its target, or was not admitted.
    Late,
}

/// Order of a queued call. Times are milliseconds of the queue's clock.
pub(super) trait Prioritized {
    /// One in this many grants considers the late band first, so that it is not starved.
    const LATE_GRANT_INTERVAL: u64;

    /// The band at `now_ms`, and the last moment at which it applies.
    fn band(&self, now_ms: i64) -> (Band, i64);

    /// Position within the band; the lowest goes first.
    fn sort_key(&self, band: Band) -> i64;
}

#[derive(Debug)]
struct Entry<W> {
    item: W,
    band: Band,
    /// Last moment at which the band applies.
    until_ms: i64,
}

/// Queued calls by band. Calls change bands as time passes.
#[derive(Debug)]
pub(super) struct Queue<W> {
    entries: HashMap<Permit, Entry<W>>,
    backfill: BTreeSet<(i64, Permit)>,
    on_time: BTreeSet<(i64, Permit)>,
    late: BTreeSet<(i64, Permit)>,
    /// When calls leave their band, unless they stay in it.
    band_ends: BTreeSet<(i64, Permit)>,
    grants: u64,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            backfill: BTreeSet::new(),
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
            band_ends: BTreeSet::new(),
            grants: 0,
        }
    }
}

impl<W: Prioritized> Queue<W> {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn get(&self, permit: Permit) -> Option<(&W, Band)> {
        let entry = self.entries.get(&permit)?;
        Some((&entry.item, entry.band))
    }

    pub(super) fn push(&mut self, now_ms: i64, permit: Permit, item: W) {
        let (band, until_ms) = item.band(now_ms);
        self.band_mut(band).insert((item.sort_key(band), permit));
        if until_ms < i64::MAX {
            self.band_ends.insert((until_ms, permit));
        }
        let entry = Entry {
            item,
            band,
            until_ms,
        };
        self.entries.insert(permit, entry);
    }

    pub(super) fn remove(&mut self, permit: Permit) -> Option<W> {
        let Entry {
            item,
            band,
            until_ms,
        } = self.entries.remove(&permit)?;
        self.band_mut(band).remove(&(item.sort_key(band), permit));
        self.band_ends.remove(&(until_ms, permit));
        Some(item)
    }

    fn band_mut(&mut self, band: Band) -> &mut BTreeSet<(i64, Permit)> {
        match band {
            Band::Backfill => &mut self.backfill,
            Band::OnTime => &mut self.on_time,
            Band::Late => &mut self.late,
        }
    }

    /// Calls that go before a new one of this band.
    pub(super) fn queued_ahead(&self, band: Band) -> usize {
        match band {
            Band::OnTime => self.on_time.len(),
            Band::Late => self.on_time.len() + self.late.len(),
            Band::Backfill => self.len(),
        }
    }

    /// Number of on-time, late and backfill calls.
    pub(super) fn band_lens(&self) -> [usize; 3] {
        [self.on_time.len(), self.late.len(), self.backfill.len()]
    }

    /// Calls that match the predicate.
    pub(super) fn matching(&self, matches: impl Fn(&W) -> bool) -> Vec<Permit> {
        let entries = self.entries.iter();
        let matching = entries.filter(|(_, entry)| matches(&entry.item));
        matching.map(|(permit, _)| *permit).collect()
    }

    /// Late and backfill calls that match the predicate.
    pub(super) fn late_matching(&self, matches: impl Fn(&W) -> bool) -> Vec<Permit> {
        let candidates = self.late.iter().chain(&self.backfill);
        let entries =
            candidates.filter_map(|(_, permit)| Some((permit, self.entries.get(permit)?)));
        entries
            .filter(|(_, entry)| matches(&entry.item))
            .map(|(permit, _)| *permit)
            .collect()
    }

    /// Counts a grant, for [`Prioritized::LATE_GRANT_INTERVAL`].
    pub(super) fn record_grant(&mut self) {
        self.grants += 1;
    }

    /// The most urgent calls: at most `count` on-time and late ones, followed by at most `count` of
    /// the backfill band.
    pub(super) fn most_urgent(&mut self, now_ms: i64, count: usize) -> Vec<Permit> {
        self.update_bands(now_ms);
        let late_first =
            usize::from(self.grants % W::LATE_GRANT_INTERVAL == W::LATE_GRANT_INTERVAL - 1);
        let late = self.late.iter().take(late_first);
        let on_time = self.on_time.iter();
        let competing = late
            .chain(on_time)
            .chain(self.late.iter().skip(late_first))
            .take(count);
        let backfill = self.backfill.iter().take(count);
        competing
            .chain(backfill)
            .map(|(_, permit)| *permit)
            .collect()
    }

    /// Moves calls whose band has expired.
    fn update_bands(&mut self, now_ms: i64) {
        while let Some(&(until_ms, permit)) = self.band_ends.first() {
            if until_ms >= now_ms {
                return;
            }
            if let Some(item) = self.remove(permit) {
                self.push(now_ms, permit, item);
            }
        }
    }
}
