//! Choice between plain servers by the load reports of all VMs.

mod fleet;
#[path = "fleet/plain.rs"]
mod plain;
mod platform;

use fleet::{request, server};
use plain::{Measured, Scenario, replay};
use platform::{Act, Backend, Store, Vm, call, full_response, until};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Dispatcher, HostPace, Load, Outcome, Placement};

/// Calls of deployment B of `docs/design/hard-load.md`.
const UNEVEN: Scenario = Scenario {
    vms: 61,
    servers: 18,
    zones: 3,
    calls_per_second: 1098,
    call_us: &[19_500, 78_000, 52_000],
    objects: 0,
    enabled: false,
    lost_from_s: u64::MAX / 1_000_000,
    seconds: 20,
    seed: 1,
};
/// Calls of deployment A.
const COMPETING: Scenario = Scenario {
    vms: 90,
    servers: 28,
    zones: 1,
    calls_per_second: 1260,
    call_us: &[26_000, 104_000, 69_000],
    ..UNEVEN
};

fn compare(name: &str, scenario: Scenario) -> (Measured, Measured) {
    let before = replay(scenario);
    let after = replay(Scenario {
        enabled: true,
        ..scenario
    });
    for (order, measured) in [("before", &before), ("after", &after)] {
        println!(
            "{name} seed {} {order}: p50 {:.0} p95 {:.0} p99 {:.0} ms, {:.3} new connections and {:.3} across zones per call, {:.3} slow, {:.3} queued, {} refused of {}",
            scenario.seed,
            measured.percentile_ms(50),
            measured.percentile_ms(95),
            measured.percentile_ms(99),
            measured.share(measured.new_connections),
            measured.share(measured.cross_zone),
            measured.share(measured.slow),
            measured.share(measured.queued),
            measured.refused,
            measured.times_us.len(),
        );
    }
    (before, after)
}

/// Guards against calls that wait on servers whose hosts are slow at the moment, though other VMs know that they are,
/// and against more new connections than before.
#[test]
fn slow_hosts_are_avoided() {
    for seed in [1, 2, 3] {
        for (name, scenario) in [("uneven", UNEVEN), ("competing", COMPETING)] {
            let (before, after) = compare(name, Scenario { seed, ..scenario });
            let ratio = after.percentile_ms(95) / before.percentile_ms(95);
            assert!(ratio <= 0.7, "p95 is {ratio:.2} of that before");
            assert!(after.new_connections <= before.new_connections);
        }
    }
}

/// Guards against calls that are worse off than without reports when the messages between VMs are lost.
#[test]
fn lost_messages_do_not_make_calls_slower_than_before() {
    let lost = Scenario {
        lost_from_s: 1,
        ..UNEVEN
    };
    let (before, after) = compare("lost", lost);
    assert!(after.percentile_ms(95) <= before.percentile_ms(95));
}

/// Guards against objects that are handled by many servers, of which each has to learn them first.
#[test]
fn objects_are_handled_faster_by_one_server() {
    let objects = Scenario {
        objects: 3000,
        ..UNEVEN
    };
    let (before, after) = compare("objects", objects);
    let ratio = after.percentile_ms(50) / before.percentile_ms(50);
    assert!(ratio <= 0.8, "the median is {ratio:.2} of that before");
}

/// A load report of this host pace.
const fn load(running: usize, pace: Option<u32>) -> Load {
    Load {
        running,
        waiting: 0,
        host_pace: match pace {
            Some(pace) => Some(HostPace(pace)),
            None => None,
        },
    }
}

/// A dispatcher of a service without an engine, with these servers.
fn dispatcher(servers: usize, plain: bool) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    for index in 0..servers {
        dispatcher.update_server(server(&format!("s{index}"), "a", 6));
    }
    if plain {
        dispatcher.set_plain_services([Arc::from("pool")]);
    }
    dispatcher
}

