//! Placement of requests on backend servers and the order of the queue.

mod fleet;

use fleet::{completed, request, server};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Description, Dispatcher, Load, Outcome, Placement, Request};
use vanillatrail::policy::prefix::{Cache, Part};

/// A turn of a program with `left_ms` until its deadline.
fn turn(program: u64, left_ms: i64) -> Request {
    Request {
        program: Some(program),
        left_ms,
        ..request(0)
    }
}

fn granted(placement: Placement) -> Arc<str> {
    match placement {
        Placement::Granted(server) => server,
        other => panic!("not granted: {other:?}"),
    }
}

/// Guards against a freed slot that goes to the first arrival instead of the request with the best rank.
#[test]
fn queued_request_with_best_rank_is_granted_first() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 1)]);
    granted(dispatcher.request(now, Permit(1), request(0)));
    for (permit, rank) in [(2, 2), (3, 0), (4, 1)] {
        assert_eq!(
            dispatcher.request(now, Permit(permit), request(rank)),
            Placement::Waiting
        );
    }
    dispatcher.finish(now, Permit(1), Outcome::Void);
    let first = dispatcher.grant(now);
    assert_eq!(first.len(), 1);
    assert_eq!(first[0].0, Permit(3));
}

/// Guards against uneven load on the servers of a service, and against leaving the zone if loads are equal.
#[test]
fn least_loaded_server_is_chosen_and_own_zone_breaks_ties() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("near", "a", 4), server("far", "b", 4)]);
    assert_eq!(
        &*granted(dispatcher.request(now, Permit(1), request(0))),
        "near"
    );
    assert_eq!(
        &*granted(dispatcher.request(now, Permit(2), request(0))),
        "far"
    );
}

/// Guards against a failing server that keeps getting requests, or never gets them again.
#[test]
fn failing_server_is_ejected_and_retried_later() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("good", "b", 4), server("bad", "a", 4)]);
    assert_eq!(
        &*granted(dispatcher.request(now, Permit(1), request(0))),
        "bad"
    );
    dispatcher.finish(now, Permit(1), Outcome::Failed);
    for permit in 2..5 {
        assert_eq!(
            &*granted(dispatcher.request(now, Permit(permit), request(0))),
            "good"
        );
        dispatcher.finish(now, Permit(permit), Outcome::Void);
    }
    let later = now + Duration::from_secs(5);
    assert_eq!(
        &*granted(dispatcher.request(later, Permit(9), request(0))),
        "bad"
    );
}

/// Guards against a slow server that reports no load but gets as many requests as a fast one.
#[test]
fn slow_server_gets_fewer_requests() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("fast", "a", 16), server("slow", "a", 16)]);
    let mut running: Vec<(u64, Permit, u64)> = Vec::new();
    let (mut slow_count, mut clock_ms) = (0, 0);
    for number in 0..400 {
        clock_ms += 10;
        let at = now + Duration::from_millis(clock_ms);
        running.retain(|&(end, permit, took_ms)| {
            if end <= clock_ms {
                let took = Duration::from_millis(took_ms);
                dispatcher.finish(at, permit, completed(took));
            }
            end > clock_ms
        });
        let chosen = granted(dispatcher.request(at, Permit(number), request(0)));
        let took_ms = if &*chosen == "slow" { 250 } else { 50 };
        if number >= 200 && &*chosen == "slow" {
            slow_count += 1;
        }
        running.push((clock_ms + took_ms, Permit(number), took_ms));
    }
    assert!(
        slow_count < 60,
        "{slow_count} of 200 requests went to the slow server"
    );
}

/// Guards against requests to a draining server, and against waiting for a service without usable servers.
#[test]
fn draining_server_gets_no_new_requests() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    let draining = Description {
        draining: true,
        ..server("s", "a", 4)
    };
    dispatcher.set_servers([draining.clone(), server("t", "b", 4)]);
    assert_eq!(
        &*granted(dispatcher.request(now, Permit(1), request(0))),
        "t"
    );
    dispatcher.set_servers([draining]);
    assert_eq!(
        dispatcher.request(now, Permit(2), request(0)),
        Placement::NoServer
    );
}

/// Guards against turns of a session that move away from the server with its conversation history in the cache.
#[test]
fn session_stays_at_its_server() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 8), server("t", "a", 8)]);
    let turn_of = |session| Request {
        session: Some(session),
        ..request(0)
    };
    let first = granted(dispatcher.request(now, Permit(1), turn_of(7)));
    let took = Duration::from_millis(50);
    dispatcher.finish(now, Permit(1), completed(took));
    for permit in 2..5 {
        assert_eq!(
            granted(dispatcher.request(now, Permit(permit), turn_of(7))),
            first
        );
        dispatcher.finish(now, Permit(permit), completed(took));
    }
}

/// Guards against granting a slot to a request whose caller has gone.
#[test]
fn cancelled_request_is_not_granted() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 1)]);
    granted(dispatcher.request(now, Permit(1), request(0)));
    dispatcher.request(now, Permit(2), request(0));
    dispatcher.request(now, Permit(3), request(1));
    dispatcher.finish(now, Permit(2), Outcome::Void);
    dispatcher.finish(now, Permit(1), Outcome::Void);
    let granted: Vec<_> = dispatcher
        .grant(now)
        .into_iter()
        .map(|(permit, _)| permit)
        .collect();
    assert_eq!(granted, [Permit(3)]);
}

