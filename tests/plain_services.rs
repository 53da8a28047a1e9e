//! Placement of requests on the servers of services without an engine.

mod fleet;

use fleet::{completed, request, server};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::affinity::{Candidate, choose};
use vanillatrail::policy::dispatch::{
    Description, Dispatcher, HostPace, Load, Outcome, Placement, Request,
};

/// A request of this VM about an object.
fn about(object: u64, vm: u64) -> Request {
    Request {
        vm,
        object: Some(object),
        ..request(0)
    }
}

fn granted(placement: Placement) -> Arc<str> {
    match placement {
        Placement::Granted(server) => server,
        other => panic!("not granted: {other:?}"),
    }
}

/// A dispatcher of a service without an engine, with `count` servers given in the order of `start`.
fn plain_dispatcher(count: usize, start: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    let ids = (0..count).map(|index| (index + start) % count);
    dispatcher.set_servers(ids.map(|id| server(&format!("s{id}"), "a", 6)));
    dispatcher.set_plain_services([Arc::from("pool")]);
    dispatcher
}

/// Lets a server that is not in `avoid` report the usual pace of its host, without which objects are not followed.
fn report_pace(dispatcher: &mut Dispatcher, now: Instant, avoid: &[Arc<str>]) {
    let permit = Permit(u64::MAX);
    let request = Request {
        vm: u64::MAX,
        avoid: avoid.to_vec(),
        ..request(0)
    };
    granted(dispatcher.request(now, permit, request));
    let load = Load {
        running: 1,
        waiting: 0,
        host_pace: Some(HostPace(100)),
    };
    let outcome = Outcome::Done {
        took: Duration::from_millis(20),
        work: 1.0,
        load: Some(load),
    };
    dispatcher.finish(now, permit, outcome);
}

/// Guards against VMs that send requests about one object to different servers.
#[test]
fn all_vms_choose_the_same_server_for_an_object() {
    let now = Instant::now();
    let chosen = |object| -> HashSet<Arc<str>> {
        let vms = (0..12).map(|vm| {
            let mut dispatcher = plain_dispatcher(18, vm);
            report_pace(&mut dispatcher, now, &[]);
            granted(dispatcher.request(now, Permit(1), about(object, vm as u64)))
        });
        vms.collect()
    };
    let by_object: Vec<_> = (0..200).map(chosen).collect();
    assert!(by_object.iter().all(|servers| servers.len() == 1));
    let servers: HashSet<_> = by_object.into_iter().flatten().collect();
    assert_eq!(servers.len(), 18, "objects are spread over all servers");
}

/// Guards against a popular object that overloads its server: no server gets more than 1.25 times the mean, rounded up.
#[test]
fn load_of_a_server_stays_within_the_bound() {
    let (now, mut dispatcher) = (Instant::now(), plain_dispatcher(18, 0));
    report_pace(&mut dispatcher, now, &[]);
    let mut loads: HashMap<Arc<str>, f64> = HashMap::new();
    for number in 0..72 {
        let object = if number % 2 == 0 { 0 } else { number };
        let server = granted(dispatcher.request(now, Permit(number), about(object, 1)));
        *loads.entry(server).or_default() += 1.0;
        let bound = (1.25 * (number + 1) as f64 / 18.0).ceil();
        let highest = loads.values().copied().fold(0.0, f64::max);
        assert!(highest <= bound, "{highest} requests, at most {bound}");
    }
}

/// Guards against objects that change servers although theirs stays: only those of the removed server may move.
#[test]
fn removed_server_moves_only_its_own_objects() {
    let ids: Vec<String> = (0..18).map(|id| format!("s{id}")).collect();
    let idle = |id| Candidate {
        id,
        load: 0.0,
        has_room: true,
    };
    let all: Vec<_> = ids.iter().map(|id| idle(id)).collect();
    let without_last = &all[..17];
    for object in 0..500 {
        let before = choose(object, &all).expect("all have room").index;
        let after = choose(object, without_last).expect("all have room").index;
        assert!(before == after || before == 17);
    }
}