/// Sends a request, whose server answers at once with a load of this pace.
fn answer(
    dispatcher: &mut Dispatcher,
    now: Instant,
    permit: u64,
    pace: &dyn Fn(&str) -> Option<u32>,
) -> Arc<str> {
    let placement = dispatcher.request(now, Permit(permit), request(0));
    let Placement::Granted(server) = placement else {
        panic!("not granted: {placement:?}");
    };
    let outcome = Outcome::Done {
        took: Duration::from_millis(20),
        work: 1.0,
        load: Some(load(1, pace(&server))),
    };
    dispatcher.finish(now, Permit(permit), outcome);
    server
}

/// Guards against another placement at servers that report no pace.
#[test]
fn servers_without_a_host_pace_are_chosen_as_before() {
    let now = Instant::now();
    let places = |plain: bool| -> Vec<Arc<str>> {
        let mut dispatcher = dispatcher(8, plain);
        let places = (0..200).map(|permit| {
            let at = now + Duration::from_millis(permit * 7);
            answer(&mut dispatcher, at, permit, &|_| None)
        });
        let places = places.collect();
        assert_eq!(dispatcher.take_load_reports(now, "pool"), None);
        places
    };
    assert_eq!(places(true), places(false));
}

/// Guards against choices by reports that have lost their worth, and against reports that stay in use forever.
#[test]
fn reports_of_other_vms_count_until_they_are_too_old() {
    let now = Instant::now();
    let (mut seen, mut told) = (dispatcher(4, true), dispatcher(4, true));
    for permit in 0..40 {
        answer(&mut seen, now, permit, &|server| {
            Some(if server == "s0" { 100 } else { 250 })
        });
    }
    let mut reports = seen
        .take_load_reports(now, "pool")
        .expect("the service was used");
    assert_eq!(
        seen.take_load_reports(now, "pool"),
        None,
        "reports are sent once"
    );
    told.merge_load_reports(now, "pool", &reports);
    assert_eq!(told.load_digest(now, "pool").len(), reports.len());
    let later = now + Duration::from_millis(600);
    assert!(told.load_digest(later, "pool").is_empty());
    for report in &mut reports {
        report.age_ms = 600;
    }
    let mut late = dispatcher(4, true);
    late.merge_load_reports(now, "pool", &reports);
    assert!(late.load_digest(now, "pool").is_empty());
    reports[0].server = 1;
    reports[0].age_ms = 0;
    late.merge_load_reports(now, "pool", &reports[..1]);
    assert!(
        late.load_digest(now, "pool").is_empty(),
        "no server has this hash"
    );
}

/// Calls of 300 that go to a server which takes 2.5 times as long as nine others, but claims to be idle and fast.
fn calls_at_a_server_with_false_reports(plain: bool) -> u32 {
    let (now, mut dispatcher) = (Instant::now(), dispatcher(10, plain));
    let mut running: Vec<(u64, Permit, Arc<str>)> = Vec::new();
    let mut false_reports = 0;
    for number in 0..600 {
        let clock_ms = number * 10;
        let at = now + Duration::from_millis(clock_ms);
        let ended = running.extract_if(.., |(end, ..)| *end <= clock_ms);
        for (_, permit, server) in ended.collect::<Vec<_>>() {
            let is_false = &*server == "s0";
            let outcome = Outcome::Done {
                took: Duration::from_millis(if is_false { 100 } else { 40 }),
                work: 1.0,
                load: Some(load(
                    if is_false { 0 } else { 2 },
                    Some(if is_false { 1 } else { 100 }),
                )),
            };
            dispatcher.finish(at, permit, outcome);
        }
        let placement = dispatcher.request(at, Permit(number), request(0));
        let Placement::Granted(server) = placement else {
            panic!("not granted: {placement:?}");
        };
        let is_false = &*server == "s0";
        false_reports += u32::from(is_false && number >= 300);
        running.push((
            clock_ms + if is_false { 100 } else { 40 },
            Permit(number),
            server,
        ));
    }
    false_reports
}

