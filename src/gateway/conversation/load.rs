//! Reads buckets of turns from the store.
//!
//! After the loss of all VMs every active program asks for a turn that no VM has in memory. Each
//! bucket is then read by one VM, once for all requests that wait for it.

use super::{CACHE_IDLE_TIMEOUT, Conversations, Gateway};
use crate::conversation::{Bucket, Id, Turn};
use crate::gateway::peers::Reply;
use crate::gateway::shared_read::SharedRead;
use crate::platform::records::{FALLBACK_TURN_TOPIC, turn_topic};
use crate::platform::store::{Error, Latest, Record};
use crate::telemetry::event;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

/// Time limit for one page of a bucket; the next read uses a new connection.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Reads of one page before its bucket counts as unreadable.
const MAX_READS: usize = 2;

/// Buckets that a VM reads at the same time; the others wait for their turn. After the loss of all VMs nearly all buckets are
/// wanted at once, and reads that share the bandwidth of the store would all exceed their time limit.
const MAX_CONCURRENT_READS: usize = 3;

/// The wanted turns that a bucket has, or why it could not be read.
type ReadResult = Result<Rc<HashSet<Id>>, Error>;

/// The reads of buckets, and what they are for.
#[derive(Debug)]
pub(super) struct BucketReads {
    buckets: RefCell<HashMap<Bucket, Rc<SharedRead<ReadResult>>>>,
    /// Turns that requests wait for, with the number of these.
    wanted: RefCell<HashMap<Id, usize>>,
    /// Notified when a page has turns that requests wait for.
    found: Notify,
    permits: Semaphore,
}

impl Default for BucketReads {
    fn default() -> Self {
        Self {
            buckets: RefCell::default(),
            wanted: RefCell::default(),
            found: Notify::new(),
            permits: Semaphore::new(MAX_CONCURRENT_READS),
        }
    }
}

impl BucketReads {
    /// The turn with this key in the store, if a request waits for it.
    fn wanted(&self, key: &str) -> Option<Id> {
        let id = key.parse::<Id>().ok()?;
        self.wanted.borrow().contains_key(&id).then_some(id)
    }
}

/// Counts a request that waits for a turn, until it is dropped.
struct Wanted<'a> {
    reads: &'a BucketReads,
    id: &'a Id,
}

impl<'a> Wanted<'a> {
    fn new(reads: &'a BucketReads, id: &'a Id) -> Self {
        *reads.wanted.borrow_mut().entry(id.clone()).or_default() += 1;
        Self { reads, id }
    }
}

impl Drop for Wanted<'_> {
    fn drop(&mut self) {
        let mut wanted = self.reads.wanted.borrow_mut();
        if let Some(count) = wanted.get_mut(self.id) {
            *count -= 1;
            if *count == 0 {
                wanted.remove(self.id);
            }
        }
    }
}

impl Conversations {
    /// Reads a bucket into memory, unless another read of it started after this call.
    async fn load_bucket(&self, bucket: Bucket) -> ReadResult {
        let shared = {
            let mut buckets = self.bucket_reads.buckets.borrow_mut();
            Rc::clone(buckets.entry(bucket).or_default())
        };
        let read = async {
            let _permit = self.bucket_reads.permits.acquire().await;
            let began = Instant::now();
            (began, self.read_into_cache(began, bucket).await)
        };
        shared.get(read).await
    }

    async fn read_into_cache(&self, began: Instant, bucket: Bucket) -> ReadResult {
        let topic = turn_topic(self.layout.topic(bucket));
        let (mut wanted, mut turns) = (HashSet::new(), 0);
        let keep = |records: Vec<Record>| {
            turns += records.len();
            wanted.extend(self.cache_records(began, bucket, &records));
        };
        self.read_newest(&topic, self.layout.partition(bucket), keep)
            .await?;
        event!(
            info,
            "turns_loaded",
            bucket = bucket,
            turns = turns,
            took_ms = began.elapsed().as_millis()
        );
        Ok(Rc::new(wanted))
    }

