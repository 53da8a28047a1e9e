//! Placement among thousands of servers of one service.

mod fleet;

use fleet::{done, server};
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

const ZONES: u64 = 5;
const VMS: u64 = 1000;
const SLOTS: usize = 6;
const TOOK: Duration = Duration::from_millis(150);

fn zone(number: u64) -> Arc<str> {
    format!("zone-{}", number % ZONES).into()
}

fn servers(count: u64) -> impl Iterator<Item = Description> {
    (0..count).map(|number| Description {
        cache_tokens: 60_000,
        ..server(&format!("server-{number}"), &zone(number), SLOTS)
    })
}

/// A turn of a line: a beginning that all share, and its own part.
fn ask(vm: u64, line: u64) -> Request {
    let part = |id, tokens| Part { id, tokens };
    Request {
        zone: zone(vm),
        vm,
        session: Some(line),
        prompt: vec![part(1, 512), part(1000 + line, 900)],
        ..fleet::ask(0)
    }
}

/// Guards against decisions whose time grows with the servers of a service.
#[test]
fn a_decision_weighs_few_servers() {
    for count in [1000, 10_000] {
        let servers: Vec<Description> = servers(count).collect();
        let mut candidates = Candidates::default();
        candidates.configure(servers.iter().map(|server| (&server.id, &server.zone)));
        for number in 0..2000 {
            let ask = ask(number % 10, number % 50);
            let chosen = candidates.select(Permit(number), &ask, None);
            assert!(
                (10..=40).contains(&chosen.len()),
                "{} of {count}",
                chosen.len()
            );
            let server = &servers[chosen[0]].id;
            candidates.record_use(ask.vm, server);
            candidates.record_prompt(&ask.prompt, server);
        }
    }
}

/// What became of the turns.
#[derive(Debug, Default)]
struct Tally {
    turns: u64,
    far: u64,
    /// Turns that went to the server that read their line before.
    read_before: u64,
    /// The most that one server ran at a time.
    busiest: usize,
}

/// Turns of 1,500 lines, `rate` a second, before `count` servers.
fn replay(count: u64, rate: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(7);
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_servers(servers(count));
    let zones: HashMap<Arc<str>, Arc<str>> = servers(count)
        .map(|server| (server.id, server.zone))
        .collect();
    let begin = Instant::now();
    let step = Duration::from_secs(1) / u32::try_from(rate).expect("small");
    let mut tally = Tally::default();
    let mut running: Vec<(Instant, Permit, Arc<str>)> = Vec::new();
    let mut at: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut lines: HashMap<u64, Arc<str>> = HashMap::new();
    for number in 0..rate * 10 {
        let now = begin + step * u32::try_from(number).expect("small");
        while let Some((_, permit, server)) = running.pop_if(|(end, ..)| *end <= now) {
            dispatcher.finish(now, permit, done(TOOK));
            *at.entry(server).or_default() -= 1;
        }
        let line = rng.random_range(0..1500);
        let vm = line % VMS;
        let Placement::Granted(server) = dispatcher.request(now, Permit(number), ask(vm, line))
        else {
            panic!("there is room");
        };
        tally.turns += 1;
        tally.far += u64::from(zones[&server] != zone(vm));
        let before = lines.insert(line, Arc::clone(&server));
        tally.read_before += u64::from(before.as_ref() == Some(&server));
        let runs = at.entry(Arc::clone(&server)).or_default();
        *runs += 1;
        tally.busiest = tally.busiest.max(*runs);
        running.insert(0, (now + TOOK, Permit(number), server));
    }
    tally
}

/// Guards against servers that are full beside idle ones, prompts that are read again, and requests that leave their
/// zone, where only some servers are weighed.
#[test]
fn the_few_that_are_weighed_are_good_ones() {
    let tally = replay(4000, 600);
    // Some go where the beginning that all share is kept already.
    assert!(tally.far * 20 <= tally.turns, "{tally:?}");
    assert!(tally.busiest <= SLOTS, "{tally:?}");
    // Each line is new once.
    assert!(
        tally.read_before * 100 >= (tally.turns - 1500) * 95,
        "{tally:?}"
    );
}

/// Guards against requests to servers that have left, or that get none, after changes one by one.
#[test]
fn servers_come_and_go_one_by_one() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut dispatcher = Dispatcher::default();
    let mut live: BTreeMap<Arc<str>, Description> = BTreeMap::new();
    let all: Vec<Description> = servers(600).collect();
    for _ in 0..5000 {
        let about = &all[rng.random_range(0..all.len())];
        match rng.random_range(0..4) {
            0 => {
                dispatcher.remove_server("pool", &about.id);
                live.remove(&about.id);
            }
            1 => {
                let leaving = Description {
                    draining: true,
                    ..about.clone()
                };
                dispatcher.update_server(leaving.clone());
                live.insert(Arc::clone(&about.id), leaving);
            }
            _ => {
                dispatcher.update_server(about.clone());
                live.insert(Arc::clone(&about.id), about.clone());
            }
        }
    }
    let known = dispatcher.state();
    let known = known["pool"]["servers"].as_object().expect("servers");
    assert!(known.keys().eq(live.keys().map(|id| &**id)));
    let mut used = std::collections::BTreeSet::new();
    let now = Instant::now();
    for number in 0..20_000 {
        let ask = Request {
            prompt: Vec::new(),
            ..ask(number, number)
        };
        let Placement::Granted(server) = dispatcher.request(now, Permit(number), ask) else {
            panic!("there is room");
        };
        assert!(!live[&server].draining);
        used.insert(server);
        dispatcher.finish(now, Permit(number), done(TOOK));
    }
    assert!(used.len() >= 100, "{}", used.len());
}
