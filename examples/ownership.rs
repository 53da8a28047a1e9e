//! Two VMs claim the same shard; the order of the stream decides whose records are valid.
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
            vm: vm.parse().expect("a valid name"),
            boot: Boot(1),
            sequence: Sequence(sequence),
        },
        shard: Shard(0),
        epoch,
        body,
    }
}

/// Prints when each of two VMs would claim a shard without an owner.
fn print_claim_delays() {
    let sighting = |vm: &str| Claims {
        vm: vm.parse().expect("a valid name"),
        eligible: true,
        owned: Vec::new(),
    };
    let members = [sighting("vm-a"), sighting("vm-b")];
    let start = Instant::now();
    for vm in ["vm-a", "vm-b"] {
        let own_vm: Vm = vm.parse().expect("a valid name");
        let mut claimer = Claimer::new(own_vm, 1);
        let claim_step = (0..100).find(|step| {
            let now = start + Duration::from_millis(100) * *step;
            !claimer.shards_to_claim(now, &members).is_empty()
        });
        println!(
            "{vm} claims after {} ms",
            claim_step.expect("the VM claims the shard") * 100
        );
    }
}

fn main() {
    print_claim_delays();
    let mut ledger = Ledger::default();
    let claim = |vm, sequence| record(vm, sequence, Epoch::default(), Body::Claim);
    let Validity::Claimed(first) = ledger.apply(Offset(0), 0, &claim("vm-a", 1)) else {
        panic!("a claim starts an epoch");
    };
    let Validity::Claimed(second) = ledger.apply(Offset(1), 0, &claim("vm-b", 1)) else {
        panic!("a claim starts an epoch");
    };
    println!("epoch of vm-a: {first}, of vm-b: {second}");

    // vm-a was suspended and has not read the claim of vm-b, so its record is fenced.
    let release = || Body::Release { successor: None };
    let stale = record("vm-a", 2, first, release());
    assert_eq!(ledger.apply(Offset(2), 0, &stale), Validity::Fenced);
    let current = record("vm-b", 2, second, release());
    assert_eq!(ledger.apply(Offset(3), 0, &current), Validity::Valid);
    println!("the record of vm-a is fenced, that of vm-b is valid");
}
