//! Relay of directory changes between VMs, and the store traffic that it takes.

mod platform;

use platform::program::{engine, wait_until_joined};
use platform::{Store, Vm, until};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use vanillatrail::gateway::changes::Changes;
use vanillatrail::gateway::directory::{Change, Directory, Entry, instance_id};
use vanillatrail::id::{Millicores, Offset};
use vanillatrail::policy::cells::{cell, ranked_readers};
use vanillatrail::policy::relay::{Peer, sources};

const ZONES: u16 = 5;

/// VMs in five zones, one in six with more CPU.
fn peers(vms: u16) -> Vec<Peer> {
    let peer = |number: u16| {
        let [high, low] = number.to_be_bytes();
        Peer {
            vm: format!("vm-{number}").parse().expect("a name"),
            address: ([10, 0, high, low], 7000).into(),
            zone: format!("zone-{}", number % ZONES).parse().expect("a name"),
            cores: Millicores(if number.is_multiple_of(6) { 500 } else { 120 }),
        }
    };
    (0..vms).map(peer).collect()
}

/// Guards against store reads that grow with the number of VMs, and against one upstream for all VMs.
#[test]
fn one_vm_reads_the_store_and_each_zone_asks_one_upstream() {
    for vms in [1000, 2000] {
        let peers = peers(vms);
        let mut requests: HashMap<SocketAddr, u32> = HashMap::new();
        let mut readers = 0;
        for peer in &peers {
            let sources = sources(&peer.vm, &peers);
            match sources.upstreams.first() {
                None => readers += 1,
                Some(first) => *requests.entry(*first).or_default() += 1,
            }
        }
        assert_eq!(readers, 1);
        assert!(
            requests.len() <= usize::from(ZONES) + 1,
            "{}",
            requests.len()
        );
        let max_requests = requests.values().max().expect("some VMs are asked");
        assert!(*max_requests <= u32::from(vms / ZONES) + u32::from(ZONES));
    }
}

/// Guards against VMs that wait for each other, and against all VMs reading the store when the preferred
/// upstreams are lost.
#[test]
fn losing_the_preferred_upstreams_leaves_few_readers() {
    let mut peers = peers(1000);
    let preferred = |peers: &[Peer]| -> Vec<SocketAddr> {
        let upstream_count = |peer: &Peer| sources(&peer.vm, peers).upstreams.len();
        let mut peers: Vec<&Peer> = peers.iter().collect();
        peers.sort_by_key(|peer| upstream_count(peer));
        peers.iter().take(5).map(|peer| peer.address).collect()
    };
    let first = preferred(&peers);
    // The preferred upstreams do not answer but are still members.
    let is_served = |peer: &Peer| {
        let sources = sources(&peer.vm, &peers);
        let has_other_upstream = sources
            .upstreams
            .iter()
            .any(|source| !first.contains(source));
        has_other_upstream || !sources.may_read_store
    };
    let remaining = peers.iter().filter(|peer| !first.contains(&peer.address));
    assert!(remaining.filter(|peer| !is_served(peer)).count() <= 10);
    peers.retain(|peer| !first.contains(&peer.address));
    let readers = peers
        .iter()
        .filter(|peer| sources(&peer.vm, &peers).upstreams.is_empty());
    assert_eq!(readers.count(), 1);
}

/// Guards against introduction reads that grow with the square of the VMs when all start at once.
#[test]
fn introduction_cells_are_small() {
    const CELLS: u64 = 24;
    for vms in [1000, 2000] {
        let peers = peers(vms);
        let mut cells: HashMap<u64, Vec<Peer>> = HashMap::new();
        for peer in peers {
            let cell = cell(&peer.vm, &peer.zone, CELLS);
            cells.entry(cell).or_default().push(peer);
        }
        assert!(cells.len() <= 4 * usize::from(ZONES));
        let largest = cells.values().map(Vec::len).max().expect("there are cells");
        assert!(
            largest * 8 <= usize::from(vms),
            "{largest} of {vms} in a cell"
        );
        for cell in cells.values() {
            assert_eq!(ranked_readers(cell)[0].cores, Millicores(500));
        }
    }
}

fn server_entry(name: &str, draining: bool) -> Change {
    Change::Set(
        Entry {
            id: instance_id(name, 1),
            name: name.into(),
            born_ms: 1,
            service: "pool".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".to_owned(),
            version: "v1".into(),
            slots: 4,
            draining,
        }
        .into(),
    )
}

/// Guards against lost or reverted changes when a VM follows another in batches of any size.
#[test]
fn following_changes_yields_the_same_directory() {
    let mut changes = Changes::starting_at(Offset(10));
    let mut directory = Directory::default();
    let all = [
        (12, server_entry("a", false)),
        (15, server_entry("b", false)),
        (15, server_entry("c", false)),
        (19, server_entry("a", true)),
        (30, Change::Removed("b".into())),
    ];
    for (at, change) in &all {
        directory.apply(change.clone());
        changes.push(Offset(*at), change.clone());
    }
    assert_eq!(changes.after(Offset(9), |_| true), None);
    for batch_size in 2..=5 {
        let (mut follower, mut offset) = (Directory::default(), Offset(10));
        loop {
            let mut remaining = batch_size;
            let fits = |_: &Change| {
                let fits = remaining > 0;
                remaining -= i32::from(fits);
                fits
            };
            let batch = changes
                .after(offset, fits)
                .expect("changes after the offset are available");
            for change in batch.changes {
                follower.apply(change);
            }
            assert!(batch.complete || batch.end > offset);
            offset = batch.end;
            if batch.complete {
                break;
            }
        }
        assert_eq!(offset, Offset(30));
        assert_eq!(follower.digest(), directory.digest());
        assert_eq!(follower.len(), 2);
    }
}

