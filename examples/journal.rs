//! Writes a batch of records as one append and reads it back.
//!
//!     cargo run --example journal

use vanillatrail::id::{Boot, Epoch, Offset, Sequence, shard_of};
use vanillatrail::journal::{Body, Id, Record, decode, encode};

fn main() {
    let shard = shard_of("order-7", 16);
    let record = |sequence, epoch, body| Record {
        id: Id {
            vm: "vm-a".parse().expect("a name"),
            boot: Boot(1),
            sequence: Sequence(sequence),
        },
        shard,
        epoch,
        body,
    };
    let epoch = Epoch::at(Offset(0), 0);
    let batch = [
        record(1, Epoch::default(), Body::Claim),
        record(2, epoch, Body::Release { successor: None }),
    ];

    let entry = encode(&batch);
    println!(
        "{} records of shard {shard} take {} bytes",
        batch.len(),
        entry.len()
    );
    let read = decode(&entry).expect("what was written can be read");
    assert_eq!(read, batch);

    let mut other_version = entry.to_vec();
    other_version[0] = 99;
    let refused = decode(&other_version).expect_err("the version is not known");
    println!("another version: {refused}");
}
