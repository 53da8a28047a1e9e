//! Servers that answer with errors at once, beside others that work.

mod fleet;

use fleet::{ask, done, server};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Dispatcher, Outcome, Placement};

const SERVERS: u64 = 12;
const TOOK: Duration = Duration::from_millis(120);
const STEP: Duration = Duration::from_millis(5);
const STEPS: u32 = 2000;

/// Sends a request every 5 ms for 10 s. Of each server `errs` tells whether its answer with that number is an error,
/// which takes 2 ms. Gives how many requests got an answer, and how many an error.
fn play(errs: impl Fn(&str, u32) -> bool) -> (u32, u32) {
    let (begun, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers((0..SERVERS).map(|number| server(&format!("server-{number}"), "z", 6)));
    let mut running: VecDeque<(Instant, Permit, Arc<str>)> = VecDeque::new();
    let (mut answered, mut errors) = (0, 0);
    for step in 0..STEPS {
        let now = begun + STEP * step;
        let (over, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _, _)| *at <= now);
        running = rest.into();
        for (at, permit, server) in over {
            answered += 1;
            let erred = errs(&server, answered);
            errors += u32::from(erred);
            dispatcher.finish(at, permit, if erred { Outcome::Error } else { done(TOOK) });
        }
        let mut granted = dispatcher.tick(now).granted;
        let permit = Permit(u64::from(step));
        if let Placement::Granted(server) = dispatcher.request(now, permit, ask(0)) {
            granted.push((permit, server));
        }
        for (permit, server) in granted {
            let took = if errs(&server, answered + 1) {
                Duration::from_millis(2)
            } else {
                TOOK
            };
            running.push_back((now + took, permit, server));
        }
    }
    (answered, errors)
}

/// Two of twelve servers answer each request with an error within 2 ms, while the others take 120 ms. Always idle,
/// they drew nearly all requests, each of which failed its program. Now they rest, and are tried again rarely.
#[test]
fn servers_that_err_at_once_do_not_draw_requests() {
    let (answered, errors) = play(|server, _| server.ends_with("-1") || server.ends_with("-2"));
    assert!(errors * 50 <= answered, "{errors} errors of {answered}");
}

/// All servers err at each tenth request, as plain services do. None rests, and all requests are answered.
#[test]
fn errors_that_all_servers_make_rest_none() {
    let (answered, errors) = play(|_, number| number % 10 == 0);
    assert!(answered + 60 >= STEPS, "{answered} of {STEPS}");
    assert!(errors * 8 <= answered, "{errors} errors of {answered}");
}

/// A service that errs always is told so to its callers at once: servers do not rest where all are alike.
#[test]
fn a_service_that_errs_always_answers_at_once() {
    let (answered, errors) = play(|_, _| true);
    assert!(
        answered + 60 >= STEPS && errors == answered,
        "{errors} of {answered}"
    );
}
