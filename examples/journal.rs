//! Encodes a batch of records for one append, and decodes it.
//!
//!     cargo run --example journal

use vanillatrail::id::{Boot, Epoch, Offset, Sequence, shard_of};
use vanillatrail::journal::{Body, Id, Record, decode, encode};

fn main() {
    let shard = shard_of("order-7", 16);
    let record = |sequence, epoch, body| Record {
        id: Id {
            vm: "vm-a".parse().expect("a valid name"),
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

    let encoded = encode(&batch);
    println!(
        "{} records of shard {shard} are encoded in {} bytes",
        batch.len(),
        encoded.len()
    );
    let decoded = decode(&encoded).expect("an encoded batch can be decoded");
    assert_eq!(decoded, batch);

    let mut other_version = encoded.to_vec();
    other_version[0] = 99;
    let error = decode(&other_version).expect_err("the format version is unknown");
    println!("unknown version: {error}");
}
