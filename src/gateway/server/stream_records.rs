//! Records of stream versions at the store, for when all VMs are lost that know them.
//!
//! A *mark* names a version at which streams of a service may have begun. It is durable before the first event of the
//! first such stream goes to its caller, so that where there is one mark, all streams of the service have its version.
//! While there are several, each stream is recorded as well; that does not delay the stream.

use crate::clock;
use crate::gateway::Gateway;
use crate::id::Offset;
use crate::platform::records::{MARK_TOPIC, STREAM_TOPIC};
use crate::platform::store::{Error, Latest, Record, Store};
use crate::policy::fallback::majority;
use crate::policy::stream_versions::StreamHash;
use crate::telemetry::event;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};
use xxhash_rust::xxh3::xxh3_64;

/// Partitions that hold marks. A majority is written and read, so that marks are found while some are unavailable.
const MARK_PARTITIONS: u64 = 5;
/// Partitions that hold records of streams; each VM writes to one of them.
const STREAM_PARTITIONS: u64 = 4;
/// How long the first event of a stream waits for its mark. A write takes 8 ms at a healthy store.
const MARK_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after a failed mark in which streams don't wait for another one.
const MARK_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a mark counts for a version that is not in the directory of this VM.
const UNREGISTERED_MARK_AGE: Duration = Duration::from_secs(5);
/// Limit on a lookup of a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// How long records of streams are collected for one write.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Interval at which marks of versions without servers are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);
/// Age of a mark before it is deleted, on top of the time for which its version is gone: VMs may be that late with changes
/// of the directory, and their clocks may differ.
const MIN_MARK_AGE: Duration = Duration::from_secs(10);
/// How much longer streams are recorded than the last mark of a previous version is kept.
const RECORDING_MARGIN: Duration = Duration::from_secs(15);

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
    fn key(&self) -> String {
        format!(
            "{:016x}{:016x}",
            xxh3_64(self.service.as_bytes()),
            xxh3_64(self.version.as_bytes())
        )
    }

    fn decode(record: &Record) -> Option<Self> {
        let mark = serde_json::from_slice(record.value.as_ref()?);
        mark.inspect_err(|error| event!(warn, "mark_unreadable", key = record.key, reason = error))
            .ok()
    }
}

/// What the records at the store tell of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Recorded {
    /// All streams of its service have this version.
    OnlyVersion(Arc<str>),
    /// It was recorded with this version.
    Version(Arc<str>),
    /// It may have one of several versions.
    Several,
    /// No stream of its service has begun at a VM that writes marks.
    Nothing,
    /// The records can't be read.
    Unreadable,
}

/// Service and version.
type MarkKey = (Arc<str>, Arc<str>);

/// Start time and result of the last of reads that are shared by the requests that wait for one.
type SharedRead<T> = Mutex<Option<(Instant, T)>>;

/// Writes and reads the records.
#[derive(Debug)]
pub(crate) struct StreamRecords {
    store: Store,
    partitions: u64,
    /// Partition for the streams of this VM.
    own_partition: u64,
    /// Marks that are durable, with the time since when.
    marked: RefCell<HashMap<MarkKey, Instant>>,
    marking: Mutex<()>,
    marking_failed_at: Cell<Option<Instant>>,
    /// Services of which several marks were read, with the time.
    several_marks: RefCell<HashMap<String, Instant>>,
    unrecorded: RefCell<Vec<(StreamHash, Arc<str>)>>,
    recording: Cell<bool>,
    mark_reads: SharedRead<Option<Rc<Vec<Mark>>>>,
    stream_reads: SharedRead<()>,
    /// Next offset to read of each partition of streams.
    next_offsets: RefCell<HashMap<u64, Offset>>,
}

impl StreamRecords {
    pub(crate) fn new(store: Store, partitions: u64, vm_number: u64) -> Self {
        Self {
            store,
            partitions,
            own_partition: vm_number % partitions.clamp(1, STREAM_PARTITIONS),
            marked: RefCell::default(),
            marking: Mutex::default(),
            marking_failed_at: Cell::new(None),
            several_marks: RefCell::default(),
            unrecorded: RefCell::default(),
            recording: Cell::new(false),
            mark_reads: Mutex::default(),
            stream_reads: Mutex::default(),
            next_offsets: RefCell::default(),
        }
    }

