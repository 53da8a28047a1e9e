//! Places at backend servers: those that this VM gives, and those that another VM leases to it.

pub(crate) mod lease;
pub(crate) mod permit;
