//! The life of one request, from its head to its last byte.

mod admit;
pub(crate) mod body;
mod identify;
pub(crate) mod job;
pub(crate) mod reply;
mod stream;

use crate::code::{Code, Failure};
use crate::conversation::build_prompt;
use crate::gateway::Gateway;
use crate::gateway::queue::permit::Permit;
use crate::gateway::server::attempt::{Answer, Attempt, attempt};
use crate::platform::headers::Meta;
use crate::policy::dispatch::{self, Outcome};
use crate::policy::quota;
use crate::telemetry::event;
use admit::admit;
use body::Body;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use job::Job;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stream::relay;
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Servers that are asked for one request, those that turn it away among them.
const TRIES: usize = 6;
/// When a caller may come back whose request no server took.
const TURNED_AWAY: Duration = Duration::from_millis(500);

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
    } else if job.prev.is_some() && job.assembled.get().is_zero() {
        let failure = Failure::refused(Code::HistoryAway, "what was said before came too late");
        failure.retry_after(TURNED_AWAY)
    } else {
        let failure = Failure::refused(Code::Overloaded, "no server was free in time");
        failure.retry_after(TURNED_AWAY)
    }
}

/// Sends the request until a server answers it.
async fn run(job: &Rc<Job>) -> Result<Response<Body>, Failure> {
    // First, since a turn that the limit refuses must not hold tokens of its program's budget: asked for at the same
    // time, the answer was on its way when the turn was refused, and nobody gave the tokens back. It takes 2 ms.
    sleep(take(job).await?).await;
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
    let turns = job.gateway.load_history(prev).await;
    job.assembled.set(began.elapsed());
    job.gateway.metrics.assembled(began.elapsed());
    job.body.replace(build_prompt(&turns?, &job.input));
    Ok(())
}

/// Takes the request out of its team's limit; gives how long it has to wait for that.
async fn take(job: &Job) -> Result<Duration, Failure> {
    let Some(team) = &job.team else {
        return Ok(Duration::ZERO);
    };
    let begins = job.tokens_per_event > 0;
    let request = quota::Request {
        program: job.meta.program.as_ref().map(|program| hash(program)),
        class: begins.then(|| hash(&job.route.name)),
        // Beyond that what is left does not suffice for its server.
        max_wait: job.left() / 2,
    };
    let began = Instant::now();
    let pause = job
        .gateway
        .take_from_limit(team, job.version, request)
        .await;
    job.limited
        .set(began.elapsed() + pause.as_ref().copied().unwrap_or_default());
    job.gateway.metrics.limited(began.elapsed());
    pause
}

/// Gets leave for the tokens of a turn, before anything of it is sent.
async fn allow(job: &Job) -> Result<(), Failure> {
    let (Some(program), Some(budget)) = (&job.meta.program, job.meta.token_budget) else {
        return Ok(());
    };
    if job.tokens_per_event == 0 {
        return Ok(());
    }
    let events = job.meta.max_tokens.div_ceil(job.tokens_per_event);
    let most = events * job.tokens_per_event;
    let began = Instant::now();
    let allowance = job.gateway.reserve_tokens(program, budget, most).await;
    job.allowed.set(began.elapsed());
    job.gateway.metrics.allowed(began.elapsed());
    let allowance = allowance?;
    job.allowance.replace(Some(allowance));
    Ok(())
}

fn ask(job: &Job, avoid: &[Arc<str>]) -> dispatch::Request {
    let age_ms = i64::try_from(job.age_ms()).unwrap_or(i64::MAX);
    let objective_ms = i64::try_from(job.route.latency_target.as_millis()).unwrap_or(i64::MAX);
    let allowance = job.allowance.borrow();
    dispatch::Request {
        service: Arc::clone(&job.service),
        zone: job.gateway.zone(),
        vm: job.gateway.vm_number(),
        rank: job.rank(),
        program: job.meta.program.as_ref().map(|program| hash(program)),
        turns: allowance.as_ref().map_or(0, |allowance| allowance.turns),
        left_ms: job.meta.finish_ms.unwrap_or(objective_ms) - age_ms,
        max_wait_ms: u64::try_from(job.left().as_millis()).unwrap_or(u64::MAX),
        session: job.meta.session.as_ref().map(|line| hash(line)),
        prompt: job.meta.prompt_parts.clone(),
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
    permit.end(if answer.status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Done {
            took: job.arrived.elapsed().saturating_sub(job.waited.get()),
            work: 1.0,
            load: answer.load,
        }
    });
    let mut response = Response::new(Body::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
