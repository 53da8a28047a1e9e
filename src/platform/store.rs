//! The client of the platform's store: partitioned logs, some of which keep the newest record of
//! each key.

use crate::id::Offset;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{BufMut, Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use reqwest::{Response, StatusCode, Url};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// What a call may take beyond the time for which the store was asked to wait. The store answers
/// within 4 ms on a good day; a connection that has gone silent shows only by this timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which a call whose answer is late is made again on another connection, doubled for each
/// further one. The store answers in 8 ms on a good day; one that takes 240 ms gets three calls for one.
const LATE: Duration = Duration::from_millis(60);
/// Calls for one append that may be under way at a time.
const CALLS: u32 = 3;
/// How long a new connection may take: one lost opening packet costs a second anyway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to the store did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The store refused it: nothing was done.
    Refused(u16),
    /// No answer came: it may have been done, and may still be done seconds later.
    Unknown(String),
    /// The records asked for are gone; the oldest kept one has this offset.
    Trimmed(Offset),
    /// A writer with a higher epoch has taken the partition over.
    Fenced,
    /// The store expects another sequence number of this writer.
    Sequence(u64),
    /// Somebody has written to the partition since it was read: nothing was done.
    Moved,
    /// The answer can't be understood.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Unknown(reason) => write!(f, "no answer: {reason}"),
            Self::Trimmed(first) => write!(f, "records before {first} are gone"),
            Self::Fenced => f.write_str("fenced by a newer writer"),
            Self::Moved => f.write_str("written to by another since it was read"),
            Self::Sequence(expected) => write!(f, "sequence {expected} is expected"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl std::error::Error for Fault {}

/// A record of a topic that keeps the newest record of each key; no value drops the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Keyed {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

impl Keyed {
    fn encode(&self, out: &mut BytesMut) {
        let value = self.value.as_deref().unwrap_or_default();
        out.put_u32(u32::try_from(1 + self.key.len() + value.len()).unwrap_or(u32::MAX));
        out.put_u8(u8::try_from(self.key.len()).unwrap_or(u8::MAX));
        out.put_slice(self.key.as_bytes());
        out.put_slice(value);
    }

    fn decode(record: &Bytes) -> Option<Self> {
        let size = usize::from(*record.first()?);
        let key = record.get(1..=size)?;
        let value = record.slice(1 + size..);
        Some(Self {
            key: String::from_utf8(key.to_vec()).ok()?,
            value: (!value.is_empty()).then_some(value),
        })
    }
}

/// The newest record of each key, as far as one read goes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Newest {
    pub(crate) records: Vec<Keyed>,
    /// The offset that the next record will get, as of the first page.
    pub(crate) end: Offset,
}

/// Records of one partition from an offset on.
#[derive(Debug, Clone)]
pub(crate) struct Page {
    /// The offset after the last record of this page.
    pub(crate) next: Offset,
    /// The offset after the last record of the partition.
    pub(crate) end: Offset,
    /// Records, and the offset after each.
    pub(crate) records: Vec<(Offset, Keyed)>,
}

/// Who writes to a partition; a higher epoch shuts out the lower ones.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
    /// Where the partition has to end for anything to be written; none where that does not matter.
    pub(crate) as_of: Option<Offset>,
}

