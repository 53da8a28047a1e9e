//! Handles one caller request: admission, limits, dispatch to a backend server, and the response.

mod admit;
pub(crate) mod body;
mod content;
mod identify;
pub(crate) mod job;
pub(crate) mod reply;
mod stop;
mod stream;

use crate::code::{Code, Failure};
use crate::conversation::{build_prompt, copied_bytes};
use crate::gateway::Gateway;
use crate::gateway::conversation::expiring_turns;
use crate::gateway::queue::permit::Permit;
use crate::gateway::server::attempt::{AttemptResult, BufferedResponse, attempt};
use crate::gateway::server::continuation::continue_run;
use crate::gateway::server::ends::server_hash;
use crate::gateway::server::leaving::LEAVING;
use crate::gateway::server::pinning;
use crate::gateway::server::stream_version::stream_version_lost;
use crate::intake::{Kind, Link};
use crate::platform::headers::Meta;
use crate::policy::dispatch::{self, Outcome};
use crate::policy::quota;
use crate::policy::room::Need;
use crate::telemetry::event;
use admit::{admit, no_room};
use body::Body;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use job::Job;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stream::relay;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum servers tried for one request, including those that refuse it.
const MAX_SERVER_TRIES: usize = 6;
/// `Retry-After` when no server accepted the request.
const NOT_ACCEPTED_RETRY_AFTER: Duration = Duration::from_millis(500);

