//! Requests under which servers ended.
//!
//! Load that it answers: one request among many that ends each server which runs it. Its VM, its caller and its program
//! repeat it, and each repeat also ends the other requests of that server. The VMs tell each other of every such end, so
//! that all repeats count together.

use crate::id::ContentHash;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Servers that may end under one request. Two are likely to end under an innocent request that was repeated beside a
/// harmful one; more are not.
pub const MAX_ENDED_SERVERS: usize = 3;
/// The same at a VM that has just started and found no VM that knows of earlier ends. A request that met one server that
/// ended is still sent on, as its caller would find no VM that knows more.
const MAX_ENDED_SERVERS_AFTER_START: usize = 2;
/// The same at a VM that reaches few other VMs. Its callers find VMs that know more.
const MAX_ENDED_SERVERS_CUT_OFF: usize = 1;
/// How long ends count after the last one. Longer than a caller and its program go on to repeat a request.
pub const LIFETIME: Duration = Duration::from_mins(1);
/// Most ends in one message between VMs, at up to 24 bytes each: a datagram has 1,200 bytes.
pub const MAX_ENDS_PER_MESSAGE: usize = 40;
/// Requests that are remembered, at about 200 bytes each.
const MAX_REQUESTS: usize = 4096;

/// What a VM knows of the ends that other VMs noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// All of them.
    Complete,
    /// None from before its start.
    SinceStart,
    /// Perhaps none, since it reaches few other VMs.
    CutOff,
}

impl Knowledge {
    const fn max_ended(self) -> usize {
        match self {
            Self::Complete => MAX_ENDED_SERVERS,
            Self::SinceStart => MAX_ENDED_SERVERS_AFTER_START,
            Self::CutOff => MAX_ENDED_SERVERS_CUT_OFF,
        }
    }
}

/// The end of a server under a request, as VMs tell it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub content: ContentHash,
    /// Hash of the server's identity; `None` if instead the request has succeeded since.
    pub server: Option<u64>,
    /// How long ago it was noticed.
    pub age_ms: u32,
}

#[derive(Debug, Clone)]
struct Record {
    /// Hashes of the servers, at most [`MAX_ENDED_SERVERS`].
    servers: Vec<u64>,
    last: Instant,
    /// Whether the request has succeeded: then it did not cause the ends.
    succeeded: bool,
}

impl Record {
    /// Position in the order in which records are dropped.
    fn drop_key(&self, content: ContentHash) -> (usize, Instant, ContentHash) {
        (self.servers.len(), self.last, content)
    }

    fn ended(&self) -> usize {
        if self.succeeded {
            0
        } else {
            self.servers.len()
        }
    }
}

/// The requests under which servers ended lately.
#[derive(Debug, Default)]
pub struct Ledger {
    records: HashMap<ContentHash, Record>,
    /// Those with the fewest ends first, so that a server that ends under many requests at once does not displace the
    /// one that ends servers.
    drop_order: BTreeSet<(usize, Instant, ContentHash)>,
}

impl Ledger {
    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records an end, or a success, and returns whether it was news.
    ///
    /// ```
    /// use tokio::time::Instant;
    /// use vanillatrail::id::ContentHash;
    /// use vanillatrail::policy::server_ends::{End, Ledger};
    /// let (mut ledger, now) = (Ledger::default(), Instant::now());
    /// let end = End { content: ContentHash(1), server: Some(7), age_ms: 0 };
    /// assert!(ledger.record(now, end) && !ledger.record(now, end));
    /// assert_eq!(ledger.ended(now, ContentHash(1)), 1);
    /// ```
    pub fn record(&mut self, now: Instant, end: End) -> bool {
        let age = Duration::from_millis(end.age_ms.into());
        if age >= LIFETIME {
            return false;
        }
        let at = now.checked_sub(age).unwrap_or(now);
        let known = self.records.remove(&end.content);
        if let Some(known) = &known {
            self.drop_order.remove(&known.drop_key(end.content));
        }
        let current = known.filter(|record| record.last + LIFETIME > now);
        let mut record = current.unwrap_or_else(|| Record {
            servers: Vec::with_capacity(1),
            last: at,
            succeeded: false,
        });
        let is_news = match end.server {
            None => {
                record.last = record.last.max(at);
                !std::mem::replace(&mut record.succeeded, true)
            }
            Some(server) => {
                let is_new =
                    record.servers.len() < MAX_ENDED_SERVERS && !record.servers.contains(&server);
                if is_new {
                    record.servers.push(server);
                }
                is_new
            }
        };
        if is_news {
            record.last = record.last.max(at);
        }
        self.drop_order.insert(record.drop_key(end.content));
        self.records.insert(end.content, record);
        if self.records.len() > MAX_REQUESTS
            && let Some((_, _, dropped)) = self.drop_order.pop_first()
        {
            self.records.remove(&dropped);
        }
        is_news
    }

    /// Servers that ended under a request, at most [`MAX_ENDED_SERVERS`].
    #[must_use]
    pub fn ended(&self, now: Instant, content: ContentHash) -> usize {
        let record = self.records.get(&content);
        let record = record.filter(|record| record.last + LIFETIME > now);
        record.map_or(0, Record::ended)
    }

    /// How long a request may not be sent to another server; `None` if it may be.
    #[must_use]
    pub fn refusal(
        &self,
        now: Instant,
        content: ContentHash,
        knowledge: Knowledge,
    ) -> Option<Duration> {
        if self.ended(now, content) < knowledge.max_ended() {
            return None;
        }
        let record = self.records.get(&content)?;
        Some((record.last + LIFETIME).saturating_duration_since(now))
    }

    /// The ends to tell another VM, at most [`MAX_ENDS_PER_MESSAGE`]: of the requests with most ends, the newest first.
    #[must_use]
    pub fn worst(&self, now: Instant) -> Vec<End> {
        let with_ends = self.drop_order.iter().rev();
        let with_ends = with_ends.take_while(|(servers, ..)| *servers > 0);
        let records =
            with_ends.filter_map(|(_, _, content)| Some((*content, self.records.get(content)?)));
        let ends = records.flat_map(|(content, record)| {
            let age = now.saturating_duration_since(record.last).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            let success = record.succeeded.then_some(None);
            let servers = record.servers.iter().map(|server| Some(*server));
            servers.chain(success).map(move |server| End {
                content,
                server,
                age_ms,
            })
        });
        ends.take(MAX_ENDS_PER_MESSAGE).collect()
    }

    /// Number of requests on record, and of those that are refused.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let refused = self.records.values();
        let refused = refused.filter(|record| record.ended() >= MAX_ENDED_SERVERS);
        (self.records.len(), refused.count())
    }

    /// Drops records whose lifetime has passed.
    pub fn drop_expired(&mut self, now: Instant) {
        let records = &mut self.records;
        self.drop_order.retain(|(_, last, content)| {
            let keeps = *last + LIFETIME > now;
            if !keeps {
                records.remove(content);
            }
            keeps
        });
    }
}
