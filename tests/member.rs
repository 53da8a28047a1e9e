//! Failures of VMs and of the network between them, simulated with the membership protocol only.

#[path = "../benches/control/exchange.rs"]
#[allow(dead_code, reason = "the benchmark uses the rest")]
mod exchange;

use exchange::{Network, Peer, ZONES, address, vm_name};
use std::collections::BTreeMap;
use std::time::Duration;
use vanillatrail::id::{Epoch, Offset, Shard, Vm};
use vanillatrail::member::View;
use vanillatrail::ownership::{Claimer, Claims};

const SHARD_COUNT: u64 = 48;
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn converged_group(size: usize, seed: u64) -> Network<Peer> {
    let mut exchange = Network::gossip(size, SHARD_COUNT, seed);
    let converged = exchange.run_until(CONVERGENCE_TIMEOUT, |exchange| {
        exchange.is_converged() && all_shards_owned(exchange)
    });
    assert!(converged.is_some(), "the VMs did not find each other");
    exchange.run(seconds(10));
    exchange
}

/// Whether every VM knows an owner of every shard.
fn all_shards_owned(exchange: &mut Network<Peer>) -> bool {
    exchange.all_views(|view| (0..SHARD_COUNT).all(|shard| view.owner(Shard(shard)).is_some()))
}

fn owners(view: &View) -> BTreeMap<Shard, Vm> {
    let shards = (0..SHARD_COUNT).map(Shard);
    let owned = shards.filter_map(|shard| Some((shard, view.owner(shard)?.vm.clone())));
    owned.collect()
}

fn member_claims(view: &View) -> Vec<Claims> {
    let members = view.members.values().map(|member| Claims {
        vm: member.vm.clone(),
        eligible: member.ready,
        owned: member.owned.clone(),
    });
    members.collect()
}

/// Runs the group with a claimer at every VM, and counts the shards that they claim.
fn count_claims(exchange: &mut Network<Peer>, duration: Duration) -> usize {
    let size = exchange.nodes.len();
    let mut claimers: Vec<Claimer> = (0..size)
        .map(|index| Claimer::new(vm_name(index), SHARD_COUNT))
        .collect();
    let step = Duration::from_millis(100);
    let mut count = 0;
    for _ in 0..duration.as_millis() / step.as_millis() {
        exchange.run(step);
        for (index, claimer) in claimers.iter_mut().enumerate() {
            if exchange.nodes[index].running {
                let members = member_claims(&exchange.view(index));
                count += claimer.shards_to_claim(exchange.now, &members).len();
            }
        }
    }
    count
}

/// Guards against removing a VM that pauses for a second repeatedly: it refutes the suspicions in time.
#[test]
fn slow_vm_is_suspected_but_keeps_its_shards() {
    let mut exchange = converged_group(12, 1);
    let before = owners(&exchange.view(0));
    for _ in 0..10 {
        exchange.pause(5, seconds(1));
        assert_eq!(count_claims(&mut exchange, seconds(4)), 0);
    }
    assert!(exchange.counts().suspicions > 0);
    assert_eq!(exchange.counts().removals, 0);
    assert_eq!(owners(&exchange.view(0)), before);
}

/// Guards against a VM that was paused for a minute and then removes all others, whose answers it missed.
#[test]
fn vm_resumed_after_a_pause_removes_nobody() {
    let mut exchange = converged_group(12, 2);
    exchange.pause(3, seconds(60));
    exchange.run(seconds(59));
    assert!(exchange.view(0).members.len() == 11);
    let removals = exchange.nodes[3].peer.gossip.counts().removals;
    let rejoined = exchange.run_until(CONVERGENCE_TIMEOUT, Network::is_converged);
    assert!(rejoined.is_some(), "the VM did not rejoin");
    assert_eq!(exchange.nodes[3].peer.gossip.counts().removals, removals);
    exchange.run(seconds(5));
    assert_eq!(
        owners(&exchange.view(0)).len(),
        usize::try_from(SHARD_COUNT).unwrap()
    );
}

/// Guards against removing a VM because datagrams to it from one other VM are lost: indirect probes still succeed.
#[test]
fn one_way_loss_between_two_vms_removes_neither() {
    let mut exchange = converged_group(12, 3);
    exchange.partition(|from, to| (from, to) == (2, 7));
    assert_eq!(count_claims(&mut exchange, seconds(60)), 0);
    assert_eq!(exchange.counts().removals, 0);
    assert_eq!(exchange.counts().suspicions, 0);
}

/// Guards against a VM that can send but not receive, and makes the others remove each other by its suspicions.
#[test]
fn vm_that_cannot_receive_is_the_only_one_removed() {
    let mut exchange = converged_group(12, 4);
    exchange.partition(|_, to| to == 7);
    let removed = exchange.run_until(seconds(20), |exchange| {
        (0..12).all(|index| index == 7 || exchange.view(index).members.len() == 11)
    });
    assert!(removed.is_some());
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
    assert!(
        exchange
            .run_until(CONVERGENCE_TIMEOUT, Network::is_converged)
            .is_some()
    );
}