    /// Notes which VM has a turn in memory.
    pub(in crate::gateway) fn set_holder(&self, turn: Id, holder: SocketAddr) {
        let mut locations = self.locations.borrow_mut();
        locations.set(Instant::now(), turn, holder);
    }

    /// Reads the turns of a bucket that were recorded in fallback partitions. Returns the wanted ones.
    async fn load_fallback_records(&self, bucket: Bucket) -> Result<HashSet<Id>, Error> {
        let reads = self.layout.fallback_partitions(bucket).into_iter();
        let reads = reads.map(async |partition| {
            let mut turns = HashSet::new();
            let keep = |mut records: Vec<Record>| {
                records.retain(|record| self.belongs_to(bucket, record));
                turns.extend(self.cache_records(Instant::now(), bucket, &records));
            };
            let read = self.read_newest(FALLBACK_TURN_TOPIC, partition, keep);
            read.await.map(|()| turns)
        });
        let mut turns = HashSet::new();
        // All have to be readable: one that is unavailable may hold the turn.
        for read in futures::future::join_all(reads).await {
            turns.extend(read?);
        }
        Ok(turns)
    }

    /// Looks a turn up at the store, reading all of its bucket into memory.
    ///
    /// # Errors
    /// If the turn is not in memory afterwards, and can't be ruled out.
    async fn find_in_store(&self, id: &Id) -> Result<bool, Error> {
        let _wanted = Wanted::new(&self.bucket_reads, id);
        let bucket = self.layout.bucket(id);
        let is_slow = self.store.borrow().observer().is_slow();
        let (own_result, fallback_result) = if is_slow {
            // One read after the other takes longer than others wait for this VM.
            let reads = tokio::join!(self.load_bucket(bucket), self.load_fallback_records(bucket));
            (reads.0, Some(reads.1))
        } else {
            (self.load_bucket(bucket).await, None)
        };
        if self.find_cached(id).is_some() {
            return Ok(true);
        }
        if own_result.as_ref().is_ok_and(|turns| turns.contains(id)) {
            return Err(not_in_memory());
        }
        let in_fallback = match fallback_result {
            Some(result) => result?,
            // Checked last, since few turns are recorded there.
            None => self.load_fallback_records(bucket).await?,
        };
        if self.find_cached(id).is_some() {
            return Ok(true);
        }
        if in_fallback.contains(id) {
            return Err(not_in_memory());
        }
        own_result.map(|_| false)
    }

    /// Adds records to the cache; returns the wanted turns among them, those that can't be decoded included.
    fn cache_records(&self, now: Instant, bucket: Bucket, records: &[Record]) -> HashSet<Id> {
        let mut found = HashSet::new();
        // Turns that no request waits for must not evict those that were used lately.
        let prefetched_at = now.checked_sub(CACHE_IDLE_TIMEOUT / 2).unwrap_or(now);
        for record in records {
            let wanted = self.bucket_reads.wanted(&record.key);
            let is_wanted = wanted.is_some();
            found.extend(wanted);
            let Some(turn) = record.value.as_deref().and_then(Turn::decode) else {
                event!(warn, "turn_unreadable", bucket = bucket, key = record.key);
                continue;
            };
            if is_wanted {
                self.cache_turn(now, self.charged(turn));
            } else if !self.cache.borrow().contains(&turn.id) {
                self.cache_turn(prefetched_at, self.charged(turn));
            }
        }
        if !found.is_empty() {
            self.bucket_reads.found.notify_waiters();
        }
        found
    }

    fn belongs_to(&self, bucket: Bucket, record: &Record) -> bool {
        let id = record.key.parse::<Id>();
        id.is_ok_and(|id| self.layout.bucket(&id) == bucket)
    }

