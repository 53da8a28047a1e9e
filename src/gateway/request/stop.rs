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

fn may_be_sent(job: &Job, stop: &Stop) -> bool {
    stop.allows_sending(Instant::now(), job.remaining(), job.route.latency_target)
}

/// Fails if a stop leaves no time to send a request whose body has just arrived.
pub(super) fn check(job: &Job) -> Result<(), Failure> {
    match &*job.gateway.stop.borrow() {
        Some(stop) if !may_be_sent(job, stop) => Err(not_sent()),
        _ => Ok(()),
    }
}

/// Waits until a stop leaves no time to send the request or, once it was sent, to wait for its answer.
async fn before_answer(job: &Job) -> Failure {
    let stop = job.gateway.stop_began().await;
    loop {
        let is_over = Instant::now() >= stop.answers_at();
        if !job.may_have_run.get() {
            if is_over || !may_be_sent(job, &stop) {
                return not_sent();
            }
        } else if is_over {
            return reply::outcome_unknown(Code::Stopping, "the VM stops before the answer");
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
