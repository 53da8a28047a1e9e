//! Choice of the VMs that are asked for snapshots when hundreds of VMs start.

use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::net::SocketAddr;
use vanillatrail::policy::copies::{Source, order_sources};

const VMS: u16 = 300;
const ZONES: u16 = 5;
/// Number of VMs that a VM asks at a time.
const SOURCES_ASKED: usize = 3;

/// 300 VMs start at once: each asks VMs of its own zone, and no VM is asked by more than a few.
#[test]
fn snapshot_requests_stay_in_the_zone_and_are_spread() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut requests: HashMap<SocketAddr, u32> = HashMap::new();
    for vm in 0..VMS {
        let others = (0..VMS).filter(|other| *other != vm);
        let sources = others.map(|other| Source {
            address: ([127, 0, 0, 1], other + 1).into(),
            same_zone: other % ZONES == vm % ZONES,
            has_newest: true,
        });
        let mut sources: Vec<Source> = sources.collect();
        order_sources(&mut sources, &mut rng);
        for source in sources.iter().take(SOURCES_ASKED) {
            assert!(source.same_zone);
            *requests.entry(source.address).or_default() += 1;
        }
    }
    let max_requests = requests.values().max().expect("some VMs are asked");
    assert!(*max_requests <= 12, "one VM is asked by {max_requests} VMs");
}

/// Sources with the newest configuration come first, whatever their zone.
#[test]
fn the_newest_configuration_is_preferred_over_the_same_zone() {
    let mut rng = StdRng::seed_from_u64(2);
    let sources = (1..=VMS).map(|vm| Source {
        address: ([127, 0, 0, 1], vm).into(),
        same_zone: vm % ZONES == 0,
        has_newest: vm == 7,
    });
    let mut sources: Vec<Source> = sources.collect();
    order_sources(&mut sources, &mut rng);
    assert!(sources[0].has_newest);
    assert!(
        sources[1..=SOURCES_ASKED]
            .iter()
            .all(|source| source.same_zone)
    );
}
