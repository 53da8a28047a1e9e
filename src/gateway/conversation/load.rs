//! Reads a bucket of turns at the store.
//!
//! Load it answers: the loss of all VMs, after which every program that goes on asks for a turn that
//! no memory holds. Each bucket is read by one VM, once for all that ask meanwhile.

use super::{Conversations, Gateway};
use crate::conversation::{Bucket, Id, Turn};
use crate::gateway::peers::Reply;
use crate::platform::records::{FALLBACK_TURN_TOPIC, turn_topic};
use crate::platform::store::{Error, Latest, Record};
use crate::telemetry::event;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout};

/// How long one read may take before it is made again on another connection. A small VM takes 40 ms
/// for one bucket, and after the loss of all VMs reads several at a time.
const READ: Duration = Duration::from_millis(800);
/// Reads of one bucket before it counts as not readable now.
const READS: usize = 2;

/// The last read of a bucket: when it began, and what came of it.
type Read = Option<(Instant, Result<(), Error>)>;

/// The last read of each bucket; locked while the bucket is being read.
#[derive(Debug, Default)]
pub(super) struct Loads {
    buckets: RefCell<HashMap<Bucket, Rc<Mutex<Read>>>>,
}

impl Conversations {
    /// Takes a bucket into memory as the store has it now, or had it after this call began.
    async fn load(&self, bucket: Bucket) -> Result<(), Error> {
        let asked = Instant::now();
        let load = {
            let mut buckets = self.loads.buckets.borrow_mut();
            Rc::clone(buckets.entry(bucket).or_default())
        };
        let mut last = load.lock().await;
        // A failure is shared as well: if each that waits tried again, the last would wait for all.
        if let Some((_, done)) = last.as_ref().filter(|(began, _)| *began > asked) {
            return done.clone();
        }
        let began = Instant::now();
        let done = self.load_now(began, bucket).await;
        *last = Some((began, done.clone()));
        done
    }

    async fn load_now(&self, began: Instant, bucket: Bucket) -> Result<(), Error> {
        let turns = self.take_in(began, bucket, &self.read(bucket).await?);
        event!(
            info,
            "turns_loaded",
            bucket = bucket,
            turns = turns,
            took_ms = began.elapsed().as_millis()
        );
        Ok(())
    }

    /// Another VM has a turn in memory.
    pub(in crate::gateway) fn told(&self, turn: Id, holder: SocketAddr) {
        let mut pointers = self.pointers.borrow_mut();
        pointers.set(Instant::now(), turn, holder);
    }

    /// Takes those turns of a bucket into memory that went through other partitions than their own.
    async fn load_detours(&self, bucket: Bucket) -> Result<(), Error> {
        let others = self.layout.others(bucket).into_iter();
        let others = others.map(|part| self.newest(FALLBACK_TURN_TOPIC, part));
        // A partition that is away now may have been there when a turn went through it.
        for other in futures::future::join_all(others).await {
            let mut records = other?.records;
            records.retain(|record| self.is_of(bucket, record));
            self.take_in(Instant::now(), bucket, &records);
        }
        Ok(())
    }

    /// Looks for a turn at the store, and takes it into memory with all of its bucket.
    pub(super) async fn seek(&self, id: &Id) -> Result<bool, Error> {
        let bucket = self.layout.bucket(id);
        let own = self.load(bucket).await;
        if self.find(id).is_some() {
            return Ok(true);
        }
        // Few turns take this way, so that it is looked at last.
        self.load_detours(bucket).await?;
        if self.find(id).is_some() {
            return Ok(true);
        }
        own.map(|()| false)
    }

    /// Takes records into memory; gives how many were turns.
    fn take_in(&self, now: Instant, bucket: Bucket, records: &[Record]) -> usize {
        let mut turns = 0;
        for record in records {
            let Some(turn) = record.value.as_deref().and_then(Turn::decode) else {
                event!(warn, "turn_unreadable", bucket = bucket, key = record.key);
                continue;
            };
            turns += 1;
            self.cache.borrow_mut().insert(now, Rc::new(turn));
        }
        turns
    }

    async fn read(&self, bucket: Bucket) -> Result<Vec<Record>, Error> {
        let topic = turn_topic(self.layout.topic(bucket));
        let newest = self.newest(&topic, self.layout.partition(bucket));
        newest.await.map(|newest| newest.records)
    }

    fn is_of(&self, bucket: Bucket, record: &Record) -> bool {
        let id = record.key.parse::<Id>();
        id.is_ok_and(|id| self.layout.bucket(&id) == bucket)
    }

    async fn newest(&self, topic: &str, part: u64) -> Result<Latest, Error> {
        let mut fault = Error::OutcomeUnknown("no read was made".to_owned());
        // Callers need not find out that the store is away.
        let reads = if self.is_away() { 1 } else { READS };
        for _ in 0..reads {
            let store = self.store.borrow().clone();
            match timeout(READ, store.read_latest(topic, part)).await {
                Ok(Ok(newest)) => return Ok(newest),
                // Nothing was ever written there.
                Ok(Err(Error::Refused(404))) => return Ok(Latest::default()),
                Ok(Err(error @ Error::Refused(_))) => return Err(error),
                Ok(Err(error)) => fault = error,
                Err(_) => fault = Error::OutcomeUnknown("the read took too long".to_owned()),
            }
            self.store.borrow_mut().reconnect();
        }
        Err(fault)
    }
}

impl Gateway {
    /// Tells another VM where a turn is. `lost` is one that was named before and did not give it.
    pub(crate) async fn locate(&self, id: &Id, lost: Option<SocketAddr>) -> Reply {
        let all = &self.conversations;
        if all.find(id).is_some() {
            return Reply::HeldAt(self.address());
        }
        let told = all.pointers.borrow().get(id);
        if let Some(holder) = told.filter(|holder| Some(*holder) != lost) {
            if self.is_member(holder) && !self.peers.is_silent(holder) {
                return Reply::HeldAt(holder);
            }
            all.pointers.borrow_mut().remove(id);
        }
        match all.seek(id).await {
            Ok(true) => return Reply::HeldAt(self.address()),
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
        members.any(|member| crate::gateway::peers::address(member.address) == address)
    }
}
