//! Where a forwarded request stands among those that wait for the same servers.
//!
//! Load it answers: a burst that brings more programs than the servers can finish in time. By the
//! earliest deadline, every program is served a little too late, and once the backlog is as long
//! as the slack of a program, so is every later one for as long as the load lasts. So programs that
//! were admitted go first, the oldest of them before the others, which keeps what has begun going.

use super::queue::{Band, Order};

/// How much later a program counts as begun for each rank that it is less urgent, in milliseconds.
/// Not tuned: as long as the objective of one request, so that a rank decides between programs that
/// begin together and none starves.
const RANK_MS: i64 = 250;

/// The standing of one request. Times are milliseconds of the queue's clock.
#[derive(Debug, Clone, Copy)]
pub(super) struct Standing {
    /// When its program began.
    pub(super) begun: i64,
    /// When its program should be finished.
    pub(super) finish: i64,
    /// When it came.
    pub(super) asked: i64,
    /// Whether a request of its program was granted before.
    pub(super) started: bool,
    /// Whether its program was admitted.
    pub(super) admitted: bool,
    /// The rank of its route; 0 goes first.
    pub(super) rank: u8,
}

impl Order for Standing {
    // Not tuned: half of what programs of our own get, since many callers give a late answer a tenth
    // of its worth.
    const LATE_SHARE: u64 = 16;

    fn band(&self, now: i64) -> (Band, i64) {
        // A program that ends within twice its time is still of use to its caller.
        let useful = self.finish + (self.finish - self.begun).max(0);
        if self.admitted && now <= self.finish {
            (Band::OnTime, self.finish)
        } else if now <= useful {
            (Band::Late, useful)
        } else {
            (Band::Fills, i64::MAX)
        }
    }

    fn key(&self, band: Band) -> i64 {
        let begun = self.begun + RANK_MS * i64::from(self.rank);
        match band {
            Band::OnTime => begun,
            // What has begun first, since its work is lost otherwise; of these the newest, which is
            // the likeliest to end while it is of use.
            Band::Late if self.started => -begun,
            Band::Late => i64::MAX / 2 - begun,
            Band::Fills => self.asked,
        }
    }
}