/// Guards against requests about an object at a server that is ejected, draining or was already tried, and against a
/// recovered server that never gets its objects back.
#[test]
fn unusable_server_is_passed_over_until_it_recovers() {
    let (now, mut dispatcher) = (Instant::now(), plain_dispatcher(6, 0));
    report_pace(&mut dispatcher, now, &[]);
    let home = granted(dispatcher.request(now, Permit(1), about(5, 1)));
    dispatcher.finish(now, Permit(1), Outcome::Failed);
    // Another VM got an answer since, so that the server is passed over for its ejection alone.
    let answered = now + Duration::from_millis(10);
    let mut other_vm = plain_dispatcher(6, 0);
    let others = (0..6).map(|id| Arc::from(format!("s{id}")));
    let others: Vec<_> = others.filter(|id| *id != home).collect();
    report_pace(&mut other_vm, answered, &others);
    let reports = other_vm.take_load_reports(answered, "pool");
    let reports = reports.expect("the service was used");
    dispatcher.merge_load_reports(answered, "pool", &reports);
    for permit in 2..10 {
        let other = granted(dispatcher.request(answered, Permit(permit), about(5, 1)));
        assert_ne!(other, home);
        dispatcher.finish(answered, Permit(permit), Outcome::Void);
    }
    let later = now + Duration::from_secs(5);
    report_pace(&mut dispatcher, later, &[Arc::clone(&home)]);
    let early = granted(dispatcher.request(later, Permit(15), about(5, 1)));
    assert_ne!(early, home, "few requests try the server");
    dispatcher.finish(later, Permit(15), Outcome::Void);
    let probe = granted(dispatcher.request(later, Permit(16), about(5, 1)));
    assert_eq!(probe, home, "one request tries the server");
    let second = granted(dispatcher.request(later, Permit(32), about(5, 1)));
    assert_ne!(second, home, "no others while it has not answered");
    dispatcher.finish(later, Permit(32), Outcome::Void);
    dispatcher.finish(later, Permit(16), completed(Duration::from_millis(20)));
    let repeated = Request {
        avoid: vec![Arc::clone(&home)],
        ..about(5, 1)
    };
    assert_ne!(
        granted(dispatcher.request(later, Permit(33), repeated)),
        home
    );
    dispatcher.finish(later, Permit(33), Outcome::Void);
    dispatcher.update_server(Description {
        draining: true,
        ..server(&home, "a", 6)
    });
    assert_ne!(
        granted(dispatcher.request(later, Permit(34), about(5, 1))),
        home
    );
}

/// Guards against objects that change the placement at services with an engine or without load reports, and at requests
/// without an object.
#[test]
fn only_objects_at_services_without_an_engine_change_the_placement() {
    let now = Instant::now();
    let placed = |plain: bool, reports: bool, object: fn(u64) -> Option<u64>| {
        let mut dispatcher = plain_dispatcher(18, 0);
        dispatcher.update_server(server("near", "b", 6));
        if !plain {
            dispatcher.set_plain_services([]);
        }
        if reports {
            report_pace(&mut dispatcher, now, &[]);
        }
        let servers = (0..40).map(|number| {
            let request = Request {
                zone: "b".into(),
                object: object(number),
                ..about(0, 1)
            };
            let server = granted(dispatcher.request(now, Permit(number), request));
            dispatcher.finish(now, Permit(number), Outcome::Void);
            server
        });
        let servers: HashSet<Arc<str>> = servers.collect();
        let counts = dispatcher.plain_counts().next();
        let by_object = counts.map(|(_, by_object, _)| by_object.first + by_object.later);
        (servers, by_object)
    };
    let near = || HashSet::from([Arc::from("near")]);
    assert_eq!(placed(false, true, Some), (near(), None));
    assert_eq!(placed(true, false, Some), (near(), Some(0)));
    assert_eq!(placed(true, false, |_| None), (near(), Some(0)));
    assert_eq!(placed(true, true, |_| None).1, Some(0));
    let (servers, by_object) = placed(true, true, Some);
    assert_eq!(by_object, Some(40));
    assert!(servers.len() > 10);
}