pub(crate) async fn handle(
    gateway: Rc<Gateway>,
    link: &Link,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let id = Meta::of(request.headers()).id;
    let arrived = Instant::now();
    let admitted = tokio::select! {
        biased;
        admitted = admit(&gateway, link, request, arrived) => admitted,
        failure = stop::before_body(&gateway, link) => Err(failure),
    };
    let mut response = match admitted {
        Ok(job) => {
            let job = Rc::new(job);
            let reply = tokio::select! {
                biased;
                reply = dispatch(&job) => reply,
                failure = stop::given_up(&job) => {
                    job.attempt_failed().await;
                    Err(failure)
                }
            };
            reply.unwrap_or_else(|failure| {
                job.record_end(&failure.code.to_string(), false);
                if !matches!(failure.code.status(), 408 | 421 | 429 | 502..=504) {
                    pinning::session_ended(&job, "refused");
                }
                reply::error_response(&job.meta.id, &failure)
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
            reply::error_response(&id, &failure)
        }
    };
    if gateway.is_stopping() || link.is_unread() {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// The failure reported when the deadline passes.
fn deadline_failure(job: &Job) -> Failure {
    if job.may_have_run.get() {
        reply::outcome_unknown(Code::DeadlinePassed, "no server answered in time")
    } else if job.prev_turn.is_some() && job.history_time.get().is_zero() {
        let failure = Failure::refused(
            Code::HistoryAway,
            "the conversation history was not loaded in time",
        );
        failure.retry_after(NOT_ACCEPTED_RETRY_AFTER)
    } else {
        let failure = Failure::refused(
            Code::Overloaded,
            "no server became free before the deadline",
        );
        failure.retry_after(NOT_ACCEPTED_RETRY_AFTER)
    }
}

/// Sends the request to one server after another until one responds.
async fn dispatch(job: &Rc<Job>) -> Result<Response<Body>, Failure> {
    stop::check(job)?;
    // The rest of the time is for the backend server, or for the caller to come back.
    let until = Instant::now() + job.remaining() / 2;
    job.gateway.ends.wait_until_read(until).await;
    job.gateway.ends.assume_lost_attempt(job.content()).await;
    // A request that is refused here must count against no limit.
    job.check_ended_servers().await?;
    job.find_stream_version().await?;
    // The rate limit goes first: a turn that it refuses must not leave a token reservation behind.
    sleep(check_limit(job).await?).await;
    // Before the token reservation, since a turn that is refused here must not leave one behind.
    job.gateway.wait_for_store(job).await?;
    // Concurrent to save latency; both must finish before the request is sent.
    tokio::try_join!(reserve_tokens(job), prepend_history(job))?;
    let mut avoid = Vec::new();
    let mut possible_runs = 0;
    for _ in 0..MAX_SERVER_TRIES {
        if !avoid.is_empty() {
            job.check_ended_servers().await?;
        }
        let permit = acquire_permit(job, &avoid).await?;
        let server = Arc::clone(&permit.server.id);
        let mut outcome = attempt(job, &permit, job.meta.last_event).await;
        let broke_off = matches!(outcome, AttemptResult::OutcomeUnknown(_));
        // Servers that ended do not count as attempts; how many may is checked before the next one.
        let has_ended = broke_off && job.check_server(&permit.server).await;
        if broke_off && !has_ended && job.route.idempotent() {
            possible_runs += 1;
            // The last server gets one repeat, which does not count as another attempt.
            if possible_runs >= job.route.attempts {
                log_failed_attempt(job, &server, &outcome);
                outcome = attempt(job, &permit, job.meta.last_event).await;
            }
        }
        log_failed_attempt(job, &server, &outcome);
        match outcome {
            AttemptResult::Response(response) => {
                return Ok(complete(job, permit, response));
            }
            AttemptResult::Stream(stream) => {
                job.record_stream_version(&permit.server.version).await;
                return Ok(relay(job, Some(permit), *stream));
            }
            AttemptResult::OutcomeUnknown(reason) if !job.route.idempotent() => {
                permit.release(Outcome::Failed);
                if job.may_expose_server().await
                    && let Some(stream) = continue_run(job, reason, job.meta.last_event).await
                {
                    return Ok(relay(job, None, stream));
                }
                return Err(reply::outcome_unknown(Code::OutcomeUnknown, reason));
            }
            // Another server would be one more attempt.
            AttemptResult::OutcomeUnknown(reason) | AttemptResult::NotRun(reason @ LEAVING)
                if possible_runs >= job.route.attempts =>
            {
                permit.release(Outcome::Failed);
                return Err(reply::outcome_unknown(Code::ServiceFailed, reason));
            }
            other => permit.release(other.outcome()),
        }
        avoid.push(server);
    }
    if job.may_have_run.get() {
        return Err(reply::outcome_unknown(
            Code::ServiceFailed,
            "no server answered",
        ));
    }
    let failure = Failure::refused(Code::Overloaded, "no server accepted the request");
    Err(failure.retry_after(NOT_ACCEPTED_RETRY_AFTER))
}

/// Waits for a permit at a server that is not in `avoid`.
async fn acquire_permit(job: &Rc<Job>, avoid: &[Arc<str>]) -> Result<Permit, Failure> {
    let started = Instant::now();
    let mut request = dispatch_request(job, avoid);
    // Only services that generate tokens share one queue across all VMs.
    let permit = if job.is_shared() {
        let key = job.as_try();
        let shared = job.gateway.acquire_shared_permit(&mut request, key);
        shared.await
    } else {
        let permit = job.gateway.acquire_exposed_permit(request, job.as_try());
        permit.await
    };
    job.queue_time.set(job.queue_time.get() + started.elapsed());
    if let Ok(permit) = &permit {
        let server = server_hash(&permit.server.id);
        job.granted.set(permit.lessor().map(|vm| (vm, server)));
        job.servers.borrow_mut().push(Arc::clone(&permit.server.id));
    }
    permit.map_err(|failure| {
        if failure.code == Code::ServersEnded {
            let retry_after = Duration::from_millis(failure.retry_after_ms.unwrap_or_default());
            return job.servers_ended(retry_after);
        }
        let is_bound = job.stream_version.borrow().is_some();
        if is_bound && failure.code == Code::NoServer {
            stream_version_lost()
        } else {
            failure
        }
    })
}

/// Prepends the stored conversation history to the caller's input.
async fn prepend_history(job: &Job) -> Result<(), Failure> {
    let Some(prev_turn) = &job.prev_turn else {
        return Ok(());
    };
    let started = Instant::now();
    let turns = job.gateway.load_history(prev_turn).await;
    job.history_time.set(started.elapsed());
    job.gateway.metrics.record_history_wait(started.elapsed());
    let turns = turns?;
    let copied = copied_bytes(&turns);
    let need = Need::of_request(copied);
    let charge = job
        .gateway
        .intake
        .reserve(Kind::History, need, copied, job.deadline);
    job.prompt_charge
        .replace(Some(charge.await.map_err(no_room)?));
    job.expiring_turns.replace(expiring_turns(job, &turns));
    job.body.replace(build_prompt(&turns, &job.input));
    Ok(())
}

/// Counts the request against its team's rate limit; returns the delay before it may be sent.
async fn check_limit(job: &Job) -> Result<Duration, Failure> {
    let Some(team) = &job.team else {
        return Ok(Duration::ZERO);
    };
    let starts_program = job.tokens_per_event > 0;
    let request = quota::Request {
        program: job.meta.program.as_ref().map(|program| hash(program)),
        class: starts_program.then(|| hash(&job.route.name)),
        // The rest of the time is for the backend server.
        max_wait: job.remaining() / 2,
    };
    let started = Instant::now();
    let delay = job
        .gateway
        .acquire_from_limit(team, job.version, request)
        .await;
    job.limit_time
        .set(started.elapsed() + delay.as_ref().copied().unwrap_or_default());
    job.gateway.metrics.record_limit_wait(started.elapsed());
    delay
}

/// Reserves the turn's tokens in the token budget of its program.
async fn reserve_tokens(job: &Job) -> Result<(), Failure> {
    let (Some(program), Some(budget)) = (&job.meta.program, job.meta.token_budget) else {
        return Ok(());
    };
    if job.tokens_per_event == 0 {
        return Ok(());
    }
    let max_events = job.meta.max_tokens.div_ceil(job.tokens_per_event);
    let max_tokens = max_events * job.tokens_per_event;
    let started = Instant::now();
    let grant = job
        .gateway
        .reserve_tokens(program, budget, max_tokens)
        .await;
    job.reservation_time.set(started.elapsed());
    job.gateway.metrics.record_token_wait(started.elapsed());
    let grant = grant?;
    job.allowance.replace(Some(grant));
    Ok(())
}

fn dispatch_request(job: &Job, avoid: &[Arc<str>]) -> dispatch::Request {
    let grant = job.allowance.borrow();
    // Engines keep prompts, not objects.
    let keeps_objects = job.route.sticky && job.tokens_per_event == 0;
    dispatch::Request {
        service: Arc::clone(&job.service),
        zone: job.gateway.zone(),
        vm: job.gateway.vm_number(),
        rank: job.rank(),
        program: job.meta.program.as_ref().map(|program| hash(program)),
        turns: grant.as_ref().map_or(0, |grant| grant.turns),
        left_ms: job.left_ms(),
        max_wait_ms: u64::try_from(job.remaining().as_millis()).unwrap_or(u64::MAX),
        session: job.meta.session.as_ref().map(|line| hash(line)),
        prompt: job.meta.prompt_parts.clone(),
        avoid: avoid.to_vec(),
        demand: demand(job),
        object: job.meta.affinity.filter(|_| keeps_objects),
        version: job.stream_version.borrow().clone(),
        only: Vec::new(),
    }
}

/// What the request is expected to use; `None` if nothing of that matters for its service.
///
/// Programs are admitted by their outcome only where streams can't be resumed: elsewhere a run that is
/// late or lost costs its program little, and the previous order ends more long programs in a burst.
fn demand(job: &Job) -> Option<dispatch::Demand> {
    if job.tokens_per_event == 0 || job.route.resumable {
        return None;
    }
    let tokens = |count: u64| u32::try_from(count).unwrap_or(u32::MAX);
    Some(dispatch::Demand {
        class: hash(&job.route.name),
        team: job.team_name().map(hash),
        prompt_tokens: tokens(job.meta.prompt_tokens),
        output_tokens: tokens(job.meta.output_hint.unwrap_or_default()),
        max_output_tokens: tokens(job.meta.max_tokens),
    })
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

fn log_failed_attempt(job: &Job, server: &str, outcome: &AttemptResult) {
    let reason = match outcome {
        AttemptResult::Response(_) | AttemptResult::Stream(_) => return,
        AttemptResult::NotRun(reason) | AttemptResult::OutcomeUnknown(reason) => reason,
        AttemptResult::Unreachable => "unreachable",
    };
    job.gateway.metrics.count_failed_attempt(reason);
    event!(
        info,
        "attempt_failed",
        id = job.meta.id,
        route = job.route.name,
        server = server,
        reason = reason,
        age_ms = job.age_ms(),
        config = job.version,
        content = job.content()
    );
}

fn complete(job: &Job, permit: Permit, response: BufferedResponse) -> Response<Body> {
    job.record_end(response.status.as_str(), response.status.is_success());
    permit.release(if response.status.is_server_error() {
        Outcome::Error
    } else {
        Outcome::Done {
            took: job.arrived.elapsed().saturating_sub(job.queue_time.get()),
            work: 1.0,
            load: response.load,
        }
    });
    let mut reply = Response::new(Body::Full(response.body));
    *reply.status_mut() = response.status;
    *reply.headers_mut() = response.headers;
    reply
}
