//! The life of one request, from its head to its last byte.

pub(crate) mod body;
pub(crate) mod job;
pub(crate) mod reply;

use crate::code::{Code, Failure};
use crate::conversation::{self, Transcript, prompt};
use crate::gateway::Gateway;
use crate::gateway::conversation::INPUT_BYTES;
use crate::gateway::queue::permit::Permit;
use crate::gateway::server::attempt::{Answer, Attempt, Next, Source, Stream, attempt};
use crate::gateway::server::event::Batch;
use crate::gateway::world::table::Route;
use crate::platform::headers::{self, Meta};
use crate::policy::dispatch::{Ask, Outcome};
use crate::telemetry::event;
use body::{Body, Cut};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use job::Job;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// How long a caller waits that does not say so.
const WAIT: Duration = Duration::from_secs(30);
/// When a caller may come back to a VM that does not know the configuration yet. It is known 20 ms
/// after the start where the store answers; where it does not, callers that come back a few times
/// only should still be there after an outage of some seconds.
const NOT_READY: Duration = Duration::from_millis(900);
/// Servers that are asked for one request, those that turn it away among them.
const TRIES: usize = 6;
/// When a caller may come back whose request no server took.
const TURNED_AWAY: Duration = Duration::from_millis(500);
/// What is left for the answer to reach the caller before it stops waiting.
const WAY: Duration = Duration::from_millis(15);
/// When a caller may come back that had better begin again.
const AT_ONCE: Duration = Duration::from_millis(50);
/// How often a stream may go on after a break.
const RESUMES: usize = 4;

/// Answers one request of a caller.
pub(crate) async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let id = Meta::of(request.headers()).id;
    let arrived = Instant::now();
    let mut response = match admit(&gateway, request, arrived).await {
        Ok(job) => {
            let job = Rc::new(job);
            let reply = match timeout_at(job.deadline, run(&job)).await {
                Ok(reply) => reply,
                Err(_) => Err(late(&job)),
            };
            reply.unwrap_or_else(|failure| {
                job.ended(&failure.code.to_string(), false);
                reply::failure(&job.meta.id, &failure)
            })
        }
        Err(failure) => {
            event!(
                info,
                "request_refused",
                id = id,
                code = failure.code,
                reason = failure.message
            );
            reply::failure(&id, &failure)
        }
    };
    if gateway.stopping.get() {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// What is answered when the time is over.
fn late(job: &Job) -> Failure {
    if job.sent.get() {
        reply::unknown(Code::DeadlinePassed, "no server answered in time")
    } else {
        let failure = Failure::refused(Code::Overloaded, "no server was free in time");
        failure.retry_after(TURNED_AWAY)
    }
}

/// Reads the request and finds its route.
async fn admit(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Job, Failure> {
    let (parts, body) = request.into_parts();
    if headers::ambiguous(&parts.headers) {
        return Err(Failure::refused(
            Code::BadBody,
            "the length of the body is ambiguous",
        ));
    }
    let meta = Meta::of(&parts.headers);
    let table = gateway.world.borrow().table.clone();
    let Some(table) = table else {
        let failure = Failure::refused(Code::NotReady, "no configuration is known yet");
        return Err(failure.retry_after(NOT_READY));
    };
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let Some(route) = table.find(host, parts.uri.path()) else {
        return Err(no_route(gateway));
    };
    let wait = meta.wait.unwrap_or(WAIT).saturating_sub(WAY);
    let deadline = arrived + wait.min(route.timeout);
    let limit = table.limits.body_bytes;
    let body = timeout_at(deadline, Limited::new(body, limit).collect()).await;
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(Failure::refused(
                Code::TooLarge,
                "the body is larger than the limit",
            ));
        }
        Ok(Err(_)) => return Err(Failure::refused(Code::BadBody, "the body was cut short")),
        Err(_) => {
            return Err(Failure::refused(
                Code::DeadlinePassed,
                "the body came too late",
            ));
        }
    };
    let prev = prev_turn(route, &meta, &body)?;
    let draw = xxh3_64(meta.program.as_deref().unwrap_or(&meta.id).as_bytes());
    let Some(service) = route.service(draw) else {
        return Err(Failure::refused(Code::NoServer, "the route leads nowhere"));
    };
    let engine = table
        .services
        .get(service)
        .and_then(|service| service.engine.as_ref());
    Ok(Job {
        gateway: Rc::clone(gateway),
        service: service.into(),
        tokens_per_event: engine.map_or(0, |engine| engine.tokens_per_event),
        route: Arc::clone(route),
        version: table.version,
        meta,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        input: body.clone(),
        body: RefCell::new(body),
        prev,
        arrived,
        deadline,
        allowance: RefCell::new(None),
        servers: RefCell::default(),
        waited: Cell::default(),
        allowed: Cell::default(),
        assembled: Cell::default(),
        kept: Cell::default(),
        sent: Cell::new(false),
        told: Cell::new(false),
        events: Cell::new(0),
    })
}

