//! The window of one backend server: what runs there, how fast it is, and whether it is wanted.
//!
//! Load it answers: servers that are slow, fail, or run requests of others. Each is judged by its
//! own answers against those of its kind; one that fails rests, and is then tried again.

use super::dispatch::{Ask, Description, Load};
use super::prefix::Prefixes;
use super::queue::Band;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a server rests after a failure; doubled with each further one in a row.
const REST: Duration = Duration::from_millis(250);
/// The longest rest: a server that is back should be found again within a few seconds.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the time that a server takes against its kind.
const NEWEST: f64 = 0.15;
/// Bounds of that ratio, so that one odd answer does not decide.
const RATIO: (f64, f64) = (0.25, 8.0);
/// What it costs to leave the zone, in parts of a server's window: bytes between zones are paid for, and one request
/// more hardly slows a server.
const FAR: f64 = 0.24;
/// What it saves to go where the line of turns was before, in parts of a window, where nobody says of
/// what the prompt consists.
const NEAR_LINE: f64 = 1.0;
/// Tokens to be read that cost as much as a whole window. While a server reads, all that run there stand still.
const WINDOW_TOKENS: f64 = 1500.0;
/// What it saves to go where the VM that asks has sent a request a moment ago, in parts of a window:
/// its connection is likely to be open still, and a new one takes 2 ms more. It has to outweigh two
/// requests, or a VM that sends few goes to whichever server has one less at the moment.
const WARM: f64 = 0.4;
/// How long a connection is likely to stay open after its last request; servers keep theirs for
/// some seconds.
const KEPT: Duration = Duration::from_secs(3);
/// Requests that are sent to a server beyond its places. A place that is given back is known here, and taken again
/// there, some milliseconds later.
const AHEAD: usize = 3;
/// What a server that answers with errors alone costs, in parts of a window. One that errs at once is always idle, and
/// would draw most requests.
const ERRORS: f64 = 2.0;
/// Weight of the newest answer in the share of errors. Two in a row are needed before a server rests.
const NEWEST_ERROR: f64 = 0.15;
/// The share of errors from which a server rests after one. Plain services err at one of 100 requests by themselves.
const FAULTY: f64 = 0.25;
/// It rests only if it errs so many times as often as its kind: where all err, resting helps nobody.
const WORSE: f64 = 3.0;
/// Weight of the newest report in what a server runs beyond the requests sent from here.
const NEWEST_REPORT: f64 = 0.1;

/// One server.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) about: Description,
    pub(super) in_flight: usize,
    /// The parts of prompts that it keeps.
    pub(super) prefixes: Prefixes,
    /// When requests of VMs last ended here, by VM.
    used: HashMap<u64, Instant>,
    /// Requests of others that run there; below zero where requests sent from here have ended
    /// without a word.
    pub(super) others: f64,
    /// The time that it takes against the usual one.
    pub(super) ratio: f64,
    pub(super) failures: u32,
    /// The share of its answers that are errors of its own.
    errors: f64,
    pub(super) rests_until: Option<Instant>,
}

impl Server {
    pub(super) fn new(about: Description) -> Self {
        Self {
            about,
            in_flight: 0,
            prefixes: Prefixes::default(),
            others: 0.0,
            used: HashMap::new(),
            ratio: 1.0,
            failures: 0,
            errors: 0.0,
            rests_until: None,
        }
    }

    /// A request of a VM has ended here and left its connection open.
    pub(super) fn used_by(&mut self, now: Instant, vm: u64) {
        self.used.retain(|_, at| *at + KEPT > now);
        self.used.insert(vm, now);
    }

    fn is_warm(&self, now: Instant, vm: u64) -> bool {
        self.used.get(&vm).is_some_and(|at| *at + KEPT > now)
    }

    pub(super) fn is_usable(&self, now: Instant) -> bool {
        !self.about.leaving && self.rests_until.is_none_or(|until| until <= now)
    }

    /// Whether it may get one more request of this band.
    pub(super) fn has_room(&self, now: Instant, band: Band) -> bool {
        self.is_usable(now) && self.taken() + 0.5 <= self.size(band) as f64
    }

