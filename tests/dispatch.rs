//! Which request goes to which backend server, and which waits.

mod fleet;

use fleet::{ask, done, server};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Description, Dispatcher, Load, Outcome, Placement, Request};
use vanillatrail::policy::prefix::{Cache, Part};

/// A turn of a program that should be finished in `left_ms`.
fn turn(program: u64, left_ms: i64) -> Request {
    Request {
        program: Some(program),
        left_ms,
        ..ask(0)
    }
}

fn granted(verdict: Placement) -> Arc<str> {
    match verdict {
        Placement::Granted(server) => server,
        other => panic!("not granted: {other:?}"),
    }
}

/// A burst fills every server, and more requests come. The servers would admit them in the order of
/// arrival; here the one of the highest rank goes first when a server is done.
#[test]
fn the_highest_rank_goes_first() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 1)]);
    granted(dispatcher.request(now, Permit(1), ask(0)));
    for (permit, rank) in [(2, 2), (3, 0), (4, 1)] {
        assert_eq!(
            dispatcher.request(now, Permit(permit), ask(rank)),
            Placement::Waiting
        );
    }
    dispatcher.finish(now, Permit(1), Outcome::Void);
    let first = dispatcher.grant(now);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].0, Permit(3));
}

/// Requests spread over the servers of a service, first within the zone that they come from.
#[test]
fn the_emptier_server_is_chosen_and_the_own_zone_preferred() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("near", "a", 4), server("far", "b", 4)]);
    assert_eq!(
        &*granted(dispatcher.request(now, Permit(1), ask(0))),
        "near"
    );
    assert_eq!(&*granted(dispatcher.request(now, Permit(2), ask(0))), "far");
}

/// A server that fails its requests rests, longer each time, and is then tried again; callers are
/// served by the others meanwhile.
#[test]
fn a_failing_server_rests_and_comes_back() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("good", "b", 4), server("bad", "a", 4)]);
    assert_eq!(&*granted(dispatcher.request(now, Permit(1), ask(0))), "bad");
    dispatcher.finish(now, Permit(1), Outcome::Failed);
    for permit in 2..5 {
        assert_eq!(
            &*granted(dispatcher.request(now, Permit(permit), ask(0))),
            "good"
        );
        dispatcher.finish(now, Permit(permit), Outcome::Void);
    }
    let later = now + Duration::from_secs(5);
    assert_eq!(
        &*granted(dispatcher.request(later, Permit(9), ask(0))),
        "bad"
    );
}

/// A server works five times slower than the others and says nothing of it. Its answers tell, and
/// it gets a smaller part of the requests than the others do.
#[test]
fn a_slow_server_gets_less() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("fast", "a", 16), server("slow", "a", 16)]);
    let mut running: Vec<(u64, Permit, u64)> = Vec::new();
    let (mut slow, mut clock) = (0, 0);
    for number in 0..400 {
        clock += 10;
        let at = now + Duration::from_millis(clock);
        running.retain(|&(end, permit, took)| {
            if end <= clock {
                let took = Duration::from_millis(took);
                dispatcher.finish(at, permit, done(took));
            }
            end > clock
        });
        let chosen = granted(dispatcher.request(at, Permit(number), ask(0)));
        let took = if &*chosen == "slow" { 250 } else { 50 };
        if number >= 200 && &*chosen == "slow" {
            slow += 1;
        }
        running.push((clock + took, Permit(number), took));
    }
    assert!(slow < 60, "{slow} of 200 to the slow server");
}

/// A server that drains or has gone gets nothing new, and a request for a service that has no
/// server left is refused at once.
#[test]
fn a_leaving_server_gets_nothing_new() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    let leaving = Description {
        draining: true,
        ..server("s", "a", 4)
    };
    dispatcher.set_servers([leaving.clone(), server("t", "b", 4)]);
    assert_eq!(&*granted(dispatcher.request(now, Permit(1), ask(0))), "t");
    dispatcher.set_servers([leaving]);
    assert_eq!(
        dispatcher.request(now, Permit(2), ask(0)),
        Placement::NoServer
    );
}

/// The next turn of a line goes where its prompt is kept, unless that server is busier.
#[test]
fn a_line_of_turns_stays_at_its_server() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 8), server("t", "a", 8)]);
    let line = |line| Request {
        session: Some(line),
        ..ask(0)
    };
    let first = granted(dispatcher.request(now, Permit(1), line(7)));
    let took = Duration::from_millis(50);
    dispatcher.finish(now, Permit(1), done(took));
    for permit in 2..5 {
        assert_eq!(
            granted(dispatcher.request(now, Permit(permit), line(7))),
            first
        );
        dispatcher.finish(now, Permit(permit), done(took));
    }
}

/// A caller leaves while its request waits. Its place in the queue is given up, and the next one
/// goes instead.
#[test]
fn a_request_that_is_given_up_is_not_granted() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 1)]);
    granted(dispatcher.request(now, Permit(1), ask(0)));
    dispatcher.request(now, Permit(2), ask(0));
    dispatcher.request(now, Permit(3), ask(1));
    dispatcher.finish(now, Permit(2), Outcome::Void);
    dispatcher.finish(now, Permit(1), Outcome::Void);
    let granted: Vec<_> = dispatcher
        .grant(now)
        .into_iter()
        .map(|(permit, _)| permit)
        .collect();
    assert_eq!(granted, [Permit(3)]);
}

