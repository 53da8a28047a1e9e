//! Decodes and rewrites the headers of requests from callers and responses of backend servers.

use crate::policy::dispatch::{HostPace, Load};
use crate::policy::prefix::Part;
use bytes::Bytes;
use http::Request;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, COOKIE, HOST, HeaderMap,
};
use http::header::{HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Proves that a response was produced by the server.
const SERVER_SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const PROGRAM: HeaderName = HeaderName::from_static("x-program");
const SESSION: HeaderName = HeaderName::from_static("x-session");
/// Milliseconds until the whole program, not this request, should be finished.
const FINISH: HeaderName = HeaderName::from_static("x-finish-ms");
const TOKEN_BUDGET: HeaderName = HeaderName::from_static("x-token-budget");
/// Two numbers: tokens of the prompt, and the maximum number of tokens to generate.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
/// The parts of the prompt in order, each as `ID:TOKENS`. The first parts are shared with other
/// programs; every turn adds one.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// Request ID of the turn that this request continues.
const PREV_TURN: HeaderName = HeaderName::from_static("x-prev-turn");
/// Request ID of the caller's try that got the first event of the stream that this request takes up.
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The caller's estimate of the number of output tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
/// Name of the cookie that identifies the object that a request concerns.
const AFFINITY_COOKIE: &str = "X-Affinity-Key";
/// Running requests, waiting requests, slots, and the pace of the host in percent. Servers may
/// leave out the last ones.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Authenticates a caller; never forwarded to servers.
const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// Tells a server the team of the caller.
const TEAM: HeaderName = HeaderName::from_static("x-tenant");

/// Address of the engine that gets a copy of the run.
const COPY_TO: HeaderName = HeaderName::from_static("x-kv-backup");
/// Milliseconds for which the engine keeps the prompt after the end of the run.
const PIN: HeaderName = HeaderName::from_static("x-pin-ms");
/// The copy that the run continues from: `IP:PORT/ID`.
const COPY_FROM: HeaderName = HeaderName::from_static("kv-from");

/// Headers that only the gateway may set; dropped from callers' requests.
const RESERVED: [HeaderName; 9] = [
    TEAM,
    DEADLINE,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    HeaderName::from_static("x-hold"),
    PIN,
    COPY_TO,
    COPY_FROM,
    HeaderName::from_static("kv-fetch"),
];

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// The decoded headers of a caller's request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meta {
    /// Request ID; a caller's retry has an ID of its own.
    pub(crate) id: String,
    /// How long the caller waits for the response.
    pub(crate) timeout: Option<Duration>,
    /// The program that the request belongs to.
    pub(crate) program: Option<String>,
    /// The session within the program.
    pub(crate) session: Option<String>,
    /// Milliseconds until the whole program should be finished; negative if it is late.
    pub(crate) finish_ms: Option<i64>,
    /// Token budget for all turns of the program.
    pub(crate) token_budget: Option<u64>,
    /// Tokens of the prompt; 0 if unknown.
    pub(crate) prompt_tokens: u64,
    /// Maximum number of tokens that this turn generates.
    pub(crate) max_tokens: u64,
    /// The caller's estimate of the tokens that this turn generates.
    pub(crate) output_hint: Option<u64>,
    /// Hash of the object that the request concerns.
    pub(crate) affinity: Option<u64>,
    /// The leading parts of the prompt.
    pub(crate) prompt_parts: Vec<Part>,
    /// The last event that the caller has received, when it resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// Request ID of the try that got the first event of the stream that this request resumes.
    pub(crate) resumes: Option<String>,
    /// The turn that this request continues.
    pub(crate) prev_turn: Option<String>,
    /// Name under which this request's turn is stored: the request ID, scoped to the team if any.
    pub(crate) turn_name: String,
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.trim().to_owned())
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Hash of the affinity cookie; `None` if there is none or it is empty.
fn affinity_key(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all(COOKIE).iter();
    let mut pairs = cookies
        .filter_map(|value| value.to_str().ok())
        .flat_map(|line| line.split(';'))
        .filter_map(|pair| pair.trim().split_once('='));
    let (_, key) = pairs.find(|(name, key)| *name == AFFINITY_COOKIE && !key.is_empty())?;
    Some(xxh3_64(key.as_bytes()))
}

const MAX_PROMPT_PARTS: usize = 16;

