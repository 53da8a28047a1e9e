//! Placement by the memory that runs hold on an engine, replayed in virtual time.

mod fleet;

use fleet::{request, server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{
    Demand, Description, Dispatcher, HostPace, Load, Outcome, Placement, Request,
};

const ENGINES: usize = 6;
const SLOTS: usize = 8;
/// Memory of an engine. Eight runs need 0.7 to 1.6 of it.
const MEMORY: u64 = 8000;
const TOKEN_MS: u64 = 4;
/// About as many runs as the memory of all engines holds.
const PER_SECOND: f64 = 80.0;

const USUAL_PACE: Load = Load {
    running: 1,
    waiting: 0,
    host_pace: Some(HostPace(100)),
};

fn engine(index: usize) -> Description {
    Description {
        cache_tokens: MEMORY,
        ..server(&index.to_string(), "a", SLOTS)
    }
}

fn turn(prompt_tokens: u32, output_tokens: u32) -> Request {
    let demand = Demand {
        class: 1,
        team: None,
        prompt_tokens,
        output_tokens,
        max_output_tokens: 400,
    };
    Request {
        demand: Some(demand),
        ..request(0)
    }
}

#[derive(Debug)]
struct Run {
    permit: Permit,
    sent_ms: u64,
    prompt: u64,
    tokens: u64,
    done: u64,
}

/// Runs preempted for lack of memory, of how many that ended.
fn preempted(reports: bool, seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_servers((0..ENGINES).map(engine));
    dispatcher.set_tokens_per_event([("pool".into(), 1)]);
    let mut engines: Vec<Vec<Run>> = (0..ENGINES).map(|_| Vec::new()).collect();
    let mut waiting: HashMap<Permit, (u64, u64)> = HashMap::new();
    let (mut permits, mut preempted, mut ended) = (0, 0, 0);
    for clock_ms in (0..20_000).step_by(2) {
        let now = start + Duration::from_millis(clock_ms);
        let mut granted = Vec::new();
        if rng.random_bool(PER_SECOND * 0.002) {
            permits += 1;
            let (prompt, hint) = (rng.random_range(600..1400), rng.random_range(60..200));
            // Right at the median, but off by a factor of up to 2.
            let tokens = f64::from(hint) * 2_f64.powf(rng.random_range(-1.0..1.0));
            let tokens = (0..400).take_while(|count| f64::from(*count) < tokens);
            waiting.insert(Permit(permits), (u64::from(prompt), tokens.count() as u64));
            match dispatcher.request(now, Permit(permits), turn(prompt, hint)) {
                Placement::Granted(server) => granted.push((Permit(permits), server)),
                Placement::Waiting => {}
                other => panic!("not placed: {other:?}"),
            }
        }
        for runs in &mut engines {
            for run in runs.iter_mut().take(SLOTS) {
                run.done = (clock_ms - run.sent_ms) / TOKEN_MS;
            }
            for run in runs.extract_if(.., |run| run.done >= run.tokens) {
                ended += 1;
                let outcome = Outcome::Done {
                    took: Duration::from_millis(clock_ms - run.sent_ms),
                    work: run.tokens as f64 + 1.0,
                    load: None,
                };
                dispatcher.finish(now, run.permit, outcome);
            }
            while runs.iter().map(|run| run.prompt + run.done).sum::<u64>() > MEMORY {
                preempted += 1;
                let newest = runs.pop().expect("there are runs");
                dispatcher.finish(now, newest.permit, Outcome::Void);
            }
        }
        granted.extend(dispatcher.tick(now).granted);
        for (permit, server) in granted {
            let (prompt, tokens) = waiting.remove(&permit).expect("it waits");
            let index: usize = server.parse().expect("a number");
            if reports {
                dispatcher.report(now, permit, USUAL_PACE);
            }
            engines[index].push(Run {
                permit,
                sent_ms: clock_ms,
                prompt,
                tokens,
                done: 0,
            });
        }
    }
    (preempted, ended)
}

/// Guards against runs that are preempted because they were sent to an engine whose memory the runs
/// there will need until they end.
#[test]
fn no_run_is_preempted_for_lack_of_memory() {
    for seed in 1..4 {
        let (before, after) = (preempted(false, seed), preempted(true, seed));
        println!("seed {seed}: {before:?} before, {after:?} after");
        assert!(before.0 > 0, "the load does not fill the memory");
        assert_eq!(after.0, 0, "of {} runs", after.1);
    }
}

/// Guards against a request that waits until its deadline for memory that no engine has, and against
/// one that is refused although it fits.
#[test]
fn request_larger_than_any_engine_is_refused_at_once() {
    let (now, mut dispatcher) = (Instant::now(), Dispatcher::default());
    dispatcher.set_servers((0..ENGINES).map(engine));
    dispatcher.request(now, Permit(1), turn(1000, 100));
    dispatcher.report(now, Permit(1), USUAL_PACE);
    assert!(dispatcher.is_too_large(now, &turn(8000, 100)));
    assert!(!dispatcher.is_too_large(now, &turn(7800, 100)));
    let mut place = |permit, prompt| dispatcher.request(now, Permit(permit), turn(prompt, 100));
    assert!(matches!(place(3, 7800), Placement::Granted(_)));
    // Beside other runs it has to wait, and smaller ones go ahead.
    for permit in 4..9 {
        assert!(matches!(
            place(permit, 7000),
            Placement::Granted(_) | Placement::Waiting
        ));
    }
    assert_eq!(place(9, 7800), Placement::Waiting);
}
