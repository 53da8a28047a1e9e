//! Team limits, enforced across all VMs.
//!
//! The VM that owns a partition also counts the requests of the teams that hash to it. Ownership, takeover and fencing of
//! partitions are handled in `tokens`.

mod acquire;
pub(crate) mod count;
mod stall;

use crate::policy::quota::Demand;
use stall::StallDetector;
use std::cell::RefCell;

/// State for enforcing team limits that belongs to no partition.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    needs: RefCell<Demand>,
    stall: StallDetector,
}