/// The turn that a request goes on from, where its route keeps turns.
fn prev_turn(
    route: &Route,
    meta: &Meta,
    input: &Bytes,
) -> Result<Option<conversation::Id>, Failure> {
    if !route.keeps_turns {
        return Ok(None);
    }
    if meta.last_event.is_some() {
        // The caller has the first part of an answer that left no turn; what comes now would be half
        // of one. From its start it is a turn.
        let failure = Failure::refused(Code::HistoryAway, "a kept turn begins at its first event");
        return Err(failure.retry_after(AT_ONCE));
    }
    if input.len() > INPUT_BYTES {
        let failure = Failure::refused(Code::TooLarge, "the turn is larger than can be kept");
        return Err(failure);
    }
    let Some(prev) = &meta.prev_turn else {
        return Ok(None);
    };
    let malformed = |_| Failure::refused(Code::UnknownTurn, "no turn has such an identity");
    prev.parse().map(Some).map_err(malformed)
}

fn no_route(gateway: &Gateway) -> Failure {
    if gateway.is_blind() {
        // A route may have been added since; a 404 would end the caller's program.
        let failure = Failure::refused(Code::NotReady, "the configuration may be out of date");
        return failure.retry_after(NOT_READY);
    }
    Failure::refused(Code::UnknownRoute, "no route leads there")
}

/// Sends the request until a server answers it.
async fn run(job: &Rc<Job>) -> Result<Response<Body>, Failure> {
    // Both before anything is sent, and at once: a turn's target leaves 30 ms for all of its way.
    tokio::try_join!(allow(job), assemble(job))?;
    let mut avoid = Vec::new();
    let mut ran = 0;
    for _ in 0..TRIES {
        let permit = wait(job, &avoid).await?;
        let server = Arc::clone(&permit.server.id);
        let mut outcome = attempt(job, &permit, job.meta.last_event).await;
        if matches!(outcome, Attempt::Lost(_)) && job.route.idempotent() {
            ran += 1;
            // The same server does not count twice among those that a request may run on.
            if ran >= job.route.attempts {
                log_attempt(job, &server, &outcome);
                outcome = attempt(job, &permit, job.meta.last_event).await;
            }
        }
        log_attempt(job, &server, &outcome);
        match outcome {
            Attempt::Answer(answer) => return Ok(whole(job, permit, answer)),
            Attempt::Stream(stream) => return Ok(relay(job, permit, *stream)),
            Attempt::Lost(reason) if !job.route.idempotent() => {
                permit.end(Outcome::Failed);
                return Err(reply::unknown(Code::OutcomeUnknown, reason));
            }
            Attempt::Lost(reason) if ran >= job.route.attempts => {
                permit.end(Outcome::Failed);
                return Err(reply::unknown(Code::ServiceFailed, reason));
            }
            other => permit.end(other.outcome()),
        }
        avoid.push(server);
    }
    if job.sent.get() {
        return Err(reply::unknown(Code::ServiceFailed, "no server answered"));
    }
    let failure = Failure::refused(Code::Overloaded, "no server took the request");
    Err(failure.retry_after(TURNED_AWAY))
}

/// Waits for a place at a server that has not failed the request.
async fn wait(job: &Rc<Job>, avoid: &[Arc<str>]) -> Result<Permit, Failure> {
    let began = Instant::now();
    let mut ask = ask(job, avoid);
    // Plain services have room; the queue before engines is one for all VMs.
    let permit = if job.tokens_per_event > 0 {
        job.gateway.permit_shared(&mut ask).await
    } else {
        job.gateway.permit(ask).await
    };
    job.waited.set(job.waited.get() + began.elapsed());
    if let Ok(permit) = &permit {
        job.servers.borrow_mut().push(Arc::clone(&permit.server.id));
    }
    permit
}

