//! Random faults while callers check what they receive.
//!
//! Three VMs run in front of two engines and a plain server, all behind proxies. A failure names its
//! seed; `SOAK_SEEDS=100..150 cargo test --test soak` runs other seeds than the default ones.

#[path = "platform/mod.rs"]
mod platform;
#[path = "soak/proxy.rs"]
mod proxy;

use platform::team::{
    KEY, OTHER_TEAM_KEY, WINDOW, max_in_any_window, max_requests_per_window, teams,
};
use platform::{Act, Backend, Request, Store, Vm, call, events, full_response, stream_head, until};
use proxy::{FAULTS, Fault, Proxy};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Seeds of the default run, with those that found a fault and its cause.
const SEEDS: [u64; 3] = [
    1, 2,
    // A replica of an allowance replaced a newer record, so that the budget was exceeded.
    110,
];
const FAULTS_PER_RUN: usize = 8;
/// Concurrent callers without a team limit.
const CALLERS: u64 = 6;
/// Events of one turn, and tokens that each event counts.
const EVENTS_PER_TURN: u64 = 6;
const TOKENS_PER_EVENT: u64 = 10;
/// Token budget of the looping program, and the largest use of one turn.
const BUDGET_TOKENS: u64 = 870;
const MAX_TURN_TOKENS: u64 = 290;

/// Concurrent callers of the limited team.
const LIMITED_CALLERS: u64 = 3;
/// Rate (per second) and concurrency limit of the limited team; its callers send several times as many.
const TEAM_LIMIT: u64 = 10;
/// Prefix of the request ids of the limited team.
const LIMITED_ID_PREFIX: &str = "limited";
/// An API key that belongs to no team.
const UNKNOWN_KEY: &str = "a key that nobody holds";

/// What the callers and the plain server observed.
#[derive(Debug, Default)]
struct Observations {
    /// Status by id of requests that must not be repeated.
    once_statuses: Mutex<HashMap<String, u16>>,
    /// When callers sent the requests of the limited team.
    sent: Mutex<HashMap<String, Instant>>,
    /// When these requests arrived at a server.
    received: Mutex<Vec<(String, Instant)>>,
    looping_tokens: AtomicU64,
    violations: Mutex<Vec<String>>,
}

impl Observations {
    fn add_violation(&self, violation: String) {
        self.violations
            .lock()
            .expect("the mutex is not poisoned")
            .push(violation);
    }
}

fn start_engine() -> Backend {
    Backend::start(|request, _| {
        let from = request.header("last-event-id").parse().unwrap_or(0) + 1;
        std::thread::sleep(Duration::from_millis(15));
        let text = stream_head(request) + &events(from..=EVENTS_PER_TURN) + "0\r\n\r\n";
        Act::Keep(text.into_bytes())
    })
}

/// A caller that sends turns of the looping program, turns of new programs, and requests that must not
/// be repeated.
fn run_caller(
    addresses: &[SocketAddr],
    observations: &Observations,
    caller: u64,
    stopped: &AtomicBool,
    mut rng: StdRng,
) {
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let vm = *addresses.choose(&mut rng).expect("the list is not empty");
        let id = format!("c{caller}n{number}");
        match rng.random_range(0..3) {
            0 => send_once(vm, observations, &id, OTHER_TEAM_KEY),
            1 => send_turn(vm, observations, &id, "loop"),
            _ => send_turn(vm, observations, &id, &id),
        }
    }
}

/// A caller of the limited team, which also sends requests with an unknown API key.
fn run_limited_caller(
    addresses: &[SocketAddr],
    observations: &Observations,
    caller: u64,
    stopped: &AtomicBool,
    mut rng: StdRng,
) {
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            return;
        }
        let vm = *addresses.choose(&mut rng).expect("the list is not empty");
        let id = format!("{LIMITED_ID_PREFIX}{caller}n{number}");
        match rng.random_range(0..4) {
            0 => send_unknown_key(vm, observations, &id),
            _ => send_limited(vm, observations, &id),
        }
    }
}

/// Sends a request with an API key that belongs to no team.
fn send_unknown_key(vm: SocketAddr, observations: &Observations, id: &str) {
    let headers = [
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
        ("Api-Key", UNKNOWN_KEY),
    ];
    let status = call(vm, "POST", "/u/x", &headers, b"body").status;
    if ![0, 401, 503].contains(&status) {
        observations.add_violation(format!("{id} has an unknown key and got {status}"));
    }
}

fn send_limited(vm: SocketAddr, observations: &Observations, id: &str) {
    let mut sent = observations.sent.lock().expect("the mutex is not poisoned");
    sent.insert(id.to_owned(), Instant::now());
    drop(sent);
    send_once(vm, observations, id, KEY);
}

