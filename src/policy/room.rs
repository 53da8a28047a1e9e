//! Room for what a VM holds for those who connect to it: how much memory and how many descriptors there are, who is
//! refused, and whose connection is closed to make room.
//!
//! Load: many callers at once that send large or unfinished requests, read no answers, or keep connections idle. Each is
//! within the limits of one request; together they are not within the memory of the VM. A part of the room is kept for
//! small requests, which therefore are served while large ones are refused.

use std::cmp::Reverse;
use std::time::Duration;

/// Largest request or answer that counts as small.
pub const SMALL_BYTES: usize = 64 << 10;
/// Time without a byte after which an unfinished request counts as stalled.
pub const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Time without a byte taken after which a caller counts as no longer reading its answer.
pub const UNREAD_AFTER: Duration = Duration::from_secs(2);
/// Time without a byte taken, after the deadline of its request, after which an answer is given up. A caller that has lost
/// power can't be told from one that reads slowly before, and its answer makes room where that is short.
pub const ABANDONED_AFTER: Duration = Duration::from_mins(1);
/// Lowest rate at which the body of a request has to arrive, in bytes per second, once it is older than
/// [`SLOW_AFTER`].
pub const MIN_BODY_RATE: u64 = 16 << 10;
/// Age from which the rate of a body counts.
pub const SLOW_AFTER: Duration = Duration::from_secs(2);
/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// One connection in this many is closed at a time where descriptors are short, so that not each new connection has to
/// look for another one.
const CLOSED_SHARE: usize = 64;
/// One further connection for this many may be open while it is being closed.
const CLOSING_SHARE: usize = 8;
/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Connections of the load balancer.
const READINESS_CONNECTIONS: usize = 32;

/// What room is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// A connection, or a request or answer of at most [`SMALL_BYTES`].
    Small,
    /// A larger request.
    Large,
    /// A larger answer: its request has run, so refusing it is worse than refusing a request.
    Answer,
    /// A message of another VM, which is authenticated only once it is whole.
    Message,
}

impl Need {
    /// The need of a request that holds this many bytes.
    ///
    /// ```
    /// use vanillatrail::policy::room::{Need, SMALL_BYTES};
    /// assert_eq!(Need::of_request(SMALL_BYTES), Need::Small);
    /// ```
    #[must_use]
    pub const fn of_request(bytes: usize) -> Self {
        if bytes <= SMALL_BYTES {
            Self::Small
        } else {
            Self::Large
        }
    }

    /// The need of an answer of this many bytes.
    ///
    /// ```
    /// use vanillatrail::policy::room::{Need, SMALL_BYTES};
    /// assert_eq!(Need::of_answer(SMALL_BYTES + 1), Need::Answer);
    /// ```
    #[must_use]
    pub const fn of_answer(bytes: usize) -> Self {
        if bytes <= SMALL_BYTES {
            Self::Small
        } else {
            Self::Answer
        }
    }
}

/// Memory that may be held for callers, in bytes.
///
/// ```
/// use vanillatrail::policy::room::{Memory, Need};
/// let memory = Memory::of_machine(120_000_000);
/// assert!(memory.admits(0, Need::Large, 4 << 20));
/// assert!(!memory.admits(34 << 20, Need::Large, 4 << 20));
/// assert!(memory.admits(34 << 20, Need::Small, 1000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    total: usize,
}

impl Memory {
    /// Two fifths of the machine's memory: the rest is for the program itself, the directory, reads of the store and what
    /// the allocator can't use.
    #[must_use]
    pub const fn of_machine(bytes: usize) -> Self {
        Self {
            total: bytes / 5 * 2,
        }
    }

    /// Most bytes that may be held once this need is met.
    #[must_use]
    pub const fn limit(&self, need: Need) -> usize {
        match need {
            Need::Small => self.total,
            Need::Answer => self.total / 8 * 7,
            Need::Large => self.total / 4 * 3,
            Need::Message => self.total / 8,
        }
    }