/// Puts what was said before in front of what the caller sent.
async fn assemble(job: &Job) -> Result<(), Failure> {
    let Some(prev) = &job.prev else {
        return Ok(());
    };
    let began = Instant::now();
    let turns = job.gateway.history(prev).await;
    job.assembled.set(began.elapsed());
    job.gateway.metrics.assembled(began.elapsed());
    job.body.replace(prompt(&turns?, &job.input));
    Ok(())
}

/// Gets leave for the tokens of a turn, before anything of it is sent.
async fn allow(job: &Job) -> Result<(), Failure> {
    let (Some(program), Some(budget)) = (&job.meta.program, job.meta.budget) else {
        return Ok(());
    };
    if job.tokens_per_event == 0 {
        return Ok(());
    }
    let events = job.meta.most_tokens.div_ceil(job.tokens_per_event);
    let most = events * job.tokens_per_event;
    let began = Instant::now();
    let allowance = job.gateway.reserve(program, budget, most).await;
    job.allowed.set(began.elapsed());
    job.gateway.metrics.allowed(began.elapsed());
    let allowance = allowance?;
    job.allowance.replace(Some(allowance));
    Ok(())
}

fn ask(job: &Job, avoid: &[Arc<str>]) -> Ask {
    let age_ms = i64::try_from(job.age_ms()).unwrap_or(i64::MAX);
    let objective_ms = i64::try_from(job.route.objective.as_millis()).unwrap_or(i64::MAX);
    let allowance = job.allowance.borrow();
    Ask {
        service: Arc::clone(&job.service),
        zone: job.gateway.zone(),
        vm: job.gateway.number(),
        rank: job.route.rank,
        program: job.meta.program.as_ref().map(|program| hash(program)),
        turns: allowance.as_ref().map_or(0, |allowance| allowance.turns),
        left_ms: job.meta.finish_ms.unwrap_or(objective_ms) - age_ms,
        limit_ms: u64::try_from(job.left().as_millis()).unwrap_or(u64::MAX),
        line: job.meta.line.as_ref().map(|line| hash(line)),
        avoid: avoid.to_vec(),
    }
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn log_attempt(job: &Job, server: &str, attempt: &Attempt) {
    let reason = match attempt {
        Attempt::Answer(_) | Attempt::Stream(_) => return,
        Attempt::NotRun(reason) | Attempt::Lost(reason) => reason,
        Attempt::Unreachable => "unreachable",
    };
    job.gateway.metrics.attempt_failed(reason);
    event!(
        info,
        "attempt_failed",
        id = job.meta.id,
        route = job.route.name,
        server = server,
        reason = reason,
        age_ms = job.age_ms(),
        config = job.version
    );
}

fn whole(job: &Job, permit: Permit, answer: Answer) -> Response<Body> {
    job.ended(answer.status.as_str(), answer.status.is_success());
    permit.end(Outcome::Done {
        took: job.arrived.elapsed().saturating_sub(job.waited.get()),
        work: 1.0,
        load: answer.load,
    });
    let mut response = Response::new(Body::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

fn relay(job: &Rc<Job>, permit: Permit, stream: Stream) -> Response<Body> {
    let (chunks, body) = Body::relayed();
    let mut response = Response::new(body);
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers;
    let pump = Pump {
        job: Rc::clone(job),
        permit,
        source: stream.source,
        last: job.meta.last_event,
        said: job.route.keeps_turns.then(Transcript::default),
        chunks,
    };
    tokio::task::spawn_local(pump.run(stream.first));
    response
}

/// Passes the events of a stream on, from one server after another where one breaks off.
#[derive(Debug)]
struct Pump {
    job: Rc<Job>,
    permit: Permit,
    source: Source,
    /// The last event that was passed on.
    last: Option<u64>,
    /// What was said, where the system keeps turns.
    said: Option<Transcript>,
    chunks: mpsc::Sender<Result<Bytes, Cut>>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    CallerLeft,
    Late,
    Broken(&'static str),
}

impl Pump {
    async fn run(mut self, first: Option<Batch>) {
        let mut end = match first {
            Some(batch) => self.pass(batch).await,
            None => Some(End::Whole),
        };
        let mut resumes = 0;
        let chunks = self.chunks.clone();
        while end.is_none() {
            let next = tokio::select! {
                next = self.source.next() => next,
                () = chunks.closed() => { end = Some(End::CallerLeft); break },
                () = tokio::time::sleep_until(self.job.deadline) => { end = Some(End::Late); break },
            };
            end = match next {
                Next::Events(batch) => self.pass(batch).await,
                Next::End => Some(End::Whole),
                Next::Broken(reason) if resumes >= RESUMES || !self.job.route.resumable => {
                    Some(End::Broken(reason))
                }
                Next::Broken(reason) => {
                    resumes += 1;
                    self.resume(reason).await
                }
            };
        }
        self.finish(end.unwrap_or(End::Whole)).await;
    }

    async fn pass(&mut self, batch: Batch) -> Option<End> {
        self.last = batch.last.or(self.last);
        let job = &self.job;
        job.events.set(job.events.get() + batch.events);
        if let Some(said) = &mut self.said {
            said.push(&batch.bytes);
        }
        let sent = tokio::time::timeout_at(job.deadline, self.chunks.send(Ok(batch.bytes))).await;
        match sent {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::CallerLeft),
            Err(_) => Some(End::Late),
        }
    }

    /// Goes on from the last whole event: at the same server, which does not count twice among
    /// those that the request may run on, or at another one if it has ended.
    async fn resume(&mut self, reason: &'static str) -> Option<End> {
        let chunks = self.chunks.clone();
        let job = Rc::clone(&self.job);
        let work = self.resume_somewhere(reason);
        tokio::select! {
            end = work => end,
            () = chunks.closed() => Some(End::CallerLeft),
            () = tokio::time::sleep_until(job.deadline) => Some(End::Late),
        }
    }

    async fn resume_somewhere(&mut self, reason: &'static str) -> Option<End> {
        let mut again = attempt(&self.job, &self.permit, self.last).await;
        log_resume(&self.job, &self.permit.server.id, reason, &again, self.last);
        if matches!(again, Attempt::Unreachable) {
            let avoid = [Arc::clone(&self.permit.server.id)];
            match wait(&self.job, &avoid).await {
                Ok(permit) => {
                    let ended = std::mem::replace(&mut self.permit, permit);
                    ended.end(Outcome::Failed);
                }
                Err(_) => return Some(End::Broken(reason)),
            }
            again = attempt(&self.job, &self.permit, self.last).await;
            log_resume(&self.job, &self.permit.server.id, reason, &again, self.last);
        }
        let Attempt::Stream(stream) = again else {
            return Some(End::Broken(reason));
        };
        self.source = stream.source;
        match stream.first {
            Some(batch) => self.pass(batch).await,
            None => Some(End::Whole),
        }
    }

    async fn finish(self, end: End) {
        let Self {
            job,
            permit,
            source,
            said,
            chunks,
            ..
        } = self;
        if end == End::Whole {
            let (took, load) = (source.began.elapsed(), source.load);
            source.finish(&job);
            permit.end(Outcome::Done {
                took,
                work: (job.events.get() + 1) as f64,
                load,
            });
            let kept = keep(&job, said).await;
            job.ended(if kept { "200" } else { "cut:not_kept" }, kept);
            if !kept {
                drop(chunks.send(Err(Cut)).await);
            }
            return;
        }
        let result = match end {
            End::Whole => return,
            End::CallerLeft => "caller_left",
            End::Late => "cut:late",
            End::Broken(reason) => reason,
        };
        job.ended(result, false);
        if matches!(end, End::Broken(_)) {
            permit.end(Outcome::Failed);
        }
        if end != End::CallerLeft {
            // The caller has left where this fails.
            drop(chunks.send(Err(Cut)).await);
        }
    }
}

/// Keeps a turn whose last event came, where its route wants that; false where it is not kept.
async fn keep(job: &Job, said: Option<Transcript>) -> bool {
    let Some(said) = said else {
        return true;
    };
    job.gateway.keep_turn(job, said).await
}

fn log_resume(job: &Job, server: &str, reason: &str, attempt: &Attempt, last: Option<u64>) {
    let outcome = match attempt {
        Attempt::Stream(_) => "resumed",
        Attempt::Answer(_) => "other_answer",
        Attempt::NotRun(reason) | Attempt::Lost(reason) => reason,
        Attempt::Unreachable => "unreachable",
    };
    event!(
        info,
        "stream_resumed",
        id = job.meta.id,
        server = server,
        after = reason,
        last = last.unwrap_or_default(),
        outcome = outcome,
        age_ms = job.age_ms()
    );
}
