//! Requests that have no answer yet when the VM stops.

use super::job::Job;
use super::{deadline_failure, reply};
use crate::code::{Code, Failure};
use crate::gateway::Gateway;
use crate::intake::Link;
use crate::policy::stop::Stop;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// `Retry-After` of a request that was not sent: other VMs take it at once.
const RETRY_AFTER: Duration = Duration::from_millis(50);
/// How often it is checked whether a request may still be sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn not_sent() -> Failure {
    let failure = Failure::refused(Code::Stopping, "the VM stops before the request may end");
    failure.retry_after(RETRY_AFTER)
}

/// Waits until a stop leaves no more time for the body of a request.
pub(super) async fn before_body(gateway: &Gateway, link: &Link) -> Failure {
    let stop = gateway.stop_began().await;
    sleep_until(stop.answers_at()).await;
    link.leave_unread();
    not_sent()
}

/// Fails if a stop leaves no time to send a request whose body has just arrived.
pub(super) fn check(job: &Job) -> Result<(), Failure> {
    let stop = *job.gateway.stop.borrow();
    let target = job.route.latency_target;
    let is_allowed = |stop: Stop| stop.allows_sending(Instant::now(), job.remaining(), target);
    if stop.is_none_or(is_allowed) {
        Ok(())
    } else {
        Err(not_sent())
    }
}

/// Waits until a stop leaves no time to send the request or, once it was sent, to wait for its answer.
async fn before_answer(job: &Job) -> Failure {
    let stop = job.gateway.stop_began().await;
    loop {
        let now = Instant::now();
        let may_have_run = job.may_have_run.get();
        if now >= stop.answers_at() {
            return if may_have_run {
                reply::outcome_unknown(Code::Stopping, "the VM stops before the answer")
            } else {
                not_sent()
            };
        }
        let target = job.route.latency_target;
        if !may_have_run && !stop.allows_sending(now, job.remaining(), target) {
            return not_sent();
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Waits until the request is given up.
pub(super) async fn given_up(job: &Job) -> Failure {
    tokio::select! {
        () = sleep_until(job.deadline) => deadline_failure(job),
        failure = before_answer(job) => failure,
    }
}