fn send_once(vm: SocketAddr, observations: &Observations, id: &str, key: &str) {
    let headers = [
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "1500"),
        ("Api-Key", key),
    ];
    let reply = call(vm, "POST", "/u/x", &headers, b"body");
    if reply.status == 200 && reply.whole && reply.text() != id {
        observations.add_violation(format!("{id} got the answer `{}`", reply.text()));
    }
    let mut once_statuses = observations
        .once_statuses
        .lock()
        .expect("the mutex is not poisoned");
    once_statuses.insert(id.to_owned(), reply.status);
}

fn send_turn(vm: SocketAddr, observations: &Observations, id: &str, program: &str) {
    let budget = BUDGET_TOKENS.to_string();
    let headers = [
        ("X-Request-Id", id),
        ("X-Program", program),
        ("X-Session", program),
        ("X-Finish-Ms", "3000"),
        ("X-Token-Budget", &budget),
        ("X-Token-Count", "100,290"),
        ("X-Deadline-Ms", "1500"),
        ("Api-Key", OTHER_TEAM_KEY),
    ];
    let reply = call(vm, "POST", "/s/x", &headers, b"");
    let text = reply.text();
    let received_events = text.matches("data:").count() as u64;
    if reply.status == 200 && !events(1..=EVENTS_PER_TURN).starts_with(&chunked_events(&text)) {
        observations.add_violation(format!("{id} got `{text}`"));
    }
    if reply.status == 200 && reply.whole && received_events != EVENTS_PER_TURN {
        observations.add_violation(format!(
            "{id} ended normally after {received_events} events"
        ));
    }
    if program == "loop" {
        observations
            .looping_tokens
            .fetch_add(received_events * TOKENS_PER_EVENT, Ordering::Relaxed);
    }
}

/// The complete events of the text, each as an HTTP chunk.
fn chunked_events(text: &str) -> String {
    let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
    whole.split_inclusive("\n\n").map(platform::chunk).collect()
}

/// Injects one random fault and ends it.
fn inject_fault(rng: &mut StdRng, store: &Store, vms: &mut [Vm], proxies: &[Proxy]) {
    let pause = Duration::from_millis(rng.random_range(50..900));
    let index = rng.random_range(0..vms.len());
    match rng.random_range(0..7) {
        0 => {
            vms[index].kill();
            std::thread::sleep(pause);
            vms[index].restart();
        }
        1 => {
            vms[index].terminate();
            vms[index].wait();
            vms[index].restart();
        }
        2 => {
            vms[index].signal("-STOP");
            std::thread::sleep(pause * 2);
            vms[index].signal("-CONT");
        }
        3 => {
            store.set_down(true);
            std::thread::sleep(pause * 3);
            store.set_down(false);
        }
        4 => vms[index].signal("-HUP"),
        5 => {
            vms.iter_mut().for_each(Vm::kill);
            std::thread::sleep(pause);
            vms.iter_mut().for_each(Vm::restart);
        }
        _ => {
            let proxy = &proxies[rng.random_range(0..proxies.len())];
            proxy.set(*FAULTS.choose(rng).expect("the list is not empty"));
            std::thread::sleep(pause);
            proxy.set(Fault::None);
        }
    }
}

fn run_seed(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let engines = [start_engine(), start_engine()];
    let observations = Arc::new(Observations::default());
    let observer = Arc::clone(&observations);
    let plain = Backend::start(move |request, _| {
        let id = request.header("x-request-id").to_owned();
        if id.starts_with(LIMITED_ID_PREFIX) {
            let received = (id.clone(), Instant::now());
            observer
                .received
                .lock()
                .expect("the mutex is not poisoned")
                .push(received);
        }
        Act::Keep(full_response(request, &id))
    });
    let store = Store::start();
    let routes = [
        ("/s/", "stream", json!({})),
        ("/u/", "unsafe", json!({ "service": "other" })),
    ];
    store.configure_teams(1, &routes, Some(teams(TEAM_LIMIT)));
    let upstreams = [
        engines[0].address,
        engines[1].address,
        plain.address,
        store.address,
    ];
    let proxies = upstreams.map(Proxy::start);
    store.register("s", "pool", proxies[0].address, "ready");
    store.register("t", "pool", proxies[1].address, "ready");
    store.register("u", "other", proxies[2].address, "ready");
    let proxied_store = store.via_proxy(proxies[3].address);
    let mut vms: Vec<Vm> = (0..3).map(|_| Vm::start(&proxied_store)).collect();
    vms.iter().for_each(Vm::wait_ready);
    let stopped = Arc::new(AtomicBool::new(false));
    let addresses: Arc<[SocketAddr]> = vms.iter().map(|vm| vm.callers).collect();
    let callers: Vec<_> = (0..CALLERS + LIMITED_CALLERS)
        .map(|caller| {
            let (addresses, observations, stopped) = (
                Arc::clone(&addresses),
                Arc::clone(&observations),
                Arc::clone(&stopped),
            );
            let rng = StdRng::seed_from_u64(seed * CALLERS + caller);
            let run = if caller < CALLERS {
                run_caller
            } else {
                run_limited_caller
            };
            std::thread::spawn(move || run(&addresses, &observations, caller, &stopped, rng))
        })
        .collect();
    for _ in 0..FAULTS_PER_RUN {
        inject_fault(&mut rng, &store, &mut vms, &proxies);
        std::thread::sleep(Duration::from_millis(rng.random_range(0..300)));
    }
    vms.iter().for_each(Vm::wait_ready);
    until("requests are served again", || {
        let headers = [
            ("X-Request-Id", "last"),
            ("X-Deadline-Ms", "1500"),
            ("Api-Key", OTHER_TEAM_KEY),
        ];
        vms.iter()
            .all(|vm| call(vm.callers, "POST", "/u/x", &headers, b"").status == 200)
    });
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("no caller panics");
    }
    check_answers(seed, &observations, &plain);
    check_teams(seed, &observations, engines.iter().chain([&plain]));
}

