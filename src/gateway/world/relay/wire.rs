//! The datagrams by which VMs pass on changes to the directory.

use crate::gateway::world::directory::Change;
use crate::id::Offset;
use crate::policy::relay::Status;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Packet {
    /// What is new since an offset?
    #[serde(rename = "a")]
    Ask { number: u64, as_of: Offset },
    /// The answer; number 0 where nobody asked.
    #[serde(rename = "n")]
    News { number: u64, news: News },
}

/// What a VM knows that another may not.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct News {
    /// The changes are all that came after this offset.
    pub(super) since: Offset,
    /// What the directory stands for with them.
    pub(super) until: Offset,
    /// How old it is, in milliseconds; none where the VM has no directory yet.
    pub(super) age_ms: Option<u64>,
    /// Whether the store answers the VM.
    pub(super) has_store: bool,
    /// The digest of the directory; none where more changes follow.
    pub(super) digest: Option<u64>,
    /// None where they are not kept any more, or too many for a datagram.
    pub(super) changes: Option<Vec<Change>>,
    /// The newest configuration that the VM has.
    pub(super) config: u64,
}

impl News {
    pub(super) fn standing(&self) -> Status {
        Status {
            age: self.age_ms.map(Duration::from_millis),
            has_store: self.has_store,
        }
    }
}
