//! The journal thread: batches appends, and reads the streams that the owner thread follows.

use super::record::{Record, decode, encode};
use crate::id::{Offset, Sequence};
use crate::platform::{Entry, Log};
use crate::telemetry::{Metrics, event};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Records per append; an epoch encodes the index of its record in the batch, which limits this.
const MAX_BATCH_RECORDS: usize = 512;
/// Appends allowed in a burst after an idle time.
const BURST_APPENDS: u32 = 4;
/// Initial and longest delay between attempts while the log is unavailable.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));
/// How long the log may hold a read without new entries.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Command of the owner thread to the journal.
#[derive(Debug)]
pub(crate) enum Command {
    /// Append a record, retrying until the log accepts it.
    Append { stream: u64, record: Box<Record> },
    /// Read a stream from its oldest entry on, and report its entries as events.
    Follow { stream: u64 },
}

/// Event from the journal to the owner thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// The next entries of a stream, as returned by one read.
    Page {
        stream: u64,
        entries: Vec<(Offset, Vec<Record>)>,
        /// When the read was sent: the page reflects the stream at that time or later.
        requested_at: Instant,
    },
    /// The log has trimmed entries before this offset that the owner thread has not read.
    Trimmed { stream: u64, first: Offset },
}

/// Provides the number of members that share the append rate of the log.
pub(crate) trait MemberCount: Clone + 'static {
    fn members(&self) -> usize;
}

/// Runs until the owner thread drops its end of `commands`.
pub(crate) async fn run<L: Log, S: MemberCount>(
    log: L,
    commands: flume::Receiver<Command>,
    events: flume::Sender<Event>,
    rate: Rate<S>,
    metrics: Metrics,
) {
    let mut writers: Vec<Option<flume::Sender<Record>>> = vec![None; rate.streams];
    let mut readers: BTreeMap<u64, tokio::task::JoinHandle<()>> = BTreeMap::new();
    while let Ok(command) = commands.recv_async().await {
        match command {
            Command::Append { stream, record } => {
                let writer = writer(&mut writers, stream, &log, &rate, &metrics);
                let _ = writer.send_async(*record).await;
            }
            Command::Follow { stream } => {
                let reader = follow(log.clone(), stream, events.clone());
                // A restarted owner thread reads the stream again from the start.
                if let Some(old) = readers.insert(stream, tokio::task::spawn_local(reader)) {
                    old.abort();
                }
            }
        }
    }
}

/// This VM's share of the log's append rate, which is divided evenly among members and streams.
#[derive(Debug, Clone)]
pub(crate) struct Rate<S> {
    pub(crate) appends_per_second: u64,
    pub(crate) streams: usize,
    pub(crate) members: S,
}

impl<S: MemberCount> Rate<S> {
    fn interval(&self) -> Duration {
        let divisor = self.members.members().max(1) * self.streams;
        Duration::from_secs(divisor as u64) / u32::try_from(self.appends_per_second).unwrap_or(1)
    }
}

fn writer<L: Log, S: MemberCount>(
    writers: &mut [Option<flume::Sender<Record>>],
    stream: u64,
    log: &L,
    rate: &Rate<S>,
    metrics: &Metrics,
) -> flume::Sender<Record> {
    let writer = &mut writers[usize::try_from(stream).expect("a stream number is small")];
    let start = || {
        let (sender, receiver) = flume::bounded(MAX_BATCH_RECORDS * 4);
        let rate = rate.clone();
        tokio::task::spawn_local(write(log.clone(), stream, receiver, rate, metrics.clone()));
        sender
    };
    writer.get_or_insert_with(start).clone()
}

async fn write<L: Log, S: MemberCount>(
    log: L,
    stream: u64,
    records: flume::Receiver<Record>,
    rate: Rate<S>,
    metrics: Metrics,
) {
    let name = format!("journal-{stream}");
    let mut next = Instant::now();
    while let Ok(first) = records.recv_async().await {
        // Allows bursts, but on average no more than this VM's share of the append rate.
        let interval = rate.interval();
        sleep_until(next - interval * BURST_APPENDS).await;
        next = next.max(Instant::now()) + interval;
        let batch: Vec<Record> = std::iter::once(first)
            .chain(records.try_iter().take(MAX_BATCH_RECORDS - 1))
            .collect();
        append(&log, &name, &batch).await;
        metrics.appends.add(1, &[]);
        metrics.records.add(batch.len() as u64, &[]);
    }
}

/// Appends a batch, retrying until the log confirms it.
///
/// A retry can duplicate a batch whose confirmation was lost. Both copies carry the same record
/// ids, and readers ignore the second.
async fn append<L: Log>(log: &L, name: &str, batch: &[Record]) {
    let entry = encode(batch);
    let mut backoff = BACKOFF.0;
    while let Err(error) = log.append(name, entry.clone()).await {
        event!(
            warn,
            "append_failed",
            stream = name,
            records = batch.len(),
            reason = error
        );
        sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
}

async fn follow<L: Log>(log: L, stream: u64, events: flume::Sender<Event>) {
    let name = format!("journal-{stream}");
    let mut next = Offset(0);
    loop {
        let requested_at = Instant::now();
        let page = match log.read(&name, next, LONG_POLL_TIMEOUT).await {
            Ok(page) => page,
            Err(error) => {
                event!(warn, "read_failed", stream = name, reason = error);
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
            (entry.offset, decode_entry(&name, &entry))
        });
        let entries = entries.collect();
        let page = Event::Page {
            stream,
            entries,
            requested_at,
        };
        if events.send_async(page).await.is_err() {
            return;
        }
    }
}

fn decode_entry(stream: &str, entry: &Entry) -> Vec<Record> {
    decode(&entry.data).unwrap_or_else(|error| {
        event!(
            error,
            "entry_undecodable",
            stream = stream,
            offset = entry.offset,
            reason = error
        );
        Vec::new()
    })
}

/// Sequence numbers of this process's records, counted per stream.
#[derive(Debug, Default)]
pub(crate) struct Sequences(Vec<u64>);

impl Sequences {
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