    /// Evenly spread over all partitions.
    fn mark_partitions(&self) -> BTreeSet<u64> {
        (0..MARK_PARTITIONS)
            .map(|index| index * self.partitions / MARK_PARTITIONS)
            .collect()
    }

    /// Writes a mark to a majority of its partitions.
    async fn write_mark(&self, mark: &Mark) -> bool {
        let value = Bytes::from(serde_json::to_vec(mark).unwrap_or_default());
        let record = [Record {
            key: mark.key(),
            value: Some(value),
        }];
        let partitions = self.mark_partitions();
        let needed = majority(partitions.len());
        let appends = partitions
            .into_iter()
            .map(|partition| self.store.append(MARK_TOPIC, partition, &record, None));
        let mut appends: FuturesUnordered<_> = appends.collect();
        let mut taken = 0;
        while taken < needed {
            match appends.next().await {
                Some(result) => taken += usize::from(result.is_ok()),
                None => return false,
            }
        }
        true
    }

    /// Reads all marks from a majority of their partitions; `None` if fewer can be read.
    async fn read_marks(&self) -> Option<Rc<Vec<Mark>>> {
        let requested_at = Instant::now();
        let mut last_read = self.mark_reads.lock().await;
        if let Some((_, marks)) = last_read
            .as_ref()
            .filter(|(began, _)| *began > requested_at)
        {
            return marks.clone();
        }
        let began = Instant::now();
        let marks = timeout(self.lookup_timeout(), self.read_mark_partitions()).await;
        let marks = marks.ok().flatten().map(Rc::new);
        *last_read = Some((began, marks.clone()));
        marks
    }

    async fn read_mark_partitions(&self) -> Option<Vec<Mark>> {
        let partitions = self.mark_partitions();
        let needed = majority(partitions.len());
        let reads = partitions
            .into_iter()
            .map(|partition| self.read_mark_partition(partition));
        let mut reads: FuturesUnordered<_> = reads.collect();
        let (mut marks, mut read_count) = (Vec::new(), 0);
        while read_count < needed {
            if let Ok(latest) = reads.next().await? {
                read_count += 1;
                marks.extend(latest.records.iter().filter_map(Mark::decode));
            }
        }
        Some(marks)
    }

    async fn read_mark_partition(&self, partition: u64) -> Result<Latest, Error> {
        match self.store.read_latest(MARK_TOPIC, partition).await {
            // The topic does not exist until its first write.
            Err(Error::Refused(404)) => Ok(Latest::default()),
            read => read,
        }
    }

    fn lookup_timeout(&self) -> Duration {
        self.store.observer().scaled_timeout(LOOKUP_TIMEOUT)
    }

    /// Versions of the marks of a service.
    fn versions_of(marks: &[Mark], service: &str) -> BTreeSet<Arc<str>> {
        let marks = marks.iter().filter(|mark| mark.service == service);
        marks.map(|mark| Arc::clone(&mark.version)).collect()
    }

    fn note_marks(&self, marks: &[Mark], service: &str) {
        if Self::versions_of(marks, service).len() > 1 {
            let mut several = self.several_marks.borrow_mut();
            several.insert(service.to_owned(), Instant::now());
        }
    }

    /// Writes the queued records of streams until none are left.
    async fn write_streams(self: Rc<Self>) {
        loop {
            sleep(COLLECT_TIME).await;
            let streams = self.unrecorded.take();
            if streams.is_empty() {
                self.recording.set(false);
                return;
            }
            let records: Vec<Record> = streams
                .iter()
                .map(|(stream, version)| Record {
                    key: format!("{stream:016x}"),
                    value: Some(Bytes::copy_from_slice(version.as_bytes())),
                })
                .collect();
            let append = self
                .store
                .append(STREAM_TOPIC, self.own_partition, &records, None);
            if let Err(fault) = append.await {
                // Their callers would have to begin anew.
                event!(
                    info,
                    "streams_unrecorded",
                    streams = streams.len(),
                    reason = fault
                );
            }
        }
    }