/// More programs come than the servers can finish. Those that were admitted go on before a new one
/// that came earlier, and the new one steps back instead of making all of them late.
#[test]
fn programs_that_were_admitted_go_before_those_that_do_not_fit() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 1)]);
    granted(dispatcher.request(now, Permit(1), turn(1, 3000)));
    assert_eq!(
        dispatcher.request(now, Permit(2), turn(2, 3000)),
        Placement::Waiting
    );
    let later = now + Duration::from_millis(100);
    assert_eq!(
        dispatcher.request(later, Permit(3), turn(1, 2900)),
        Placement::Waiting
    );
    dispatcher.finish(later, Permit(1), done(Duration::from_millis(100)));
    assert_eq!(dispatcher.grant(later)[0].0, Permit(3));
}

/// A request of a program that can't end in time waits in vain. It is given up while its caller has
/// time to come back, and its place in the queue is free.
#[test]
fn a_request_that_waits_in_vain_is_given_up() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 1)]);
    granted(dispatcher.request(now, Permit(1), turn(1, 3000)));
    dispatcher.request(now, Permit(2), turn(2, 3000));
    assert!(dispatcher.tick(now).timed_out.is_empty());
    let later = now + Duration::from_millis(800);
    assert_eq!(dispatcher.tick(later).timed_out, [Permit(2)]);
    dispatcher.finish(later, Permit(1), Outcome::Void);
    assert!(dispatcher.grant(later).is_empty());
}

/// VMs that are cut off from this one send requests to the same server. Its reports tell, and it
/// gets fewer requests from here.
#[test]
fn the_load_of_others_takes_places() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 3)]);
    let load = Some(Load {
        running: 4,
        waiting: 0,
    });
    let outcome = Outcome::Done {
        took: Duration::from_millis(50),
        work: 1.0,
        load,
    };
    for permit in 0..50 {
        granted(dispatcher.request(now, Permit(permit), ask(0)));
        dispatcher.finish(now, Permit(permit), outcome);
    }
    granted(dispatcher.request(now, Permit(100), ask(0)));
    assert_eq!(
        dispatcher.request(now, Permit(101), ask(0)),
        Placement::Waiting
    );
}

/// Many VMs send few requests each to many servers, and every request opens a connection. A VM is
/// sent where its connection is likely to be open still, as long as that server is hardly busier.
#[test]
fn a_vm_is_sent_where_it_was_before() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    let servers = ["s", "t", "u", "v"].map(|id| server(id, "a", 6));
    dispatcher.set_servers(servers);
    let from = |vm| Request { vm, ..ask(0) };
    for vm in 0..4 {
        granted(dispatcher.request(now, Permit(vm), from(vm)));
    }
    for vm in 0..4 {
        dispatcher.finish(now, Permit(vm), done(Duration::from_millis(50)));
    }
    let first = granted(dispatcher.request(now, Permit(10), from(0)));
    dispatcher.finish(now, Permit(10), done(Duration::from_millis(50)));
    for permit in 11..15 {
        assert_eq!(
            granted(dispatcher.request(now, Permit(permit), from(0))),
            first
        );
        dispatcher.finish(now, Permit(permit), done(Duration::from_millis(50)));
    }
}

/// A program starts sub-agents, each of which begins with all that the program has read. They go where
/// that is kept, though another server has less to do; a prompt that is kept nowhere goes to the latter.
#[test]
fn sub_agents_go_where_their_beginning_is_kept() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 12), server("t", "a", 12)]);
    let part = |id, tokens| Part { id, tokens };
    let ask = |prompt| Request { prompt, ..ask(0) };
    let parent = vec![part(1, 500), part(2, 1500)];
    let first = granted(dispatcher.request(now, Permit(1), ask(parent)));
    for agent in 0..4 {
        let prompt = vec![part(1, 500), part(2, 1500), part(10 + agent, 300)];
        let permit = Permit(2 + agent);
        assert_eq!(granted(dispatcher.request(now, permit, ask(prompt))), first);
    }
    let other = granted(dispatcher.request(now, Permit(6), ask(vec![part(3, 800)])));
    assert_ne!(other, first);
}

/// A server keeps so many tokens and no more; what was of use last stays, and what follows a gap does not
/// count.
#[test]
fn the_oldest_beginning_is_forgotten_first() {
    let part = |id| Part { id, tokens: 400 };
    let mut prefixes = Cache::default();
    prefixes.insert(&[part(1), part(2)], 1200);
    prefixes.insert(&[part(1), part(3)], 1200);
    assert_eq!(prefixes.uncached_tokens(&[part(1), part(2)]), 0);
    prefixes.insert(&[part(1), part(4)], 1200);
    assert_eq!(prefixes.uncached_tokens(&[part(1), part(2)]), 400);
    assert_eq!(prefixes.uncached_tokens(&[part(1), part(3)]), 0);
    assert_eq!(prefixes.uncached_tokens(&[part(2), part(3)]), 800);
}