    /// Whether `bytes` more may be held. `held` is the sum of all kinds, but that of messages alone for
    /// [`Need::Message`].
    #[must_use]
    pub const fn admits(&self, held: usize, need: Need, bytes: usize) -> bool {
        held.saturating_add(bytes) <= self.limit(need)
    }
}

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Port {
    /// Callers.
    Callers,
    /// The load balancer, to ask whether the VM is ready.
    Readiness,
    /// Operators, collectors of metrics and, at a gateway, other VMs.
    Operators,
    /// Other VMs.
    Peers,
}

impl Port {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Callers, Self::Readiness, Self::Operators, Self::Peers];

    /// The name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Operators => "operators",
            Self::Peers => "peers",
        }
    }
}

/// Connections that may be open at the listeners.
///
/// ```
/// use vanillatrail::policy::room::{Connections, Port};
/// let connections = Connections::of_descriptors(1000);
/// assert_eq!(connections.limit(Port::Callers), 400);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    callers: usize,
    operators: usize,
    peers: usize,
}

impl Connections {
    /// Half of the descriptors that files leave is for callers. Each of their requests may need one more, to its server;
    /// the rest is for the store, other VMs, operators and the load balancer.
    #[must_use]
    pub const fn of_descriptors(descriptors: usize) -> Self {
        let half = descriptors / 2;
        let left = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let sockets = if left > half { left } else { half };
        Self {
            callers: sockets / 2,
            operators: sockets / 16 + 16,
            peers: sockets / 4,
        }
    }

    /// Most connections at a listener.
    #[must_use]
    pub const fn limit(&self, port: Port) -> usize {
        match port {
            Port::Callers => self.callers,
            Port::Readiness => READINESS_CONNECTIONS,
            Port::Operators => self.operators,
            Port::Peers => self.peers,
        }
    }

    /// The same with those that are being closed, which keep their descriptors for a moment.
    #[must_use]
    pub const fn limit_with_closing(&self, port: Port) -> usize {
        let limit = self.limit(port);
        limit + limit / CLOSING_SHARE + 1
    }
}

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has arrived since the last answer, or since it was opened.
    Idle,
    /// A part of the head of a request has arrived.
    Head,
    /// The head has arrived, and the body is arriving.
    Body,
    /// The request is whole and has no answer yet.
    Working,
    /// The answer is being sent.
    Answer,
    /// It was refused or has ended, and what is still arriving is discarded.
    Closing,
}

impl Phase {
    /// The name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Working => "working",
            Self::Answer => "answer",
            Self::Closing => "closing",
        }
    }
}

/// A connection, as far as it matters here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder<K> {
    /// Identifies the connection.
    pub key: K,
    /// What it is at.
    pub phase: Phase,
    /// Whether it has had a whole request.
    pub used: bool,
    /// Bytes that are freed when it is closed.
    pub bytes: usize,
    /// Bytes of the body that have arrived.
    pub arrived: usize,
    /// Time since the phase began.
    pub age: Duration,
    /// Time since its caller last sent something; in [`Phase::Answer`] since it last took something, and zero unless
    /// more is ready for it.
    pub quiet: Duration,
    /// Time until its request is given up; zero if it has none.
    pub left: Duration,
}

impl<K> Holder<K> {
    fn is_stalled(&self) -> bool {
        let is_slow = (self.arrived as u64) < MIN_BODY_RATE.saturating_mul(self.age.as_secs());
        self.quiet >= STALLED_AFTER || self.age >= SLOW_AFTER && is_slow
    }

    /// Order in which connections are closed for memory; `None` for those that must stay.
    fn rank_for_memory(&self, need: Need) -> Option<(u8, Reverse<usize>)> {
        let order = Reverse(self.bytes);
        let is_large_need = matches!(need, Need::Large | Need::Message);
        match self.phase {
            Phase::Body if self.is_stalled() => Some((0, order)),
            Phase::Answer if self.quiet >= UNREAD_AFTER => Some((1, order)),
            _ if is_large_need => None,
            Phase::Head if self.age >= STALLED_AFTER => Some((2, order)),
            Phase::Body if self.bytes > SMALL_BYTES => Some((3, order)),
            Phase::Idle if self.quiet >= STALLED_AFTER => Some((4, order)),
            Phase::Body if self.age >= STALLED_AFTER => Some((5, order)),
            _ => None,
        }
    }

