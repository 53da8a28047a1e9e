//! Client of the platform's store: partitioned logs, some of them compacted to the latest record of
//! each key.

use super::observer::{Call, Observer};
use crate::id::Offset;
use crate::policy::store_health::{MAX_BUSY_WAIT, busy_pause};
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
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout of a call, on top of the time for which the store is asked to wait. A healthy store
/// answers within 4 ms; a dead connection shows only by this timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before the first hedged call of an append; doubles for each further one. The store answers
/// in 8 ms when healthy.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Calls of one hedged append, including the first.
const MAX_CALLS: u32 = 3;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// The store rejected the call with this HTTP status; it had no effect.
    Refused(u16),
    /// No response: the call may have taken effect, or may still do so seconds later.
    OutcomeUnknown(String),
    /// The requested records were deleted; the oldest remaining one has this offset.
    Trimmed(Offset),
    /// A writer with a higher epoch has taken over the partition.
    Fenced,
    /// The store expects this sequence number from the writer instead.
    SequenceMismatch(u64),
    /// The partition has newer records than [`Writer::expected_end`]; nothing was written.
    Conflict,
    /// The response could not be decoded.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::OutcomeUnknown(reason) => write!(f, "no response: {reason}"),
            Self::Trimmed(first) => write!(f, "records before offset {first} were deleted"),
            Self::Fenced => f.write_str("fenced by a writer with a higher epoch"),
            Self::Conflict => f.write_str("the partition was written to since it was last read"),
            Self::SequenceMismatch(expected) => {
                write!(f, "the store expects sequence number {expected}")
            }
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// A record of a compacted topic; without a value it is a tombstone that deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) key: String,
    pub(crate) value: Option<Bytes>,
}

impl Record {
    fn encode(&self, out: &mut BytesMut) {
        let value = self.value.as_deref().unwrap_or_default();
        out.put_u32(u32::try_from(1 + self.key.len() + value.len()).unwrap_or(u32::MAX));
        out.put_u8(u8::try_from(self.key.len()).unwrap_or(u8::MAX));
        out.put_slice(self.key.as_bytes());
        out.put_slice(value);
    }

    fn decode(record: &Bytes) -> Option<Self> {
        let key_length = usize::from(*record.first()?);
        let key = record.get(1..=key_length)?;
        let value = record.slice(1 + key_length..);
        Some(Self {
            key: String::from_utf8(key.to_vec()).ok()?,
            value: (!value.is_empty()).then_some(value),
        })
    }
}

/// The latest record of each key of a partition.
#[derive(Debug, Clone, Default)]
pub(crate) struct Latest {
    pub(crate) records: Vec<Record>,
    /// The end of the partition when the first page was read.
    pub(crate) end: Offset,
}

/// Consecutive records of one partition.
#[derive(Debug, Clone)]
pub(crate) struct Page {
    /// The offset after the last record of this page.
    pub(crate) next: Offset,
    /// The offset after the last record of the partition.
    pub(crate) end: Offset,
    /// Records, each with the offset after it.
    pub(crate) records: Vec<(Offset, Record)>,
}

/// Identifies the writer of an append; the store fences writers with a lower epoch.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
    /// End that the partition must have for the append to succeed; `None` for any.
    pub(crate) expected_end: Option<Offset>,
}

#[derive(Debug, Deserialize)]
struct LatestBody {
    items: Vec<LatestItem>,
    truncated: bool,
    end: u64,
}

#[derive(Debug, Deserialize)]
struct LatestItem {
    key: String,
    #[serde(default)]
    value: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Refusal {
    /// Reason why an append was rejected: `fenced` or `seq`.
    why: String,
    /// The oldest remaining offset, if a read asked for an older one.
    first: u64,
    /// The expected sequence number, if the call sent another one; sent as `seq` or `expected`.
    seq: Option<u64>,
    expected: Option<u64>,
}

/// Client of the store, with its own connection pool.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    client: reqwest::Client,
    base_url: String,
    observer: Arc<Observer>,
    /// Whether a call of this client without an answer shows that the store is silent.
    polls: bool,
}

