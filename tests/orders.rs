//! Orders to engines, with and without engines that check fencing tokens.

mod support;

use proptest::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{Environment, poll};
use tokio::time::Instant;
use vanillatrail::id::Server;
use vanillatrail::order::{Reconciler, State, Step};

fn goal(weights: &str) -> State {
    State {
        weights: Some(weights.to_owned()),
        ..State::default()
    }
}

proptest! {
    /// Two VMs both control an engine that ignores fencing, and the former owner is paused at times. Once
    /// it has sent its last order, the engine must converge to the goal of the new owner.
    #[test]
    fn an_engine_without_fencing_converges_to_the_newest_goal(
        schedule in prop::collection::vec((any::<bool>(), 1_u64..900), 1..60),
    ) {
        let server: Server = "e1".parse().expect("a name");
        let start = Instant::now();
        let mut now = start;
        let mut engine = goal("v0");
        let mut owners = ["v1", "v2"].map(|weights| {
            let mut control = Reconciler::new(now, Duration::from_secs(2), Duration::ZERO);
            control.set_desired(now, &BTreeMap::from([(server.clone(), goal(weights))]));
            control
        });
        let mut run_due_steps = |control: &mut Reconciler, now: Instant| {
            for (server, step) in control.due_steps(now) {
                match step {
                    Step::Read => control.record_state(now, &server, engine.clone()),
                    Step::Order(goal) => engine = goal,
                }
            }
            engine.clone()
        };
        for (is_newest, wait) in schedule {
            now += Duration::from_millis(wait);
            run_due_steps(&mut owners[usize::from(is_newest)], now);
        }
        for _ in 0..12 {
            now += Duration::from_millis(500);
            run_due_steps(&mut owners[1], now);
        }
        prop_assert_eq!(run_due_steps(&mut owners[1], now), goal("v2"));
    }

    /// Ten engines load new weights while the controlling VM changes. Two loads must never start closer to
    /// each other than the rate limit of the weight store allows.
    #[test]
    fn the_load_rate_limit_holds_across_owners(
        schedule in prop::collection::vec((0_u8..8, 1_u64..2000), 20..120),
    ) {
        let interval = Duration::from_secs(3);
        let goals: BTreeMap<Server, State> =
            (0..10).map(|index| (format!("e{index}").parse().expect("a name"), goal("v1"))).collect();
        let mut now = Instant::now();
        let mut loads: Vec<Instant> = Vec::new();
        let mut control = Reconciler::new(now, Duration::from_secs(5), interval);
        for (change, wait) in schedule {
            now += Duration::from_millis(wait);
            if change == 0 {
                control = Reconciler::new(now, Duration::from_secs(5), interval);
            }
            control.set_desired(now, &goals);
            for (server, step) in control.due_steps(now) {
                match step {
                    Step::Read => control.record_state(now, &server, goal("v0")),
                    Step::Order(_) => loads.push(now),
                }
            }
        }
        prop_assert!(loads.windows(2).all(|pair| pair[1] - pair[0] >= interval), "{loads:?}");
    }
}

fn weights(environment: &Environment) -> Value {
    environment
        .get(environment.engines[0].address, "/v1/state")
        .1["weights"]
        .clone()
}

/// A delayed order of a former owner reaches an engine that ignores fencing. The owner must notice the
/// older weights and order the current ones again.
#[test]
fn a_delayed_order_of_a_former_owner_is_reverted() {
    let environment = Environment::start(1, 3);
    environment.faults(
        environment.engines[0].address,
        &json!({ "ignore_fence": true }),
    );
    environment.publish("store/weights", json!({ "loads_per_minute": 600 }), None);
    let pool = |weights: &str| {
        let engine = json!({ "name": "e0", "address": environment.engines[0].address });
        json!({ "model": "small", "engines": [engine], "fencing": "ignored", "weights": weights })
    };
    let first = environment.publish("pool/main", pool("v1"), Some(2));
    poll("v1 is loaded", || {
        (weights(&environment) == "v1").then_some(())
    });
    environment.publish("pool/main", pool("v2"), Some(first));
    poll("v2 is loaded", || {
        (weights(&environment) == "v2").then_some(())
    });
    let late = json!({ "fence": 1, "goal": { "weights": "v1" } });
    let order = environment.post_json(environment.engines[0].address, "/v1/orders", &late);
    assert_eq!(order.0, 200, "{order:?}");
    assert_eq!(weights(&environment), "v1");
    poll("v2 is loaded again", || {
        (weights(&environment) == "v2").then_some(())
    });
    let counters = environment.counters(environment.engines[0].address);
    assert_eq!(counters["stale_orders"], 1);
}
