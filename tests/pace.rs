//! Placement on servers whose hosts change their pace, replayed in virtual time.

mod fleet;

use fleet::{request, server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{
    Demand, Dispatcher, HostPace, Load, Outcome, Placement, Request,
};
use vanillatrail::policy::prefix::{Cache, Part};

const SERVERS: usize = 44;
const VMS: u64 = 90;
/// Sessions whose turns come by chance; each begins anew after [`TURNS`].
const SESSIONS: u64 = 160;
const TURNS: u64 = 4;
const SLOTS: usize = 8;
/// Milliseconds per prompt token, per generated token, and per token for each other run.
const COSTS: (f64, f64, f64) = (0.0127, 3.1, 0.2);
const SPEEDS: [f64; 3] = [1.0, 1.0, 1.3];
/// Pace of a slow host in percent.
const SLOW: u32 = 250;
const SLOW_SHARE: f64 = 0.15;
const REDRAW_MS: u64 = 600;
const SIMULATED_MS: u64 = 8_000;
/// Not measured: until then averages settle.
const WARM_UP_MS: u64 = 2000;

/// What servers say about their pace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reports {
    None,
    True,
    /// Server 0 always takes [`SLOW`] times as long, and reports a fast host and no load.
    OneLies,
}

#[derive(Debug)]
struct Run {
    permit: Permit,
    arrived_ms: u64,
    sent_ms: u64,
    /// Work left, in milliseconds alone at the usual pace.
    left: f64,
    tokens: f64,
    load: Option<Load>,
}

#[derive(Debug)]
struct Replay {
    dispatcher: Dispatcher,
    reports: Reports,
    servers: Vec<Vec<Run>>,
    caches: Vec<Cache>,
    paces: Vec<u32>,
    /// Requests that are queued: arrival and tokens.
    waiting: HashMap<Permit, (u64, Request)>,
    /// Time from arrival to end of each finished request.
    times_ms: Vec<u64>,
    sent: Vec<usize>,
}

impl Replay {
    fn send(&mut self, clock_ms: u64, now: Instant, permit: Permit, server: &Arc<str>) {
        let (arrived_ms, request) = self.waiting.remove(&permit).expect("it waits");
        let index: usize = server.parse().expect("a number");
        let demand = request.demand.as_ref().expect("it is known");
        let prefill_ms = self.caches[index].uncached_tokens(&request.prompt) as f64 * COSTS.0;
        self.caches[index].insert(&request.prompt, 50_000);
        // A server generates nothing while it reads a prompt.
        for run in &mut self.servers[index] {
            run.left += prefill_ms;
        }
        let tokens = f64::from(demand.output_tokens);
        self.servers[index].push(Run {
            permit,
            arrived_ms,
            sent_ms: clock_ms,
            left: prefill_ms + tokens * COSTS.1,
            tokens,
            load: None,
        });
        self.sent[index] += 1;
        let load = self.load(index);
        if let Some(load) = load {
            self.dispatcher.report(now, permit, load);
            let run = self.servers[index].last_mut().expect("it was added");
            run.load = Some(Load {
                host_pace: None,
                ..load
            });
        }
    }

    fn load(&self, index: usize) -> Option<Load> {
        let (running, pace) = match self.reports {
            Reports::None => return None,
            Reports::OneLies if index == 0 => (0, 50),
            _ => (self.servers[index].len(), self.paces[index]),
        };
        Some(Load {
            running: running.min(SLOTS),
            waiting: running.saturating_sub(SLOTS),
            host_pace: Some(HostPace(pace)),
        })
    }

    /// Lets all servers work for a millisecond.
    fn step(&mut self, clock_ms: u64, now: Instant) {
        for index in 0..SERVERS {
            let runs = &mut self.servers[index];
            let others = runs.len().clamp(1, SLOTS) - 1;
            let slowdown = 1.0 + COSTS.2 / COSTS.1 * others as f64;
            for run in runs.iter_mut().take(SLOTS) {
                run.left -= SPEEDS[index % 3] / slowdown * 100.0 / f64::from(self.paces[index]);
            }
            let ended: Vec<Run> = runs.extract_if(.., |run| run.left <= 0.0).collect();
            for run in ended {
                let outcome = Outcome::Done {
                    took: Duration::from_millis(clock_ms + 1 - run.sent_ms),
                    work: run.tokens / 13.0 + 1.0,
                    load: run.load,
                };
                self.dispatcher.finish(now, run.permit, outcome);
                if run.sent_ms >= WARM_UP_MS {
                    self.times_ms.push(clock_ms + 1 - run.arrived_ms);
                }
            }
        }
        for (permit, server) in self.dispatcher.tick(now).granted {
            self.send(clock_ms, now, permit, &server);
        }
    }

    fn p95_ms(&mut self) -> u64 {
        self.times_ms.sort_unstable();
        self.times_ms[self.times_ms.len() * 95 / 100]
    }
}

/// A turn of a session: a prompt that extends the one of the turn before it.
fn turn(vm: u64, session: u64, turns: u64, tokens: u32) -> Request {
    let begun = session + SESSIONS * (turns / TURNS);
    let own = (0..=turns % TURNS).map(|turn| Part {
        id: 1 + begun * TURNS + turn,
        tokens: 654,
    });
    let shared = Part { id: 0, tokens: 512 };
    let prompt: Vec<Part> = std::iter::once(shared).chain(own).collect();
    let demand = Demand {
        class: 1,
        team: None,
        prompt_tokens: prompt.iter().map(|part| part.tokens).sum(),
        output_tokens: tokens,
        max_output_tokens: 400,
    };
    Request {
        zone: "z".into(),
        vm,
        prompt,
        demand: Some(demand),
        ..request(0)
    }
}