impl Store {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            client: new_client(),
            base_url: format!("http://{address}"),
            observer: Arc::default(),
            polls: false,
        }
    }

    /// A client with connections of its own, for another thread or purpose, and the same observer.
    pub(crate) fn separate(&self) -> Self {
        Self {
            client: new_client(),
            polls: false,
            ..self.clone()
        }
    }

    /// As [`Store::separate`], for polling: if a call gets no answer, the store counts as silent.
    pub(crate) fn polling(&self) -> Self {
        Self {
            polls: true,
            ..self.separate()
        }
    }

    /// What all clients of this process have seen of the store.
    pub(crate) fn observer(&self) -> &Arc<Observer> {
        &self.observer
    }

    /// Whether a busy store rejected a call. It had no effect, and may soon succeed.
    pub(crate) fn is_busy_rejection(&self, error: &Error) -> bool {
        *error == Error::Refused(StatusCode::TOO_MANY_REQUESTS.as_u16()) && self.observer.is_busy()
    }

    /// Repeats a call as long as a busy store rejects it.
    pub(crate) async fn repeat_while_busy<T>(
        &self,
        call: impl AsyncFn() -> Result<T, Error>,
    ) -> Result<T, Error> {
        let (began, mut rejections) = (Instant::now(), 0);
        loop {
            match call().await {
                Err(error) if self.is_busy_rejection(&error) && began.elapsed() < MAX_BUSY_WAIT => {
                    rejections += 1;
                    pause_when_busy(rejections).await;
                }
                result => return result,
            }
        }
    }

    async fn send(
        &self,
        topic: &str,
        call: Call,
        request: reqwest::RequestBuilder,
    ) -> Result<Response, Error> {
        let began = Instant::now();
        if self.polls {
            self.observer.lock().begin(began);
        }
        let response = request.send().await;
        let status = response.as_ref().ok().map(Response::status);
        self.observer.record_call(topic, call, status, began);
        check(response).await
    }

    /// Time limit of a call. Also longer during a silence that follows slow answers, since only an answer ends it.
    fn call_timeout(&self) -> Duration {
        self.observer.lock().scaled_timeout(CALL_TIMEOUT)
    }

    /// Drops the pooled connections, since an unresponsive one would also stall the next call.
    pub(crate) fn reconnect(&mut self) {
        self.client = new_client();
    }

    /// Reads the latest record of each key of a partition.
    pub(crate) async fn read_latest(&self, topic: &str, partition: u64) -> Result<Latest, Error> {
        let (mut latest, mut after) = self.read_latest_page(topic, partition, None).await?;
        while let Some(key) = after {
            let (page, next) = self.read_latest_page(topic, partition, Some(key)).await?;
            latest.records.extend(page.records);
            after = next;
        }
        Ok(latest)
    }

    /// As [`Store::read_latest`], with a single call; `None` if there are more records than one call returns.
    pub(crate) async fn read_latest_if_small(
        &self,
        topic: &str,
        partition: u64,
    ) -> Result<Option<Latest>, Error> {
        let (latest, after) = self.read_latest_page(topic, partition, None).await?;
        Ok(after.is_none().then_some(latest))
    }

    /// Reads the latest records of the keys after `after`. Also returns the last key if there are more.
    pub(crate) async fn read_latest_page(
        &self,
        topic: &str,
        partition: u64,
        after: Option<String>,
    ) -> Result<(Latest, Option<String>), Error> {
        let mut url = format!(
            "{}/log-newest?topic={topic}&part={partition}",
            self.base_url
        );
        if let Some(after) = after {
            // Keys of other writers may contain any character.
            url = Url::parse_with_params(&url, [("after", &after)])
                .map_err(|error| Error::Malformed(error.to_string()))?
                .into();
        }
        let response = self
            .send(
                topic,
                Call::Read,
                self.client.get(url).timeout(self.call_timeout()),
            )
            .await?;
        let bytes = response.bytes().await.map_err(|error| unknown(&error))?;
        let body: LatestBody =
            serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))?;
        let last_key = body.items.last().map(|item| item.key.clone());
        let mut records = Vec::with_capacity(body.items.len());
        for item in body.items {
            let value = STANDARD
                .decode(item.value)
                .map_err(|error| Error::Malformed(error.to_string()))?;
            records.push(Record {
                key: item.key,
                value: (!value.is_empty()).then(|| value.into()),
            });
        }
        let end = Offset(body.end);
        Ok((Latest { records, end }, last_key.filter(|_| body.truncated)))
    }

    /// Reads records from offset `from` on, waiting up to `wait` for the first one.
    pub(crate) async fn read(
        &self,
        topic: &str,
        partition: u64,
        from: Offset,
        wait: Duration,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/log-read?topic={topic}&part={partition}&from={from}&waitMs={wait_ms}",
            self.base_url
        );
        let request = self.client.get(url).timeout(wait + self.call_timeout());
        let response = self.send(topic, Call::Read, request).await?;
        let body = response.bytes().await.map_err(|error| unknown(&error))?;
        decode_page(from, &body).ok_or_else(|| Error::Malformed("truncated body".to_owned()))
    }

    /// Appends records as [`Store::append`] does, but sends hedged calls on new connections while no
    /// response arrives. The append must be idempotent: use sequence numbers, or keys whose value
    /// never changes.
    pub(crate) async fn append_hedged(
        &self,
        topic: &str,
        partition: u64,
        records: &[Record],
        writer: Option<&Writer>,
    ) -> Result<(), Error> {
        let mut client = self.clone();
        let mut calls = FuturesUnordered::new();
        let mut hedge_delay = self.observer.lock().hedge_delay(HEDGE_DELAY);
        for sent in 1..=MAX_CALLS {
            let store = client.clone();
            calls.push(async move { store.append(topic, partition, records, writer).await });
            let mut hedge_timer = pin!(sleep(hedge_delay));
            loop {
                let result = tokio::select! {
                    Some(result) = calls.next() => result,
                    () = &mut hedge_timer, if sent < MAX_CALLS => break,
                };
                match result {
                    Err(Error::OutcomeUnknown(_)) if !calls.is_empty() => {}
                    result => return result,
                }
            }
            hedge_delay *= 2;
            // Pooled connections may be unresponsive.
            client.reconnect();
        }
        Err(Error::OutcomeUnknown("all calls failed".to_owned()))
    }

    /// Appends records atomically, unless the partition was written to since it ended at `end`.
    pub(crate) async fn append_if_unchanged(
        &self,
        topic: &str,
        partition: u64,
        records: &[Record],
        end: Offset,
    ) -> Result<(), Error> {
        let url = format!("{}&asOf={end}", self.append_url(topic, partition));
        self.append_to(topic, url, records).await
    }

    /// Appends records atomically; an empty list only sets the epoch of the writer.
    pub(crate) async fn append(
        &self,
        topic: &str,
        partition: u64,
        records: &[Record],
        writer: Option<&Writer>,
    ) -> Result<(), Error> {
        let mut url = self.append_url(topic, partition);
        if let Some(Writer {
            name,
            epoch,
            sequence,
            expected_end,
        }) = writer
        {
            url = format!("{url}&producer={name}&epoch={epoch}&seq={sequence}");
            if let Some(end) = expected_end {
                url = format!("{url}&asOf={end}");
            }
        }
        self.append_to(topic, url, records).await
    }

    fn append_url(&self, topic: &str, partition: u64) -> String {
        format!(
            "{}/log-append?topic={topic}&part={partition}",
            self.base_url
        )
    }

    async fn append_to(&self, topic: &str, url: String, records: &[Record]) -> Result<(), Error> {
        let mut body = BytesMut::new();
        for record in records {
            record.encode(&mut body);
        }
        let request = self
            .client
            .post(url)
            .timeout(self.call_timeout())
            .body(body.freeze());
        self.send(topic, Call::Append, request).await.map(drop)
    }
}

