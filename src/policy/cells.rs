//! Where VMs leave their introductions at the store, and which VMs read all of them.
//!
//! Load it answers: a thousand VMs that start in the same second. Where each reads the introductions of all, what the
//! store sends grows with the square of the VMs, and a single partition takes their writes one by one. VMs are spread
//! over cells, each a partition of the store. A VM reads its cell, and one VM of a cell reads all cells for the others.

use super::relay::{Peer, ranked};
use crate::id::{Vm, Zone};
use xxhash_rust::xxh3::xxh3_64;

/// Cells of one availability zone.
const PER_ZONE: u64 = 4;
/// The key of the order of VMs within a cell.
const KEY: &str = "introductions";

/// The cell of a VM, of so many.
///
/// VMs of one zone share cells, so that what they tell each other stays in the zone.
///
/// ```
/// use vanillatrail::policy::cells::cell;
/// let (vm, zone) = ("vm-1".parse().unwrap(), "zone-a".parse().unwrap());
/// assert!(cell(&vm, &zone, 24) < 24);
/// ```
#[must_use]
pub fn cell(vm: &Vm, zone: &Zone, cells: u64) -> u64 {
    let zone = xxh3_64(zone.as_str().as_bytes()) % cells;
    let vm = xxh3_64(vm.as_str().as_bytes()) % PER_ZONE;
    (zone + vm) % cells
}

/// The VMs of a cell that read all cells, the one that should first.
#[must_use]
pub fn readers(cell: &[Peer]) -> Vec<&Peer> {
    ranked(KEY, cell)
}
