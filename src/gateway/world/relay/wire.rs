//! Datagrams in which VMs exchange directory changes.

use crate::gateway::world::directory::Change;
use crate::id::Offset;
use crate::policy::relay::Status;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) enum Packet {
    /// Requests the changes after an offset.
    #[serde(rename = "a")]
    Ask { number: u64, as_of: Offset },
    /// Answers the request with this number, or pushes unrequested changes if it is 0.
    #[serde(rename = "n")]
    News { number: u64, news: News },
}

/// Directory changes and the state of the VM that sends them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct News {
    /// The changes start after this offset.
    pub(super) since: Offset,
    /// Offset of the directory once the changes are applied.
    pub(super) until: Offset,
    /// Age of the sender's directory; `None` if it has not loaded one yet.
    pub(super) age_ms: Option<u64>,
    /// Whether the sender can read the store.
    pub(super) has_store: bool,
    /// Digest of the sender's directory; `None` if more changes follow.
    pub(super) digest: Option<u64>,
    /// `None` if there are too many, or they are not kept that far back.
    pub(super) changes: Option<Vec<Change>>,
    /// Newest configuration version that the sender has.
    pub(super) config: u64,
}

impl News {
    pub(super) fn status(&self) -> Status {
        Status {
            age: self.age_ms.map(Duration::from_millis),
            has_store: self.has_store,
        }
    }
}
