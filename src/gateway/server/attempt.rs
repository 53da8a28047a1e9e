//! One attempt of a request at one backend server.

use crate::gateway::queue::permit::Permit;
use crate::gateway::request::job::Job;
use crate::gateway::server::connection::{Connection, SendError};
use crate::gateway::server::continuation;
use crate::gateway::server::event::{EventBatch, EventSplitter};
use crate::gateway::server::leaving::LEAVING;
use crate::gateway::server::pinning;
use crate::gateway::world::directory::Entry;
use crate::gateway::world::table::Kind;
use crate::intake::{self, Buffer};
use crate::platform::headers::{self, Response, RunHeaders};
use crate::policy::dispatch::{Load, Outcome};
use crate::policy::room::{Need, SMALL_BYTES};
use crate::segments::Segments;
use crate::telemetry::event;
use bytes::BytesMut;
use http::{HeaderMap, Request, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum idle time of a connection that is reused for a non-idempotent request. Short, since the
/// server may have dropped an idle connection, and a reset leaves open whether the request ran.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1500);
/// The same for a stream, which its caller may begin again. Not below the time for which the
/// dispatcher assumes a connection to be open, or it would choose engines for connections that are
/// not reused.
const MAX_IDLE_STREAM: Duration = Duration::from_secs(3);
/// Maximum idle time of a connection that is reused for an idempotent request.
const MAX_IDLE_IDEMPOTENT: Duration = Duration::from_secs(30);
/// Maximum size of a buffered response body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum size of the body of a refusal. It is read only to use the connection again.
const MAX_REFUSAL_BYTES: usize = 4096;
/// Maximum time for it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Most bytes of comments between two events of a stream. Servers send comments to keep connections open.
const MAX_COMMENT_BYTES: usize = 64 << 10;

/// Statuses of answers (RFC 9110, section 15). 101 answers a request to change the protocol, which is never sent.
const ANSWER_STATUSES: RangeInclusive<u16> = 200..=599;

/// Reason for which a stream broke whose server sends bytes without end that are no event.
pub(crate) const ENDLESS: &str = "endless";
/// Reason of a refusal by another instance than the one that the request was for.
pub(crate) const OTHER_INSTANCE: &str = "other_instance";

/// Result of sending a request to one server.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A complete response, which may be an error response.
    Response(BufferedResponse),
    /// An event stream whose first events have arrived.
    Stream(Box<Stream>),
    /// The server refused the request without running it.
    NotRun(&'static str),
    /// No connection to the server: the request has not run.
    Unreachable,
    /// The server may have run the request, but sent no usable response.
    OutcomeUnknown(&'static str),
}

/// A response whose body has been read to its end.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Segments,
    pub(crate) load: Option<Load>,
}

/// The head and first events of a streamed response.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// `None` if the stream ended without an event.
    pub(crate) first_batch: Option<EventBatch>,
    pub(crate) source: EventSource,
}

/// Reads the events of a streamed response.
#[derive(Debug)]
pub(crate) struct EventSource {
    connection: Connection,
    body: Incoming,
    splitter: EventSplitter,
    /// Bytes of comments since the last event.
    comment_bytes: usize,
    /// Keep-alive time announced by the server.
    keep_alive: Option<Duration>,
    /// Whether the server closes the connection after this response.
    closes: bool,
    /// Load that the server reported in the response headers.
    pub(crate) load: Option<Load>,
    pub(crate) started: Instant,
}

