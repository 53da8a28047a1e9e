//! The headers that callers and backend servers use, decoded into what they say.

use crate::policy::dispatch::Load;
use crate::policy::prefix::Part;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap};
use http::header::{HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// The server's proof that the answer is its own.
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
const PROGRAM: HeaderName = HeaderName::from_static("x-program");
const SESSION: HeaderName = HeaderName::from_static("x-session");
/// Milliseconds until the whole program should be finished, not this request.
const FINISH: HeaderName = HeaderName::from_static("x-finish-ms");
const TOKEN_BUDGET: HeaderName = HeaderName::from_static("x-token-budget");
/// Two numbers: tokens of the prompt, and the most tokens to generate.
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
/// The parts of the prompt in order, each an identity, a colon and its tokens; the first ones are
/// shared with other programs, and every turn adds one.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// The identity of the request that made the turn that this one goes on from.
const PREV_TURN: HeaderName = HeaderName::from_static("x-prev-turn");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Three numbers: requests that run, requests that wait, and places.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// What a caller proves its team by. It goes to no server.
const KEY: HeaderName = HeaderName::from_static("api-key");
/// The team that holds the caller's key, for the server.
const TEAM: HeaderName = HeaderName::from_static("x-tenant");

/// Headers that only the system may set: a caller's are dropped.
const OURS: [HeaderName; 9] = [
    TEAM,
    DEADLINE,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    HeaderName::from_static("x-hold"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("kv-fetch"),
];

/// Headers that concern one connection only.
const HOP: [HeaderName; 8] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// What a request says of itself.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meta {
    /// The identity of this attempt of the caller.
    pub(crate) id: String,
    /// How long the caller waits.
    pub(crate) wait: Option<Duration>,
    /// The program that it belongs to.
    pub(crate) program: Option<String>,
    /// The line of turns within the program.
    pub(crate) line: Option<String>,
    /// Milliseconds until the whole program should be finished; below zero when it is late.
    pub(crate) finish_ms: Option<i64>,
    /// Tokens that all turns of the program may generate.
    pub(crate) budget: Option<u64>,
    /// The most tokens that this turn generates.
    pub(crate) most_tokens: u64,
    /// The first parts of the prompt.
    pub(crate) prompt: Vec<Part>,
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
    /// The turn that it goes on from.
    pub(crate) prev_turn: Option<String>,
    /// The name of the turn that this request makes, where turns are kept: the identity, or what a team makes of it.
    pub(crate) turn: String,
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.trim().to_owned())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Parts of a prompt that are looked at; prompts of the programs known have up to four.
const PARTS: usize = 16;

/// The parts of the prompt; none where they can't be read.
fn prompt(headers: &HeaderMap) -> Vec<Part> {
    let text = text(headers, &PROMPT_PARTS).unwrap_or_default();
    let parts = text.split(',').take(PARTS).map(|part| {
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
        let counts = text(headers, &TOKEN_COUNT).unwrap_or_default();
        let most = counts
            .split(',')
            .nth(1)
            .and_then(|part| part.trim().parse().ok());
        let id = text(headers, &REQUEST_ID).unwrap_or_default();
        Self {
            turn: id.clone(),
            id,
            wait: number(headers, &DEADLINE).map(Duration::from_millis),
            program: text(headers, &PROGRAM),
            line: text(headers, &SESSION),
            finish_ms: text(headers, &FINISH).and_then(|text| text.parse().ok()),
            budget: number(headers, &TOKEN_BUDGET),
            most_tokens: most.unwrap_or_default(),
            prompt: prompt(headers),
            last_event: number(headers, &LAST_EVENT),
            prev_turn: headers.get(&PREV_TURN).map(|value| {
                let text = value.to_str().unwrap_or_default();
                text.trim().to_owned()
            }),
        }
    }
}

/// Takes a caller's key out of the headers, so that no copy of it goes further; none where there is not just one.
pub(crate) fn take_key(headers: &mut HeaderMap) -> Option<HeaderValue> {
    let several = headers.get_all(KEY).iter().count() > 1;
    headers.remove(KEY).filter(|_| !several)
}

/// Whether the framing could be read in two ways: then another reader might see a second request.
pub(crate) fn ambiguous(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(CONNECTION).iter();
    let named: Vec<String> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|line| line.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !HOP.contains(name) && !named.iter().any(|hop| hop == name.as_str()) {
            kept.append(name, value.clone());
        }
    }
    kept
}

/// The headers of a request as a backend server gets them.
pub(crate) fn request(
    headers: &HeaderMap,
    server: &str,
    team: Option<&str>,
    left: Duration,
    last_event: Option<u64>,
) -> HeaderMap {
    let mut kept = forwarded(headers);
    if let Some(host) = headers.get(HOST) {
        kept.insert(HOST, host.clone());
    }
    // A caller may name these in `Connection`; the server needs them all the same.
    for name in [REQUEST_ID, PROGRAM, SESSION, PREV_TURN] {
        if let Some(value) = headers.get(&name) {
            kept.insert(name, value.clone());
        }
    }
    for name in OURS {
        kept.remove(name);
    }
    kept.insert(
        DEADLINE,
        HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
    );
    if let Ok(value) = HeaderValue::from_str(server) {
        kept.insert(EXPECT_INSTANCE, value);
    }
    if let Some(Ok(value)) = team.map(HeaderValue::from_str) {
        kept.insert(TEAM, value);
    }
    if let Some(last) = last_event {
        kept.insert(LAST_EVENT, HeaderValue::from(last));
    }
    kept
}

/// The headers of an answer as the caller gets them.
pub(crate) fn answer(headers: &HeaderMap) -> HeaderMap {
    forwarded(headers)
}

/// What an answer says of itself.
#[derive(Debug, Clone, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a header that is there or not"
)]
pub(crate) struct Verdict {
    /// The request that it answers.
    pub(crate) id: Option<String>,
    /// Whether it carries the server's proof.
    pub(crate) sealed: bool,
    /// Whether the server states that the request did not run.
    pub(crate) not_run: bool,
    /// Whether the body was encoded by someone on the way.
    pub(crate) encoded: bool,
    /// How long the server keeps the connection while it is idle.
    pub(crate) keep: Option<Duration>,
    /// Whether the server closes the connection after this answer.
    pub(crate) closes: bool,
    /// What the server says of its load.
    pub(crate) load: Option<Load>,
}