    /// Reads the newest records of a partition page by page, so that no more than a page is held beside the cache.
    async fn read_newest(
        &self,
        topic: &str,
        partition: u64,
        mut keep: impl FnMut(Vec<Record>),
    ) -> Result<(), Error> {
        let mut after = None;
        loop {
            let (page, next) = match self.read_page(topic, partition, after).await {
                // The topic exists from its first record on.
                Err(Error::Refused(404)) => return Ok(()),
                page => page?,
            };
            keep(page.records);
            if next.is_none() {
                return Ok(());
            }
            after = next;
        }
    }

    async fn read_page(
        &self,
        topic: &str,
        partition: u64,
        after: Option<String>,
    ) -> Result<(Latest, Option<String>), Error> {
        let mut fault = Error::OutcomeUnknown("no read was attempted".to_owned());
        // Don't make callers wait for retries while the store is unavailable.
        let max_reads = if self.is_store_down() { 1 } else { MAX_READS };
        for _ in 0..max_reads {
            let store = self.store.borrow().clone();
            let read_timeout = store.observer().scaled_timeout(READ_TIMEOUT);
            let read = store.read_latest_page(topic, partition, after.clone());
            match timeout(read_timeout, read).await {
                Ok(Ok(page)) => return Ok(page),
                Ok(Err(error @ Error::Refused(_))) => return Err(error),
                Ok(Err(error)) => fault = error,
                Err(_) => fault = Error::OutcomeUnknown("the read timed out".to_owned()),
            }
            self.store.borrow_mut().reconnect();
        }
        Err(fault)
    }
}

/// The failure of a lookup whose turn the store has, and that is not in memory after the read.
fn not_in_memory() -> Error {
    Error::OutcomeUnknown("the turn was evicted from the cache, or can't be decoded".to_owned())
}

impl Gateway {
    /// Looks a turn up at the store. Returns once it is in memory, while the rest of its bucket is read for others.
    ///
    /// # Errors
    /// As [`Conversations::find_in_store`].
    pub(super) async fn find_stored_turn(self: &Rc<Self>, id: &Id) -> Result<bool, Error> {
        // Aborts the read if this request does not wait for it any longer.
        let mut search = JoinSet::new();
        let (gateway, wanted) = (Rc::clone(self), id.clone());
        search.spawn_local(async move { gateway.conversations.find_in_store(&wanted).await });
        loop {
            let found = self.conversations.bucket_reads.found.notified();
            tokio::select! {
                result = search.join_next() => {
                    let result = result.and_then(Result::ok);
                    return result.unwrap_or_else(|| Err(not_in_memory()));
                }
                () = found => {}
            }
            if self.conversations.find_cached(id).is_some() {
                search.detach_all();
                return Ok(true);
            }
        }
    }

    /// Answers which VM has a turn. `lost` is a VM that was named before and did not return it.
    pub(crate) async fn locate(self: &Rc<Self>, id: &Id, lost: Option<SocketAddr>) -> Reply {
        let conversations = &self.conversations;
        if conversations.find_cached(id).is_some() {
            return Reply::HeldAt(self.peer_address());
        }
        let known_holder = conversations.locations.borrow().get(id);
        if let Some(holder) = known_holder.filter(|holder| Some(*holder) != lost) {
            if self.is_member(holder) && !self.peers.is_unresponsive(holder) {
                return Reply::HeldAt(holder);
            }
            conversations.locations.borrow_mut().remove(id);
        }
        match self.find_stored_turn(id).await {
            Ok(true) => return Reply::HeldAt(self.peer_address()),
            Ok(false) => {}
            Err(fault) => {
                event!(info, "turn_unlocated", turn = id, reason = fault);
                return Reply::Away;
            }
        }
        event!(info, "turn_absent", turn = id);
        Reply::NoTurn
    }

    fn is_member(&self, address: SocketAddr) -> bool {
        let view = self.view.borrow();
        let mut members = view.members.values();
        members.any(|member| crate::gateway::peers::peer_address(member.address) == address)
    }
}
