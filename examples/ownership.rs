//! Two VMs claim one shard; the order of the stream decides whose records count.
//!
//!     cargo run --example ownership

use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Boot, Epoch, Offset, Sequence, Shard, Vm};
use vanillatrail::journal::{Body, Id, Record};
use vanillatrail::ownership::{Claimer, Claims, Ledger, Validity};

fn record(vm: &str, sequence: u64, epoch: Epoch, body: Body) -> Record {
    Record {
        id: Id {
            vm: vm.parse().expect("a name"),
            boot: Boot(1),
            sequence: Sequence(sequence),
        },
        shard: Shard(0),
        epoch,
        body,
    }
}

/// When each of two VMs would claim a shard that nobody owns.
fn waits() {
    let sighting = |vm: &str| Claims {
        vm: vm.parse().expect("a name"),
        eligible: true,
        owned: Vec::new(),
    };
    let members = [sighting("vm-a"), sighting("vm-b")];
    let start = Instant::now();
    for vm in ["vm-a", "vm-b"] {
        let me: Vm = vm.parse().expect("a name");
        let mut claimer = Claimer::new(me, 1);
        let waited = (0..100).find(|step| {
            let now = start + Duration::from_millis(100) * *step;
            !claimer.shards_to_claim(now, &members).is_empty()
        });
        println!("{vm} claims after {} ms", waited.expect("it claims") * 100);
    }
}

fn main() {
    waits();
    let mut ledger = Ledger::default();
    let claim = |vm, sequence| record(vm, sequence, Epoch::default(), Body::Claim);
    let Validity::Claimed(first) = ledger.apply(Offset(0), 0, &claim("vm-a", 1)) else {
        panic!("a claim starts an epoch");
    };
    let Validity::Claimed(second) = ledger.apply(Offset(1), 0, &claim("vm-b", 1)) else {
        panic!("a claim starts an epoch");
    };
    println!("vm-a owns from {first}, vm-b from {second}");

    // vm-a was paused and has not read the claim of vm-b: what it appends does not count.
    let release = || Body::Release { successor: None };
    let late = record("vm-a", 2, first, release());
    assert_eq!(ledger.apply(Offset(2), 0, &late), Validity::Fenced);
    let current = record("vm-b", 2, second, release());
    assert_eq!(ledger.apply(Offset(3), 0, &current), Validity::Valid);
    println!("the record of vm-a is void, that of vm-b counts");
}
