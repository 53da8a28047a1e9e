//! Marks of the software versions at which streams of a service may have begun.
//!
//! A mark is durable before the first event of the first such stream goes to its caller, so that where there is one mark,
//! all streams of the service have its version.

use crate::clock;
use crate::gateway::Gateway;
use crate::gateway::shared_read::SharedRead;
use crate::platform::majority::SpreadTopic;
use crate::platform::records::MARK_TOPIC;
use crate::platform::store::{Record, Store};
use crate::telemetry::event;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// How long the first event of a stream waits for its mark. A write takes 8 ms at a healthy store.
const MARK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after a failed mark in which streams don't wait for another one.
const MARK_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a mark counts for a version that is not in the directory of this VM.
const UNREGISTERED_MARK_AGE: Duration = Duration::from_secs(5);
/// Time limit of a read of all marks.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which marks of versions without servers are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);
/// Age of a mark before it is deleted, on top of the time for which its version is gone: VMs may be that late with changes
/// of the directory, and their clocks may differ.
const MIN_MARK_AGE: Duration = Duration::from_secs(10);

/// A version at which streams of a service may have begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Mark {
    service: String,
    version: Arc<str>,
    /// When it was last written, in milliseconds since the Unix epoch.
    written_ms: u64,
}

impl Mark {
    fn encode(&self) -> Record {
        let service = xxh3_64(self.service.as_bytes());
        let version = xxh3_64(self.version.as_bytes());
        Record {
            key: format!("{service:016x}{version:016x}"),
            value: Some(Bytes::from(serde_json::to_vec(self).unwrap_or_default())),
        }
    }

    fn decode(record: &Record) -> Option<Self> {
        let mark = serde_json::from_slice(record.value.as_ref()?);
        mark.inspect_err(|error| event!(warn, "mark_unreadable", key = record.key, reason = error))
            .ok()
    }
}

/// Service and version.
type MarkKey = (Arc<str>, Arc<str>);

/// Versions at which streams of one service may have begun.
pub(super) type MarkedVersions = BTreeSet<Arc<str>>;

fn versions_of(marks: &[Mark], service: &str) -> MarkedVersions {
    let marks = marks.iter().filter(|mark| mark.service == service);
    marks.map(|mark| Arc::clone(&mark.version)).collect()
}

/// How long a mark is kept after the last server of its version has left: twice as long as a stream may take with its
/// caller's tries. `timeout` is the time limit of a route.
pub(super) const fn mark_lifetime(timeout: Duration) -> Duration {
    timeout.saturating_mul(4)
}

/// Writes and reads the marks.
#[derive(Debug)]
pub(crate) struct VersionMarks {
    topic: SpreadTopic,
    /// Marks that this VM has made durable, with the time since when.
    durable: RefCell<HashMap<MarkKey, Instant>>,
    writing: Mutex<()>,
    write_failed_at: Cell<Option<Instant>>,
    /// When several marks of a service were last read.
    several_read_at: RefCell<HashMap<String, Instant>>,
    reads: SharedRead<Option<Rc<Vec<Mark>>>>,
}

impl VersionMarks {
    pub(crate) fn new(store: &Store, partitions: u64) -> Self {
        Self {
            topic: SpreadTopic::new(store, MARK_TOPIC, partitions),
            durable: RefCell::default(),
            writing: Mutex::default(),
            write_failed_at: Cell::new(None),
            several_read_at: RefCell::default(),
            reads: SharedRead::default(),
        }
    }

    /// Writes a mark; returns whether it is durable.
    async fn write(&self, service: &Arc<str>, version: &Arc<str>) -> bool {
        let began = Instant::now();
        let mark = Mark {
            service: service.as_ref().to_owned(),
            version: Arc::clone(version),
            written_ms: clock::wall_ms(),
        };
        let is_durable = self.topic.append(&[mark.encode()]).await;
        if is_durable {
            let key = (Arc::clone(service), Arc::clone(version));
            self.durable.borrow_mut().insert(key, began);
        }
        is_durable
    }

    /// The versions with a mark of a service; `None` if the marks can't be read.
    pub(super) async fn versions(&self, service: &str) -> Option<MarkedVersions> {
        let read = async {
            let began = Instant::now();
            let records = self.topic.read(READ_TIMEOUT).await.ok();
            let decode = |records: Vec<Record>| records.iter().filter_map(Mark::decode).collect();
            (began, records.map(decode).map(Rc::<Vec<Mark>>::new))
        };
        let versions = versions_of(&self.reads.get(read).await?, service);
        if versions.len() > 1 {
            let mut several_read_at = self.several_read_at.borrow_mut();
            several_read_at.insert(service.to_owned(), Instant::now());
        }
        Some(versions)
    }

