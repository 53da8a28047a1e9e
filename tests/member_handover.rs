//! Which VM claims a shard without an owner, and when shards are handed over to balance the load.

use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Epoch, Shard, Vm};
use vanillatrail::ownership::{Claimer, Claims};

const STEP: Duration = Duration::from_millis(100);

fn vm(name: &str) -> Vm {
    name.parse().expect("a plain name")
}

fn claims_of(name: &str, shards: std::ops::Range<u64>) -> Claims {
    Claims {
        vm: vm(name),
        eligible: true,
        owned: shards.map(|shard| (Shard(shard), Epoch(1))).collect(),
    }
}

/// Runs the claimer of `vm-a`, which owns all 12 shards, next to two VMs that own none. `are_visible` returns whether
/// `vm-a` sees these at a time. Returns the times of the handovers.
fn handover_times(duration: Duration, are_visible: impl Fn(Duration) -> bool) -> Vec<Duration> {
    let mut claimer = Claimer::new(vm("vm-a"), 12);
    let start = Instant::now();
    let mut owned_count = 12;
    let mut times = Vec::new();
    let mut at = Duration::ZERO;
    while at < duration {
        let mut members = vec![claims_of("vm-a", 0..owned_count)];
        if are_visible(at) {
            members.extend([claims_of("vm-b", 12..12), claims_of("vm-c", 12..12)]);
        }
        if let Some((shard, to)) = claimer.shard_to_hand_over(start + at, &members, |_| true) {
            assert!(shard.0 < owned_count && to != vm("vm-a"));
            owned_count -= 1;
            times.push(at);
        }
        at += STEP;
    }
    times
}

/// Guards against handing over many shards at once, or more than an even share, when new VMs join. Callers of a moved
/// shard wait for its takeover.
#[test]
fn shards_are_handed_to_new_vms_one_at_a_time() {
    let times = handover_times(Duration::from_mins(5), |_| true);
    assert_eq!(times.len(), 8, "an even share of 12 shards on 3 VMs is 4");
    assert!(times[0] >= Duration::from_secs(30));
    let is_spaced = |pair: &[Duration]| pair[1] >= pair[0] + Duration::from_secs(5);
    assert!(times.windows(2).all(is_spaced), "{times:?}");
}

/// Guards against handing shards to a VM that joins and leaves every ten seconds, at the cost of a takeover each time.
#[test]
fn flapping_vm_gets_no_shards() {
    let flapping = |at: Duration| at.as_secs() % 10 < 8;
    assert!(handover_times(Duration::from_mins(10), flapping).is_empty());
}

/// Guards against handing over a shard with a call in flight.
#[test]
fn shard_with_a_call_in_flight_is_not_handed_over() {
    let mut claimer = Claimer::new(vm("vm-a"), 4);
    let start = Instant::now();
    let members = [claims_of("vm-a", 0..4), claims_of("vm-b", 4..4)];
    assert!(
        claimer
            .shard_to_hand_over(start, &members, |_| true)
            .is_none()
    );
    let later = start + Duration::from_secs(31);
    assert!(
        claimer
            .shard_to_hand_over(later, &members, |_| false)
            .is_none()
    );
    let handover = claimer.shard_to_hand_over(later, &members, |shard| shard == Shard(2));
    assert_eq!(handover, Some((Shard(2), vm("vm-b"))));
}

/// Guards against a takeover by every VM when the owner of a shard dies. The first in rank claims after a short wait,
/// the others only if it does not.
#[test]
fn claims_are_staggered_by_rank() {
    let names = ["vm-a", "vm-b", "vm-c"];
    let members: Vec<Claims> = names.iter().map(|name| claims_of(name, 0..0)).collect();
    let start = Instant::now();
    let waits = names.map(|name| {
        let mut claimer = Claimer::new(vm(name), 1);
        let steps = (0..100).map(|step| STEP * step);
        let mut claim_times =
            steps.filter(|at| !claimer.shards_to_claim(start + *at, &members).is_empty());
        claim_times.next().expect("it claims the shard within 10 s")
    });
    let mut sorted = waits;
    sorted.sort();
    assert!(sorted[0] <= Duration::from_millis(500));
    let is_spaced = |pair: &[Duration]| pair[1] >= pair[0] + Duration::from_millis(500);
    assert!(sorted.windows(2).all(is_spaced), "{sorted:?}");
}
