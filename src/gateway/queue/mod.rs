//! Slots at backend servers: granted by this VM's dispatcher, or leased from another VM.

pub(crate) mod lease;
pub(crate) mod permit;
pub(crate) mod reports;
