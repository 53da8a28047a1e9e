//! Token budgets of programs: which VM accounts for a program, and what is recorded before tokens
//! are handed out.
//!
//! A turn reserves tokens through `reserve`. The VM that owns the program's partition answers in
//! `owner` and records allowances through `partitions`. The other modules handle changes of
//! ownership and times in which the store or a VM is unavailable. An allowance is the number of
//! tokens that a program may be granted in total; it is made durable before the tokens are handed
//! out.

pub(crate) mod expiry;
pub(crate) mod failover;
pub(crate) mod fallback;
pub(crate) mod handover;
pub(crate) mod owner;
pub(crate) mod partition;
pub(crate) mod partitions;
pub(crate) mod reach;
pub(crate) mod replicas;
pub(crate) mod reserve;
pub(crate) mod takeover;