/// Guards against zones that do not find each other after a partition, or remove members of their own because the other
/// side had.
#[test]
fn partitioned_zone_rejoins() {
    let mut exchange = converged_group(24, 5);
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

/// Guards against VMs that disagree on the owner of a shard after a partition in which one side claimed it.
#[test]
fn newest_claims_win_after_a_partition_heals() {
    let mut exchange = converged_group(24, 6);
    exchange.partition(|from, to| from % 2 != to % 2);
    exchange.run(seconds(20));
    let newer_epoch = Epoch::at(Offset(9_000_000), 0);
    // VM 1 owns shard 1; VM 2 is on the other side.
    exchange.update(2, |beat| beat.owned.push((Shard(1), newer_epoch)));
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
    assert!(all_shards_owned(&mut exchange));
}

/// Guards against claims of an earlier run that stay valid after a restart, and against removing restarted VMs first.
#[test]
fn vms_restarted_together_rejoin_without_their_old_claims() {
    let mut exchange = converged_group(40, 7);
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
    let view = exchange.view(0);
    assert!(view.owner(Shard(3)).is_none());
    assert!(view.owner(Shard(4)).is_some());
    assert!(count_claims(&mut exchange, seconds(2)) > 0);
}

/// Guards against members that ignore a restarted VM because its clock went back and its incarnation is lower.
#[test]
fn restarted_vm_with_an_earlier_clock_is_recognized() {
    let mut exchange = converged_group(12, 8);
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

/// Guards against takeovers of the shards of a VM whose network fails every other second.
#[test]
fn flapping_vm_keeps_its_shards() {
    let mut exchange = converged_group(12, 9);
    let before = owners(&exchange.view(0));
    let mut claims = 0;
    for _ in 0..30 {
        exchange.partition(|from, to| from == 4 || to == 4);
        claims += count_claims(&mut exchange, Duration::from_millis(900));
        exchange.heal();
        claims += count_claims(&mut exchange, Duration::from_millis(1100));
    }
    assert_eq!(claims, 0);
    assert_eq!(owners(&exchange.view(0)), before);
}

/// Guards against an outdated VM list that removes members or causes suspicions.
#[test]
fn outdated_vm_list_changes_no_view() {
    let mut exchange = converged_group(12, 10);
    for node in &mut exchange.nodes {
        node.peer.gossip.add_contacts((500..560).map(address));
    }
    assert_eq!(count_claims(&mut exchange, seconds(30)), 0);
    assert!(exchange.is_converged());
    assert_eq!(exchange.counts().suspicions, 0);
}

/// Guards against forgetting the addresses of removed members, so that sides of a long partition do not find each other.
#[test]
fn partition_of_minutes_heals() {
    let mut exchange = converged_group(24, 11);
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

/// Guards against removing members when one datagram in five is lost.
#[test]
fn heavy_packet_loss_removes_nobody() {
    let mut exchange = converged_group(50, 12);
    exchange.loss = 0.2;
    exchange.run(seconds(120));
    assert_eq!(exchange.counts().removals, 0);
    assert!(exchange.is_converged());
}

/// Guards against a last VM that never removes the others because it keeps blaming its own network.
#[test]
fn last_vm_removes_all_others() {
    let mut exchange = converged_group(3, 13);
    exchange.kill(0);
    exchange.kill(2);
    let removed = exchange.run_until(seconds(30), Network::is_converged);
    assert!(removed.is_some());
}

/// Guards against suspicions of a VM that shut down cleanly, and against keeping it in a view.
#[test]
fn leaving_vm_is_removed_without_suspicion() {
    let mut exchange = converged_group(24, 14);
    let (now, from) = (exchange.now, address(5));
    let leave_messages = exchange.nodes[5].peer.gossip.leave(now);
    assert!(!leave_messages.is_empty());
    exchange.kill(5);
    for action in leave_messages {
        if let vanillatrail::member::Action::Send { to, message } = action {
            let index = (0..24).find(|index| address(*index) == to).unwrap();
            exchange.nodes[index]
                .peer
                .gossip
                .on_message(now, from, message);
        }
    }
    let removed = exchange.run_until(seconds(20), Network::is_converged);
    assert!(removed.is_some_and(|time| time < seconds(3)), "{removed:?}");
    exchange.run(seconds(10));
    assert!(exchange.is_converged());
    assert_eq!(exchange.counts().suspicions, 0);
}

/// Guards against VMs that miss the draining of a backend server, or keep it when the announcement is not renewed.
#[test]
fn draining_backend_server_reaches_all_views_and_expires() {
    let mut exchange = converged_group(24, 15);
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
    let expired = exchange.run_until(seconds(70), |exchange| {
        exchange.all_views(|view| view.draining.is_empty())
    });
    assert!(expired.is_some());
    exchange.run(seconds(60));
    assert!(exchange.all_views(|view| view.draining.is_empty()));
}

/// Guards against datagrams above the size limit when many members and owners are announced at once.
#[test]
fn datagrams_stay_within_the_size_limit() {
    let mut exchange = Network::gossip(30, 600, 16);
    let known = exchange.run_until(CONVERGENCE_TIMEOUT, |exchange| {
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