/// Guards against each VM failing at a server that resets all requests before it avoids it, and against
/// a failure that keeps the others away after the server has answered again.
#[test]
fn failures_are_told_to_the_other_vms() {
    let now = Instant::now();
    let (mut one, mut other) = (dispatcher(4, true), dispatcher(4, true));
    let answer = Outcome::Done {
        took: Duration::from_millis(20),
        work: 1.0,
        load: Some(load(1, Some(100))),
    };
    let use_server = |dispatcher: &mut Dispatcher, at: Instant, number: u64, outcome| {
        let Placement::Granted(server) = dispatcher.request(at, Permit(number), request(0)) else {
            panic!("not granted");
        };
        dispatcher.finish(at, Permit(number), outcome);
        server
    };
    for number in 1..20 {
        use_server(&mut one, now, number, answer);
        use_server(&mut other, now, number, answer);
    }
    // Only the newest report of a server counts.
    let later = now + Duration::from_millis(10);
    let failed = use_server(&mut one, later, 20, Outcome::Failed);
    let reports = one.take_load_reports(later, "pool").expect("reports");
    other.merge_load_reports(later, "pool", &reports);
    for number in 21..60 {
        assert_ne!(use_server(&mut other, later, number, answer), failed);
    }
}

/// Guards against a slow server that gets more calls by false reports of its host than without them.
#[test]
fn false_reports_do_not_attract_calls() {
    let before = calls_at_a_server_with_false_reports(false);
    let after = calls_at_a_server_with_false_reports(true);
    println!("false reports: {before} of 300 calls before, {after} after");
    assert!(
        after <= before.max(60),
        "{after} of 300 calls, {before} before"
    );
}

/// Guards against VMs that do not exchange the reports of a service, and against an exchange that ends with the VM that
/// collects them.
#[test]
fn another_vm_collects_reports_after_the_collector_is_killed() {
    let backend = Backend::start(|request, _| {
        let response = String::from_utf8(full_response(request, "fine")).expect("text");
        let head = "X-Server-Load: 1,0,4,100\r\nContent-Length";
        Act::Keep(response.replacen("Content-Length", head, 1).into_bytes())
    });
    let store = Store::start();
    store.configure(1, &[("/a/", "safe", json!({ "service": "other" }))]);
    for id in ["s0", "s1", "s2"] {
        store.register(id, "other", backend.address, "ready");
    }
    let mut vms: Vec<Vm> = (0..3).map(|_| Vm::start(&store)).collect();
    vms.iter().for_each(Vm::wait_ready);
    let call_all = |vms: &[Vm]| {
        for (number, vm) in vms.iter().enumerate() {
            let id = format!("r{number}-{}", backend.count());
            let headers = [("X-Request-Id", &*id), ("X-Deadline-Ms", "4000")];
            assert_eq!(call(vm.callers, "GET", "/a/x", &headers, b"").status, 200);
        }
    };
    let collector = |vms: &[Vm]| {
        let subscribers = vms.len() - 1;
        vms.iter().position(|vm| {
            let state = vm.state();
            state["load_exchange"]["subscribers"]["other"] == subscribers
                && state["load_exchange"]["collectors"]["other"] == vm.name.as_str()
        })
    };
    let mut first = None;
    until("one VM collects for all", || {
        call_all(&vms);
        first = collector(&vms);
        first.is_some()
    });
    vms.swap_remove(first.expect("just found")).kill();
    until("another VM collects", || {
        call_all(&vms);
        collector(&vms).is_some()
    });
    // The first digest follows up to an interval after the subscription.
    until("both VMs get messages", || {
        call_all(&vms);
        let metrics = |vm: &Vm| call(vm.operators, "GET", "/metrics", &[], b"").text();
        vms.iter()
            .all(|vm| metrics(vm).contains("load_notes_total{what=\"received\""))
    });
}
