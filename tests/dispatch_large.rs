//! Placement among thousands of servers of one service.

mod fleet;

use fleet::{completed, server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::candidates::Candidates;
use vanillatrail::policy::dispatch::{Description, Dispatcher, Placement, Request};
use vanillatrail::policy::prefix::Part;

const ZONE_COUNT: u64 = 5;
const VM_COUNT: u64 = 1000;
const SLOTS: usize = 6;
const TURN_TIME: Duration = Duration::from_millis(150);

fn zone(number: u64) -> Arc<str> {
    format!("zone-{}", number % ZONE_COUNT).into()
}

fn servers(count: u64) -> impl Iterator<Item = Description> {
    (0..count).map(|number| Description {
        cache_tokens: 60_000,
        ..server(&format!("server-{number}"), &zone(number), SLOTS)
    })
}

/// A turn of a session: a prompt prefix that all sessions share, and a part of its own.
fn turn(vm: u64, session: u64) -> Request {
    let part = |id, tokens| Part { id, tokens };
    Request {
        zone: zone(vm),
        vm,
        session: Some(session),
        prompt: vec![part(1, 512), part(1000 + session, 900)],
        ..fleet::request(0)
    }
}

/// Guards against placement whose cost grows with the number of servers.
#[test]
fn placement_considers_a_bounded_number_of_servers() {
    for count in [1000, 10_000] {
        let servers: Vec<Description> = servers(count).collect();
        let mut candidates = Candidates::default();
        candidates.configure(servers.iter().map(|server| (&server.id, &server.zone)));
        for number in 0..2000 {
            let turn = turn(number % 10, number % 50);
            let chosen = candidates.select(Permit(number), &turn, None);
            assert!(
                (10..=40).contains(&chosen.len()),
                "{} of {count}",
                chosen.len()
            );
            let server = &servers[chosen[0]].id;
            candidates.record_use(turn.vm, server);
            candidates.record_prompt(&turn.prompt, server);
        }
    }
}

/// Where the turns were placed.
#[derive(Debug, Default)]
struct Placements {
    turns: u64,
    /// Turns placed outside their zone.
    other_zone: u64,
    /// Turns placed on the server of the previous turn of their session.
    same_server: u64,
    /// Most turns that one server ran at a time.
    max_running: usize,
}

/// Places turns of 1,500 sessions for 10 s on `server_count` servers.
fn simulate(server_count: u64, turns_per_second: u64) -> Placements {
    let mut rng = StdRng::seed_from_u64(7);
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_servers(servers(server_count));
    let zones: HashMap<Arc<str>, Arc<str>> = servers(server_count)
        .map(|server| (server.id, server.zone))
        .collect();
    let start = Instant::now();
    let step = Duration::from_secs(1) / u32::try_from(turns_per_second).expect("the number fits");
    let mut placements = Placements::default();
    let mut running: Vec<(Instant, Permit, Arc<str>)> = Vec::new();
    let mut running_by_server: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut last_servers: HashMap<u64, Arc<str>> = HashMap::new();
    for number in 0..turns_per_second * 10 {
        let now = start + step * u32::try_from(number).expect("the number fits");
        while let Some((_, permit, server)) = running.pop_if(|(end, ..)| *end <= now) {
            dispatcher.finish(now, permit, completed(TURN_TIME));
            *running_by_server.entry(server).or_default() -= 1;
        }
        let session = rng.random_range(0..1500);
        let vm = session % VM_COUNT;
        let Placement::Granted(server) = dispatcher.request(now, Permit(number), turn(vm, session))
        else {
            panic!("no free slot");
        };
        placements.turns += 1;
        placements.other_zone += u64::from(zones[&server] != zone(vm));
        let previous = last_servers.insert(session, Arc::clone(&server));
        placements.same_server += u64::from(previous.as_ref() == Some(&server));
        let running_here = running_by_server.entry(Arc::clone(&server)).or_default();
        *running_here += 1;
        placements.max_running = placements.max_running.max(*running_here);
        running.insert(0, (now + TURN_TIME, Permit(number), server));
    }
    placements
}

/// Guards against overloaded servers next to idle ones, lost prefix caches and requests that leave their zone when only
/// some servers are considered.
#[test]
fn the_few_that_are_weighed_are_good_ones() {
    let placements = simulate(4000, 600);
    // Some turns go to another zone where the shared prefix is cached.
    assert!(
        placements.other_zone * 20 <= placements.turns,
        "{placements:?}"
    );
    assert!(placements.max_running <= SLOTS, "{placements:?}");
    // The first turn of a session has no previous server.
    assert!(
        placements.same_server * 100 >= (placements.turns - 1500) * 95,
        "{placements:?}"
    );
}

/// Guards against requests to removed or draining servers, or servers without requests, after single updates.
#[test]
fn incremental_server_updates_match_the_live_servers() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut dispatcher = Dispatcher::default();
    let mut live: BTreeMap<Arc<str>, Description> = BTreeMap::new();
    let all: Vec<Description> = servers(600).collect();
    for _ in 0..5000 {
        let server = &all[rng.random_range(0..all.len())];
        match rng.random_range(0..4) {
            0 => {
                dispatcher.remove_server("pool", &server.id);
                live.remove(&server.id);
            }
            1 => {
                let draining = Description {
                    draining: true,
                    ..server.clone()
                };
                dispatcher.update_server(draining.clone());
                live.insert(Arc::clone(&server.id), draining);
            }
            _ => {
                dispatcher.update_server(server.clone());
                live.insert(Arc::clone(&server.id), server.clone());
            }
        }
    }
    let known = dispatcher.state();
    let known = known["pool"]["servers"].as_object().expect("servers");
    assert!(known.keys().eq(live.keys().map(|id| &**id)));
    let mut used = std::collections::BTreeSet::new();
    let now = Instant::now();
    for number in 0..20_000 {
        let turn = Request {
            prompt: Vec::new(),
            ..turn(number, number)
        };
        let Placement::Granted(server) = dispatcher.request(now, Permit(number), turn) else {
            panic!("no free slot");
        };
        assert!(!live[&server].draining);
        used.insert(server);
        dispatcher.finish(now, Permit(number), completed(TURN_TIME));
    }
    assert!(used.len() >= 100, "{}", used.len());
}
