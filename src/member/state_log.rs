//! Rate-limited logging of member state changes.

use super::wire::State;
use crate::id::Vm;
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::Instant;

/// State changes logged individually per [`LOG_WINDOW`]; the rest are only counted.
const MAX_LINES_PER_WINDOW: usize = 8;
const LOG_WINDOW: Duration = Duration::from_secs(1);

/// Logs member state changes at a bounded rate.
#[derive(Debug, Default)]
pub(super) struct StateLog {
    window_start: Option<Instant>,
    total: usize,
    alive: usize,
    suspect: usize,
    gone: usize,
    left: usize,
}

impl StateLog {
    /// Logs a member's new state, or counts it once the window's line limit is reached.
    pub(super) fn log(&mut self, now: Instant, vm: &Vm, state: State) {
        self.flush(now);
        self.window_start.get_or_insert(now);
        self.total += 1;
        if self.total > MAX_LINES_PER_WINDOW {
            self.count(state);
            return;
        }
        match state {
            State::Alive => event!(info, "member_alive", vm = vm),
            State::Suspect => event!(warn, "member_suspect", vm = vm),
            State::Gone => event!(warn, "member_gone", vm = vm),
            State::Left => event!(info, "member_left", vm = vm),
        }
    }

    const fn count(&mut self, state: State) {
        let count = match state {
            State::Alive => &mut self.alive,
            State::Suspect => &mut self.suspect,
            State::Gone => &mut self.gone,
            State::Left => &mut self.left,
        };
        *count += 1;
    }

    /// Logs the summary of a window that has ended, if lines were suppressed in it.
    pub(super) fn flush(&mut self, now: Instant) {
        if self
            .window_start
            .is_none_or(|window_start| now < window_start + LOG_WINDOW)
        {
            return;
        }
        let Self {
            total,
            alive,
            suspect,
            gone,
            left,
            ..
        } = std::mem::take(self);
        if total > MAX_LINES_PER_WINDOW {
            event!(
                info,
                "members_changed",
                alive = alive,
                suspect = suspect,
                gone = gone,
                left = left
            );
        }
    }
}
