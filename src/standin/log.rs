//! Stand-in for the platform's append-only log.

use super::faults::{self, Switches};
use crate::platform::{WireEntry, WireOffset, WirePage};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Limit on the data of one page; a single larger entry is still returned.
const MAX_PAGE_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    entries: VecDeque<Bytes>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    fn page(&self, from: u64) -> WirePage {
        let from = from.max(self.first);
        let mut bytes = 0;
        let skip = usize::try_from(from - self.first).unwrap_or(usize::MAX);
        let entries = self.entries.iter().enumerate().skip(skip);
        let page_entries = entries.take_while(|(_, data)| {
            bytes += data.len();
            bytes == data.len() || bytes <= MAX_PAGE_BYTES
        });
        let entries = page_entries.map(|(index, data)| WireEntry {
            offset: self.first + index as u64,
            data: STANDARD.encode(data),
        });
        WirePage {
            first: self.first,
            next: self.next(),
            entries: entries.collect(),
        }
    }
}

/// Counters that tests compare with what the VMs did.
#[derive(Debug, Clone, Default, Serialize)]
struct Counters {
    appends: u64,
    reads: u64,
    bytes: u64,
    appends_by_stream: BTreeMap<String, u64>,
}

#[derive(Debug, Clone, Default)]
struct State {
    streams: Arc<Mutex<BTreeMap<String, Stream>>>,
    counters: Arc<Mutex<Counters>>,
    appended: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Trim {
    stream: String,
    before: u64,
}

pub(super) fn routes() -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/streams/:stream", post(append).get(read))
        .at("/faults", post(faults::set_faults))
        .at("/trim", post(trim))
        .at("/counters", get(get_counters))
        .at("/entries", get(count_entries))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn append(
    state: Data<&State>,
    faults: Data<&Switches>,
    Path(stream): Path<String>,
    body: Vec<u8>,
) -> poem::Result<Json<WireOffset>> {
    faults.delay_or_fail().await?;
    let offset = {
        let mut streams = state.streams.lock().expect("the lock is not poisoned");
        let log = streams.entry(stream.clone()).or_default();
        log.entries.push_back(body.clone().into());
        log.next() - 1
    };
    {
        let mut counters = state.counters.lock().expect("the lock is not poisoned");
        counters.appends += 1;
        counters.bytes += body.len() as u64;
        *counters.appends_by_stream.entry(stream).or_default() += 1;
    };
    state.appended.notify_waiters();
    if faults.take_lost_reply() {
        return Err(poem::Error::from_status(StatusCode::BAD_GATEWAY));
    }
    Ok(Json(WireOffset { offset }))
}

#[handler]
async fn read(
    state: Data<&State>,
    faults: Data<&Switches>,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> poem::Result<Json<WirePage>> {
    faults.delay_or_fail().await?;
    state
        .counters
        .lock()
        .expect("the lock is not poisoned")
        .reads += 1;
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms.min(30_000));
    loop {
        while faults.get().hold_reads && stream.starts_with("journal") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let appended = state.appended.notified();
        let page = {
            let mut streams = state.streams.lock().expect("the lock is not poisoned");
            streams.entry(stream.clone()).or_default().page(query.from)
        };
        let next_append = tokio::time::timeout_at(deadline, appended);
        let reads_held = faults.get().hold_reads && stream.starts_with("journal");
        if !reads_held && (!page.entries.is_empty() || next_append.await.is_err()) {
            return Ok(Json(page));
        }
        faults.delay_or_fail().await?;
    }
}

#[handler]
fn trim(state: Data<&State>, trim: Json<Trim>) -> Json<WireOffset> {
    let mut streams = state.streams.lock().expect("the lock is not poisoned");
    let stream = streams.entry(trim.stream.clone()).or_default();
    while stream.first < trim.before && stream.entries.pop_front().is_some() {
        stream.first += 1;
    }
    Json(WireOffset {
        offset: stream.first,
    })
}

#[derive(Debug, Deserialize)]
struct EntryQuery {
    /// Texts that an entry must contain, separated by commas.
    holding: String,
}

/// Counts the entries of all streams that contain the texts; not affected by injected faults.
#[handler]
fn count_entries(state: Data<&State>, Query(query): Query<EntryQuery>) -> Json<usize> {
    let streams = state.streams.lock().expect("the lock is not poisoned");
    let contains_all = |entry: &&Bytes| {
        let entry = String::from_utf8_lossy(entry);
        query.holding.split(',').all(|text| entry.contains(text))
    };
    let entries = streams.values().flat_map(|stream| &stream.entries);
    Json(entries.filter(contains_all).count())
}

#[handler]
fn get_counters(state: Data<&State>) -> Json<Counters> {
    Json(
        state
            .counters
            .lock()
            .expect("the lock is not poisoned")
            .clone(),
    )
}
