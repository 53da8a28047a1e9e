//! The log lines of the members' states, at a bounded rate.

use super::wire::State;
use crate::id::Vm;
use crate::telemetry::event;
use std::time::Duration;
use tokio::time::Instant;

/// Changes of members that are logged one by one in a second; of the rest a line a second gives the
/// number.
const LINES: usize = 8;
/// Time between two lines of numbers.
const COUNTED: Duration = Duration::from_secs(1);

/// Logs in which state members are held, at a bounded rate.
#[derive(Debug, Default)]
pub(super) struct Changes {
    since: Option<Instant>,
    lines: usize,
    alive: usize,
    suspect: usize,
    gone: usize,
    left: usize,
}

impl Changes {
    /// Logs that a member is held in another state.
    pub(super) fn tell(&mut self, now: Instant, vm: &Vm, state: State) {
        self.flush(now);
        self.since.get_or_insert(now);
        self.lines += 1;
        if self.lines > LINES {
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

    /// Logs the numbers of a second that is over.
    pub(super) fn flush(&mut self, now: Instant) {
        if self.since.is_none_or(|since| now < since + COUNTED) {
            return;
        }
        let Self {
            lines,
            alive,
            suspect,
            gone,
            left,
            ..
        } = std::mem::take(self);
        if lines > LINES {
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