#[derive(Debug, Deserialize)]
struct NewestBody {
    items: Vec<NewestItem>,
    truncated: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct NewestItem {
    key: String,
    #[serde(default)]
    value: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Refusal {
    /// For a write that was shut out: `fenced` or `seq`.
    why: String,
    /// The oldest kept offset, where older ones were asked for.
    first: u64,
    /// The expected sequence number, where the one sent does not follow.
    seq: Option<u64>,
    expected: Option<u64>,
}

/// A client of the store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    client: reqwest::Client,
    base: String,
}

impl Store {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: client(),
            base: format!("http://{address}"),
        }
    }

    /// Drops the kept connections: one that went silent would take the next call with it.
    pub(crate) fn reconnect(&mut self) {
        self.client = client();
    }

    /// The newest record of each key of a partition.
    pub(crate) async fn newest(&self, topic: &str, part: u64) -> Result<Newest, Fault> {
        let mut newest: Option<Newest> = None;
        let mut after = String::new();
        loop {
            let mut url = format!("{}/log-newest?topic={topic}&part={part}", self.base);
            if !after.is_empty() {
                // Keys of other writers may hold any character.
                url = Url::parse_with_params(&url, [("after", &after)])
                    .map_err(|error| Fault::Malformed(error.to_string()))?
                    .into();
            }
            let reply = checked(self.client.get(url).timeout(CALL_TIMEOUT).send().await).await?;
            let bytes = reply.bytes().await.map_err(|error| unknown(&error))?;
            let body: NewestBody = serde_json::from_slice(&bytes)
                .map_err(|error| Fault::Malformed(error.to_string()))?;
            let all = newest.get_or_insert_with(|| Newest {
                records: Vec::new(),
                end: Offset(body.end),
            });
            after = body
                .items
                .last()
                .map_or_else(String::new, |item| item.key.clone());
            for item in body.items {
                let value = STANDARD
                    .decode(item.value)
                    .map_err(|error| Fault::Malformed(error.to_string()))?;
                all.records.push(Keyed {
                    key: item.key,
                    value: (!value.is_empty()).then(|| value.into()),
                });
            }
            if !body.truncated || after.is_empty() {
                return Ok(newest.unwrap_or_default());
            }
        }
    }

    /// Reads records from `from` on, waiting up to `wait` for the first.
    pub(crate) async fn read(
        &self,
        topic: &str,
        part: u64,
        from: Offset,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/log-read?topic={topic}&part={part}&from={from}&waitMs={wait_ms}",
            self.base
        );
        let call = self.client.get(url).timeout(wait + CALL_TIMEOUT);
        let reply = checked(call.send().await).await?;
        let body = reply.bytes().await.map_err(|error| unknown(&error))?;
        page(from, &body).ok_or_else(|| Fault::Malformed("cut short".to_owned()))
    }

    /// Appends records as [`Store::append`] does, and sends them again beside the first time where the
    /// answer is late. The records have to be such that nothing is wrong where they are written twice:
    /// a writer's sequence numbers see to that, or keys that always have the same value.
    ///
    /// A lost answer held up a writer for 900 ms, and the turns that waited for it; with a third of all
    /// answers lost they wait about 80 ms now.
    pub(crate) async fn append_surely(
        &self,
        topic: &str,
        part: u64,
        records: &[Keyed],
        writer: Option<&Writer>,
    ) -> Result<(), Fault> {
        let mut client = self.clone();
        let mut calls = FuturesUnordered::new();
        let mut late_after = LATE;
        for sent in 1..=CALLS {
            let store = client.clone();
            calls.push(async move { store.append(topic, part, records, writer).await });
            let mut late = pin!(sleep(late_after));
            loop {
                let done = tokio::select! {
                    Some(done) = calls.next() => done,
                    () = &mut late, if sent < CALLS => break,
                };
                match done {
                    Err(Fault::Unknown(_)) if !calls.is_empty() => {}
                    done => return done,
                }
            }
            late_after *= 2;
            // The connection may have gone silent, and those beside it.
            client.reconnect();
        }
        Err(Fault::Unknown("no answer".to_owned()))
    }

    /// Appends records, all or none; an empty list only sets the epoch of the writer.
    pub(crate) async fn append(
        &self,
        topic: &str,
        part: u64,
        records: &[Keyed],
        writer: Option<&Writer>,
    ) -> Result<(), Fault> {
        let mut url = format!("{}/log-append?topic={topic}&part={part}", self.base);
        if let Some(Writer {
            name,
            epoch,
            sequence,
            as_of,
        }) = writer
        {
            url = format!("{url}&producer={name}&epoch={epoch}&seq={sequence}");
            if let Some(end) = as_of {
                url = format!("{url}&asOf={end}");
            }
        }
        let mut body = BytesMut::new();
        for record in records {
            record.encode(&mut body);
        }
        let call = self
            .client
            .post(url)
            .timeout(CALL_TIMEOUT)
            .body(body.freeze());
        checked(call.send().await).await.map(drop)
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(4)
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}

fn unknown(error: &reqwest::Error) -> Fault {
    Fault::Unknown(error.to_string())
}

/// The reply, if the store did what was asked.
async fn checked(reply: Result<Response, reqwest::Error>) -> Result<Response, Fault> {
    let reply = reply.map_err(|error| unknown(&error))?;
    let status = reply.status();
    if status.is_success() {
        return Ok(reply);
    }
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(Fault::Moved);
    }
    if status != StatusCode::CONFLICT && status != StatusCode::GONE {
        return Err(Fault::Refused(status.as_u16()));
    }
    let bytes = reply.bytes().await.map_err(|error| unknown(&error))?;
    let refusal: Refusal =
        serde_json::from_slice(&bytes).map_err(|error| Fault::Malformed(error.to_string()))?;
    if status == StatusCode::GONE {
        return Err(Fault::Trimmed(Offset(refusal.first)));
    }
    Err(match refusal.why.as_str() {
        "seq" => Fault::Sequence(refusal.expected.or(refusal.seq).unwrap_or_default()),
        _ => Fault::Fenced,
    })
}

/// Decodes a read: the end and the first kept offset, then records behind their lengths.
fn page(from: Offset, body: &Bytes) -> Option<Page> {
    let mut rest = body.slice(body.len().min(16)..);
    let end = u64::from_be_bytes(body.get(..8)?.try_into().ok()?);
    body.get(..16)?;
    let mut records = Vec::new();
    let mut next = from.0;
    while !rest.is_empty() {
        let size = u32::from_be_bytes(rest.get(..4)?.try_into().ok()?) as usize;
        rest.get(4..4 + size)?;
        let record = rest.slice(4..4 + size);
        rest = rest.slice(4 + size..);
        next += 1;
        // A record that has no key is nobody's; its offset still counts.
        records.extend(Keyed::decode(&record).map(|record| (Offset(next), record)));
    }
    Some(Page {
        next: Offset(next),
        end: Offset(end),
        records,
    })
}
