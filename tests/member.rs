//! Failures of VMs and of the network between them, over the membership protocol alone.

#[path = "../benches/control/exchange.rs"]
#[allow(dead_code, reason = "the benchmark uses the rest")]
mod exchange;

use exchange::{Network, Peer, ZONES, address, vm_name};
use std::collections::BTreeMap;
use std::time::Duration;
use vanillatrail::id::{Epoch, Offset, Shard, Vm};
use vanillatrail::member::View;
use vanillatrail::ownership::{Claimer, Claims};

const SHARDS: u64 = 48;
/// Far more than any step takes.
const LIMIT: Duration = Duration::from_mins(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn joined(size: usize, seed: u64) -> Network<Peer> {
    let mut exchange = Network::gossip(size, SHARDS, seed);
    let whole = exchange.run_until(LIMIT, |exchange| exchange.is_converged() && owned(exchange));
    assert!(whole.is_some(), "the VMs never found each other");
    exchange.run(seconds(10));
    exchange
}

/// Whether every VM knows an owner of every shard.
fn owned(exchange: &mut Network<Peer>) -> bool {
    exchange.all_views(|view| (0..SHARDS).all(|shard| view.owner(Shard(shard)).is_some()))
}

fn owners(view: &View) -> BTreeMap<Shard, Vm> {
    let shards = (0..SHARDS).map(Shard);
    let owned = shards.filter_map(|shard| Some((shard, view.owner(shard)?.vm.clone())));
    owned.collect()
}

fn sightings(view: &View) -> Vec<Claims> {
    let members = view.members.values().map(|member| Claims {
        vm: member.vm.clone(),
        eligible: member.ready,
        owned: member.owned.clone(),
    });
    members.collect()
}

/// Runs with a claimer at every VM and counts the claims that fall due.
fn claims(exchange: &mut Network<Peer>, time: Duration) -> usize {
    let size = exchange.nodes.len();
    let mut claimers: Vec<Claimer> = (0..size)
        .map(|index| Claimer::new(vm_name(index), SHARDS))
        .collect();
    let step = Duration::from_millis(100);
    let mut due = 0;
    for _ in 0..time.as_millis() / step.as_millis() {
        exchange.run(step);
        for (index, claimer) in claimers.iter_mut().enumerate() {
            if exchange.nodes[index].running {
                let seen = sightings(&exchange.view(index));
                due += claimer.shards_to_claim(exchange.now, &seen).len();
            }
        }
    }
    due
}

/// Callers of a slow VM wait a little longer; nobody else notices. The VM stands still for a
/// second again and again, is suspected by those that probe it meanwhile, hears of that as soon
/// as it goes on, and refutes it before anybody drops it. Its shards stay where they are.
#[test]
fn a_slow_vm_is_suspected_but_keeps_its_shards() {
    let mut exchange = joined(12, 1);
    let before = owners(&exchange.view(0));
    for _ in 0..10 {
        exchange.pause(5, seconds(1));
        assert_eq!(claims(&mut exchange, seconds(4)), 0);
    }
    assert!(exchange.counts().suspicions > 0);
    assert_eq!(exchange.counts().removals, 0);
    assert_eq!(owners(&exchange.view(0)), before);
}

/// A VM that stood still for a minute finds its probes unanswered and its suspicions old. If it
/// judged by them, it would drop the whole group and claim every shard. It counts its own pause
/// instead, so it drops nobody and comes back by refuting that it is gone.
#[test]
fn a_vm_that_stood_still_judges_nobody_by_its_own_pause() {
    let mut exchange = joined(12, 2);
    exchange.pause(3, seconds(60));
    exchange.run(seconds(59));
    assert!(exchange.view(0).members.len() == 11);
    let removals = exchange.nodes[3].peer.gossip.counts().removals;
    let back = exchange.run_until(LIMIT, Network::is_converged);
    assert!(back.is_some(), "the VM did not come back");
    assert_eq!(exchange.nodes[3].peer.gossip.counts().removals, removals);
    exchange.run(seconds(5));
    assert_eq!(
        owners(&exchange.view(0)).len(),
        usize::try_from(SHARDS).unwrap()
    );
}

/// Callers notice nothing. Datagrams from one VM to one other are lost, those of the other way
/// are not. The direct probe fails, the probe through other members does not.
#[test]
fn a_one_way_cut_between_two_vms_removes_neither() {
    let mut exchange = joined(12, 3);
    exchange.partition(|from, to| (from, to) == (2, 7));
    assert_eq!(claims(&mut exchange, seconds(60)), 0);
    assert_eq!(exchange.counts().removals, 0);
    assert_eq!(exchange.counts().suspicions, 0);
}

/// A VM sends but hears nobody. The others drop it, since it answers nothing, and take its shards
/// over; its own suspicions do not count, or it would make everybody doubt everybody. When it
/// hears again it is told that it is held to be gone, refutes that and is back.
#[test]
fn a_deaf_vm_is_dropped_and_drops_nobody_else() {
    let mut exchange = joined(12, 4);
    exchange.partition(|_, to| to == 7);
    let dropped = exchange.run_until(seconds(20), |exchange| {
        (0..12).all(|index| index == 7 || exchange.view(index).members.len() == 11)
    });
    assert!(dropped.is_some());
    exchange.run(seconds(30));
    let others = (0..12).filter(|index| *index != 7);
    for index in others {
        assert_eq!(
            exchange.nodes[index].peer.gossip.counts().removals,
            1,
            "{index}"
        );
    }
    exchange.heal();
    assert!(exchange.run_until(LIMIT, Network::is_converged).is_some());
}

/// Callers in the zone that is cut off go on with what it has, the others too: each side drops
/// the other within seconds. Once the cut is over, an address of a member that is gone answers
/// again, each side tells the other that it is held to be gone, and all refute it. Neither side
/// drops anybody because the other had: no member of a side doubts one of its own.
#[test]
fn a_zone_that_was_cut_off_merges_back() {
    let mut exchange = joined(24, 5);
    let before = owners(&exchange.view(0));
    exchange.partition(|from, to| (from % ZONES == 1) != (to % ZONES == 1));
    let split = exchange.run_until(seconds(30), |exchange| {
        (0..24).all(|index| {
            let side = if index % ZONES == 1 { 4 } else { 20 };
            exchange.view(index).members.len() == side
        })
    });
    assert!(split.is_some());
    exchange.run(seconds(30));
    let removals = exchange.counts().removals;
    exchange.heal();
    let merged = exchange.run_until(seconds(30), Network::is_converged);
    assert!(merged.is_some());
    exchange.run(seconds(10));
    assert_eq!(exchange.counts().removals, removals);
    assert_eq!(owners(&exchange.view(0)), before);
}

/// Both sides of a cut go on, and one of them takes a shard of the other over by a claim in the
/// log. After the merge every VM sends its callers to the newer claim, on both sides alike, and
/// to the old owner for every shard that nobody claimed.
#[test]
fn two_sides_that_both_went_on_agree_on_the_newest_claims() {
    let mut exchange = joined(24, 6);
    exchange.partition(|from, to| from % 2 != to % 2);
    exchange.run(seconds(20));
    let fresh = Epoch::at(Offset(9_000_000), 0);
    // Shard 1 is held by VM 1; VM 2 is on the other side.
    exchange.update(2, |beat| beat.owned.push((Shard(1), fresh)));
    exchange.update(3, |beat| beat.applied = Offset(1_000_007));
    exchange.run(seconds(10));
    assert_eq!(exchange.view(1).owner(Shard(1)).unwrap().vm, vm_name(1));
    exchange.heal();
    let agreed = exchange.run_until(seconds(30), |exchange| {
        exchange.is_converged()
            && exchange.all_views(|view| {
                view.owner(Shard(1))
                    .is_some_and(|owner| owner.vm == vm_name(2))
                    && view.newest == Offset(1_000_007)
            })
    });
    assert!(agreed.is_some());
    assert!(owned(&mut exchange));
}

/// Programs of the restarted VMs wait for a takeover, all others go on. Each restarted process
/// has another boot number, so the claims of its earlier run count as nobody's; they fall due at
/// once, and everybody knows the new process without having dropped the old one first.
#[test]
fn one_in_ten_vms_restarted_at_once_rejoin() {
    let mut exchange = joined(40, 7);
    for index in [3, 13, 23, 33] {
        exchange.restart(index, 2_000_000);
    }
    let known = exchange.run_until(seconds(10), |exchange| {
        let boots: Vec<_> = exchange
            .nodes
            .iter()
            .map(|node| node.announcement.boot)
            .collect();
        exchange.is_converged()
            && exchange.all_views(|view| {
                let members = view.members.values();
                members
                    .zip(&boots)
                    .all(|(member, boot)| member.boot == *boot)
            })
    });
    assert!(known.is_some());
    assert_eq!(exchange.counts().removals, 0);
    let lost = exchange.view(0);
    assert!(lost.owner(Shard(3)).is_none());
    assert!(lost.owner(Shard(4)).is_some());
    assert!(claims(&mut exchange, seconds(2)) > 0);
}

/// A VM is replaced by one whose clock stands earlier, so that its incarnation is lower than that
/// of the run before. The others would keep the old run and send callers to shards that it no
/// longer has. It hears of the earlier run from them and raises its incarnation above that.
#[test]
fn a_restarted_vm_whose_clock_went_back_is_known_all_the_same() {
    let mut exchange = joined(12, 8);
    exchange.restart(5, 1);
    let boot = exchange.nodes[5].announcement.boot;
    let known = exchange.run_until(seconds(10), |exchange| {
        exchange.all_views(|view| {
            view.members
                .get(&vm_name(5))
                .is_some_and(|five| five.boot == boot)
        })
    });
    assert!(known.is_some());
}

/// A link that comes and goes every second moves no shard: the VM is suspected and refutes, again
/// and again, and no takeover starts, whose reading of records would cost callers more than the
/// short outages do.
#[test]
fn a_flapping_vm_moves_nothing() {
    let mut exchange = joined(12, 9);
    let before = owners(&exchange.view(0));
    let mut due = 0;
    for _ in 0..30 {
        exchange.partition(|from, to| from == 4 || to == 4);
        due += claims(&mut exchange, Duration::from_millis(900));
        exchange.heal();
        due += claims(&mut exchange, Duration::from_millis(1100));
    }
    assert_eq!(due, 0);
    assert_eq!(owners(&exchange.view(0)), before);
}

/// The platform's VM list names VMs that are no more and lacks some that live. It adds addresses
/// to try and removes nobody, so callers notice nothing.
#[test]
fn a_stale_vm_list_changes_no_view() {
    let mut exchange = joined(12, 10);
    for node in &mut exchange.nodes {
        node.peer.gossip.add_contacts((500..560).map(address));
    }
    assert_eq!(claims(&mut exchange, seconds(30)), 0);
    assert!(exchange.is_converged());
    assert_eq!(exchange.counts().suspicions, 0);
}

/// Both regions go on alone for five minutes and take up each other's shards; the cut ends, and
/// within seconds every VM knows every other again. The VMs that were gone are still known by
/// address after that time, so the sides find each other without help.
#[test]
fn a_region_cut_for_minutes_heals() {
    let mut exchange = joined(24, 11);
    exchange.partition(|from, to| from % 2 != to % 2);
    exchange.run(seconds(300));
    assert!(exchange.all_views(|view| view.members.len() == 12));
    exchange.heal();
    assert!(
        exchange
            .run_until(seconds(30), Network::is_converged)
            .is_some()
    );
}

/// With one datagram in five lost, callers notice nothing: there are suspicions, and each is
/// refuted in time.
#[test]
fn heavy_loss_removes_nobody() {
    let mut exchange = joined(50, 12);
    exchange.loss = 0.2;
    exchange.run(seconds(120));
    assert_eq!(exchange.counts().removals, 0);
    assert!(exchange.is_converged());
}

/// The last VM of three goes on alone when both others die, after a while in which it holds its
/// own connection to be at fault.
#[test]
fn a_vm_left_alone_goes_on() {
    let mut exchange = joined(3, 13);
    exchange.kill(0);
    exchange.kill(2);
    let alone = exchange.run_until(seconds(30), Network::is_converged);
    assert!(alone.is_some());
}

/// A VM that stops by plan says so, and is out of every view without a suspicion first.
#[test]
fn a_vm_that_leaves_is_dropped_at_once() {
    let mut exchange = joined(24, 14);
    let (now, from) = (exchange.now, address(5));
    let farewell = exchange.nodes[5].peer.gossip.leave(now);
    assert!(!farewell.is_empty());
    exchange.kill(5);
    for action in farewell {
        if let vanillatrail::member::Action::Send { to, message } = action {
            let index = (0..24).find(|index| address(*index) == to).unwrap();
            exchange.nodes[index]
                .peer
                .gossip
                .on_message(now, from, message);
        }
    }
    let dropped = exchange.run_until(seconds(20), Network::is_converged);
    assert!(dropped.is_some_and(|time| time < seconds(3)), "{dropped:?}");
    exchange.run(seconds(10));
    assert!(exchange.is_converged());
    assert_eq!(exchange.counts().suspicions, 0);
}

/// A backend server that is leaving is known everywhere within a second or two, so that no VM
/// gives it work; when nobody renews the announcement it ends everywhere, and the server that
/// came back is used again.
#[test]
fn a_leaving_backend_server_is_known_everywhere_and_forgotten_later() {
    let mut exchange = joined(24, 15);
    let server = "engine-7".parse().unwrap();
    let now = exchange.now;
    exchange.nodes[9]
        .peer
        .gossip
        .announce_draining(now, &server);
    let known = exchange.run_until(seconds(20), |exchange| {
        exchange.all_views(|view| view.draining.contains(&server))
    });
    assert!(known.is_some_and(|time| time < seconds(4)), "{known:?}");
    let over = exchange.run_until(seconds(70), |exchange| {
        exchange.all_views(|view| view.draining.is_empty())
    });
    assert!(over.is_some());
    exchange.run(seconds(60));
    assert!(exchange.all_views(|view| view.draining.is_empty()));
}

/// A group in which everything changes at once still sends datagrams of at most 1,200 bytes, and
/// every VM learns of every member and every owner.
#[test]
fn no_datagram_exceeds_its_bound() {
    let mut exchange = Network::gossip(30, 600, 16);
    let known = exchange.run_until(LIMIT, |exchange| {
        exchange.is_converged()
            && exchange.all_views(|view| (0..600).all(|shard| view.owner(Shard(shard)).is_some()))
    });
    assert!(known.is_some());
    let largest = exchange
        .nodes
        .iter()
        .map(|node| node.largest_datagram)
        .max()
        .unwrap();
    assert!(
        largest <= vanillatrail::member::MAX_DATAGRAM_BYTES,
        "{largest}"
    );
}
