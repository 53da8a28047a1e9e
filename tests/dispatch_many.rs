//! Placement when hundreds of VMs send few requests each to many servers.

mod fleet;

use fleet::{completed, server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Description, Dispatcher, Placement, Request};

const VM_COUNT: u64 = 300;
const ZONE_COUNT: u64 = 5;
const SERVER_COUNT: u64 = 80;
const SLOTS: usize = 6;
/// Keeps about a third of all slots busy.
const REQUESTS_PER_SECOND: u64 = 1000;
const REQUEST_TIME: Duration = Duration::from_millis(150);
const SIMULATED_TIME: Duration = Duration::from_secs(20);
/// Time after which a server closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

fn zone(number: u64) -> Arc<str> {
    format!("zone-{}", number % ZONE_COUNT).into()
}

fn servers() -> impl Iterator<Item = Description> {
    (0..SERVER_COUNT).map(|number| server(&format!("server-{number}"), &zone(number), SLOTS))
}

fn request(vm: u64) -> Request {
    Request {
        zone: zone(vm),
        vm,
        ..fleet::request(0)
    }
}

/// Where the requests were placed.
#[derive(Debug, Default)]
struct Placements {
    sent: u64,
    /// Requests for which the VM had no idle connection.
    new_connections: u64,
    /// Requests placed outside their zone.
    other_zone: u64,
    by_server: BTreeMap<Arc<str>, u64>,
}

fn simulate(seed: u64) -> Placements {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_servers(servers());
    let start = Instant::now();
    let mut placements = Placements::default();
    let mut running: Vec<(Instant, Permit, u64, Arc<str>)> = Vec::new();
    let mut idle: HashMap<(u64, Arc<str>), Vec<Instant>> = HashMap::new();
    let zones: HashMap<Arc<str>, Arc<str>> =
        servers().map(|server| (server.id, server.zone)).collect();
    let step =
        Duration::from_secs(1) / u32::try_from(REQUESTS_PER_SECOND).expect("the number fits");
    for number in 0..REQUESTS_PER_SECOND * SIMULATED_TIME.as_secs() {
        let now = start + step * u32::try_from(number).expect("the number fits");
        while let Some((_, permit, vm, server)) = running.pop_if(|(end, ..)| *end <= now) {
            dispatcher.finish(now, permit, completed(REQUEST_TIME));
            idle.entry((vm, server)).or_default().push(now);
        }
        let vm = rng.random_range(0..VM_COUNT);
        let Placement::Granted(server) = dispatcher.request(now, Permit(number), request(vm))
        else {
            panic!("no free slot");
        };
        placements.sent += 1;
        let connections = idle.entry((vm, Arc::clone(&server))).or_default();
        connections.retain(|idle_since| *idle_since + IDLE_TIMEOUT > now);
        placements.new_connections += u64::from(connections.pop().is_none());
        placements.other_zone += u64::from(zones[&server] != zone(vm));
        *placements.by_server.entry(Arc::clone(&server)).or_default() += 1;
        running.insert(0, (now + REQUEST_TIME, Permit(number), vm, server));
    }
    placements
}

/// Guards against VMs that use all servers in turn, open a connection for most requests and leave their zone, and
/// against uneven load from keeping to a few servers.
#[test]
fn vms_reuse_connections_and_stay_in_their_zone() {
    let placements = simulate(1);
    let new_connections = placements.new_connections as f64 / placements.sent as f64;
    let other_zone = placements.other_zone as f64 / placements.sent as f64;
    let mean = placements.sent as f64 / SERVER_COUNT as f64;
    let busiest = *placements
        .by_server
        .values()
        .max()
        .expect("the servers got requests") as f64
        / mean;
    assert!(
        new_connections < 0.15,
        "{new_connections:.3} of the requests open a connection"
    );
    assert!(
        other_zone < 0.02,
        "{other_zone:.3} of the requests leave their zone"
    );
    assert!(
        busiest < 1.35,
        "the busiest server has {busiest:.2} times the mean load"
    );
}