/// Waits before a call is repeated that a busy store has rejected `rejections` times in a row.
pub(crate) async fn pause_when_busy(rejections: u32) {
    sleep(busy_pause(rejections, rand::random())).await;
}

fn new_client() -> reqwest::Client {
    reqwest::Client::builder()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .pool_max_idle_per_host(4)
        .no_proxy()
        .build()
        .expect("a client without TLS can be built")
}

fn unknown(error: &reqwest::Error) -> Error {
    Error::OutcomeUnknown(error.to_string())
}

/// Returns a successful response, and converts any other outcome to an error.
async fn check(response: Result<Response, reqwest::Error>) -> Result<Response, Error> {
    let response = response.map_err(|error| unknown(&error))?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(Error::Conflict);
    }
    if status != StatusCode::CONFLICT && status != StatusCode::GONE {
        return Err(Error::Refused(status.as_u16()));
    }
    let bytes = response.bytes().await.map_err(|error| unknown(&error))?;
    let refusal: Refusal =
        serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))?;
    if status == StatusCode::GONE {
        return Err(Error::Trimmed(Offset(refusal.first)));
    }
    Err(match refusal.why.as_str() {
        "seq" => Error::SequenceMismatch(refusal.expected.or(refusal.seq).unwrap_or_default()),
        _ => Error::Fenced,
    })
}

/// Decodes a page: the end of the partition and the oldest remaining offset, then length-prefixed
/// records.
fn decode_page(from: Offset, body: &Bytes) -> Option<Page> {
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
        // A malformed record is skipped, but counts as an offset.
        records.extend(Record::decode(&record).map(|record| (Offset(next), record)));
    }
    Some(Page {
        next: Offset(next),
        end: Offset(end),
        records,
    })
}
