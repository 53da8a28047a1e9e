//! A pool grants permits in the order of slack, preferably at the engine that has the call cached.
//!
//!     cargo run --example policy

use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Permit, Program, Server, Shard, Tokens};
use vanillatrail::policy::{Action, Outcome, Pool, Request};

fn call_request(program: u128, slack_ms: i64) -> Request {
    Request {
        program: Program::new(Shard(0), program),
        class: None,
        slack_ms,
        remaining_ms: 500,
        prompt: Tokens(400),
        max_tokens: Tokens(50),
        resident: Vec::new(),
        avoid: Vec::new(),
        zone: None,
    }
}

fn granted(actions: &[Action]) -> Vec<(Permit, Server)> {
    let grants = actions.iter().filter_map(|action| match action {
        Action::Grant(permit, server) => Some((*permit, server.clone())),
        _ => None,
    });
    grants.collect()
}

fn main() {
    let mut now = Instant::now();
    let mut pool = Pool::default();
    let engines: Vec<Server> = ["engine-1", "engine-2"]
        .map(|name| name.parse().expect("a valid name"))
        .to_vec();
    pool.set_servers(&engines);

    // More calls than fit into the concurrency windows; later calls have less slack.
    let mut running = Vec::new();
    for number in 0_u32..200 {
        let slack_ms = 10_000 - 40 * i64::from(number);
        let call = call_request(u128::from(number), slack_ms);
        let actions = pool.request(now, Permit(u64::from(number)), call);
        running.extend(granted(&actions));
    }
    let (waiting, _) = pool.load();
    println!("{} calls running, {waiting} queued", running.len());
    assert!(waiting > 0);

    let (permit, server) = running.remove(0);
    now += Duration::from_millis(300);
    let outcome = Outcome {
        first_ms: 30.0,
        rest_ms: 250.0,
        prompt: Tokens(400),
        completion: Tokens(50),
        ..Outcome::default()
    };
    let next = granted(&pool.finish(now, permit, Some(&outcome)));
    println!(
        "{server} finished call {permit}; next is call {}",
        next[0].0
    );
    assert!(
        next[0].0.0 > 100,
        "a late call with little slack is granted first"
    );

    pool.drain_server(&engines[0]);
    for (permit, _) in running.into_iter().chain(next) {
        for (_, server) in granted(&pool.finish(now, permit, Some(&outcome))) {
            assert_eq!(server, engines[1]);
        }
    }
    println!("{} is draining and gets no further calls", engines[0]);
}
