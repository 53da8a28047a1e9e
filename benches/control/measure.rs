//! What is measured at each size.

use crate::exchange::{Network, Peer, Protocol, address, announcement};
use crate::heartbeats::Heartbeats;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Offset, Shard};

/// Shards for each VM.
const SHARDS: u64 = 5;
/// Time between two changes of the configuration: 15,000 a day.
const CHANGE: Duration = Duration::from_millis(5760);
/// More than anything takes that is measured.
const LIMIT: Duration = Duration::from_mins(5);
/// VMs above which loss and cuts are not measured: they would take many minutes.
const LARGE: usize = 200;
/// How long the parts of a measurement last.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// VMs that are killed, one after the other.
    killed: usize,
    /// Time with loss.
    loss: Duration,
    /// Time in which nothing happens, before and after what is measured.
    settle: Duration,
    /// Time over which the steady cost is counted.
    steady: Duration,
}

/// For the table of all sizes.
pub const TABLE: Scenario = Scenario {
    killed: 3,
    loss: Duration::from_secs(30),
    settle: Duration::from_secs(10),
    steady: Duration::from_secs(20),
};

/// For the bounds, at small sizes.
pub const CHECK: Scenario = Scenario {
    killed: 5,
    loss: Duration::from_mins(1),
    settle: Duration::from_secs(20),
    steady: Duration::from_secs(30),
};

/// Figures of the gossip at one size.
pub fn gossip(size: usize, scenario: Scenario) -> Value {
    let started = std::time::Instant::now();
    let shards = SHARDS * size as u64;
    let memory = resident();
    let mut network = Network::gossip(size, shards, 1);
    let mut row = Map::new();
    row.insert("way".into(), json!("gossip"));
    row.insert("vms".into(), json!(size));
    let joined = network.run_until(LIMIT, Network::is_converged);
    row.insert("join_s".into(), time(joined));
    let owned = network.run_until(LIMIT, |network| {
        network.all_views(|view| (0..shards).all(|shard| view.owner(Shard(shard)).is_some()))
    });
    row.insert(
        "all_claims_known_s".into(),
        time(owned.and(Some(network.elapsed()))),
    );
    network.run(scenario.settle);
    steady(&mut network, scenario.steady, &mut row);
    row.insert(
        "memory_kb".into(),
        json!((resident() - memory) / size as u64),
    );
    changes(&mut network, &mut row);
    leaving(&mut network, &mut row);
    failures(&mut network, scenario, &mut row);
    if size <= LARGE {
        faults(&mut network, scenario, &mut row);
    }
    let largest = network.nodes.iter().map(|node| node.largest).max();
    row.insert("largest_datagram".into(), json!(largest));
    row.insert("measured_in_s".into(), time(Some(started.elapsed())));
    Value::Object(row)
}

/// Loss, and a cut between the regions.
fn faults(network: &mut Network<Peer>, scenario: Scenario, row: &mut Map<String, Value>) {
    for (name, loss) in [("loss_5", 0.05), ("loss_20", 0.2)] {
        lossy(network, (name, loss), scenario, row);
    }
    partition(network, row);
}

