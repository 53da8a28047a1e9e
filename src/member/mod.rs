//! Gossip membership of the scheduler's VMs: which are alive and ready, and which shards they own.

mod duty;
mod gossip;
mod introduction;
mod list;
mod probe;
mod queue;
mod receive;
mod roster;
mod shared;
mod state_log;
mod sync;
mod tick;
mod view;
mod wire;

pub use gossip::{Action, Counts, Gossip};
pub use introduction::Introduction;
pub use view::{Announcement, Member, View};
pub use wire::{
    Claim, Digest, Header, Kind, MAX_DATAGRAM_BYTES, Message, Profile, Sealer, State, Update,
};

pub(crate) use duty::{Setup, run};
pub(crate) use list::{List, poll_vm_list};
