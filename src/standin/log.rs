//! A stand-in for the platform's append-only log.

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

/// Bytes of data that one page holds at most.
const PAGE_BYTES: usize = 1 << 20;

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
        let fits = entries.take_while(|(_, data)| {
            bytes += data.len();
            bytes == data.len() || bytes <= PAGE_BYTES
        });
        let entries = fits.map(|(index, data)| WireEntry {
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

/// What really happened, for tests.
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
    grown: Arc<Notify>,
}

#[derive(Debug, Deserialize)]
struct From {
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
        .at("/faults", post(faults::set))
        .at("/trim", post(trim))
        .at("/counters", get(get_counters))
        .at("/entries", get(count_entries))
        .data(State::default())
        .data(Switches::default())
}

#[handler]
async fn append(
    state: Data<&State>,
    switches: Data<&Switches>,
    Path(stream): Path<String>,
    body: Vec<u8>,
) -> poem::Result<Json<WireOffset>> {
    switches.enter().await?;
    let offset = {
        let mut streams = state.streams.lock().expect("no holder panics");
        let kept = streams.entry(stream.clone()).or_default();
        kept.entries.push_back(body.clone().into());
        kept.next() - 1
    };
    {
        let mut counters = state.counters.lock().expect("no holder panics");
        counters.appends += 1;
        counters.bytes += body.len() as u64;
        *counters.appends_by_stream.entry(stream).or_default() += 1;
    };
    state.grown.notify_waiters();
    if switches.loses_reply() {
        return Err(poem::Error::from_status(StatusCode::BAD_GATEWAY));
    }
    Ok(Json(WireOffset { offset }))
}

#[handler]
async fn read(
    state: Data<&State>,
    switches: Data<&Switches>,
    Path(stream): Path<String>,
    Query(from): Query<From>,
) -> poem::Result<Json<WirePage>> {
    switches.enter().await?;
    state.counters.lock().expect("no holder panics").reads += 1;
    let until = tokio::time::Instant::now() + Duration::from_millis(from.wait_ms.min(30_000));
    loop {
        while switches.get().hold_reads && stream.starts_with("journal") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let grown = state.grown.notified();
        let page = {
            let mut streams = state.streams.lock().expect("no holder panics");
            streams.entry(stream.clone()).or_default().page(from.from)
        };
        let waited = tokio::time::timeout_at(until, grown);
        let held = switches.get().hold_reads && stream.starts_with("journal");
        if !held && (!page.entries.is_empty() || waited.await.is_err()) {
            return Ok(Json(page));
        }
        switches.enter().await?;
    }
}

#[handler]
fn trim(state: Data<&State>, trim: Json<Trim>) -> Json<WireOffset> {
    let mut streams = state.streams.lock().expect("no holder panics");
    let stream = streams.entry(trim.stream.clone()).or_default();
    while stream.first < trim.before && stream.entries.pop_front().is_some() {
        stream.first += 1;
    }
    Json(WireOffset {
        offset: stream.first,
    })
}

#[derive(Debug, Deserialize)]
struct Texts {
    /// Texts that an entry has to hold, parted by commas.
    holding: String,
}

/// How many entries of all streams hold the texts, faults or not.
#[handler]
fn count_entries(state: Data<&State>, Query(texts): Query<Texts>) -> Json<usize> {
    let streams = state.streams.lock().expect("no holder panics");
    let holds = |entry: &&Bytes| {
        let entry = String::from_utf8_lossy(entry);
        texts.holding.split(',').all(|text| entry.contains(text))
    };
    let entries = streams.values().flat_map(|stream| &stream.entries);
    Json(entries.filter(holds).count())
}

#[handler]
fn get_counters(state: Data<&State>) -> Json<Counters> {
    Json(state.counters.lock().expect("no holder panics").clone())
}