/// Figures of full heartbeats at one size, over a shorter time since they are so many.
pub fn heartbeats(size: usize) -> Value {
    let now = Instant::now();
    // Heartbeats tell of nobody but their sender, so every VM has to be given every address.
    let seeds: Vec<SocketAddr> = (0..size).map(address).collect();
    let memory = resident();
    let peers = (0..size).map(|index| {
        let announcement = announcement(index, size, SHARDS * size as u64);
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
        time(network.run_until(LIMIT, Network::is_converged)),
    );
    network.run(Duration::from_secs(1));
    steady(&mut network, Duration::from_secs(2), &mut row);
    row.insert(
        "memory_kb".into(),
        json!((resident() - memory) / size as u64),
    );
    if size <= LARGE {
        changes(&mut network, &mut row);
        network.kill(size / 2);
        row.insert(
            "failure_known_max_s".into(),
            time(network.run_until(LIMIT, Network::is_converged)),
        );
    }
    Value::Object(row)
}

/// Traffic and processor time with a configuration that changes at the target's rate.
fn steady<P: Protocol>(network: &mut Network<P>, time: Duration, row: &mut Map<String, Value>) {
    network.reset();
    let mut applied = 1_000_000;
    let start = network.now;
    while network.now - start < time {
        applied += 1;
        for index in 0..network.nodes.len() {
            network.update(index, |announcement| announcement.applied = Offset(applied));
        }
        network.run(CHANGE.min(time));
    }
    let seconds = (network.now - start).as_secs_f64();
    let size = network.nodes.len() as f64;
    let nodes = || network.nodes.iter();
    let mean = |total: u64| json!(round(total as f64 / seconds / size));
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
    let most = nodes().map(|node| node.sent_bytes).max().unwrap_or(0);
    row.insert(
        "sent_bytes_s_max".into(),
        json!(round(most as f64 / seconds)),
    );
    let spent: f64 = nodes().map(|node| node.spent.as_secs_f64()).sum();
    let share = spent / seconds / size * 100.0;
    row.insert(
        "core_percent".into(),
        json!((share * 1000.0).round() / 1000.0),
    );
}

/// Time until all know of a configuration offset that one VM has applied.
fn changes<P: Protocol>(network: &mut Network<P>, row: &mut Map<String, Value>) {
    let mut worst = Some(Duration::ZERO);
    for step in 1..=5 {
        let newest = Offset(2_000_000 + step);
        let teller = network.nodes.len() / 2;
        network.update(teller, |announcement| announcement.applied = newest);
        let known = network.run_until(LIMIT, |network| {
            network.all_views(|view| view.newest >= newest)
        });
        worst = worst.max(known);
    }
    row.insert("change_known_max_s".into(), time(worst));
}

/// Time until all know of a backend server that is leaving.
fn leaving(network: &mut Network<Peer>, row: &mut Map<String, Value>) {
    let mut worst = Some(Duration::ZERO);
    for step in 0..5 {
        let server = format!("engine-{step}").parse().expect("a plain name");
        let now = network.now;
        let teller = network.nodes.len() / 2;
        network.nodes[teller].peer.gossip.leaving(now, &server);
        let known = network.run_until(LIMIT, |network| {
            network.all_views(|view| view.leaving.contains(&server))
        });
        worst = worst.max(known);
    }
    row.insert("leaving_known_max_s".into(), time(worst));
}

/// Suspicions and removals of VMs that are well, over a time with loss.
fn lossy(
    network: &mut Network<Peer>,
    (name, loss): (&str, f64),
    scenario: Scenario,
    row: &mut Map<String, Value>,
) {
    let before = network.counts();
    network.loss = loss;
    network.reset();
    let time = scenario.loss;
    network.run(time);
    network.loss = 0.0;
    let after = network.counts();
    let size = network.nodes.len() as f64;
    let sent: u64 = network.nodes.iter().map(|node| node.sent_bytes).sum();
    let bytes = round(sent as f64 / time.as_secs_f64() / size);
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

/// Time until both regions hold only themselves, and until all are one group again.
fn partition(network: &mut Network<Peer>, row: &mut Map<String, Value>) {
    let size = network.nodes.len();
    let running = |side: usize| {
        let nodes = network.nodes.iter().enumerate();
        let nodes = nodes.filter(|(index, node)| node.running && index % 2 == side);
        nodes.count()
    };
    let sides = [running(0), running(1)];
    network.partition(|from, to| from % 2 != to % 2);
    let split = network.run_until(LIMIT, |network| {
        (0..size).all(|index| {
            let near = sides[index % 2];
            !network.nodes[index].running || network.view(index).members.len() == near
        })
    });
    row.insert("region_cut_known_s".into(), time(split));
    network.run(Duration::from_secs(30));
    let removals = network.counts().removals;
    network.reset();
    network.heal();
    let merged = network.run_until(LIMIT, Network::is_converged);
    row.insert("merge_s".into(), time(merged));
    row.insert(
        "merge_removals".into(),
        json!(network.counts().removals - removals),
    );
    let most = network
        .nodes
        .iter()
        .map(|node| node.sent_bytes)
        .max()
        .unwrap_or(0);
    let seconds = merged.unwrap_or(LIMIT).as_secs_f64().max(0.05);
    row.insert(
        "merge_sent_bytes_s_max".into(),
        json!(round(most as f64 / seconds)),
    );
    network.run(Duration::from_secs(10));
}

/// Time until all know that a VM has failed, over some failures.
fn failures(network: &mut Network<Peer>, scenario: Scenario, row: &mut Map<String, Value>) {
    let mut times = Vec::new();
    let size = network.nodes.len();
    for index in (0..scenario.killed).map(|index| size - 1 - index) {
        network.kill(index);
        times.push(network.run_until(LIMIT, Network::is_converged));
        network.run(Duration::from_secs(5));
    }
    times.sort();
    row.insert(
        "failure_known_median_s".into(),
        time(times[scenario.killed / 2]),
    );
    row.insert(
        "failure_known_max_s".into(),
        time(times[scenario.killed - 1]),
    );
}

fn time(time: Option<Duration>) -> Value {
    time.map_or(Value::Null, |time| {
        json!((time.as_secs_f64() * 100.0).round() / 100.0)
    })
}

fn round(figure: f64) -> f64 {
    (figure * 10.0).round() / 10.0
}

/// Kilobytes of this process in memory, as the system counts them.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}