impl Verdict {
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let keep = text(headers, &KEEP_ALIVE).unwrap_or_default();
        let keep = keep.split(',').find_map(|part| {
            let seconds = part.trim().strip_prefix("timeout=")?;
            seconds.parse().ok().map(Duration::from_secs)
        });
        let closes = text(headers, &CONNECTION).unwrap_or_default();
        Self {
            id: text(headers, &REQUEST_ID),
            sealed: headers.contains_key(SEAL),
            not_run: headers.contains_key(NOT_RUN),
            encoded: headers.contains_key(CONTENT_ENCODING),
            keep,
            closes: closes.to_ascii_lowercase().contains("close"),
            load: text(headers, &SERVER_LOAD).and_then(|text| load(&text)),
        }
    }
}

fn load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|number| number.trim().parse());
    Some(Load {
        running: numbers.next()?.ok()?,
        waiting: numbers.next()?.ok()?,
    })
}

/// The header that echoes a request's identity in answers of our own.
pub(crate) fn echo(id: &str) -> Option<(HeaderName, HeaderValue)> {
    let value = HeaderValue::from_str(id).ok()?;
    (!id.is_empty()).then_some((REQUEST_ID, value))
}

/// The header that tells a caller when to come back.
pub(crate) fn come_back(after: Duration) -> (HeaderName, HeaderValue) {
    let value = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()));
    (RETRY_AFTER, value.unwrap_or(HeaderValue::from_static("1")))
}
