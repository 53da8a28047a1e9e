//! What is followed from the store: the configuration, the backend servers, and the other VMs.

pub(crate) mod contact;
pub mod directory;
pub(crate) mod feed;
pub(crate) mod snapshot;
pub mod table;
