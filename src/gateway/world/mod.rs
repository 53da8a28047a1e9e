//! What is followed from the store: the configuration, the backend servers, and the other VMs.

pub(crate) mod contact;
mod copies;
pub mod directory;
pub(crate) mod feed;
pub(crate) mod snapshot;
pub(crate) mod sources;
pub(crate) mod state;
pub mod table;
pub mod team;