/// The leading parts of the prompt; empty if the header is absent or malformed.
fn prompt_parts(headers: &HeaderMap) -> Vec<Part> {
    let text = header_text(headers, &PROMPT_PARTS).unwrap_or_default();
    let parts = text.split(',').take(MAX_PROMPT_PARTS).map(|part| {
        let (id, tokens) = part.trim().rsplit_once(':')?;
        Some(Part {
            id: xxh3_64(id.as_bytes()),
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect::<Option<_>>().unwrap_or_default()
}

impl Meta {
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let counts = header_text(headers, &TOKEN_COUNT).unwrap_or_default();
        let mut counts = counts.split(',').map(|part| part.trim().parse().ok());
        let prompt_tokens = counts.next().flatten();
        let max_tokens = counts.next().flatten();
        let id = header_text(headers, &REQUEST_ID).unwrap_or_default();
        Self {
            turn_name: id.clone(),
            id,
            timeout: header_number(headers, &DEADLINE).map(Duration::from_millis),
            program: header_text(headers, &PROGRAM),
            session: header_text(headers, &SESSION),
            finish_ms: header_text(headers, &FINISH).and_then(|text| text.parse().ok()),
            token_budget: header_number(headers, &TOKEN_BUDGET),
            prompt_tokens: prompt_tokens.unwrap_or_default(),
            max_tokens: max_tokens.unwrap_or_default(),
            output_hint: header_number(headers, &LENGTH_HINT),
            affinity: affinity_key(headers),
            prompt_parts: prompt_parts(headers),
            last_event: header_number(headers, &LAST_EVENT_ID),
            resumes: header_text(headers, &RESUMES).filter(|id| !id.is_empty()),
            prev_turn: headers.get(&PREV_TURN).map(|value| {
                let text = value.to_str().unwrap_or_default();
                text.trim().to_owned()
            }),
        }
    }
}

/// Removes the API key from the headers, so that it is not forwarded. `None` unless there is exactly
/// one.
pub(crate) fn take_api_key(headers: &mut HeaderMap) -> Option<HeaderValue> {
    let several = headers.get_all(API_KEY).iter().count() > 1;
    headers.remove(API_KEY).filter(|_| !several)
}

/// Whether the message length is ambiguous, which would allow request smuggling.
pub(crate) fn has_ambiguous_framing(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)
}

/// The headers without hop-by-hop headers and those that `Connection` lists.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all(CONNECTION).iter();
    let listed: Vec<String> = listed
        .filter_map(|value| value.to_str().ok())
        .flat_map(|line| line.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP_BY_HOP.contains(name) && !listed.iter().any(|hop| hop == name.as_str()) {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}

/// The memory of a run, copied or kept by an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CopyOf<'a> {
    /// The engine that holds it.
    pub(crate) holder: SocketAddr,
    /// Request ID of the run or, after a move, the handle.
    pub(crate) id: &'a str,
}

/// What an attempt tells its server about the run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunHeaders<'a> {
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// The engine that the run's memory is copied to as it grows.
    pub(crate) backup: Option<SocketAddr>,
    /// The copy that the run continues from.
    pub(crate) copy_of: Option<CopyOf<'a>>,
    /// How long the engine keeps the prompt after the end of the run.
    pub(crate) pin: Option<Duration>,
}

/// A prompt that an engine keeps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pinned<'a> {
    /// The last part of the prompt.
    pub(crate) name: &'a str,
    /// Name of the engine.
    pub(crate) server: &'a str,
    /// Address of the engine.
    pub(crate) address: SocketAddr,
}

/// A call that moves a run to another engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Move<'a> {
    /// Request ID of the run.
    pub(crate) id: &'a str,
    /// The engine that it moves to.
    pub(crate) target: SocketAddr,
    /// Whether the run stops. Otherwise it goes on while its memory is copied.
    pub(crate) last: bool,
    /// Name of the engine that it runs on.
    pub(crate) server: &'a str,
    /// Address of the engine that it runs on.
    pub(crate) address: SocketAddr,
}

/// The call for a move; `None` if a name can't be part of a header.
pub(crate) fn move_request(run: &Move<'_>) -> Option<Request<Bytes>> {
    let mut body = json!({ "id": run.id, "target": run.target.to_string() });
    if run.last {
        body["last"] = json!(true);
    }
    let request = Request::post("/kv-move")
        .header(HOST, run.address.to_string())
        .header(EXPECT_INSTANCE, run.server)
        .header(CONTENT_TYPE, "application/json");
    request.body(Bytes::from(body.to_string())).ok()
}

/// The answer of an engine that has stopped a run.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Moved {
    /// Name of the memory of the run at the engine.
    pub(crate) handle: String,
}

impl Moved {
    pub(crate) fn parse(body: &[u8]) -> Option<Self> {
        let moved: Self = serde_json::from_slice(body).ok()?;
        // A handle that can't be part of a header would be left out, and the request would run anew.
        let is_valid =
            !moved.handle.is_empty() && moved.handle.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then_some(moved)
    }
}

/// The call that frees the memory of a stopped run.
pub(crate) fn free_handle_request(
    handle: &str,
    server: &str,
    address: SocketAddr,
) -> Option<Request<Bytes>> {
    let request = Request::delete(format!("/kv-handle/{handle}"))
        .header(HOST, address.to_string())
        .header(EXPECT_INSTANCE, server);
    request.body(Bytes::new()).ok()
}

