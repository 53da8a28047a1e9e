//! The journal thread: batches appends, and reads the streams that the owner follows.

use super::record::{Record, decode, encode};
use crate::id::{Offset, Sequence};
use crate::platform::{Entry, Log};
use crate::telemetry::{Metrics, event};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Records in one append at most; fewer than an epoch can tell apart.
const BATCH: usize = 512;
/// Appends that may follow each other at once after a quiet time.
const BURST: u32 = 4;
/// The pause between attempts while the log is down, at first and at most.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// How long one read waits for entries.
const READ_WAIT: Duration = Duration::from_secs(1);

/// What the owner asks of the journal.
#[derive(Debug)]
pub(crate) enum Command {
    /// Append a record; it is tried until the log takes it.
    Append { stream: u64, record: Box<Record> },
    /// Follow a stream from its oldest entry.
    Follow { stream: u64 },
}

/// What the journal tells the owner.
#[derive(Debug)]
pub(crate) enum Event {
    /// The next entries of a stream, all that one read gave.
    Page {
        stream: u64,
        entries: Vec<(Offset, Vec<Record>)>,
        /// When the read was sent.
        asked: Instant,
    },
    /// Entries before this offset are gone, and the owner has not seen them.
    Trimmed { stream: u64, first: Offset },
}

/// How many members share the appends.
pub(crate) trait Share: Clone + 'static {
    fn members(&self) -> usize;
}

/// Runs until the owner hangs up and everything is in the log.
pub(crate) async fn run<L: Log, S: Share>(
    log: L,
    commands: flume::Receiver<Command>,
    events: flume::Sender<Event>,
    pace: Pace<S>,
    metrics: Metrics,
) {
    let mut writers: Vec<Option<flume::Sender<Record>>> = vec![None; pace.streams];
    let mut followed: BTreeMap<u64, tokio::task::JoinHandle<()>> = BTreeMap::new();
    while let Ok(command) = commands.recv_async().await {
        match command {
            Command::Append { stream, record } => {
                let writer = writer(&mut writers, stream, &log, &pace, &metrics);
                let _ = writer.send_async(*record).await;
            }
            Command::Follow { stream } => {
                let reader = follow(log.clone(), stream, events.clone());
                // An owner that was restarted reads the stream anew.
                if let Some(old) = followed.insert(stream, tokio::task::spawn_local(reader)) {
                    old.abort();
                }
            }
        }
    }
}

/// The share of the log's appends that this VM may use.
#[derive(Debug, Clone)]
pub(crate) struct Pace<S> {
    pub(crate) appends_per_second: u64,
    pub(crate) streams: usize,
    pub(crate) share: S,
}

impl<S: Share> Pace<S> {
    fn interval(&self) -> Duration {
        let parts = self.share.members().max(1) * self.streams;
        Duration::from_secs(parts as u64) / u32::try_from(self.appends_per_second).unwrap_or(1)
    }
}

fn writer<L: Log, S: Share>(
    writers: &mut [Option<flume::Sender<Record>>],
    stream: u64,
    log: &L,
    pace: &Pace<S>,
    metrics: &Metrics,
) -> flume::Sender<Record> {
    let slot = &mut writers[usize::try_from(stream).expect("a stream number is small")];
    let start = || {
        let (items, queue) = flume::bounded(BATCH * 4);
        let pace = pace.clone();
        tokio::task::spawn_local(write(log.clone(), stream, queue, pace, metrics.clone()));
        items
    };
    slot.get_or_insert_with(start).clone()
}

async fn write<L: Log, S: Share>(
    log: L,
    stream: u64,
    queue: flume::Receiver<Record>,
    pace: Pace<S>,
    metrics: Metrics,
) {
    let name = format!("journal-{stream}");
    let mut next = Instant::now();
    while let Ok(first) = queue.recv_async().await {
        // Bursts are let through; in the long run the VM keeps to its share of the appends.
        let interval = pace.interval();
        sleep_until(next - interval * BURST).await;
        next = next.max(Instant::now()) + interval;
        let batch: Vec<Record> = std::iter::once(first)
            .chain(queue.try_iter().take(BATCH - 1))
            .collect();
        append(&log, &name, &batch).await;
        metrics.appends.add(1, &[]);
        metrics.records.add(batch.len() as u64, &[]);
    }
}

/// Appends a batch, sending it again until the log has told its offset.
///
/// The reply of an append can be lost after it took effect; the copy that is then sent again
/// carries the same record ids, and readers keep the first.
async fn append<L: Log>(log: &L, name: &str, batch: &[Record]) {
    let entry = encode(batch);
    let mut backoff = BACKOFF.0;
    while let Err(fault) = log.append(name, entry.clone()).await {
        event!(
            warn,
            "append_failed",
            stream = name,
            records = batch.len(),
            reason = fault
        );
        sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
}

async fn follow<L: Log>(log: L, stream: u64, events: flume::Sender<Event>) {
    let name = format!("journal-{stream}");
    let mut next = Offset(0);
    loop {
        let asked = Instant::now();
        let page = match log.read(&name, next, READ_WAIT).await {
            Ok(page) => page,
            Err(fault) => {
                event!(warn, "read_failed", stream = name, reason = fault);
                sleep(BACKOFF.1).await;
                continue;
            }
        };
        if page.first > next {
            next = page.first;
            if events
                .send_async(Event::Trimmed {
                    stream,
                    first: next,
                })
                .await
                .is_err()
            {
                return;
            }
        }
        if page.entries.is_empty() {
            continue;
        }
        let entries = page.entries.into_iter().map(|entry| {
            next = Offset(entry.offset.0 + 1);
            (entry.offset, records(&name, &entry))
        });
        let entries = entries.collect();
        let page = Event::Page {
            stream,
            entries,
            asked,
        };
        if events.send_async(page).await.is_err() {
            return;
        }
    }
}

fn records(stream: &str, entry: &Entry) -> Vec<Record> {
    decode(&entry.data).unwrap_or_else(|fault| {
        event!(
            error,
            "entry_undecodable",
            stream = stream,
            offset = entry.offset,
            reason = fault
        );
        Vec::new()
    })
}

/// Numbers records of one process and stream.
#[derive(Debug, Default)]
pub(crate) struct Numbers(Vec<u64>);

impl Numbers {
    /// Numbers for so many streams.
    pub(crate) fn new(streams: u64) -> Self {
        Self(vec![
            0;
            usize::try_from(streams)
                .expect("a stream number is small")
        ])
    }

    pub(crate) fn next(&mut self, stream: u64) -> Sequence {
        let last = &mut self.0[usize::try_from(stream).expect("a stream number is small")];
        *last += 1;
        Sequence(*last)
    }
}
