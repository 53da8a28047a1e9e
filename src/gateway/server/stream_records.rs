//! Records of stream versions at the store, for when all VMs are lost that know them.
//!
//! Where a service has one mark ([`super::version_marks`]), it tells the version of all its streams. While it has several,
//! each stream is recorded as well; that does not delay the stream.

use super::version_marks::{VersionMarks, mark_lifetime};
use crate::gateway::Gateway;
use crate::gateway::shared_read::SharedRead;
use crate::id::Offset;
use crate::platform::records::STREAM_TOPIC;
use crate::platform::store::{Error, Record, Store};
use crate::policy::stream_versions::StreamHash;
use crate::telemetry::event;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Partitions that hold records of streams; each VM writes to one of them.
const STREAM_PARTITIONS: u64 = 4;
/// Time limit of a read of all new records.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// How long records of streams are collected for one write.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// How much longer streams are recorded than the last mark of a previous version is kept.
const RECORDING_MARGIN: Duration = Duration::from_secs(15);

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

/// Writes and reads the records.
#[derive(Debug)]
pub(crate) struct StreamRecords {
    pub(super) marks: VersionMarks,
    store: Store,
    /// Number of partitions with records of streams.
    partitions: u64,
    /// Partition for the streams of this VM.
    own_partition: u64,
    unrecorded: RefCell<Vec<(StreamHash, Arc<str>)>>,
    writing: Cell<bool>,
    reads: SharedRead<()>,
    /// Next offset to read of each partition.
    next_offsets: RefCell<HashMap<u64, Offset>>,
}

impl StreamRecords {
    /// `partitions` is the number of partitions per topic.
    pub(crate) fn new(store: &Store, partitions: u64, vm_number: u64) -> Self {
        let stream_partitions = partitions.clamp(1, STREAM_PARTITIONS);
        Self {
            marks: VersionMarks::new(store, partitions),
            store: store.separate(),
            partitions: stream_partitions,
            own_partition: vm_number % stream_partitions,
            unrecorded: RefCell::default(),
            writing: Cell::new(false),
            reads: SharedRead::default(),
            next_offsets: RefCell::default(),
        }
    }

    /// Writes the queued records until none are left.
    async fn write_queued(self: Rc<Self>) {
        loop {
            sleep(COLLECT_TIME).await;
            let streams = self.unrecorded.take();
            if streams.is_empty() {
                self.writing.set(false);
                return;
            }
            let records = streams.iter().map(|(stream, version)| Record {
                key: format!("{stream:016x}"),
                value: Some(Bytes::copy_from_slice(version.as_bytes())),
            });
            let records: Vec<_> = records.collect();
            let append = async || {
                let append = self
                    .store
                    .append(STREAM_TOPIC, self.own_partition, &records, None);
                append.await
            };
            if let Err(fault) = self.store.repeat_while_busy(append).await {
                // Their callers would have to begin anew.
                event!(
                    info,
                    "streams_unrecorded",
                    streams = records.len(),
                    reason = fault
                );
            }
        }
    }

    /// Reads the new records of all partitions.
    async fn read_new(&self, insert: impl Fn(StreamHash, Arc<str>)) {
        let read = async {
            let began = Instant::now();
            let partitions = 0..self.partitions;
            let reads = partitions.map(|partition| self.read_partition(partition, &insert));
            let limit = self.store.observer().scaled_timeout(READ_TIMEOUT);
            let reads = timeout(limit, futures::future::join_all(reads));
            if reads.await.is_err() {
                event!(info, "stream_records_unread");
            }
            (began, ())
        };
        self.reads.get(read).await;
    }

    async fn read_partition(&self, partition: u64, insert: &impl Fn(StreamHash, Arc<str>)) {
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
    /// Records the version of a stream if streams of its service may have several. `timeout` is the time limit of its
    /// route.
    pub(super) fn record_stream(
        &self,
        service: &str,
        stream: StreamHash,
        version: &Arc<str>,
        timeout: Duration,
    ) {
        let records = &self.stream_records;
        let time = mark_lifetime(timeout) + RECORDING_MARGIN;
        let had_several = {
            let rollouts = self.queue.rollouts.borrow();
            rollouts.had_several(Instant::now(), service, time)
        };
        if !had_several && !records.marks.had_several(service, time) {
            return;
        }
        let record = (stream, Arc::clone(version));
        records.unrecorded.borrow_mut().push(record);
        if !records.writing.replace(true) {
            tokio::task::spawn_local(Rc::clone(records).write_queued());
        }
    }

    /// Looks up what the records tell of a stream, or of all streams of a service.
    pub(super) async fn recorded_version(
        &self,
        service: &str,
        stream: Option<StreamHash>,
    ) -> Recorded {
        let records = &self.stream_records;
        let Some(versions) = records.marks.versions(service).await else {
            return Recorded::Unreadable;
        };
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
            .read_new(|stream, version| self.stream_versions.insert(stream, version))
            .await;
        let version = self.stream_versions.get(stream);
        version.map_or(Recorded::Several, Recorded::Version)
    }
}
