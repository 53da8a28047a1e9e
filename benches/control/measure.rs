//! Measurements for one cluster size.

use crate::exchange::{Network, Peer, Protocol, address, announcement};
use crate::heartbeats::Heartbeats;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Offset, Shard};

const SHARDS_PER_VM: u64 = 5;
/// Time between configuration changes, at 15,000 changes a day.
const CONFIG_CHANGE_INTERVAL: Duration = Duration::from_millis(5760);
/// Limit on each measured time.
const MAX_TIME: Duration = Duration::from_mins(5);
/// Largest cluster for which packet loss and partitions are simulated; larger ones take too long.
const MAX_SIZE_WITH_FAULTS: usize = 200;

/// Durations of the parts of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of VMs that are killed one after the other.
    killed: usize,
    /// Time with packet loss.
    loss: Duration,
    /// Idle time before and after each measurement.
    settle: Duration,
    /// Time over which steady-state traffic is counted.
    steady: Duration,
}

/// Scenario for the table of all sizes.
pub const TABLE_SCENARIO: Scenario = Scenario {
    killed: 3,
    loss: Duration::from_secs(30),
    settle: Duration::from_secs(10),
    steady: Duration::from_secs(20),
};

/// Longer scenario for the bounds, which are checked at small sizes only.
pub const CHECK_SCENARIO: Scenario = Scenario {
    killed: 5,
    loss: Duration::from_mins(1),
    settle: Duration::from_secs(20),
    steady: Duration::from_secs(30),
};

/// Figures of the gossip protocol at one size.
pub fn gossip(size: usize, scenario: Scenario) -> Value {
    let started = std::time::Instant::now();
    let shards = SHARDS_PER_VM * size as u64;
    let memory = resident_kb();
    let mut network = Network::gossip(size, shards, 1);
    let mut row = Map::new();
    row.insert("way".into(), json!("gossip"));
    row.insert("vms".into(), json!(size));
    let join_time = network.run_until(MAX_TIME, Network::is_converged);
    row.insert("join_s".into(), json_seconds(join_time));
    let claims_known = network.run_until(MAX_TIME, |network| {
        network.all_views(|view| (0..shards).all(|shard| view.owner(Shard(shard)).is_some()))
    });
    row.insert(
        "all_claims_known_s".into(),
        json_seconds(claims_known.and(Some(network.elapsed()))),
    );
    network.run(scenario.settle);
    measure_steady_state(&mut network, scenario.steady, &mut row);
    row.insert(
        "memory_kb".into(),
        json!((resident_kb() - memory) / size as u64),
    );
    measure_changes(&mut network, &mut row);
    measure_draining(&mut network, &mut row);
    measure_failures(&mut network, scenario, &mut row);
    if size <= MAX_SIZE_WITH_FAULTS {
        measure_faults(&mut network, scenario, &mut row);
    }
    let largest_datagram = network.nodes.iter().map(|node| node.largest_datagram).max();
    row.insert("largest_datagram".into(), json!(largest_datagram));
    row.insert(
        "measured_in_s".into(),
        json_seconds(Some(started.elapsed())),
    );
    Value::Object(row)
}

/// Measures packet loss and a partition between the regions.
fn measure_faults(network: &mut Network<Peer>, scenario: Scenario, row: &mut Map<String, Value>) {
    for (name, loss) in [("loss_5", 0.05), ("loss_20", 0.2)] {
        measure_loss(network, (name, loss), scenario, row);
    }
    measure_partition(network, row);
}

/// Figures of full heartbeats at one size, over a shorter time because there are many datagrams.
pub fn heartbeats(size: usize) -> Value {
    let now = Instant::now();
    // Heartbeats carry no other members, so every VM needs every address as a seed.
    let seeds: Vec<SocketAddr> = (0..size).map(address).collect();
    let memory = resident_kb();
    let peers = (0..size).map(|index| {
        let announcement = announcement(index, size, SHARDS_PER_VM * size as u64);
        (
            announcement.clone(),
            Heartbeats::new(now, announcement, seeds.clone()),
        )
    });
    let mut network = Network::new(now, peers.collect(), 1);
    let mut row = Map::new();
    row.insert("way".into(), json!("heartbeats"));
    row.insert("vms".into(), json!(size));
    row.insert(
        "join_s".into(),
        json_seconds(network.run_until(MAX_TIME, Network::is_converged)),
    );
    network.run(Duration::from_secs(1));
    measure_steady_state(&mut network, Duration::from_secs(2), &mut row);
    row.insert(
        "memory_kb".into(),
        json!((resident_kb() - memory) / size as u64),
    );
    if size <= MAX_SIZE_WITH_FAULTS {
        measure_changes(&mut network, &mut row);
        network.kill(size / 2);
        row.insert(
            "failure_known_max_s".into(),
            json_seconds(network.run_until(MAX_TIME, Network::is_converged)),
        );
    }
    Value::Object(row)
}