    /// Reads the new records of all partitions of streams.
    async fn read_streams(&self, insert: impl Fn(StreamHash, Arc<str>)) {
        let requested_at = Instant::now();
        let mut last_read = self.stream_reads.lock().await;
        if last_read
            .as_ref()
            .is_some_and(|(began, ())| *began > requested_at)
        {
            return;
        }
        let began = Instant::now();
        let partitions = 0..self.partitions.clamp(1, STREAM_PARTITIONS);
        let reads = partitions.map(|partition| self.read_stream_partition(partition, &insert));
        let reads = futures::future::join_all(reads);
        if timeout(self.lookup_timeout(), reads).await.is_err() {
            event!(info, "stream_records_unread");
        }
        *last_read = Some((began, ()));
    }

    async fn read_stream_partition(&self, partition: u64, insert: &impl Fn(StreamHash, Arc<str>)) {
        let known = self.next_offsets.borrow().get(&partition).copied();
        let mut from = known.unwrap_or(Offset(0));
        loop {
            let page = self
                .store
                .read(STREAM_TOPIC, partition, from, Duration::ZERO);
            let page = match page.await {
                Ok(page) => page,
                // Older records have expired.
                Err(Error::Trimmed(first)) if first > from => {
                    from = first;
                    continue;
                }
                Err(fault) => {
                    event!(
                        debug,
                        "stream_records_unread",
                        part = partition,
                        reason = fault
                    );
                    return;
                }
            };
            for (_, record) in &page.records {
                let stream = StreamHash::from_str_radix(&record.key, 16);
                let version = record.value.as_deref().map(String::from_utf8_lossy);
                if let (Ok(stream), Some(version)) = (stream, version) {
                    insert(stream, version.as_ref().into());
                }
            }
            from = page.next;
            self.next_offsets.borrow_mut().insert(partition, from);
            if page.records.is_empty() || from >= page.end {
                return;
            }
        }
    }
}

impl Gateway {
    /// Makes the mark of a version durable before the first event of a stream goes on.
    ///
    /// The wait is bounded: streams go on without a mark while the store takes none.
    pub(super) async fn mark_version(self: &Rc<Self>, service: &Arc<str>, version: &Arc<str>) {
        let records = &self.stream_records;
        if self.is_marked(service, version) {
            return;
        }
        let failed_recently = records
            .marking_failed_at
            .get()
            .is_some_and(|at| at.elapsed() < MARK_RETRY_INTERVAL);
        if failed_recently {
            return;
        }
        let limit = records.store.observer().scaled_timeout(MARK_TIMEOUT);
        let marked = timeout(limit, async {
            let _guard = records.marking.lock().await;
            if self.is_marked(service, version) {
                return true;
            }
            let began = Instant::now();
            let mark = Mark {
                service: service.as_ref().to_owned(),
                version: Arc::clone(version),
                written_ms: clock::wall_ms(),
            };
            if !records.write_mark(&mark).await {
                return false;
            }
            let key = (Arc::clone(service), Arc::clone(version));
            records.marked.borrow_mut().insert(key, began);
            true
        })
        .await;
        let is_marked = marked == Ok(true);
        event!(
            info,
            "version_marked",
            service = service,
            version = version,
            durable = is_marked
        );
        if !is_marked {
            records.marking_failed_at.set(Some(Instant::now()));
            return;
        }
        // A VM that has just started may not know of other versions.
        let (gateway, service) = (Rc::clone(self), Arc::clone(service));
        tokio::task::spawn_local(async move {
            if let Some(marks) = gateway.stream_records.read_marks().await {
                gateway.stream_records.note_marks(&marks, &service);
            }
        });
    }

    /// Whether the mark was written since the version got its first server: it is deleted some time after the last one has
    /// left.
    fn is_marked(&self, service: &Arc<str>, version: &Arc<str>) -> bool {
        let key = (Arc::clone(service), Arc::clone(version));
        let marked_at = self.stream_records.marked.borrow().get(&key).copied();
        let rollouts = self.queue.rollouts.borrow();
        let since = rollouts.registered_since(service, version);
        marked_at.is_some_and(|marked_at| {
            since.map_or_else(
                || marked_at.elapsed() < UNREGISTERED_MARK_AGE,
                |since| marked_at >= since,
            )
        })
    }

