//! Calls that wait, in the order in which they should go.

use super::ask::Ask;
use crate::id::Permit;
use std::collections::{BTreeSet, HashMap};

/// One in so many grants goes to a program that can no longer make its target.
const LATE_SHARE: u64 = 8;
/// Share of the remaining time by which the estimate may be off before a program counts as late.
const TOLERANCE: f64 = 0.5;
/// A program whose slack is so many times what remains only fills what others leave.
const FILLS: f64 = 6.0;

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

/// A call that waits. Times are milliseconds of the pool's clock.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    /// When it must start for the whole program to make its target.
    pub(super) start_by: i64,
    pub(super) asked: i64,
}

impl Waiting {
    fn rest(&self) -> i64 {
        i64::try_from(self.ask.remaining_ms).unwrap_or(i64::MAX)
    }

    #[expect(clippy::cast_possible_truncation, reason = "milliseconds")]
    fn shifted(&self, share: f64) -> i64 {
        let shift = (self.rest() as f64 * share) as i64;
        self.start_by.saturating_add(shift)
    }

    /// The band at a time, and when that ends.
    fn band(&self, now: i64) -> (Band, i64) {
        let tightens = self.shifted(-FILLS);
        let late = self.shifted(TOLERANCE);
        // Nothing is known of what remains where it is zero.
        if self.ask.remaining_ms > 0 && now <= tightens {
            (Band::Fills, tightens)
        } else if now <= late {
            (Band::OnTime, late)
        } else {
            (Band::Late, i64::MAX)
        }
    }

    fn key(&self, band: Band) -> i64 {
        match band {
            // The shortest rest first: what has begun ends, and its cache is not held for long.
            Band::Fills => self.rest(),
            Band::OnTime => self.start_by,
            // The same, but waiting counts against it, so that none starves.
            Band::Late => self.asked.saturating_add(self.rest()),
        }
    }
}

#[derive(Debug)]
struct Place {
    waiting: Waiting,
    band: Band,
    until: i64,
}

/// The calls that wait: by least slack those that can make their target, then the late ones,
/// then those that only fill.
#[derive(Debug, Default)]
pub(super) struct Queue {
    places: HashMap<Permit, Place>,
    fills: BTreeSet<(i64, Permit)>,
    on_time: BTreeSet<(i64, Permit)>,
    late: BTreeSet<(i64, Permit)>,
    changes: BTreeSet<(i64, Permit)>,
    grants: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(super) fn get(&self, permit: Permit) -> Option<(&Waiting, Band)> {
        let place = self.places.get(&permit)?;
        Some((&place.waiting, place.band))
    }

    pub(super) fn push(&mut self, now: i64, permit: Permit, waiting: Waiting) {
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

    pub(super) fn remove(&mut self, permit: Permit) -> Option<Waiting> {
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

    /// Counts a grant, which decides when late calls have their turn.
    pub(super) fn granted(&mut self) {
        self.grants += 1;
    }

    /// The first calls to look at, most urgent first, at most `count` of those that compete and
    /// as many of those that fill.
    pub(super) fn first(&mut self, now: i64, count: usize) -> Vec<Permit> {
        self.sort_out(now);
        let turn = usize::from(self.grants % LATE_SHARE == LATE_SHARE - 1);
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
