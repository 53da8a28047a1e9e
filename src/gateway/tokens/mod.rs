//! Token budgets of programs: which VM accounts for a program, and what is recorded before tokens
//! are handed out.
//!
//! A turn reserves tokens through `reserve`. The VM that owns the program's partition answers in
//! `counter` and records allowances through `keeper`. The other modules handle changes of ownership
//! and times in which the store or a VM is unavailable.

pub(crate) mod copies;
pub(crate) mod counter;
pub(crate) mod detour;
pub(crate) mod failover;
pub(crate) mod handover;
pub(crate) mod keeper;
pub(crate) mod part;
pub(crate) mod reach;
pub(crate) mod reserve;
pub(crate) mod takeover;
