//! Attempts that failed and servers that ended under them, at the store, for when all VMs are lost that know of them.
//!
//! Each VM writes what it knows under keys of its own, so that no VM overwrites what another one knows.

use crate::clock;
use crate::gateway::Gateway;
use crate::id::ContentHash;
use crate::platform::majority::SpreadTopic;
use crate::platform::records::END_TOPIC;
use crate::platform::store::{Error, Record, Store};
use crate::policy::server_ends::{END_LIFETIME, News, ServerHash, WritePace};
use crate::settings;
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// How long a request waits for its record. A write takes 8 ms at a healthy store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// The same for a first attempt after a loss of all VMs, of which there are many.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_millis(20);
/// Time after a failed write in which requests don't wait for another one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of a read of all records.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a read that failed is repeated.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which expired records are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);
/// How much longer records are kept than they count, as the clocks of VMs differ.
const CLEANUP_MARGIN: Duration = Duration::from_mins(1);
/// Most records that are deleted at once.
const MAX_DELETIONS: usize = 1000;

/// What one VM knew of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Known {
    /// When it was written, in milliseconds since the Unix epoch.
    written_ms: u64,
    /// What had happened, with its age at that time.
    news: Vec<News>,
}

impl Known {
    fn decode(record: &Record) -> Option<Self> {
        let known = rmp_serde::from_slice(record.value.as_ref()?);
        known
            .inspect_err(|error| {
                event!(
                    warn,
                    "server_ends_unreadable",
                    key = record.key,
                    reason = error
                );
            })
            .ok()
    }

    fn encode(&self, key: String) -> Record {
        let value = rmp_serde::to_vec(self).unwrap_or_default();
        Record {
            key,
            value: Some(value.into()),
        }
    }

    fn age_ms(&self) -> u64 {
        clock::wall_ms().saturating_sub(self.written_ms)
    }

    /// The news with their present age.
    fn into_news(self) -> impl Iterator<Item = News> {
        let age_ms = u32::try_from(self.age_ms()).unwrap_or(u32::MAX);
        self.news.into_iter().map(move |news| News {
            // Not zero, so that it counts as repeated.
            age_ms: news.age_ms.saturating_add(age_ms).max(1),
            ..news
        })
    }
}

/// Writes and reads the records.
#[derive(Debug)]
pub(crate) struct EndRecords {
    topic: SpreadTopic,
    vm_number: u64,
    writes_per_second: u64,
    queued: RefCell<HashSet<ContentHash>>,
    waiters: RefCell<Vec<oneshot::Sender<bool>>>,
    is_writing: Cell<bool>,
    failed_at: Cell<Option<Instant>>,
    pace: RefCell<WritePace>,
    /// Servers of the attempts that were written, by request, with the time of the last write.
    written: RefCell<HashMap<ContentHash, (Instant, HashSet<ServerHash>)>>,
}

impl EndRecords {
    pub(crate) fn new(store: &Store, settings: &settings::Store, vm_number: u64) -> Self {
        Self {
            topic: SpreadTopic::new(store, END_TOPIC, settings.partitions),
            vm_number,
            writes_per_second: settings.writes_per_second,
            queued: RefCell::default(),
            waiters: RefCell::default(),
            is_writing: Cell::default(),
            failed_at: Cell::default(),
            pace: RefCell::default(),
            written: RefCell::default(),
        }
    }

    pub(super) fn is_written(&self, content: ContentHash, server: ServerHash) -> bool {
        let written = self.written.borrow();
        let servers = written.get(&content);
        servers.is_some_and(|(_, servers)| servers.contains(&server))
    }

    pub(super) fn has_written(&self, content: ContentHash) -> bool {
        self.written.borrow().contains_key(&content)
    }

    fn failed_recently(&self) -> bool {
        let failed_at = self.failed_at.get();
        failed_at.is_some_and(|at| at.elapsed() < RETRY_INTERVAL)
    }

    /// What all VMs have recorded; `None` if no VM has started before.
    ///
    /// # Errors
    /// The failure of a read if no majority of the partitions can be read.
    async fn read(&self) -> Result<Option<Vec<News>>, Error> {
        let records = self.topic.read(READ_TIMEOUT).await?;
        let known = records.iter().filter_map(Known::decode);
        let news = known.flat_map(Known::into_news).collect();
        Ok((!records.is_empty()).then_some(news))
    }

    /// Records that a VM has started, for those that start after all VMs are lost. Such records are kept.
    async fn record_start(&self) {
        let start = Known {
            written_ms: clock::wall_ms(),
            news: Vec::new(),
        };
        let start = start.encode(format!("{:08x}", self.vm_number));
        let is_durable = timeout(WRITE_TIMEOUT, self.topic.append(&[start])).await == Ok(true);
        if !is_durable {
            event!(info, "start_unrecorded");
        }
    }

    async fn delete_expired(&self) {
        let lifetime = (END_LIFETIME + CLEANUP_MARGIN).as_millis();
        let is_expired = |record: &&Record| {
            Known::decode(record).is_some_and(|known| {
                !known.news.is_empty() && u128::from(known.age_ms()) > lifetime
            })
        };
        for (partition, latest) in self.topic.read_each().await {
            let expired = latest.records.iter().filter(is_expired);
            let keys = expired.map(|record| record.key.clone());
            let keys: Vec<_> = keys.take(MAX_DELETIONS).collect();
            if keys.is_empty() {
                continue;
            }
            let count = keys.len();
            // A VM may have written the record again since.
            let is_done = self.topic.delete(partition, latest.end, keys).await;
            event!(
                info,
                "server_ends_deleted",
                part = partition,
                records = count,
                done = is_done
            );
        }
    }
}

