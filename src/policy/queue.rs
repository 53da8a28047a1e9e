//! Calls that wait, in the order in which they should go.

use crate::id::Permit;
use std::collections::{BTreeSet, HashMap};

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Band {
    /// It makes its target with much to spare, and only fills what others leave.
    Fills,
    /// It makes its target if it goes in order of slack.
    OnTime,
    /// It can no longer make its target.
    Late,
}

/// How a call that waits is ordered. Times are milliseconds of the queue's clock.
pub(super) trait Order {
    /// One in so many grants goes to a program that can no longer make its target.
    const LATE_SHARE: u64;

    /// The band at a time, and when that ends.
    fn band(&self, now: i64) -> (Band, i64);

    /// The place within a band; the lowest goes first.
    fn key(&self, band: Band) -> i64;
}

#[derive(Debug)]
struct Place<W> {
    waiting: W,
    band: Band,
    until: i64,
}

/// The calls that wait: by least slack those that can make their target, then the late ones,
/// then those that only fill.
#[derive(Debug)]
pub(super) struct Queue<W> {
    places: HashMap<Permit, Place<W>>,
    fills: BTreeSet<(i64, Permit)>,
    on_time: BTreeSet<(i64, Permit)>,
    late: BTreeSet<(i64, Permit)>,
    changes: BTreeSet<(i64, Permit)>,
    grants: u64,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self {
            places: HashMap::new(),
            fills: BTreeSet::new(),
            on_time: BTreeSet::new(),
            late: BTreeSet::new(),
            changes: BTreeSet::new(),
            grants: 0,
        }
    }
}

impl<W: Order> Queue<W> {
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(super) fn get(&self, permit: Permit) -> Option<(&W, Band)> {
        let place = self.places.get(&permit)?;
        Some((&place.waiting, place.band))
    }

    pub(super) fn push(&mut self, now: i64, permit: Permit, waiting: W) {
        let (band, until) = waiting.band(now);
        self.order(band).insert((waiting.key(band), permit));
        if until < i64::MAX {
            self.changes.insert((until, permit));
        }
        let place = Place {
            waiting,
            band,
            until,
        };
        self.places.insert(permit, place);
    }

    pub(super) fn remove(&mut self, permit: Permit) -> Option<W> {
        let Place {
            waiting,
            band,
            until,
        } = self.places.remove(&permit)?;
        self.order(band).remove(&(waiting.key(band), permit));
        self.changes.remove(&(until, permit));
        Some(waiting)
    }

    fn order(&mut self, band: Band) -> &mut BTreeSet<(i64, Permit)> {
        match band {
            Band::Fills => &mut self.fills,
            Band::OnTime => &mut self.on_time,
            Band::Late => &mut self.late,
        }
    }

    /// Calls that go before a new one of this band.
    pub(super) fn ahead(&self, band: Band) -> usize {
        match band {
            Band::OnTime => self.on_time.len(),
            Band::Late => self.on_time.len() + self.late.len(),
            Band::Fills => self.len(),
        }
    }

    /// Calls that wait: those in time, the late ones, and those that only fill.
    pub(super) fn bands(&self) -> [usize; 3] {
        [self.on_time.len(), self.late.len(), self.fills.len()]
    }

    /// Calls that can no longer make their target and for which `over` holds.
    pub(super) fn behind(&self, over: impl Fn(&W) -> bool) -> Vec<Permit> {
        let behind = self.late.iter().chain(&self.fills);
        let places = behind.filter_map(|(_, permit)| Some((permit, self.places.get(permit)?)));
        places
            .filter(|(_, place)| over(&place.waiting))
            .map(|(permit, _)| *permit)
            .collect()
    }

    /// Counts a grant, which decides when late calls have their turn.
    pub(super) fn granted(&mut self) {
        self.grants += 1;
    }

    /// The first calls to look at, most urgent first, at most `count` of those that compete and
    /// as many of those that fill.
    pub(super) fn first(&mut self, now: i64, count: usize) -> Vec<Permit> {
        self.sort_out(now);
        let turn = usize::from(self.grants % W::LATE_SHARE == W::LATE_SHARE - 1);
        let late = self.late.iter().take(turn);
        let on_time = self.on_time.iter();
        let competing = late
            .chain(on_time)
            .chain(self.late.iter().skip(turn))
            .take(count);
        let fills = self.fills.iter().take(count);
        competing.chain(fills).map(|(_, permit)| *permit).collect()
    }

    /// Moves the calls whose band has changed with time.
    fn sort_out(&mut self, now: i64) {
        while let Some(&(until, permit)) = self.changes.first() {
            if until >= now {
                return;
            }
            if let Some(waiting) = self.remove(permit) {
                self.push(now, permit, waiting);
            }
        }
    }
}
