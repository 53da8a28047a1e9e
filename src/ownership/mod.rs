//! Who owns a shard: decided by the order of claims in the log, steered by the member view.

mod claimer;
mod ledger;

pub use claimer::{Claimer, Sighting};
pub use ledger::{Holder, Ledger, Verdict};
