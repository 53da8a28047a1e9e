//! The tokens that programs may generate: who counts them, and what is recorded before they go out.
//!
//! A turn asks through `reserve`; the VM that counts its partition answers in `counter`, and records
//! through `keeper`. The rest is for a store or a VM that is away.

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
