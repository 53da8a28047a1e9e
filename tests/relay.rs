//! From whom VMs hear of changes to the directory, and what the store gives for it.

mod platform;

use platform::program::{acquainted, engine};
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

/// VMs of which one in six is strong, in five zones.
fn fleet(vms: u16) -> Vec<Peer> {
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

/// Guards against reads of the store that grow with the number of VMs, and against a VM that all others ask.
#[test]
fn one_vm_reads_and_a_zone_asks_one() {
    for vms in [1000, 2000] {
        let fleet = fleet(vms);
        let mut asked: HashMap<SocketAddr, u32> = HashMap::new();
        let mut readers = 0;
        for peer in &fleet {
            let sources = sources(&peer.vm, &fleet);
            match sources.upstreams.first() {
                None => readers += 1,
                Some(first) => *asked.entry(*first).or_default() += 1,
            }
        }
        assert_eq!(readers, 1);
        assert!(asked.len() <= usize::from(ZONES) + 1, "{}", asked.len());
        let most = asked.values().max().expect("some are asked");
        assert!(*most <= u32::from(vms / ZONES) + u32::from(ZONES));
    }
}

/// Guards against VMs that wait for each other, and against all reading the store when the first ones are lost.
#[test]
fn the_loss_of_those_that_come_first_leaves_few_readers() {
    let mut fleet = fleet(1000);
    let rank = |fleet: &[Peer]| -> Vec<SocketAddr> {
        let by_before = |peer: &Peer| sources(&peer.vm, fleet).upstreams.len();
        let mut fleet: Vec<&Peer> = fleet.iter().collect();
        fleet.sort_by_key(|peer| by_before(peer));
        fleet.iter().take(5).map(|peer| peer.address).collect()
    };
    let first = rank(&fleet);
    // They answer nobody, and are members still.
    let helped = |peer: &Peer| {
        let sources = sources(&peer.vm, &fleet);
        let helps = sources
            .upstreams
            .iter()
            .any(|source| !first.contains(source));
        helps || !sources.may_read_store
    };
    let alone = fleet.iter().filter(|peer| !first.contains(&peer.address));
    assert!(alone.filter(|peer| !helped(peer)).count() <= 10);
    fleet.retain(|peer| !first.contains(&peer.address));
    let readers = fleet
        .iter()
        .filter(|peer| sources(&peer.vm, &fleet).upstreams.is_empty());
    assert_eq!(readers.count(), 1);
}

/// Guards against introductions whose reads grow with the square of the VMs when all start at once.
#[test]
fn few_read_the_introductions_of_all() {
    const CELLS: u64 = 24;
    for vms in [1000, 2000] {
        let fleet = fleet(vms);
        let mut cells: HashMap<u64, Vec<Peer>> = HashMap::new();
        for peer in fleet {
            let cell = cell(&peer.vm, &peer.zone, CELLS);
            cells.entry(cell).or_default().push(peer);
        }
        assert!(cells.len() <= 4 * usize::from(ZONES));
        let largest = cells.values().map(Vec::len).max().expect("some");
        assert!(
            largest * 8 <= usize::from(vms),
            "{largest} of {vms} in a cell"
        );
        for cell in cells.values() {
            assert_eq!(ranked_readers(cell)[0].cores, Millicores(500));
        }
    }
}

fn server(name: &str, draining: bool) -> Change {
    Change::Set(
        Entry {
            id: instance_id(name, 1),
            name: name.into(),
            born_ms: 1,
            service: "pool".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "z".to_owned(),
            slots: 4,
            draining,
        }
        .into(),
    )
}

/// Guards against changes that are lost or taken back where VMs follow one after another.
#[test]
fn changes_after_an_offset_lead_to_the_same_directory() {
    let mut changes = Changes::starting_at(Offset(10));
    let mut directory = Directory::default();
    let all = [
        (12, server("a", false)),
        (15, server("b", false)),
        (15, server("c", false)),
        (19, server("a", true)),
        (30, Change::Removed("b".into())),
    ];
    for (at, change) in &all {
        directory.apply(change.clone());
        changes.push(Offset(*at), change.clone());
    }
    assert_eq!(changes.after(Offset(9), |_| true), None);
    for room in 2..=5 {
        let (mut follower, mut as_of) = (Directory::default(), Offset(10));
        loop {
            let mut left = room;
            let fits = |_: &Change| {
                let fits = left > 0;
                left -= i32::from(fits);
                fits
            };
            let part = changes.after(as_of, fits).expect("they are kept");
            for change in part.changes {
                follower.apply(change);
            }
            assert!(part.complete || part.end > as_of);
            as_of = part.end;
            if part.complete {
                break;
            }
        }
        assert_eq!(as_of, Offset(30));
        assert_eq!(follower.digest(), directory.digest());
        assert_eq!(follower.len(), 2);
    }
}

fn known(vm: &Vm) -> usize {
    vm.state()["servers"].as_array().map_or(0, Vec::len)
}

fn reading(vms: &[Vm]) -> Vec<usize> {
    let reads = |vm: &Vm| {
        let lines = vm.lines("event=directory_reader");
        lines.last().is_some_and(|line| line.contains("reads=true"))
    };
    (0..vms.len()).filter(|at| reads(&vms[*at])).collect()
}

fn site(vms: usize) -> (Store, Vec<Vm>) {
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    for number in 0..40 {
        let address = ([127, 0, 0, 1], 9000 + number).into();
        store.register(&format!("s{number}"), "pool", address, "ready");
    }
    let vms: Vec<Vm> = (0..vms).map(|_| Vm::start(&store)).collect();
    acquainted(&vms);
    (store, vms)
}

/// Guards against bytes of the store that grow with VMs times servers: renewals are read by one VM.
#[test]
fn what_the_store_gives_does_not_grow_with_the_vms() {
    let given = [4, 12].map(|count| {
        let (store, vms) = site(count);
        until("one VM reads", || reading(&vms).len() == 1);
        let before = store.given("keyed.servers");
        for renewal in 0..20 {
            for number in 0..40 {
                let address = ([127, 0, 0, 1], 9000 + number).into();
                store.register(&format!("s{number}"), "pool", address, "ready");
            }
            std::thread::sleep(Duration::from_millis(if renewal < 19 { 50 } else { 1500 }));
        }
        store.given("keyed.servers") - before
    });
    assert!(given[0] > 0 && given[1] < given[0] * 3 / 2, "{given:?}");
}

/// Guards against VMs that go on with an old directory when the VM that reads it is gone or stands still.
#[test]
fn a_reader_that_is_lost_is_replaced() {
    let (store, mut vms) = site(6);
    let backend = engine(1);
    until("one VM reads", || reading(&vms).len() == 1);
    let first = reading(&vms)[0];
    vms[first].signal("-STOP");
    store.register("late", "pool", backend.address, "ready");
    let stopped = vms.remove(first);
    until("it is known without the reader", || {
        vms.iter().all(|vm| known(vm) == 41)
    });
    store.put("keyed.servers", "s0", None);
    until("it is gone without the reader", || {
        vms.iter().all(|vm| known(vm) == 40)
    });
    stopped.signal("-CONT");
    std::thread::sleep(Duration::from_secs(1));
    assert!(
        vms.iter().all(|vm| known(vm) == 40),
        "what was old came back"
    );
    until("the reader knows it too", || known(&stopped) == 40);
}

/// Guards against an old directory on VMs that the store refuses while it serves the others.
#[test]
fn a_vm_without_the_store_follows_one_that_has_it() {
    let store = Store::start();
    let door = store.door();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    let mut vms = vec![Vm::start(&door)];
    vms.extend((0..4).map(|_| Vm::start(&store)));
    acquainted(&vms);
    door.set_down(true);
    let backend = engine(1);
    store.register("late", "pool", backend.address, "ready");
    until("all know it", || vms.iter().all(|vm| known(vm) == 1));
}

/// Guards against an old directory on all VMs where the store has lost only the partition of the configuration.
#[test]
fn the_directory_is_followed_while_the_configuration_is_away() {
    let (store, vms) = site(3);
    store.set_unread(Some("keyed.op"));
    std::thread::sleep(Duration::from_secs(3));
    store.put("keyed.servers", "s0", None);
    until("all know it", || vms.iter().all(|vm| known(vm) == 39));
}

/// Guards against readers that stop for one which the store refuses, so that for seconds nobody reads.
#[test]
fn a_reader_without_the_store_does_not_stop_the_one_after_it() {
    let store = Store::start();
    store.configure(1, &[("/a/", "stream", serde_json::json!({}))]);
    let doors = [store.door(), store.door(), store.door(), store.door()];
    let vms = doors.each_ref().map(Vm::start);
    acquainted(&vms);
    until("one VM reads", || reading(&vms).len() == 1);
    let first = reading(&vms)[0];
    doors[first].set_down(true);
    until("another one reads", || {
        reading(&vms).iter().any(|at| *at != first)
    });
    let rests = || {
        let others = vms.iter().enumerate().filter(|(at, _)| *at != first);
        let lines = others.map(|(_, vm)| vm.lines("event=directory_reader reads=false").len());
        lines.sum::<usize>()
    };
    let before = rests();
    std::thread::sleep(Duration::from_secs(5));
    assert_eq!(rests(), before);
}
