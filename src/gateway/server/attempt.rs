//! One attempt of a request at one backend server.

use crate::gateway::queue::permit::Permit;
use crate::gateway::request::job::Job;
use crate::gateway::server::event::{Batch, Splitter};
use crate::gateway::server::link::{Broken, Link};
use crate::gateway::world::table::Kind;
use crate::platform::headers::{self, Response};
use crate::policy::dispatch::{Load, Outcome};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::Instant;

/// How long a connection may have been idle for a request that must not be repeated. A reset after
/// the first byte can't be told from a run, and a server may drop an idle connection unseen.
const UNSAFE_IDLE: Duration = Duration::from_millis(1500);
/// The same for requests that may be sent again.
const IDLE: Duration = Duration::from_secs(30);
/// Bytes of an answer that is passed on as a whole.
const ANSWER: usize = 8 << 20;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The whole answer of a server.
    Answer(Answer),
    /// A stream that has begun.
    Stream(Box<Stream>),
    /// The server did not run it.
    NotRun(&'static str),
    /// The server could not be reached: it has not run, and the server may have ended.
    Unreachable,
    /// The server may have run it, and there is no answer.
    Lost(&'static str),
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) load: Option<Load>,
}

/// A stream of events that has begun.
#[derive(Debug)]
pub(crate) struct Stream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    /// The first events; none where it ended without any.
    pub(crate) first: Option<Batch>,
    pub(crate) source: Source,
}

/// Where the events of a stream come from.
#[derive(Debug)]
pub(crate) struct Source {
    link: Link,
    body: Incoming,
    splitter: Splitter,
    keep: Option<Duration>,
    closes: bool,
    /// What the server said of its load when it began.
    pub(crate) load: Option<Load>,
    pub(crate) began: Instant,
}

/// What a stream gives next.
#[derive(Debug)]
pub(crate) enum Next {
    Events(Batch),
    End,
    Broken(&'static str),
}

impl Source {
    /// The next whole events.
    pub(crate) async fn next(&mut self) -> Next {
        loop {
            let frame = match self.body.frame().await {
                None if self.splitter.is_torn() => return Next::Broken("torn_event"),
                None => return Next::End,
                Some(Err(_)) => return Next::Broken("cut"),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.splitter.push(&data) {
                Ok(Some(batch)) => return Next::Events(batch),
                Ok(None) => {}
                Err(_) => return Next::Broken("endless_event"),
            }
        }
    }

    /// Keeps the connection of a stream that has ended whole.
    pub(crate) fn finish(self, job: &Job) {
        if !self.closes {
            job.gateway.links.give(self.link, self.keep);
        }
    }
}

/// Sends the request to the server of the permit; `last_event` is the last one that the caller has.
pub(crate) async fn attempt(job: &Job, permit: &Permit, last_event: Option<u64>) -> Attempt {
    let idle = if job.route.idempotent() {
        IDLE
    } else {
        UNSAFE_IDLE
    };
    let mut kept = job.gateway.links.take(&permit.server.id, idle);
    loop {
        let reused = kept.is_some();
        let link = match kept.take() {
            Some(link) => link,
            None => match Link::open(&permit.server).await {
                Ok(link) => {
                    job.gateway.metrics.connections.add(1, &[]);
                    link
                }
                Err(_) => return Attempt::Unreachable,
            },
        };
        match exchange(job, permit, link, last_event).await {
            // A kept connection that the server closed before it read anything.
            Err(Broken::Unsent) if reused => {}
            Err(Broken::Unsent) => return Attempt::Unreachable,
            Err(Broken::Unknown) => return Attempt::Lost("no_answer"),
            Ok(attempt) => return attempt,
        }
    }
}

async fn exchange(
    job: &Job,
    permit: &Permit,
    mut link: Link,
    last_event: Option<u64>,
) -> Result<Attempt, Broken> {
    let mut request = Request::new(Full::new(job.body.borrow().clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers::backend_request_headers(
        &job.headers,
        &permit.server.name,
        job.team_name(),
        job.left(),
        last_event,
    );
    let began = Instant::now();
    let before = job.sent.replace(true);
    let reply = link.send(request).await;
    let reply = match reply {
        Ok(reply) => reply,
        Err(Broken::Unsent) => {
            job.sent.set(before);
            return Err(Broken::Unsent);
        }
        Err(Broken::Unknown) => return Err(Broken::Unknown),
    };
    let verdict = Response::of(reply.headers());
    let status = reply.status();
    let ours = verdict.id.as_deref() == Some(job.meta.id.as_str());
    let refused = verdict.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    // A refusal may come without the identity; on a fresh connection it can be no other's.
    if !(ours || refused && verdict.id.is_none() && link.is_first_answer()) {
        return Ok(Attempt::Lost("foreign_answer"));
    }
    if refused {
        job.sent.set(before);
        keep_after(job, link, reply.into_body(), &verdict).await;
        return Ok(Attempt::NotRun(
            if status == StatusCode::MISDIRECTED_REQUEST {
                "other_instance"
            } else {
                "server_full"
            },
        ));
    }
    if status.is_success() && (!verdict.sealed || verdict.encoded) {
        return Ok(Attempt::Lost("unproved_answer"));
    }
    let (parts, body) = reply.into_parts();
    let mut source = Source {
        link,
        body,
        splitter: Splitter::default(),
        keep: verdict.keep_alive,
        closes: verdict.closes,
        load: verdict.load,
        began,
    };
    let headers = headers::caller_response_headers(&parts.headers);
    if job.route.kind == Kind::Stream && status.is_success() {
        let first = match source.next().await {
            Next::Events(batch) => Some(batch),
            Next::End => None,
            Next::Broken(reason) => return Ok(Attempt::Lost(reason)),
        };
        return Ok(Attempt::Stream(Box::new(Stream {
            status,
            headers,
            first,
            source,
        })));
    }
    let Some(body) = whole(&mut source.body).await else {
        return Ok(Attempt::Lost("cut"));
    };
    source.finish(job);
    Ok(Attempt::Answer(Answer {
        status,
        headers,
        body,
        load: verdict.load,
    }))
}

async fn keep_after(job: &Job, link: Link, mut body: Incoming, verdict: &Response) {
    if !verdict.closes && whole(&mut body).await.is_some() {
        job.gateway.links.give(link, verdict.keep_alive);
    }
}

/// The whole body, if it ends as it should.
async fn whole(body: &mut Incoming) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > ANSWER {
            return None;
        }
    }
    Some(bytes.freeze())
}

impl Attempt {
    /// What the dispatcher learns, where the attempt is over.
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) | Self::Stream(_) => Outcome::Void,
            Self::NotRun(_) => Outcome::Full,
            Self::Unreachable | Self::Lost(_) => Outcome::Failed,
        }
    }
}
