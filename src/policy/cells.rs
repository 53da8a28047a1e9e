//! Assigns VMs to cells, the partitions of the store in which they publish their introduction records.
//!
//! If every VM read the records of all VMs, the load on the store would grow with the square of their number, and a
//! single partition would take all writes one after the other. So a VM writes to and reads its own cell, and one VM of
//! each cell reads all cells for the others.

use super::relay::{Peer, rank_peers};
use crate::id::{Vm, Zone};
use xxhash_rust::xxh3::xxh3_64;

/// Number of cells over which the VMs of one availability zone are spread.
const CELLS_PER_ZONE: u64 = 4;
/// Rendezvous key of the ranking within a cell.
const RANK_KEY: &str = "introductions";

/// The cell of a VM, where `cells` is the number of cells.
///
/// VMs of one zone share a few cells, which keeps their traffic within the zone.
///
/// ```
/// use vanillatrail::policy::cells::cell;
/// let (vm, zone) = ("vm-1".parse().unwrap(), "zone-a".parse().unwrap());
/// assert!(cell(&vm, &zone, 24) < 24);
/// ```
#[must_use]
pub fn cell(vm: &Vm, zone: &Zone, cells: u64) -> u64 {
    let zone = xxh3_64(zone.as_str().as_bytes()) % cells;
    let vm = xxh3_64(vm.as_str().as_bytes()) % CELLS_PER_ZONE;
    (zone + vm) % cells
}

/// The VMs of a cell, in the order in which they are preferred to read all cells.
#[must_use]
pub fn ranked_readers(cell: &[Peer]) -> Vec<&Peer> {
    rank_peers(RANK_KEY, cell)
}