#[derive(Debug)]
pub(crate) enum StreamItem {
    Events(EventBatch),
    End,
    /// The stream ended early or is malformed.
    Broken(&'static str),
}

impl EventSource {
    pub(crate) async fn next(&mut self) -> StreamItem {
        loop {
            let frame = match self.body.frame().await {
                None if self.splitter.has_partial_event() => {
                    return StreamItem::Broken("torn_event");
                }
                None => return StreamItem::End,
                Some(Err(_)) => return StreamItem::Broken("cut"),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            self.connection.expect_frame();
            match self.splitter.push(&data) {
                Ok(Some(batch)) => {
                    self.comment_bytes += batch.bytes.len();
                    if batch.has_event {
                        self.comment_bytes = 0;
                    }
                    if self.comment_bytes > MAX_COMMENT_BYTES {
                        return StreamItem::Broken(ENDLESS);
                    }
                    return StreamItem::Events(batch);
                }
                Ok(None) => {}
                Err(_) => return StreamItem::Broken(ENDLESS),
            }
        }
    }

    /// The first batch with an event, and the comments before it: until then the request can be sent to another server.
    async fn first(&mut self) -> StreamItem {
        let (mut comments, mut events) = (BytesMut::new(), 0);
        loop {
            match self.next().await {
                StreamItem::Events(batch) if batch.has_event && comments.is_empty() => {
                    return StreamItem::Events(batch);
                }
                StreamItem::Events(batch) => {
                    comments.extend_from_slice(&batch.bytes);
                    events += batch.events;
                    if batch.has_event {
                        let bytes = comments.freeze();
                        return StreamItem::Events(EventBatch {
                            bytes,
                            events,
                            ..batch
                        });
                    }
                }
                StreamItem::End if !comments.is_empty() => {
                    return StreamItem::Events(EventBatch {
                        bytes: comments.freeze(),
                        events,
                        last_id: None,
                        has_event: false,
                    });
                }
                end => return end,
            }
        }
    }

    /// Closes the connection, on which the server may still send, and waits until it is closed.
    pub(crate) async fn close(&mut self) {
        self.connection.close().await;
    }

    /// Returns the connection to the pool after a complete response.
    pub(crate) fn finish(self, job: &Job) {
        if !self.closes {
            job.gateway
                .connections
                .put(self.connection, self.keep_alive);
        }
    }
}

/// Sends the request to the server of the permit; `last_event` is the ID of the last event that the caller has.
pub(crate) async fn attempt(job: &Job, permit: &Permit, last_event: Option<u64>) -> AttemptResult {
    let run = RunHeaders {
        last_event,
        backup: continuation::plan(job, &permit.server),
        pin: pinning::plan(job, &permit.server),
        ..RunHeaders::default()
    };
    let mut result = attempt_at(job, &permit.server, &run).await;
    if matches!(
        result,
        AttemptResult::NotRun(_) | AttemptResult::Unreachable
    ) {
        // The run did not begin, so the engine has no pin to release.
        pinning::discard_planned(job);
    }
    if let AttemptResult::Stream(stream) = &mut result
        && let Some(load) = &mut stream.source.load
        && load.host_pace.is_some()
    {
        permit.report_load(*load);
        // It no longer describes the host when the stream ends.
        load.host_pace = None;
    }
    result
}

/// Sends the request to a server that need not be the one of a permit.
pub(crate) async fn attempt_at(
    job: &Job,
    server: &Arc<Entry>,
    run: &RunHeaders<'_>,
) -> AttemptResult {
    if !job.gateway.takes_work(server, run) {
        return AttemptResult::NotRun(LEAVING);
    }
    job.attempt_began(server).await;
    let result = send(job, server, run).await;
    match &result {
        AttemptResult::NotRun(reason) => {
            job.attempt_not_run(server).await;
            if *reason == OTHER_INSTANCE {
                job.gateway.server_is_gone(server).await;
            }
        }
        AttemptResult::OutcomeUnknown(_) => job.attempt_failed().await,
        AttemptResult::Response(response) if response.status.is_success() => {
            job.record_success().await;
        }
        AttemptResult::Response(_) => job.attempt_answered(),
        // A stream is answered once it is complete.
        AttemptResult::Stream(_) | AttemptResult::Unreachable => {}
    }
    continuation::note_attempt(job, server, &result);
    result
}

async fn send(job: &Job, server: &Arc<Entry>, run: &RunHeaders<'_>) -> AttemptResult {
    let max_idle = if job.route.idempotent() {
        MAX_IDLE_IDEMPOTENT
    } else if job.route.kind == Kind::Stream {
        MAX_IDLE_STREAM
    } else {
        MAX_IDLE_NON_IDEMPOTENT
    };
    let mut pooled = job.gateway.connections.get(&server.id, max_idle);
    loop {
        let reused = pooled.is_some();
        let connection = match pooled.take() {
            Some(connection) => connection,
            None => match job.gateway.connect(server).await {
                Ok(connection) => connection,
                Err(unreachable) => {
                    // First, as the end does not count for a request that was not sent.
                    job.attempt_not_run(server).await;
                    job.gateway.note_unreachable(server, unreachable).await;
                    return AttemptResult::Unreachable;
                }
            },
        };
        let closing = connection.closing();
        let result = exchange(job, server, connection, run).await;
        if (run.backup.is_some() || run.copy_of.is_some())
            && matches!(
                result,
                Err(SendError::OutcomeUnknown) | Ok(AttemptResult::OutcomeUnknown(_))
            )
        {
            // The run may continue elsewhere, where it must not be at work twice.
            closing.wait().await;
        }
        match result {
            // The server closed a pooled connection before the request was sent: try a new one.
            Err(SendError::NotSent) if reused => {}
            Err(SendError::NotSent) => {
                job.attempt_not_run(server).await;
                return AttemptResult::Unreachable;
            }
            Err(SendError::OutcomeUnknown) => return AttemptResult::OutcomeUnknown("no_answer"),
            Ok(result) => return result,
        }
    }
}

/// Sends the request on one connection and reads the response, or the start of a stream.
async fn exchange(
    job: &Job,
    server: &Entry,
    mut connection: Connection,
    run: &RunHeaders<'_>,
) -> Result<AttemptResult, SendError> {
    let mut request = Request::new(job.body.borrow().clone());
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers::backend_request_headers(
        &job.headers,
        &server.name,
        job.team_name(),
        job.remaining(),
        run,
    );
    let started = Instant::now();
    let earlier_attempt_may_have_run = job.may_have_run.replace(true);
    let response = connection.send(request).await;
    let response = match response {
        Ok(response) => response,
        Err(SendError::NotSent) => {
            job.may_have_run.set(earlier_attempt_may_have_run);
            return Err(SendError::NotSent);
        }
        Err(SendError::OutcomeUnknown) => return Err(SendError::OutcomeUnknown),
    };
    let response_headers = Response::of(response.headers());
    let status = response.status();
    if !ANSWER_STATUSES.contains(&status.as_u16()) {
        return Ok(AttemptResult::OutcomeUnknown("invalid_status"));
    }
    let id_matches = response_headers.id.as_deref() == Some(job.meta.id.as_str());
    let refused = response_headers.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    // A refusal may lack the request ID; as the first response on a connection it can't belong to another request.
    if !(id_matches || refused && response_headers.id.is_none() && connection.is_first_response()) {
        return Ok(AttemptResult::OutcomeUnknown("foreign_answer"));
    }
    if refused {
        job.may_have_run.set(earlier_attempt_may_have_run);
        reuse_after_body(job, connection, response.into_body(), &response_headers);
        return Ok(AttemptResult::NotRun(
            if status == StatusCode::MISDIRECTED_REQUEST {
                OTHER_INSTANCE
            } else {
                "server_full"
            },
        ));
    }
    if status.is_success() && (!response_headers.sealed || response_headers.encoded) {
        return Ok(AttemptResult::OutcomeUnknown("unproved_answer"));
    }
    let (parts, body) = response.into_parts();
    let is_stream = job.route.kind == Kind::Stream && status.is_success();
    let mut source = EventSource {
        connection,
        body,
        splitter: EventSplitter::default(),
        comment_bytes: 0,
        keep_alive: response_headers.keep_alive,
        closes: response_headers.closes,
        load: response_headers.load,
        started,
    };
    let headers = headers::caller_response_headers(&parts.headers);
    if is_stream {
        let first_batch = match source.first().await {
            StreamItem::Events(batch) => Some(batch),
            StreamItem::End => None,
            StreamItem::Broken(reason) => return Ok(AttemptResult::OutcomeUnknown(reason)),
        };
        return Ok(AttemptResult::Stream(Box::new(Stream {
            status,
            headers,
            first_batch,
            source,
        })));
    }
    let Some(body) = read_body(job, &source.connection, &mut source.body).await else {
        return Ok(AttemptResult::OutcomeUnknown("cut"));
    };
    source.finish(job);
    Ok(AttemptResult::Response(BufferedResponse {
        status,
        headers,
        body,
        load: response_headers.load,
    }))
}

/// Reads the rest of a refusal and returns the connection to the pool. The request is sent on meanwhile.
fn reuse_after_body(
    job: &Job,
    connection: Connection,
    body: Incoming,
    response_headers: &Response,
) {
    if response_headers.closes {
        return;
    }
    let (gateway, keep_alive) = (Rc::clone(&job.gateway), response_headers.keep_alive);
    tokio::task::spawn_local(async move {
        let body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, body).await {
            gateway.connections.put(connection, keep_alive);
        }
    });
}

/// Reads a body to its end; `None` if it is cut short or larger than `MAX_BODY_BYTES`, or if there is no room for it before
/// the deadline.
///
/// Room for a large body is reserved as a whole: parts of many bodies would wait for each other.
async fn read_body(job: &Job, connection: &Connection, body: &mut Incoming) -> Option<Segments> {
    let announced = body.size_hint().exact();
    if body.is_end_stream() {
        return Some(Segments::default());
    }
    let announced = announced.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    if announced.is_some_and(|size| size > MAX_BODY_BYTES) {
        return None;
    }
    let reserve = async |size: usize, reserved: usize| {
        let need = Need::of_answer(reserved + size);
        let intake = &job.gateway.intake;
        let charge = intake
            .reserve(intake::Kind::Answer, need, size, job.deadline)
            .await;
        if let Err(shortage) = &charge {
            event!(info, "answer_given_up", id = job.meta.id, reason = shortage);
        }
        charge.ok()
    };
    let mut buffer = Buffer::new(reserve(announced.unwrap_or(0), 0).await?);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        connection.expect_frame();
        if buffer.len() + data.len() > MAX_BODY_BYTES {
            return None;
        }
        let missing = buffer.missing(data.len());
        if missing > 0 {
            let reserved = buffer.reserved();
            let is_small = reserved + missing <= SMALL_BYTES;
            let size = if is_small {
                missing
            } else {
                MAX_BODY_BYTES - reserved
            };
            buffer.add(reserve(size, reserved).await?);
        }
        buffer.push(&data);
    }
    Some(buffer.finish())
}

impl AttemptResult {
    /// The outcome reported to the dispatcher when the permit is returned after this attempt.
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Response(_) | Self::Stream(_) => Outcome::Void,
            Self::NotRun(_) => Outcome::Full,
            Self::Unreachable | Self::OutcomeUnknown(_) => Outcome::Failed,
        }
    }
}