    /// Requests that it gets at a time, up to one of this band.
    ///
    /// Only those of admitted programs are sent ahead. Servers know no order: admitted programs that wait there behind
    /// others are late as well, long after a burst.
    fn size(&self, band: Band) -> usize {
        let slots = self.about.slots;
        match band {
            Band::OnTime => slots + AHEAD.min(slots / 2),
            Band::Late | Band::Fills => slots,
        }
    }

    /// How little it is wanted: the part of its window that is taken, on a slow server more.
    pub(super) fn cost(&self) -> f64 {
        (self.taken() + 0.5) / self.about.slots as f64 * self.ratio
    }

    /// Places that are taken, as far as is known.
    pub(super) fn taken(&self) -> f64 {
        (self.in_flight as f64 + self.others).max(0.0)
    }

    /// Takes in a report that was made when so many requests from here ran there.
    pub(super) fn report(&mut self, load: Load, in_flight: usize) {
        let others = (load.running + load.waiting) as f64 - in_flight as f64;
        self.others += NEWEST_REPORT * (others - self.others);
    }

    /// It answered as it should.
    pub(super) fn succeeded(&mut self) {
        self.errors -= NEWEST_ERROR * self.errors;
        if self.errors < FAULTY {
            self.failures = 0;
        }
    }

    /// It answered with an error, where servers of its kind do so in this `usual` share.
    pub(super) fn erred(&mut self, now: Instant, usual: f64) {
        self.errors += NEWEST_ERROR * (1.0 - self.errors);
        if self.errors > FAULTY.max(usual * WORSE) {
            self.rest(now);
        }
    }

    pub(super) fn rest(&mut self, now: Instant) {
        let rest = REST * 2_u32.saturating_pow(self.failures.min(6));
        self.failures += 1;
        self.rests_until = Some(now + rest.min(LONGEST_REST));
    }
}

/// The share of errors in the answers of all servers of a kind.
pub(super) fn usual_errors(servers: &[Server]) -> f64 {
    let errors: f64 = servers.iter().map(|server| server.errors).sum();
    errors / servers.len().max(1) as f64
}

pub(super) fn learn(server: &mut Server, pace: &mut Option<f64>, took: Duration, work: f64) {
    let sample = took.as_secs_f64() * 1000.0 / work.max(0.001);
    let usual = pace.get_or_insert(sample);
    let ratio = (sample / usual.max(0.001)).clamp(RATIO.0, RATIO.1);
    server.ratio += NEWEST * (ratio - server.ratio);
    // A server that is slow must not make the usual time longer.
    *usual += NEWEST / 8.0 * (sample / server.ratio.max(RATIO.0) - *usual);
}

/// The best of the candidates that have room.
pub(super) fn choose(
    servers: &[Server],
    candidates: impl IntoIterator<Item = usize>,
    ask: &Ask,
    band: Band,
    line: Option<&Arc<str>>,
    now: Instant,
) -> Option<usize> {
    let cost = |server: &Server| {
        let far = if server.about.zone == ask.zone {
            0.0
        } else {
            FAR
        };
        let near = if ask.prompt.is_empty() && line == Some(&server.about.id) {
            NEAR_LINE
        } else {
            0.0
        };
        let avoided = if ask.avoid.contains(&server.about.id) {
            100.0
        } else {
            0.0
        };
        let warm = if server.is_warm(now, ask.vm) {
            WARM
        } else {
            0.0
        };
        let unread = server.prefixes.missing(&ask.prompt) as f64 / WINDOW_TOKENS;
        let errors = server.errors * ERRORS;
        server.cost() + far + avoided + unread + errors - near - warm
    };
    let open = candidates
        .into_iter()
        .map(|index| (index, &servers[index]))
        .filter(|(_, server)| server.has_room(now, band));
    open.map(|(index, server)| (index, cost(server)))
        .min_by(|(_, one), (_, other)| one.total_cmp(other))
        .map(|(index, _)| index)
}