/// The request that ends a pin; `None` if its name can't be part of a path.
pub(crate) fn release_request(pin: &Pinned<'_>) -> Option<Request<Bytes>> {
    let request = Request::delete(format!("/kv-pin/{}", pin.name))
        .header(HOST, pin.address.to_string())
        .header(EXPECT_INSTANCE, pin.server);
    request.body(Bytes::new()).ok()
}

/// The identifier of the last part of the prompt; `None` without one.
pub(crate) fn last_prompt_part(headers: &HeaderMap) -> Option<String> {
    let text = header_text(headers, &PROMPT_PARTS)?;
    let (id, _) = text.rsplit(',').next()?.trim().rsplit_once(':')?;
    (!id.is_empty()).then(|| id.to_owned())
}

/// The headers of a request as sent to a backend server; `left` is the time until its deadline.
pub(crate) fn backend_request_headers(
    headers: &HeaderMap,
    server: &str,
    team: Option<&str>,
    left: Duration,
    run: &RunHeaders<'_>,
) -> HeaderMap {
    let mut forwarded = end_to_end(headers);
    if let Some(host) = headers.get(HOST) {
        forwarded.insert(HOST, host.clone());
    }
    // Forwarded even if the caller lists them in `Connection`.
    for name in [REQUEST_ID, PROGRAM, SESSION, PREV_TURN] {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    for name in RESERVED {
        forwarded.remove(name);
    }
    forwarded.insert(
        DEADLINE,
        HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
    );
    if let Ok(value) = HeaderValue::from_str(server) {
        forwarded.insert(EXPECT_INSTANCE, value);
    }
    if let Some(Ok(value)) = team.map(HeaderValue::from_str) {
        forwarded.insert(TEAM, value);
    }
    if let Some(last) = run.last_event {
        forwarded.insert(LAST_EVENT_ID, HeaderValue::from(last));
    }
    let backup = run.backup.map(|address| address.to_string());
    let copy = run
        .copy_of
        .map(|copy| format!("{}/{}", copy.holder, copy.id));
    let pin = run.pin.map(|time| time.as_millis().to_string());
    for (name, value) in [(COPY_TO, backup), (COPY_FROM, copy), (PIN, pin)] {
        if let Some(Ok(value)) = value.as_deref().map(HeaderValue::from_str) {
            forwarded.insert(name, value);
        }
    }
    forwarded
}

/// The headers of a response as sent to the caller.
pub(crate) fn caller_response_headers(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

/// The decoded headers of a backend server's response.
#[derive(Debug, Clone, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a header that is there or not"
)]
pub(crate) struct Response {
    /// ID of the request that the response belongs to.
    pub(crate) id: Option<String>,
    /// Whether the response has the server's seal.
    pub(crate) sealed: bool,
    /// Whether the server states that it did not run the request.
    pub(crate) not_run: bool,
    /// Whether an intermediary has encoded the body.
    pub(crate) encoded: bool,
    /// Time after which the server closes the connection if it is idle.
    pub(crate) keep_alive: Option<Duration>,
    /// Whether the server closes the connection after this response.
    pub(crate) closes: bool,
    /// The load that the server reports.
    pub(crate) load: Option<Load>,
}

impl Response {
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let keep_alive_header = header_text(headers, &KEEP_ALIVE).unwrap_or_default();
        let keep_alive = keep_alive_header.split(',').find_map(|part| {
            let seconds = part.trim().strip_prefix("timeout=")?;
            seconds.parse().ok().map(Duration::from_secs)
        });
        let connection = header_text(headers, &CONNECTION).unwrap_or_default();
        Self {
            id: header_text(headers, &REQUEST_ID),
            sealed: headers.contains_key(SERVER_SEAL),
            not_run: headers.contains_key(NOT_RUN),
            encoded: headers.contains_key(CONTENT_ENCODING),
            keep_alive,
            closes: connection.to_ascii_lowercase().contains("close"),
            load: header_text(headers, &SERVER_LOAD).and_then(|text| parse_load(&text)),
        }
    }
}

fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse());
    let (running, waiting) = (numbers.next()?.ok()?, numbers.next()?.ok()?);
    let host_pace = numbers.nth(1).and_then(Result::ok);
    Some(Load {
        running,
        waiting,
        host_pace: host_pace.and_then(|percent| u32::try_from(percent).ok().map(HostPace)),
    })
}

/// The header that repeats the request ID in a response that the gateway generates.
pub(crate) fn request_id_header(id: &str) -> Option<(HeaderName, HeaderValue)> {
    let value = HeaderValue::from_str(id).ok()?;
    (!id.is_empty()).then_some((REQUEST_ID, value))
}

/// The `Retry-After` header, with fractional seconds.
pub(crate) fn retry_after(after: Duration) -> (HeaderName, HeaderValue) {
    let value = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()));
    (RETRY_AFTER, value.unwrap_or(HeaderValue::from_static("1")))
}