/// Replays this many turns a second.
fn replay(reports: Reports, per_second: f64, seed: u64) -> Replay {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut replay = Replay {
        dispatcher: Dispatcher::default(),
        reports,
        servers: (0..SERVERS).map(|_| Vec::new()).collect(),
        caches: (0..SERVERS).map(|_| Cache::default()).collect(),
        paces: vec![100; SERVERS],
        waiting: HashMap::new(),
        times_ms: Vec::new(),
        sent: vec![0; SERVERS],
    };
    let description = |index: usize| server(&index.to_string(), "z", SLOTS);
    replay.dispatcher.set_servers((0..SERVERS).map(description));
    replay
        .dispatcher
        .set_tokens_per_event([(Arc::from("pool"), 13)]);
    let mut permits = 0;
    let mut turns_of = HashMap::new();
    for clock_ms in 0..SIMULATED_MS {
        let now = start + Duration::from_millis(clock_ms);
        for index in 0..SERVERS {
            // Each host changes at a time of its own.
            if (clock_ms + index as u64 * 37).is_multiple_of(REDRAW_MS) {
                let is_slow = rng.random_bool(SLOW_SHARE);
                replay.paces[index] = if is_slow { SLOW } else { 100 };
            }
        }
        if reports == Reports::OneLies {
            replay.paces[0] = SLOW;
        }
        let mut due = per_second / 1000.0;
        while due > 0.0 {
            if rng.random_bool(due.min(1.0)) {
                permits += 1;
                let (permit, tokens) = (Permit(permits), rng.random_range(40..120));
                let session = rng.random_range(0..SESSIONS);
                let turns = turns_of.entry(session).or_insert(0);
                let turn = turn(rng.random_range(0..VMS), session, *turns, tokens);
                *turns += 1;
                replay.waiting.insert(permit, (clock_ms, turn.clone()));
                match replay.dispatcher.request(now, permit, turn) {
                    Placement::Granted(server) => replay.send(clock_ms, now, permit, &server),
                    Placement::Waiting => {}
                    other => panic!("not placed: {other:?}"),
                }
            }
            due -= 1.0;
        }
        replay.step(clock_ms, now);
    }
    replay
}

/// Guards against turns that are sent to servers whose hosts are slow at the moment, and against a
/// preference for fast hosts that costs the service capacity.
#[test]
fn slow_hosts_are_avoided_while_they_are_slow() {
    for (per_second, most) in [(400.0, 0.95), (560.0, 1.0)] {
        let (mut before, mut after) = (0, 0);
        for seed in 1..3 {
            before += replay(Reports::None, per_second, seed).p95_ms();
            after += replay(Reports::True, per_second, seed).p95_ms();
        }
        let ratio = after as f64 / before as f64;
        println!(
            "{per_second} a second: p95 {before} ms before, {after} ms after, sums of two days"
        );
        assert!(
            ratio < most,
            "p95 at {per_second} a second is {ratio:.2} of that before"
        );
    }
}

/// Guards against a server that attracts requests by claiming a fast host and no load.
#[test]
fn server_that_reports_falsely_does_not_attract_requests() {
    let sent = replay(Reports::OneLies, 400.0, 1).sent;
    let mean = sent.iter().sum::<usize>() / SERVERS;
    assert!(sent[0] < mean, "{} requests, {mean} on average", sent[0]);
}

/// A dispatcher that has learned the time of a request, 100 ms, on two servers with one slot.
fn learned(start: Instant) -> (Dispatcher, Instant) {
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_servers([server("s", "a", 1), server("t", "a", 1)]);
    let mut now = start;
    for number in 0..40 {
        dispatcher.request(now, Permit(number), request(0));
        if number % 2 == 1 {
            now += Duration::from_millis(100);
            finish(&mut dispatcher, now, number - 1, 100);
            finish(&mut dispatcher, now, number, 100);
        }
    }
    (dispatcher, now)
}

fn finish(dispatcher: &mut Dispatcher, now: Instant, number: u64, percent: u32) {
    let load = Load {
        running: 1,
        waiting: 0,
        host_pace: Some(HostPace(percent)),
    };
    let outcome = Outcome::Done {
        took: Duration::from_millis(100),
        work: 1.0,
        load: Some(load),
    };
    dispatcher.finish(now, Permit(number), outcome);
}

/// Guards against a request that is sent to a slow host although it would end sooner if it waited,
/// and against one that goes on waiting on the strength of an old report.
#[test]
fn request_waits_for_a_server_of_usual_pace_while_the_report_is_fresh() {
    let (mut dispatcher, now) = learned(Instant::now());
    for number in [100, 101] {
        dispatcher.request(now, Permit(number), request(0));
    }
    finish(&mut dispatcher, now, 101, 800);
    let placement = dispatcher.request(now, Permit(102), request(0));
    assert_eq!(placement, Placement::Waiting);
    assert_eq!(dispatcher.grant(now), []);
    let later = now + Duration::from_millis(700);
    assert_eq!(dispatcher.grant(later).len(), 1);
}

/// Guards against a successor of the queue, or a service whose servers stop to report, that places
/// requests by values that it does not have.
#[test]
fn without_reports_requests_are_placed_as_before() {
    let (mut dispatcher, now) = learned(Instant::now());
    assert_eq!(dispatcher.pace_stats(now).count(), 1);
    let later = now + Duration::from_secs(11);
    assert_eq!(dispatcher.pace_stats(later).count(), 0);
    for number in [100, 101] {
        let placement = dispatcher.request(later, Permit(number), request(0));
        assert!(matches!(placement, Placement::Granted(_)), "{placement:?}");
    }
    assert_eq!(Dispatcher::default().pace_stats(now).count(), 0);
}
