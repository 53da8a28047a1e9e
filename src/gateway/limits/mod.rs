//! The limits of teams, over all VMs: which VM counts a team, and what a request asks it.
//!
//! Teams are counted where programs are: the VM that counts a partition counts the teams that fall into it. So who
//! counts, who takes over and who has been shut out is decided once, in `tokens`.

pub(crate) mod count;
mod stall;
mod take;

use crate::policy::quota::Demand;
use stall::Stall;
use std::cell::RefCell;

/// What this VM knows for counting teams, beside the partitions that it counts.
#[derive(Debug, Default)]
pub(crate) struct Counting {
    needs: RefCell<Demand>,
    stall: Stall,
}