/// Traffic and time spent in the protocol while the configuration changes regularly.
fn measure_steady_state<P: Protocol>(
    network: &mut Network<P>,
    duration: Duration,
    row: &mut Map<String, Value>,
) {
    network.reset();
    let mut applied = 1_000_000;
    let start = network.now;
    while network.now - start < duration {
        applied += 1;
        for index in 0..network.nodes.len() {
            network.update(index, |announcement| announcement.applied = Offset(applied));
        }
        network.run(CONFIG_CHANGE_INTERVAL.min(duration));
    }
    let seconds = (network.now - start).as_secs_f64();
    let size = network.nodes.len() as f64;
    let nodes = || network.nodes.iter();
    let mean = |total: u64| json!(round_to_tenth(total as f64 / seconds / size));
    row.insert(
        "sent_bytes_s".into(),
        mean(nodes().map(|node| node.sent_bytes).sum()),
    );
    row.insert(
        "received_bytes_s".into(),
        mean(nodes().map(|node| node.received_bytes).sum()),
    );
    row.insert(
        "sent_messages_s".into(),
        mean(nodes().map(|node| node.sent).sum()),
    );
    let max_sent_bytes = nodes().map(|node| node.sent_bytes).max().unwrap_or(0);
    row.insert(
        "sent_bytes_s_max".into(),
        json!(round_to_tenth(max_sent_bytes as f64 / seconds)),
    );
    let protocol_time: f64 = nodes().map(|node| node.protocol_time.as_secs_f64()).sum();
    let share = protocol_time / seconds / size * 100.0;
    row.insert(
        "core_percent".into(),
        json!((share * 1000.0).round() / 1000.0),
    );
}

/// Time until every view has the configuration offset that one VM applied.
fn measure_changes<P: Protocol>(network: &mut Network<P>, row: &mut Map<String, Value>) {
    let mut slowest = Some(Duration::ZERO);
    for step in 1..=5 {
        let newest = Offset(2_000_000 + step);
        let source = network.nodes.len() / 2;
        network.update(source, |announcement| announcement.applied = newest);
        let known_after = network.run_until(MAX_TIME, |network| {
            network.all_views(|view| view.newest >= newest)
        });
        slowest = slowest.max(known_after);
    }
    row.insert("change_known_max_s".into(), json_seconds(slowest));
}

/// Time until every view has a backend server that one VM reported as draining.
fn measure_draining(network: &mut Network<Peer>, row: &mut Map<String, Value>) {
    let mut slowest = Some(Duration::ZERO);
    for step in 0..5 {
        let server = format!("engine-{step}").parse().expect("a valid name");
        let now = network.now;
        let source = network.nodes.len() / 2;
        network.nodes[source]
            .peer
            .gossip
            .announce_draining(now, &server);
        let known_after = network.run_until(MAX_TIME, |network| {
            network.all_views(|view| view.draining.contains(&server))
        });
        slowest = slowest.max(known_after);
    }
    row.insert("leaving_known_max_s".into(), json_seconds(slowest));
}

/// False suspicions and removals under packet loss.
fn measure_loss(
    network: &mut Network<Peer>,
    (name, loss): (&str, f64),
    scenario: Scenario,
    row: &mut Map<String, Value>,
) {
    let before = network.counts();
    network.loss = loss;
    network.reset();
    let duration = scenario.loss;
    network.run(duration);
    network.loss = 0.0;
    let after = network.counts();
    let size = network.nodes.len() as f64;
    let sent: u64 = network.nodes.iter().map(|node| node.sent_bytes).sum();
    let bytes = round_to_tenth(sent as f64 / duration.as_secs_f64() / size);
    row.insert(
        format!("{name}_suspicions"),
        json!(after.suspicions - before.suspicions),
    );
    row.insert(
        format!("{name}_removals"),
        json!(after.removals - before.removals),
    );
    row.insert(format!("{name}_sent_bytes_s"), json!(bytes));
    network.run(scenario.settle);
}

/// Time until each region sees only its own VMs after a partition, and until the views merge again.
fn measure_partition(network: &mut Network<Peer>, row: &mut Map<String, Value>) {
    let size = network.nodes.len();
    let running = |side: usize| {
        let nodes = network.nodes.iter().enumerate();
        let nodes = nodes.filter(|(index, node)| node.running && index % 2 == side);
        nodes.count()
    };
    let region_sizes = [running(0), running(1)];
    network.partition(|from, to| from % 2 != to % 2);
    let split_time = network.run_until(MAX_TIME, |network| {
        (0..size).all(|index| {
            let region_size = region_sizes[index % 2];
            !network.nodes[index].running || network.view(index).members.len() == region_size
        })
    });
    row.insert("region_cut_known_s".into(), json_seconds(split_time));
    network.run(Duration::from_secs(30));
    let removals = network.counts().removals;
    network.reset();
    network.heal();
    let merge_time = network.run_until(MAX_TIME, Network::is_converged);
    row.insert("merge_s".into(), json_seconds(merge_time));
    row.insert(
        "merge_removals".into(),
        json!(network.counts().removals - removals),
    );
    let max_sent_bytes = network
        .nodes
        .iter()
        .map(|node| node.sent_bytes)
        .max()
        .unwrap_or(0);
    let seconds = merge_time.unwrap_or(MAX_TIME).as_secs_f64().max(0.05);
    row.insert(
        "merge_sent_bytes_s_max".into(),
        json!(round_to_tenth(max_sent_bytes as f64 / seconds)),
    );
    network.run(Duration::from_secs(10));
}

/// Time until every view has removed a failed VM, over several failures.
fn measure_failures(network: &mut Network<Peer>, scenario: Scenario, row: &mut Map<String, Value>) {
    let mut times = Vec::new();
    let size = network.nodes.len();
    for index in (0..scenario.killed).map(|index| size - 1 - index) {
        network.kill(index);
        times.push(network.run_until(MAX_TIME, Network::is_converged));
        network.run(Duration::from_secs(5));
    }
    times.sort();
    row.insert(
        "failure_known_median_s".into(),
        json_seconds(times[scenario.killed / 2]),
    );
    row.insert(
        "failure_known_max_s".into(),
        json_seconds(times[scenario.killed - 1]),
    );
}

fn json_seconds(duration: Option<Duration>) -> Value {
    duration.map_or(Value::Null, |duration| {
        json!((duration.as_secs_f64() * 100.0).round() / 100.0)
    })
}

fn round_to_tenth(figure: f64) -> f64 {
    (figure * 10.0).round() / 10.0
}

/// Resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}