/// Guards against an overload in which new programs are served before admitted ones and make all of them late.
#[test]
fn admitted_programs_are_granted_before_new_ones_under_overload() {
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
    dispatcher.finish(later, Permit(1), completed(Duration::from_millis(100)));
    assert_eq!(dispatcher.grant(later)[0].0, Permit(3));
}

/// Guards against requests of programs that can't meet their deadline waiting until it is too late for a retry.
#[test]
fn request_that_cannot_meet_its_deadline_times_out_early() {
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

/// Guards against overloading a server that also gets requests from VMs that this one can't reach.
#[test]
fn reported_load_of_other_vms_reduces_free_slots() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 3)]);
    let load = Some(Load {
        running: 4,
        waiting: 0,
        host_pace: None,
    });
    let outcome = Outcome::Done {
        took: Duration::from_millis(50),
        work: 1.0,
        load,
    };
    for permit in 0..50 {
        granted(dispatcher.request(now, Permit(permit), request(0)));
        dispatcher.finish(now, Permit(permit), outcome);
    }
    granted(dispatcher.request(now, Permit(100), request(0)));
    assert_eq!(
        dispatcher.request(now, Permit(101), request(0)),
        Placement::Waiting
    );
}

/// Guards against a new connection for every request when many VMs send few requests to many servers.
#[test]
fn vm_is_sent_to_a_server_it_used_before() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    let servers = ["s", "t", "u", "v"].map(|id| server(id, "a", 6));
    dispatcher.set_servers(servers);
    let from = |vm| Request { vm, ..request(0) };
    for vm in 0..4 {
        granted(dispatcher.request(now, Permit(vm), from(vm)));
    }
    for vm in 0..4 {
        dispatcher.finish(now, Permit(vm), completed(Duration::from_millis(50)));
    }
    let first = granted(dispatcher.request(now, Permit(10), from(0)));
    dispatcher.finish(now, Permit(10), completed(Duration::from_millis(50)));
    for permit in 11..15 {
        assert_eq!(
            granted(dispatcher.request(now, Permit(permit), from(0))),
            first
        );
        dispatcher.finish(now, Permit(permit), completed(Duration::from_millis(50)));
    }
}

/// Guards against sub-agents placed on an idle server instead of the one that has their common prompt prefix in its
/// cache, and against unrelated prompts following them.
#[test]
fn sub_agents_go_to_the_server_that_caches_their_prefix() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers([server("s", "a", 12), server("t", "a", 12)]);
    let part = |id, tokens| Part { id, tokens };
    let with_prompt = |prompt| Request {
        prompt,
        ..request(0)
    };
    let parent = vec![part(1, 500), part(2, 1500)];
    let first = granted(dispatcher.request(now, Permit(1), with_prompt(parent)));
    for agent in 0..4 {
        let prompt = vec![part(1, 500), part(2, 1500), part(10 + agent, 300)];
        let permit = Permit(2 + agent);
        assert_eq!(
            granted(dispatcher.request(now, permit, with_prompt(prompt))),
            first
        );
    }
    let other = granted(dispatcher.request(now, Permit(6), with_prompt(vec![part(3, 800)])));
    assert_ne!(other, first);
}

/// Guards against a prefix cache that exceeds its capacity, evicts recently used parts, or counts parts after a
/// missing one as cached.
#[test]
fn least_recently_used_prefix_is_evicted_first() {
    let part = |id| Part { id, tokens: 400 };
    let mut cache = Cache::default();
    cache.insert(&[part(1), part(2)], 1200);
    cache.insert(&[part(1), part(3)], 1200);
    assert_eq!(cache.uncached_tokens(&[part(1), part(2)]), 0);
    cache.insert(&[part(1), part(4)], 1200);
    assert_eq!(cache.uncached_tokens(&[part(1), part(2)]), 400);
    assert_eq!(cache.uncached_tokens(&[part(1), part(3)]), 0);
    assert_eq!(cache.uncached_tokens(&[part(2), part(3)]), 800);
}

/// Guards against a stream that goes on at another software version, and against waiting for one that is gone.
#[test]
fn a_request_bound_to_a_version_is_granted_at_that_version_only() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    let of_version = |id, version: &str| Description {
        version: version.into(),
        ..server(id, "a", 1)
    };
    let bound = || Request {
        version: Some("v1".into()),
        ..request(0)
    };
    dispatcher.set_servers([
        of_version("old", "v1"),
        of_version("new", "v2"),
        of_version("newer", "v2"),
    ]);
    assert_eq!(
        &*granted(dispatcher.request(now, Permit(1), bound())),
        "old"
    );
    // The others have room.
    for permit in [2, 3] {
        let placement = dispatcher.request(now, Permit(permit), bound());
        assert_eq!(placement, Placement::Waiting);
    }
    dispatcher.finish(now, Permit(1), Outcome::Void);
    let next = dispatcher.grant(now);
    assert_eq!(next.len(), 1);
    assert_eq!((next[0].0, &*next[0].1), (Permit(2), "old"));
    dispatcher.remove_server("pool", "old");
    assert_eq!(dispatcher.tick(now).timed_out, [Permit(3)]);
    let placement = dispatcher.request(now, Permit(4), bound());
    assert_eq!(placement, Placement::NoServer);
    granted(dispatcher.request(now, Permit(5), request(0)));
}
