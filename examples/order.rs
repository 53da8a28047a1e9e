//! Orders of a former and the current owner reach an engine that accepts both; it converges to the
//! newest goal.
//!
//! ```text
//! cargo run --example order
//! ```

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Server;
use vanillatrail::order::{Reconciler, State, Step};

fn goal(weights: &str) -> State {
    State {
        weights: Some(weights.to_owned()),
        ..State::default()
    }
}

fn main() {
    let server: Server = "engine-1".parse().expect("a valid name");
    let mut now = Instant::now();
    let mut control = Reconciler::new(now, Duration::from_secs(2), Duration::from_secs(1));
    control.set_desired(now, &BTreeMap::from([(server, goal("v2"))]));
    let mut engine = goal("v1");
    for step in 0..20 {
        if step == 10 {
            println!("a late order of a former owner arrives");
            engine = goal("v1");
        }
        for (server, next_step) in control.due_steps(now) {
            match next_step {
                Step::Read => control.record_state(now, &server, engine.clone()),
                Step::Order(goal) => {
                    println!("{server}: order {goal:?}");
                    engine = goal;
                }
            }
        }
        now += Duration::from_millis(500);
    }
    assert_eq!(engine, goal("v2"));
    println!("the engine is at {engine:?}");
}
