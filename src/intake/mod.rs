//! The account of what a VM holds for those who connect to it: memory by kind, and connections.
//!
//! Whatever a caller can make the VM keep is charged here, and the charge lives as long as the bytes do.
//! [`crate::policy::room`] decides who gets room.

mod account;
mod body;
mod link;
mod metrics;
mod registry;
mod tracked;

pub(crate) use account::{Charge, Intake, Kind, Shortage};
pub(crate) use body::{Buffer, ReadError, read_body};
pub(crate) use link::{Io, Link, head_bytes};
pub(crate) use metrics::observe;
pub(crate) use registry::{Registration, Timeouts};
pub(crate) use tracked::Tracked;
