//! Follows the configuration, the directory of backend servers and the other VMs through the store.

pub mod changes;
pub(crate) mod contact;
mod copies;
pub(crate) mod copy;
pub mod directory;
pub(crate) mod feed;
mod health;
mod reader;
mod relay;
pub(crate) mod snapshot;
pub(crate) mod sources;
pub(crate) mod state;
pub mod table;
pub mod team;