/// Largest number of requests that were both sent and received within one window.
fn most_in_window(requests: &[(Instant, Instant)]) -> usize {
    let counts = requests.iter().map(|(begin, _)| {
        let end = *begin + WINDOW;
        let inside = requests
            .iter()
            .filter(|(sent, received)| sent >= begin && *received < end);
        inside.count()
    });
    counts.max().unwrap_or(0)
}

/// Checks that no server saw an API key, that each saw the right team, and that no window exceeds the limit. Requests
/// sent before a window and delayed on the way do not count; there is at most one for each caller.
fn check_teams<'a>(
    seed: u64,
    observations: &Observations,
    servers: impl Iterator<Item = &'a Backend>,
) {
    for server in servers {
        for request in server
            .requests
            .lock()
            .expect("the mutex is not poisoned")
            .iter()
        {
            let id = request.header("x-request-id");
            let team = if id.starts_with(LIMITED_ID_PREFIX) {
                "payroll"
            } else {
                "audit"
            };
            let headers = (request.header("x-tenant"), request.header("api-key"));
            assert_eq!(headers, (team, ""), "seed {seed}: {id}");
        }
    }
    let sent = observations.sent.lock().expect("the mutex is not poisoned");
    let received = observations
        .received
        .lock()
        .expect("the mutex is not poisoned");
    assert!(
        !received.is_empty(),
        "seed {seed}: the team was never served"
    );
    let arrivals = max_in_any_window(received.iter().map(|(_, at)| *at).collect(), WINDOW);
    let intervals = received.iter().map(|(id, at)| (sent[id], *at));
    let most_in_window = most_in_window(&intervals.collect::<Vec<_>>());
    let most = max_requests_per_window(TEAM_LIMIT);
    assert!(
        most_in_window as f64 <= most,
        "seed {seed}: {most_in_window} requests in a window"
    );
    let max_delayed = LIMITED_CALLERS as f64;
    assert!(
        arrivals as f64 <= most + max_delayed,
        "seed {seed}: {arrivals} requests arrived in a window"
    );
}

/// Checks answers, the budget of the looping program, and that no request ran twice or after a refusal.
fn check_answers(seed: u64, observations: &Observations, plain: &Backend) {
    let violations = observations
        .violations
        .lock()
        .expect("the mutex is not poisoned");
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    let delivered = observations.looping_tokens.load(Ordering::Relaxed);
    assert!(
        delivered <= BUDGET_TOKENS + MAX_TURN_TOKENS,
        "seed {seed}: {delivered} tokens"
    );
    let requests = plain.requests.lock().expect("the mutex is not poisoned");
    let once_statuses = observations
        .once_statuses
        .lock()
        .expect("the mutex is not poisoned");
    assert!(
        !once_statuses.is_empty(),
        "seed {seed}: no request was sent"
    );
    for (id, status) in once_statuses.iter() {
        let runs = |request: &&Request| request.header("x-request-id") == id;
        let runs = requests.iter().filter(runs).count();
        assert!(runs <= 1, "seed {seed}: {id} ran {runs} times");
        let refused = [408, 421, 429, 503].contains(status);
        assert!(
            !refused || runs == 0,
            "seed {seed}: {id} got {status} and ran"
        );
    }
}

#[test]
fn invariants_hold_under_random_faults() {
    let seeds = std::env::var("SOAK_SEEDS").ok().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    match seeds {
        Some(seeds) => std::ops::Range::for_each(seeds, run_seed),
        None => SEEDS.into_iter().for_each(run_seed),
    }
}