    /// Records the version of a stream if streams of its service may have several.
    pub(super) fn record_stream(
        &self,
        service: &str,
        stream: StreamHash,
        version: &Arc<str>,
        lifetime: Duration,
    ) {
        let records = &self.stream_records;
        let time = mark_lifetime(lifetime) + RECORDING_MARGIN;
        let several_marks = records.several_marks.borrow().get(service).copied();
        let has_several_marks = several_marks.is_some_and(|at| at.elapsed() < time);
        let had_several = self
            .queue
            .rollouts
            .borrow()
            .had_several(Instant::now(), service, time);
        if !has_several_marks && !had_several {
            return;
        }
        records
            .unrecorded
            .borrow_mut()
            .push((stream, Arc::clone(version)));
        if !records.recording.replace(true) {
            tokio::task::spawn_local(Rc::clone(records).write_streams());
        }
    }

    /// Looks up what the records tell of a stream, or of all streams of a service.
    pub(super) async fn recorded_version(
        &self,
        service: &str,
        stream: Option<StreamHash>,
    ) -> Recorded {
        let records = &self.stream_records;
        let Some(marks) = records.read_marks().await else {
            return Recorded::Unreadable;
        };
        records.note_marks(&marks, service);
        let versions = StreamRecords::versions_of(&marks, service);
        let mut versions = versions.into_iter();
        let Some(version) = versions.next() else {
            return Recorded::Nothing;
        };
        if versions.next().is_none() {
            return Recorded::OnlyVersion(version);
        }
        let Some(stream) = stream else {
            return Recorded::Several;
        };
        records
            .read_streams(|stream, version| self.stream_versions.insert(stream, version))
            .await;
        self.stream_versions
            .get(stream)
            .map_or(Recorded::Several, Recorded::Version)
    }

    /// Deletes the marks of versions whose servers have all left, once no stream of them can go on.
    async fn delete_old_marks(&self, lifetime: Duration) {
        let records = &self.stream_records;
        for partition in records.mark_partitions() {
            let Ok(latest) = records.read_mark_partition(partition).await else {
                continue;
            };
            let marks = latest.records.iter();
            let old = marks.filter(|record| {
                Mark::decode(record).is_some_and(|mark| self.is_old(&mark, lifetime))
            });
            let deletions = old.map(|record| Record {
                key: record.key.clone(),
                value: None,
            });
            let deletions: Vec<_> = deletions.collect();
            if deletions.is_empty() {
                continue;
            }
            // A VM may have written the mark again since.
            let deleted = records
                .store
                .append_if_unchanged(MARK_TOPIC, partition, &deletions, latest.end)
                .await;
            event!(
                info,
                "marks_deleted",
                part = partition,
                marks = deletions.len(),
                done = deleted.is_ok()
            );
        }
    }

    fn is_old(&self, mark: &Mark, lifetime: Duration) -> bool {
        let age_ms = clock::wall_ms().saturating_sub(mark.written_ms);
        let rollouts = self.queue.rollouts.borrow();
        let absent_since = rollouts.absent_since(&mark.service, &mark.version);
        let is_gone = absent_since.is_some_and(|since| since.elapsed() >= mark_lifetime(lifetime));
        is_gone && u128::from(age_ms) >= MIN_MARK_AGE.as_millis()
    }
}

/// How long a mark is kept after the last server of its version has left: twice as long as a stream may take with its
/// caller's tries.
const fn mark_lifetime(lifetime: Duration) -> Duration {
    lifetime.saturating_mul(4)
}

/// Deletes old marks until the process ends, on the VM that the membership elects for it.
pub(crate) async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let lifetime = {
            let routing = gateway.routing.borrow();
            let table = routing.table.as_ref();
            table.map_or(Duration::ZERO, |table| table.longest_resumable_timeout())
        };
        let is_elected = {
            let view = gateway.view.borrow();
            let elected = view.preferred_member("stream-marks");
            elected.is_some_and(|member| member.vm == gateway.settings.vm)
        };
        if is_elected && !lifetime.is_zero() && gateway.has_several_marks().await {
            gateway.delete_old_marks(lifetime).await;
        }
    }
}

impl Gateway {
    /// Whether a service has several marks.
    async fn has_several_marks(&self) -> bool {
        let services: Vec<String> = {
            let rollouts = self.queue.rollouts.borrow();
            rollouts.services().map(ToOwned::to_owned).collect()
        };
        let Some(marks) = self.stream_records.read_marks().await else {
            return false;
        };
        services
            .iter()
            .any(|service| StreamRecords::versions_of(&marks, service).len() > 1)
    }
}