    /// Whether several marks of a service were read within this time.
    pub(super) fn had_several(&self, service: &str, time: Duration) -> bool {
        let several_read_at = self.several_read_at.borrow();
        let read_at = several_read_at.get(service);
        read_at.is_some_and(|at| at.elapsed() < time)
    }

    /// Deletes old marks of services that have others.
    async fn delete_old(&self, is_old: impl Fn(&Mark) -> bool) {
        let reads = self.topic.read_each().await;
        let records = reads.iter().flat_map(|(_, latest)| &latest.records);
        let all: Vec<Mark> = records.filter_map(Mark::decode).collect();
        for (partition, latest) in reads {
            let marks = latest.records.iter().filter_map(Mark::decode);
            let old = marks
                .filter(|mark| versions_of(&all, &mark.service).len() > 1)
                .filter(&is_old);
            let keys: Vec<_> = old.map(|mark| mark.encode().key).collect();
            if keys.is_empty() {
                continue;
            }
            let count = keys.len();
            // A VM may have written the mark again since.
            let is_done = self.topic.delete(partition, latest.end, keys).await;
            event!(
                info,
                "marks_deleted",
                part = partition,
                marks = count,
                done = is_done
            );
        }
    }
}

impl Gateway {
    fn version_marks(&self) -> &VersionMarks {
        &self.stream_records.marks
    }

    /// Makes the mark of a version durable before the first event of a stream goes on.
    ///
    /// The wait is bounded: streams go on without a mark while the store takes none.
    pub(super) async fn mark_version(self: &Rc<Self>, service: &Arc<str>, version: &Arc<str>) {
        let marks = self.version_marks();
        let failed_at = marks.write_failed_at.get();
        let failed_recently = failed_at.is_some_and(|at| at.elapsed() < MARK_RETRY_INTERVAL);
        if failed_recently || self.is_marked(service, version) {
            return;
        }
        let limit = marks.topic.store().observer().scaled_timeout(MARK_TIMEOUT);
        let written = timeout(limit, async {
            let _guard = marks.writing.lock().await;
            self.is_marked(service, version) || marks.write(service, version).await
        });
        let is_durable = written.await == Ok(true);
        event!(
            info,
            "version_marked",
            service = service,
            version = version,
            durable = is_durable
        );
        if !is_durable {
            marks.write_failed_at.set(Some(Instant::now()));
            return;
        }
        // A VM that has just started may not know of other versions.
        let (gateway, service) = (Rc::clone(self), Arc::clone(service));
        tokio::task::spawn_local(async move {
            gateway.version_marks().versions(&service).await;
        });
    }

    /// Whether the mark was written since the version got its first server: it is deleted some time after the last one has
    /// left.
    fn is_marked(&self, service: &Arc<str>, version: &Arc<str>) -> bool {
        let key = (Arc::clone(service), Arc::clone(version));
        let Some(marked_at) = self.version_marks().durable.borrow().get(&key).copied() else {
            return false;
        };
        let rollouts = self.queue.rollouts.borrow();
        match rollouts.registered_since(service, version) {
            Some(since) => marked_at >= since,
            None => marked_at.elapsed() < UNREGISTERED_MARK_AGE,
        }
    }

    /// Whether no stream of a version can go on any more. `timeout` is the longest time limit of a route.
    fn is_old(&self, mark: &Mark, timeout: Duration) -> bool {
        let age_ms = clock::wall_ms().saturating_sub(mark.written_ms);
        let rollouts = self.queue.rollouts.borrow();
        let absent_since = rollouts.absent_since(&mark.service, &mark.version);
        absent_since.is_some_and(|since| since.elapsed() >= mark_lifetime(timeout))
            && u128::from(age_ms) >= MIN_MARK_AGE.as_millis()
    }
}

/// Deletes the marks of versions whose servers have all left until the process ends, on the VM that the membership elects
/// for it.
pub(crate) async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let timeout = {
            let routing = gateway.routing.borrow();
            let table = routing.table.as_ref();
            table.map_or(Duration::ZERO, |table| table.longest_resumable_timeout())
        };
        let is_elected = {
            let view = gateway.view.borrow();
            let elected = view.preferred_member("stream-marks");
            elected.is_some_and(|member| member.vm == gateway.settings.vm)
        };
        if is_elected && !timeout.is_zero() {
            let is_old = |mark: &Mark| gateway.is_old(mark, timeout);
            gateway.version_marks().delete_old(is_old).await;
        }
    }
}
