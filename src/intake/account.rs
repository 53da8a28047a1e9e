//! Charges for memory that is held for callers.

use super::registry::{Registry, descriptor_limit};
use crate::policy::room::{Connections, Memory, Need};
use bytes::Bytes;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

const BYTES_PER_MB: usize = 1_000_000;
/// Longest wait of a request for room, where others are giving way.
const PATIENCE: Duration = Duration::from_millis(500);
/// Interval at which those that wait look for connections that hold memory in vain.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Open connections, with the buffers of each.
    Connection,
    /// Heads of requests under way, and what else a request needs.
    Request,
    /// Bodies of requests.
    Body,
    /// Turns of conversations, in the cache or a part of a request.
    History,
    /// Answers that their callers have not read yet.
    Answer,
    /// Messages of other VMs.
    Message,
}

impl Kind {
    pub(crate) const ALL: [Self; 6] = [
        Self::Connection,
        Self::Request,
        Self::Body,
        Self::History,
        Self::Answer,
        Self::Message,
    ];

    /// The name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Connection => "connections",
            Self::Request => "requests",
            Self::Body => "bodies",
            Self::History => "histories",
            Self::Answer => "answers",
            Self::Message => "messages",
        }
    }
}

/// Why there was no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shortage {
    pub(crate) kind: Kind,
    /// Bytes that were needed.
    pub(crate) needed: usize,
    /// Bytes held for all callers.
    pub(crate) held: usize,
    /// Most bytes that could be held for this need.
    pub(crate) limit: usize,
    /// Time after which there will be room.
    pub(crate) retry_after: Duration,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            needed,
            held,
            limit,
            ..
        } = self;
        let kind = kind.name();
        write!(
            f,
            "no room for {needed} more bytes of {kind}: {held} of {limit} are held for callers"
        )
    }
}

/// The account of one process.
#[derive(Debug, Clone)]
pub(crate) struct Intake(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    memory: Memory,
    held: [AtomicUsize; Kind::ALL.len()],
    released: Notify,
    registry: Registry,
}

impl Intake {
    fn new(memory: Memory, connections: Connections) -> Self {
        Self(Arc::new(Inner {
            memory,
            held: Default::default(),
            released: Notify::new(),
            registry: Registry::new(connections),
        }))
    }

    /// The account of a process with this memory, in megabytes, and this many descriptors: by default as many as the
    /// operating system allows.
    pub(crate) fn of_machine(memory_mb: usize, descriptors: Option<usize>) -> Self {
        let descriptors = descriptors.unwrap_or_else(descriptor_limit);
        Self::new(
            Memory::of_machine(memory_mb * BYTES_PER_MB),
            Connections::of_descriptors(descriptors),
        )
    }

    pub(crate) fn registry(&self) -> &Registry {
        &self.0.registry
    }

    /// Bytes held of one kind.
    pub(crate) fn held(&self, kind: Kind) -> usize {
        self.0.held[kind as usize].load(Ordering::Relaxed)
    }

    /// Bytes held of all kinds.
    pub(crate) fn total(&self) -> usize {
        let held = self.0.held.iter();
        held.map(|held| held.load(Ordering::Relaxed)).sum()
    }

    /// Most bytes that may be held.
    pub(crate) fn limit(&self) -> usize {
        self.0.memory.limit(Need::Small)
    }

    /// Whether `bytes` more may be held.
    pub(crate) fn admits(&self, need: Need, bytes: usize) -> bool {
        let held = match need {
            Need::Message => self.held(Kind::Message),
            _ => self.total(),
        };
        self.0.memory.admits(held, need, bytes)
    }

    /// Charges bytes whether or not there is room, since they are held already.
    pub(crate) fn charge(&self, kind: Kind, bytes: usize) -> Charge {
        self.0.held[kind as usize].fetch_add(bytes, Ordering::Relaxed);
        Charge {
            intake: self.clone(),
            kind,
            bytes,
        }
    }

    /// Bytes that are charged until their last clone is dropped.
    pub(crate) fn hold(&self, kind: Kind, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        let charge = self.charge(kind, bytes.len());
        Bytes::from_owner(Held {
            bytes,
            _charge: charge,
        })
    }

    /// Charges bytes once there is room, which is made at the cost of those that hold it in vain.
    ///
    /// Waits until `deadline` for an answer, and otherwise only where waiting may help.
    ///
    /// # Errors
    /// If there is no room.
    pub(crate) async fn reserve(
        &self,
        kind: Kind,
        need: Need,
        bytes: usize,
        deadline: Instant,
    ) -> Result<Charge, Shortage> {
        let deadline = match need {
            // Its request has run.
            Need::Answer => deadline,
            Need::Small | Need::Large | Need::Message => deadline.min(Instant::now() + PATIENCE),
        };
        loop {
            let released = self.0.released.notified();
            if self.admits(need, bytes) {
                return Ok(self.charge(kind, bytes));
            }
            let is_making_room = self.make_room(need, bytes);
            let is_hopeless = !is_making_room && matches!(need, Need::Large | Need::Message);
            if is_hopeless || Instant::now() >= deadline {
                return Err(self.shortage(kind, need, bytes));
            }
            // Ends early if something is released. Others may have to give way a moment later.
            let recheck = deadline.min(Instant::now() + RECHECK_INTERVAL);
            drop(timeout_at(recheck, released).await);
        }
    }

    /// Closes connections that hold memory in vain; returns whether some are closing.
    pub(crate) fn make_room(&self, need: Need, bytes: usize) -> bool {
        self.0.registry.close_for_memory(need, bytes)
    }

    pub(crate) fn shortage(&self, kind: Kind, need: Need, needed: usize) -> Shortage {
        let held = match need {
            Need::Message => self.held(Kind::Message),
            _ => self.total(),
        };
        Shortage {
            kind,
            needed,
            held,
            limit: self.0.memory.limit(need),
            retry_after: self.0.registry.retry_after(),
        }
    }

    fn release(&self, kind: Kind, bytes: usize) {
        self.0.held[kind as usize].fetch_sub(bytes, Ordering::Relaxed);
        self.0.released.notify_waiters();
    }
}

/// Bytes with their charge.
struct Held<T> {
    bytes: T,
    _charge: Charge,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Memory that is held, until this is dropped.
#[derive(Debug)]
pub(crate) struct Charge {
    intake: Intake,
    kind: Kind,
    bytes: usize,
}

impl Charge {
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of another charge of the same kind.
    pub(crate) fn add(&mut self, mut other: Self) {
        debug_assert_eq!(self.kind, other.kind, "charges of one kind are added");
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Takes up to `bytes` off this charge.
    pub(crate) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            intake: self.intake.clone(),
            kind: self.kind,
            bytes,
        }
    }

    /// Bytes that are charged until their last clone is dropped.
    pub(super) fn hold(self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(Held {
            bytes,
            _charge: self,
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.intake.release(self.kind, self.bytes);
        }
    }
}
