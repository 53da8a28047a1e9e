//! Where requests go when hundreds of VMs send few each to many servers.

mod fleet;

use fleet::{done, server};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::Permit;
use vanillatrail::policy::dispatch::{Description, Dispatcher, Placement, Request};

const VMS: u64 = 300;
const ZONES: u64 = 5;
const SERVERS: u64 = 80;
const SLOTS: usize = 6;
/// Requests in a second, of which a server takes 150 ms each: a third of all places.
const RATE: u64 = 1000;
const TOOK: Duration = Duration::from_millis(150);
const LENGTH: Duration = Duration::from_secs(20);
/// How long a server keeps a connection that is idle.
const KEPT: Duration = Duration::from_secs(5);

fn zone(number: u64) -> Arc<str> {
    format!("zone-{}", number % ZONES).into()
}

fn servers() -> impl Iterator<Item = Description> {
    (0..SERVERS).map(|number| server(&format!("server-{number}"), &zone(number), SLOTS))
}

fn ask(vm: u64) -> Request {
    Request {
        zone: zone(vm),
        vm,
        ..fleet::ask(0)
    }
}

/// What became of the requests.
#[derive(Debug, Default)]
struct Tally {
    sent: u64,
    /// Requests for which their VM had no connection open.
    opened: u64,
    /// Requests that left their zone.
    far: u64,
    by_server: BTreeMap<Arc<str>, u64>,
}

fn replay(seed: u64) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut dispatcher = Dispatcher::default();
    dispatcher.set_servers(servers());
    let begin = Instant::now();
    let mut tally = Tally::default();
    let mut running: Vec<(Instant, Permit, u64, Arc<str>)> = Vec::new();
    let mut idle: HashMap<(u64, Arc<str>), Vec<Instant>> = HashMap::new();
    let zones: HashMap<Arc<str>, Arc<str>> =
        servers().map(|server| (server.id, server.zone)).collect();
    let step = Duration::from_secs(1) / u32::try_from(RATE).expect("small");
    for number in 0..RATE * LENGTH.as_secs() {
        let now = begin + step * u32::try_from(number).expect("small");
        while let Some((_, permit, vm, server)) = running.pop_if(|(end, ..)| *end <= now) {
            dispatcher.finish(now, permit, done(TOOK));
            idle.entry((vm, server)).or_default().push(now);
        }
        let vm = rng.random_range(0..VMS);
        let Placement::Granted(server) = dispatcher.request(now, Permit(number), ask(vm)) else {
            panic!("there is room");
        };
        tally.sent += 1;
        let open = idle.entry((vm, Arc::clone(&server))).or_default();
        open.retain(|since| *since + KEPT > now);
        tally.opened += u64::from(open.pop().is_none());
        tally.far += u64::from(zones[&server] != zone(vm));
        *tally.by_server.entry(Arc::clone(&server)).or_default() += 1;
        running.insert(0, (now + TOOK, Permit(number), vm, server));
    }
    tally
}

/// 300 VMs send three requests a second each to 80 servers, a third of whose places are taken. Each VM could
/// use all servers by turns, and would open a connection for half of its requests, most of them to another
/// zone. It stays with the few that it has connections to while these have room, and no server is left with
/// much more than its part of the load.
#[test]
fn few_connections_are_opened_and_few_requests_leave_their_zone() {
    let tally = replay(1);
    let opened = tally.opened as f64 / tally.sent as f64;
    let far = tally.far as f64 / tally.sent as f64;
    let mean = tally.sent as f64 / SERVERS as f64;
    let busiest = *tally.by_server.values().max().expect("some") as f64 / mean;
    assert!(
        opened < 0.15,
        "{opened:.3} of the requests open a connection"
    );
    assert!(far < 0.02, "{far:.3} of the requests leave their zone");
    assert!(
        busiest < 1.35,
        "the busiest server has {busiest:.2} times its part"
    );
}
