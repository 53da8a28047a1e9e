//! Placement when servers answer with errors immediately.

mod fleet;

use fleet::{completed, request, server};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Dispatcher, Outcome, Placement};

const SERVER_COUNT: u64 = 12;
const ANSWER_TIME: Duration = Duration::from_millis(120);
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const REQUESTS: u32 = 2000;

/// Sends a request every 5 ms for 10 s. `fails` returns whether the answer with this number from this server is an
/// error, which takes 2 ms. Returns the numbers of answers and of errors among them.
fn simulate(fails: impl Fn(&str, u32) -> bool) -> (u32, u32) {
    let (start, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher
        .set_servers((0..SERVER_COUNT).map(|number| server(&format!("server-{number}"), "z", 6)));
    let mut running: VecDeque<(Instant, Permit, Arc<str>)> = VecDeque::new();
    let (mut answered, mut errors) = (0, 0);
    for number in 0..REQUESTS {
        let now = start + REQUEST_INTERVAL * number;
        let (ended, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(ends_at, _, _)| *ends_at <= now);
        running = rest.into();
        for (ended_at, permit, server) in ended {
            answered += 1;
            let is_error = fails(&server, answered);
            errors += u32::from(is_error);
            dispatcher.finish(
                ended_at,
                permit,
                if is_error {
                    Outcome::Error
                } else {
                    completed(ANSWER_TIME)
                },
            );
        }
        let mut granted = dispatcher.tick(now).granted;
        let permit = Permit(u64::from(number));
        if let Placement::Granted(server) = dispatcher.request(now, permit, request(0)) {
            granted.push((permit, server));
        }
        for (permit, server) in granted {
            let took = if fails(&server, answered + 1) {
                Duration::from_millis(2)
            } else {
                ANSWER_TIME
            };
            running.push_back((now + took, permit, server));
        }
    }
    (answered, errors)
}

/// Guards against servers that fail immediately, and so look idle, attracting most requests.
#[test]
fn servers_that_fail_fast_do_not_attract_requests() {
    let (answered, errors) = simulate(|server, _| server.ends_with("-1") || server.ends_with("-2"));
    assert!(errors * 50 <= answered, "{errors} errors of {answered}");
}

/// Guards against ejecting servers that all have the same error rate.
#[test]
fn errors_common_to_all_servers_eject_none() {
    let (answered, errors) = simulate(|_, number| number % 10 == 0);
    assert!(answered + 60 >= REQUESTS, "{answered} of {REQUESTS}");
    assert!(errors * 8 <= answered, "{errors} errors of {answered}");
}

/// Guards against requests that wait for ejected servers when all servers of a service fail.
#[test]
fn errors_of_a_failing_service_are_returned_immediately() {
    let (answered, errors) = simulate(|_, _| true);
    assert!(
        answered + 60 >= REQUESTS && errors == answered,
        "{errors} of {answered}"
    );
}
