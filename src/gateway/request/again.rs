//! Sends a request that may be repeated to a second server where the answer of the first is late.

use super::job::Job;
use super::wait;
use crate::gateway::queue::permit::Permit;
use crate::gateway::server::attempt::{Attempt, attempt};
use crate::gateway::world::directory::Id;
use crate::gateway::world::table::Kind;
use crate::policy::dispatch::Outcome;
use crate::policy::hedge::Hedge;
use crate::telemetry::event;
use futures::future::{Either, select};
use std::cell::RefCell;
use std::collections::HashMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// What is usual for each route.
#[derive(Debug, Default)]
pub(crate) struct Hedges {
    routes: RefCell<HashMap<String, Hedge>>,
}

impl Hedges {
    fn answered(&self, route: &str, took: Duration) {
        let mut routes = self.routes.borrow_mut();
        if let Some(hedge) = routes.get_mut(route) {
            return hedge.answered(took);
        }
        let mut hedge = Hedge::default();
        hedge.answered(took);
        routes.insert(route.to_owned(), hedge);
    }

    fn delay(&self, route: &str) -> Option<Duration> {
        self.routes.borrow().get(route)?.delay()
    }

    fn spend(&self, route: &str) -> bool {
        let mut routes = self.routes.borrow_mut();
        routes.get_mut(route).is_some_and(Hedge::spend)
    }
}

/// What came of one attempt or two.
enum Race {
    /// There was one attempt.
    Alone(Attempt),
    /// The first one counts.
    First(Attempt),
    /// The second one counts, with its own permit.
    Second(Permit, Attempt),
}

/// One attempt, or two at a time where the first one is late; `ran` is the number of servers that may
/// have run the request before. Gives what came of the attempt that counts, and on how many servers
/// beside its own the request may have run.
pub(super) async fn attempt_twice(
    job: &Rc<Job>,
    permit: Permit,
    ran: u32,
) -> (Permit, Attempt, u32) {
    if job.route.kind != Kind::Safe || ran + 1 >= job.route.attempts {
        let outcome = attempt(job, &permit, job.meta.last_event).await;
        return (permit, outcome, 0);
    }
    let began = Instant::now();
    let (permit, outcome, beside) = match race(job, &permit).await {
        Race::Alone(outcome) => (permit, outcome, 0),
        Race::First(outcome) => (permit, outcome, 1),
        Race::Second(second, outcome) => {
            permit.end(Outcome::Failed);
            (second, outcome, 1)
        }
    };
    if beside > 0 {
        // What either of them may have run can't be said not to have run.
        job.sent.set(true);
    }
    if is_answer(&outcome) {
        let hedges = &job.gateway.hedges;
        hedges.answered(&job.route.name, began.elapsed());
    }
    (permit, outcome, beside)
}

async fn race(job: &Rc<Job>, permit: &Permit) -> Race {
    let (hedges, route) = (&job.gateway.hedges, &job.route.name);
    let mut first = pin!(attempt(job, permit, job.meta.last_event));
    let Some(delay) = hedges.delay(route) else {
        return Race::Alone(first.await);
    };
    if let Ok(outcome) = timeout(delay, &mut first).await {
        return Race::Alone(outcome);
    }
    if !hedges.spend(route) {
        return Race::Alone(first.await);
    }
    event!(
        info,
        "request_hedged",
        id = job.meta.id,
        route = route,
        server = permit.server.id,
        after_ms = delay.as_millis()
    );
    let second = pin!(second(job, &permit.server.id));
    match select(first, second).await {
        Either::Left((outcome, _)) if is_answer(&outcome) => Race::First(outcome),
        Either::Left((outcome, second)) => match second.await {
            Some((permit, outcome)) => Race::Second(permit, outcome),
            None => Race::First(outcome),
        },
        Either::Right((Some((permit, outcome)), _)) if is_answer(&outcome) => {
            Race::Second(permit, outcome)
        }
        Either::Right((_, first)) => Race::First(first.await),
    }
}

/// An attempt at another server, where one has room in time.
async fn second(job: &Rc<Job>, first: &Id) -> Option<(Permit, Attempt)> {
    let permit = wait(job, &[Id::clone(first)]).await.ok()?;
    if permit.server.id == *first {
        // There is no other one.
        return None;
    }
    let outcome = attempt(job, &permit, job.meta.last_event).await;
    Some((permit, outcome))
}

const fn is_answer(outcome: &Attempt) -> bool {
    matches!(outcome, Attempt::Answer(_))
}
