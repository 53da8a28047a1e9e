//! Who takes a shard over, and when one is handed over to even out the load.

use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Epoch, Shard, Vm};
use vanillatrail::ownership::{Claimer, Claims};

const STEP: Duration = Duration::from_millis(100);

fn vm(name: &str) -> Vm {
    name.parse().expect("a plain name")
}

fn sighting(name: &str, shards: std::ops::Range<u64>) -> Claims {
    Claims {
        vm: vm(name),
        eligible: true,
        owned: shards.map(|shard| (Shard(shard), Epoch(1))).collect(),
    }
}

/// Runs a claimer of `vm-a` that holds all of 12 shards for a while, beside two others that have
/// none; `seen` tells whether those are seen at a time. Gives the times of the hand-overs.
fn handed(time: Duration, seen: impl Fn(Duration) -> bool) -> Vec<Duration> {
    let mut claimer = Claimer::new(vm("vm-a"), 12);
    let start = Instant::now();
    let mut held = 12;
    let mut times = Vec::new();
    let mut at = Duration::ZERO;
    while at < time {
        let mut members = vec![sighting("vm-a", 0..held)];
        if seen(at) {
            members.extend([sighting("vm-b", 12..12), sighting("vm-c", 12..12)]);
        }
        if let Some((shard, to)) = claimer.shard_to_hand_over(start + at, &members, |_| true) {
            assert!(shard.0 < held && to != vm("vm-a"));
            held -= 1;
            times.push(at);
        }
        at += STEP;
    }
    times
}

/// New VMs join a group whose shards all belong to one. Callers of each moved shard wait for one
/// takeover, so shards move one at a time, with a pause between, and only down to an even share.
#[test]
fn shards_move_to_new_vms_one_at_a_time() {
    let times = handed(Duration::from_mins(5), |_| true);
    assert_eq!(times.len(), 8, "12 shards over 3 VMs leave 4 here");
    assert!(times[0] >= Duration::from_secs(30));
    let apart = |pair: &[Duration]| pair[1] >= pair[0] + Duration::from_secs(5);
    assert!(times.windows(2).all(apart), "{times:?}");
}

/// A VM that comes and goes every ten seconds would take shards and lose them again, each time at
/// the cost of a takeover. It is never seen for long enough, so nothing moves.
#[test]
fn a_flapping_vm_is_handed_nothing() {
    let flapping = |at: Duration| at.as_secs() % 10 < 8;
    assert!(handed(Duration::from_mins(10), flapping).is_empty());
}

/// A shard with a call under way stays, and one without is handed over in its place.
#[test]
fn a_busy_shard_stays() {
    let mut claimer = Claimer::new(vm("vm-a"), 4);
    let start = Instant::now();
    let members = [sighting("vm-a", 0..4), sighting("vm-b", 4..4)];
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
    let spare = claimer.shard_to_hand_over(later, &members, |shard| shard == Shard(2));
    assert_eq!(spare, Some((Shard(2), vm("vm-b"))));
}

/// The owner of a shard dies. The first in rank claims it after a short wait, the others only if
/// the first does not, so that one takeover happens and not one at every VM.
#[test]
fn the_first_in_rank_claims_and_the_others_wait() {
    let names = ["vm-a", "vm-b", "vm-c"];
    let members: Vec<Claims> = names.iter().map(|name| sighting(name, 0..0)).collect();
    let start = Instant::now();
    let waits = names.map(|name| {
        let mut claimer = Claimer::new(vm(name), 1);
        let steps = (0..100).map(|step| STEP * step);
        let mut due = steps.filter(|at| !claimer.shards_to_claim(start + *at, &members).is_empty());
        due.next().expect("it claims in the end")
    });
    let mut sorted = waits;
    sorted.sort();
    assert!(sorted[0] <= Duration::from_millis(500));
    let apart = |pair: &[Duration]| pair[1] >= pair[0] + Duration::from_millis(500);
    assert!(sorted.windows(2).all(apart), "{sorted:?}");
}