    /// Order in which connections are closed for descriptors; `None` for those that must stay.
    fn rank_for_connection(&self) -> Option<(u8, Reverse<Duration>)> {
        let order = Reverse(self.quiet);
        match self.phase {
            Phase::Closing => Some((0, order)),
            Phase::Head if self.age >= STALLED_AFTER => Some((1, order)),
            Phase::Idle if !self.used && self.quiet >= STALLED_AFTER => Some((1, order)),
            Phase::Body if self.is_stalled() => Some((2, order)),
            Phase::Answer if self.quiet >= UNREAD_AFTER => Some((3, order)),
            Phase::Idle | Phase::Head => Some((4, order)),
            _ => None,
        }
    }

    /// Time until it is closed for others, or ends by itself.
    fn releases_in(&self) -> Option<Duration> {
        match self.phase {
            Phase::Body => Some(STALLED_AFTER.saturating_sub(self.quiet).min(self.left)),
            Phase::Answer if !self.quiet.is_zero() => Some(UNREAD_AFTER.saturating_sub(self.quiet)),
            Phase::Working | Phase::Answer => Some(self.left),
            Phase::Idle | Phase::Head | Phase::Closing => None,
        }
    }
}

/// Whether an answer of which its caller has taken nothing for `quiet` is given up; `late` is the time since the deadline of
/// its request.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::room::{ABANDONED_AFTER, is_abandoned};
/// assert!(!is_abandoned(ABANDONED_AFTER, Duration::ZERO));
/// assert!(is_abandoned(ABANDONED_AFTER, ABANDONED_AFTER));
/// ```
#[must_use]
pub fn is_abandoned(quiet: Duration, late: Duration) -> bool {
    quiet.min(late) >= ABANDONED_AFTER
}

/// The connections to close so that `bytes` are freed, in order; all that may be closed if they hold less.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::room::{Holder, Need, Phase, close_for_memory};
/// let quiet = Duration::from_secs(2);
/// let left = Duration::from_secs(4);
/// let stalled = Holder { key: 1, phase: Phase::Body, used: true, bytes: 1000, arrived: 10, age: quiet, quiet, left };
/// let working = Holder { key: 2, phase: Phase::Working, ..stalled };
/// assert_eq!(close_for_memory(vec![working, stalled], Need::Large, 500), [1]);
/// ```
#[must_use]
pub fn close_for_memory<K>(holders: Vec<Holder<K>>, need: Need, bytes: usize) -> Vec<K> {
    let ranked = holders.into_iter();
    let ranked = ranked.filter_map(|holder| Some((holder.rank_for_memory(need)?, holder)));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    let mut freed = 0;
    let mut closed = Vec::new();
    for (_, holder) in ranked {
        if freed >= bytes {
            break;
        }
        freed += holder.bytes;
        closed.push(holder.key);
    }
    closed
}

/// The connections to close so that new ones can be opened.
///
/// ```
/// use std::time::Duration;
/// use vanillatrail::policy::room::{Holder, Phase, close_for_connection};
/// let quiet = Duration::from_secs(2);
/// let left = Duration::ZERO;
/// let used = Holder { key: 1, phase: Phase::Idle, used: true, bytes: 0, arrived: 0, age: quiet, quiet, left };
/// let unused = Holder { key: 2, used: false, ..used };
/// assert_eq!(close_for_connection(vec![used, unused]), [2]);
/// ```
#[must_use]
pub fn close_for_connection<K>(holders: Vec<Holder<K>>) -> Vec<K> {
    let count = (holders.len() / CLOSED_SHARE).max(1);
    let ranked = holders.into_iter();
    let ranked = ranked.filter_map(|holder| Some((holder.rank_for_connection()?, holder)));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.truncate(count);
    ranked.into_iter().map(|(_, holder)| holder.key).collect()
}

/// Time after which there is room for a caller that was refused.
#[must_use]
pub fn retry_after<K>(holders: &[Holder<K>]) -> Duration {
    let (shortest, longest) = RETRY_AFTER;
    let large = holders.iter().filter(|holder| holder.bytes > SMALL_BYTES);
    let soonest = large.filter_map(Holder::releases_in).min();
    soonest.unwrap_or(STALLED_AFTER).clamp(shortest, longest)
}
