//! Membership of the system's own VMs: who is alive, ready, and owns what.

mod duty;
mod table;

pub use table::{Beat, Member, Table, View};

pub(crate) use duty::run;