fn known_server_count(vm: &Vm) -> usize {
    vm.state()["servers"].as_array().map_or(0, Vec::len)
}

/// Indexes of the VMs that read the directory from the store.
fn readers(vms: &[Vm]) -> Vec<usize> {
    let reads = |vm: &Vm| {
        let lines = vm.lines("event=directory_reader");
        lines.last().is_some_and(|line| line.contains("reads=true"))
    };
    (0..vms.len()).filter(|at| reads(&vms[*at])).collect()
}

/// Starts a store with 40 servers, and VMs that know each other.
fn start_site(vms: usize) -> (Store, Vec<Vm>) {
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    for number in 0..40 {
        let address = ([127, 0, 0, 1], 9000 + number).into();
        store.register(&format!("s{number}"), "pool", address, "ready");
    }
    let vms: Vec<Vm> = (0..vms).map(|_| Vm::start(&store)).collect();
    wait_until_joined(&vms);
    (store, vms)
}

/// Guards against store traffic that grows with VMs times servers: one VM reads renewals for all.
#[test]
fn store_traffic_does_not_grow_with_the_number_of_vms() {
    let sent_bytes = [4, 12].map(|count| {
        let (store, vms) = start_site(count);
        until("one VM is the reader", || readers(&vms).len() == 1);
        let before = store.bytes_sent("keyed.servers");
        for renewal in 0..20 {
            for number in 0..40 {
                let address = ([127, 0, 0, 1], 9000 + number).into();
                store.register(&format!("s{number}"), "pool", address, "ready");
            }
            std::thread::sleep(Duration::from_millis(if renewal < 19 { 50 } else { 1500 }));
        }
        store.bytes_sent("keyed.servers") - before
    });
    assert!(
        sent_bytes[0] > 0 && sent_bytes[1] < sent_bytes[0] * 3 / 2,
        "{sent_bytes:?}"
    );
}

/// Guards against an outdated directory when the VM that reads it is gone or suspended.
#[test]
fn a_stopped_reader_is_replaced() {
    let (store, mut vms) = start_site(6);
    let backend = engine(1);
    until("one VM is the reader", || readers(&vms).len() == 1);
    let first = readers(&vms)[0];
    vms[first].signal("-STOP");
    store.register("late", "pool", backend.address, "ready");
    let stopped = vms.remove(first);
    until("the new server is known without the reader", || {
        vms.iter().all(|vm| known_server_count(vm) == 41)
    });
    store.put("keyed.servers", "s0", None);
    until("the removed server is gone without the reader", || {
        vms.iter().all(|vm| known_server_count(vm) == 40)
    });
    stopped.signal("-CONT");
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        vms.iter().all(|vm| known_server_count(vm) == 40),
        "a removed server is known again"
    );
    until("the former reader knows the change", || {
        known_server_count(&stopped) == 40
    });
}

/// Guards against an outdated directory on a VM that has lost the store while the others have it.
#[test]
fn a_vm_without_the_store_follows_a_member_that_has_it() {
    let store = Store::start();
    let endpoint = store.new_endpoint();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    let mut vms = vec![Vm::start(&endpoint)];
    vms.extend((0..4).map(|_| Vm::start(&store)));
    wait_until_joined(&vms);
    endpoint.set_down(true);
    let backend = engine(1);
    store.register("late", "pool", backend.address, "ready");
    until("all VMs know the change", || {
        vms.iter().all(|vm| known_server_count(vm) == 1)
    });
}

/// Guards against an outdated directory on all VMs when only the configuration topic is unavailable.
#[test]
fn directory_changes_apply_without_the_configuration_topic() {
    let (store, vms) = start_site(3);
    store.set_unavailable_topic(Some("keyed.op"));
    std::thread::sleep(Duration::from_secs(3));
    store.put("keyed.servers", "s0", None);
    until("all VMs know the change", || {
        vms.iter().all(|vm| known_server_count(vm) == 39)
    });
}

/// Guards against seconds without a reader: other readers must not stop for one that has lost the store.
#[test]
fn a_reader_that_lost_the_store_does_not_stop_its_replacement() {
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    let endpoints = [
        store.new_endpoint(),
        store.new_endpoint(),
        store.new_endpoint(),
        store.new_endpoint(),
    ];
    let vms = endpoints.each_ref().map(Vm::start);
    wait_until_joined(&vms);
    until("one VM is the reader", || readers(&vms).len() == 1);
    let first = readers(&vms)[0];
    endpoints[first].set_down(true);
    until("another VM is the reader", || {
        readers(&vms).iter().any(|at| *at != first)
    });
    let reader_stops = || {
        let others = vms.iter().enumerate().filter(|(at, _)| *at != first);
        let lines = others.map(|(_, vm)| vm.lines("event=directory_reader reads=false").len());
        lines.sum::<usize>()
    };
    let before = reader_stops();
    std::thread::sleep(Duration::from_secs(5));
    assert_eq!(reader_stops(), before);
}
