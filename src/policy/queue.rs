//! Calls that wait, in the order in which they should go.

use super::ask::Ask;
use crate::id::Permit;
use std::collections::{BTreeSet, HashMap};

/// One in so many grants goes to a program that can no longer make its target.
const LATE_SHARE: u64 = 8;
/// Share of the remaining time by which the estimate may be off before a program counts as late.
const TOLERANCE: f64 = 0.5;

/// A call that waits. Times are milliseconds of the pool's clock.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    /// When it must start for the whole program to make its target.
    pub(super) start_by: i64,
    pub(super) asked: i64,
}

impl Waiting {
    fn late_at(&self) -> i64 {
        #[expect(clippy::cast_possible_truncation, reason = "milliseconds")]
        let tolerance = (self.ask.remaining_ms as f64 * TOLERANCE) as i64;
        self.start_by.saturating_add(tolerance)
    }

    /// Among late calls the shortest rest goes first, and waiting counts against it, so that
    /// none starves.
    fn late_key(&self) -> i64 {
        let rest = i64::try_from(self.ask.remaining_ms).unwrap_or(i64::MAX);
        self.asked.saturating_add(rest)
    }
}

/// The calls that wait: those that can make their target by least slack, then the late ones.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: HashMap<Permit, Waiting>,
    on_time: BTreeSet<(i64, Permit)>,
    turns_late: BTreeSet<(i64, Permit)>,
    late: BTreeSet<(i64, Permit)>,
    grants: u64,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn get(&self, permit: Permit) -> Option<&Waiting> {
        self.waiting.get(&permit)
    }

    pub(super) fn push(&mut self, permit: Permit, waiting: Waiting) {
        self.on_time.insert((waiting.start_by, permit));
        self.turns_late.insert((waiting.late_at(), permit));
        self.waiting.insert(permit, waiting);
    }

    pub(super) fn remove(&mut self, permit: Permit) -> Option<Waiting> {
        let waiting = self.waiting.remove(&permit)?;
        self.on_time.remove(&(waiting.start_by, permit));
        self.turns_late.remove(&(waiting.late_at(), permit));
        self.late.remove(&(waiting.late_key(), permit));
        Some(waiting)
    }

    /// Counts a grant, which decides when late calls have their turn.
    pub(super) fn granted(&mut self) {
        self.grants += 1;
    }

    /// The first calls to look at, most urgent first, at most `count`.
    pub(super) fn first(&mut self, now: i64, count: usize) -> Vec<Permit> {
        self.sort_out(now);
        let late_first = self.grants % LATE_SHARE == LATE_SHARE - 1;
        let late = self.late.iter().map(|(_, permit)| *permit);
        let on_time = self.on_time.iter().map(|(_, permit)| *permit);
        if late_first {
            late.clone()
                .take(1)
                .chain(on_time)
                .chain(late.skip(1))
                .take(count)
                .collect()
        } else {
            on_time.chain(late).take(count).collect()
        }
    }

    /// Moves the calls whose time has passed to the late ones.
    fn sort_out(&mut self, now: i64) {
        while let Some(&(at, permit)) = self.turns_late.first() {
            if at >= now {
                return;
            }
            self.turns_late.remove(&(at, permit));
            if let Some(waiting) = self.waiting.get(&permit) {
                self.on_time.remove(&(waiting.start_by, permit));
                self.late.insert((waiting.late_key(), permit));
            }
        }
    }
}