impl Gateway {
    /// Writes what this VM knows of a request, without waiting for it.
    pub(super) fn queue_end_record(self: &Rc<Self>, content: ContentHash) {
        let records = &self.end_records;
        records.queued.borrow_mut().insert(content);
        if !records.is_writing.replace(true) {
            spawn_local(Rc::clone(self).write_end_records());
        }
    }

    /// Makes what this VM knows of a request durable. The wait is bounded: requests go on unrecorded while the store takes
    /// nothing.
    pub(super) async fn record_ends_durably(self: &Rc<Self>, content: ContentHash) {
        if !self.record_ends_within(content, WRITE_TIMEOUT).await {
            event!(info, "server_ends_unrecorded", content = content);
        }
    }

    /// As [`Gateway::record_ends_durably`], for a first attempt. It is recorded later where that takes longer.
    pub(super) async fn record_first_attempt(self: &Rc<Self>, content: ContentHash) {
        self.record_ends_within(content, FIRST_WRITE_TIMEOUT).await;
    }

    /// Returns whether it is durable.
    async fn record_ends_within(self: &Rc<Self>, content: ContentHash, limit: Duration) -> bool {
        let records = &self.end_records;
        if records.failed_recently() {
            self.queue_end_record(content);
            return false;
        }
        let (waiter, done) = oneshot::channel();
        records.waiters.borrow_mut().push(waiter);
        self.queue_end_record(content);
        matches!(timeout(limit, done).await, Ok(Ok(true)))
    }

    /// Writes the queued records until none are left.
    async fn write_end_records(self: Rc<Self>) {
        let records = &self.end_records;
        while !records.queued.borrow().is_empty() {
            sleep(self.wait_for_write()).await;
            let (contents, waiters) = (records.queued.take(), records.waiters.take());
            let is_durable = self.write_contents(&contents).await;
            for waiter in waiters {
                // Fails if the request has gone on without it.
                let _ = waiter.send(is_durable);
            }
            if !is_durable {
                records.failed_at.set(Some(Instant::now()));
                records.queued.borrow_mut().extend(contents);
                sleep(RETRY_INTERVAL).await;
            }
        }
        records.is_writing.set(false);
    }

    /// Counts one write; returns how long it has to wait.
    fn wait_for_write(&self) -> Duration {
        let records = &self.end_records;
        let vms = self.view.borrow().members.len();
        let calls = records.topic.calls_per_append();
        let rate = WritePace::rate(records.writes_per_second, calls, vms);
        records.pace.borrow_mut().take(Instant::now(), rate)
    }

    /// Writes one record a request; returns whether they are durable.
    async fn write_contents(&self, contents: &HashSet<ContentHash>) -> bool {
        let records = &self.end_records;
        let (now, written_ms) = (Instant::now(), clock::wall_ms());
        let known: Vec<(ContentHash, Vec<News>)> = {
            let ledger = self.ends.ledger.borrow();
            let known = contents
                .iter()
                .map(|content| (*content, ledger.describe(now, *content)));
            known.filter(|(_, news)| !news.is_empty()).collect()
        };
        if known.is_empty() {
            return true;
        }
        let servers: Vec<(ContentHash, HashSet<ServerHash>)> = known
            .iter()
            .map(|(content, news)| (*content, news.iter().map(|news| news.server).collect()))
            .collect();
        let encoded = known.into_iter().map(|(content, news)| {
            let key = format!("{:016x}{:08x}", content.0, records.vm_number);
            Known { written_ms, news }.encode(key)
        });
        let encoded: Vec<_> = encoded.collect();
        let is_durable = records.topic.append(&encoded).await;
        if is_durable {
            let mut written = records.written.borrow_mut();
            for (content, servers) in servers {
                written.insert(content, (now, servers));
            }
            written.retain(|_, (at, _)| at.elapsed() < END_LIFETIME);
        }
        is_durable
    }

    /// Reads what was recorded before this VM started, until that succeeds or it waits no longer for it. Also where other VMs
    /// have told what they know: those that knew more may be lost.
    pub(super) async fn restore_ends(self: &Rc<Self>) {
        while !self.ends.is_start_over() {
            match self.end_records.read().await {
                Ok(recorded) => {
                    // Before this VM sends anything on.
                    self.end_records.record_start().await;
                    let is_first = recorded.is_none();
                    let news = recorded.unwrap_or_default();
                    self.ends.restore(&news, is_first);
                    self.ends.end_first_read();
                    let count = news.len();
                    event!(info, "server_ends_restored", news = count, first = is_first);
                    // The others may have lost the VMs that knew of it.
                    let others = self.few_others();
                    return self.tell(&others, &news).await;
                }
                Err(fault) => event!(info, "server_ends_unread", reason = fault),
            }
            self.ends.end_first_read();
            sleep(READ_RETRY_INTERVAL).await;
        }
    }
}

/// Deletes expired records until the process ends, on the VM that the membership elects for it.
pub(crate) async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let is_elected = {
            let view = gateway.view.borrow();
            let elected = view.preferred_member("server-ends");
            elected.is_some_and(|member| member.vm == gateway.settings.vm)
        };
        if is_elected {
            gateway.end_records.delete_expired().await;
        }
    }
}
