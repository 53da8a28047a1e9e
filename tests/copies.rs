//! Which VMs are asked for a copy when hundreds start.

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use vanillatrail::policy::copies::{Source, order_sources};

const VMS: u16 = 300;
const ZONES: u16 = 5;
/// VMs that are asked at a time.
const ASKED: usize = 3;

/// 300 VMs in five zones start at once, and each asks three others for what it can't read yet. All that they
/// get comes from their own zones, and nobody is asked by more than a few.
#[test]
fn copies_stay_in_the_zone_and_are_spread() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut asked: HashMap<SocketAddr, u32> = HashMap::new();
    for vm in 0..VMS {
        let others = (0..VMS).filter(|other| *other != vm);
        let holders = others.map(|other| Source {
            address: ([127, 0, 0, 1], other + 1).into(),
            same_zone: other % ZONES == vm % ZONES,
            has_newest: true,
        });
        let mut holders: Vec<Source> = holders.collect();
        order_sources(&mut holders, &mut rng);
        for holder in holders.iter().take(ASKED) {
            assert!(holder.same_zone);
            *asked.entry(holder.address).or_default() += 1;
        }
    }
    let most = asked.values().max().expect("some are asked");
    assert!(*most <= 12, "one VM is asked by {most}");
}

/// A VM that has lost the store needs what it does not have: those with the newest configuration come
/// first, wherever they are.
#[test]
fn the_newest_copies_come_before_the_near_ones() {
    let mut rng = StdRng::seed_from_u64(2);
    let holders = (1..=VMS).map(|vm| Source {
        address: ([127, 0, 0, 1], vm).into(),
        same_zone: vm % ZONES == 0,
        has_newest: vm == 7,
    });
    let mut holders: Vec<Source> = holders.collect();
    order_sources(&mut holders, &mut rng);
    assert!(holders[0].has_newest);
    assert!(holders[1..=ASKED].iter().all(|holder| holder.same_zone));
}
