//! Shard ownership: decided by the order of claims in the log; the member view says when to claim.

mod claimer;
mod ledger;

pub use claimer::{Claimer, Claims};
pub use ledger::{Ledger, Owner, Validity};
