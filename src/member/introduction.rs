//! Introduction records, from which a starting VM learns of all members at once.
//!
//! When hundreds of VMs start together, gossip alone takes long to make them known to each other,
//! and until then they disagree on shard owners. Probes remove the members that have gone since.

use super::gossip::{Action, Gossip};
use super::roster::Report;
use super::wire::{Profile, State};
use crate::id::Incarnation;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Profile that a VM publishes in the store for VMs that start later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Introduction {
    /// Profile of the VM when the record was written.
    pub profile: Profile,
    /// Incarnation when the record was written; gossip with a higher one replaces the record.
    pub incarnation: Incarnation,
}

impl Gossip {
    /// The introduction record of this VM, to be published.
    #[must_use]
    pub fn introduction(&self) -> Introduction {
        let me = &self.roster.records[&self.me];
        Introduction {
            profile: me.profile.clone(),
            incarnation: me.incarnation,
        }
    }

    /// Merges the introduction records of other VMs, skipping profiles that are not newer than the
    /// known ones. They are not gossiped, since every VM reads them.
    pub fn apply_introductions(
        &mut self,
        now: Instant,
        introductions: &[Introduction],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for Introduction {
            profile,
            incarnation,
        } in introductions
        {
            let known = self.roster.records.get(&profile.vm);
            let up_to_date = known.is_some_and(|known| known.profile.version >= profile.version);
            if self.left || up_to_date {
                continue;
            }
            let report = Report {
                vm: &profile.vm,
                incarnation: *incarnation,
                state: State::Alive,
                profile: Some(profile),
            };
            self.apply_report(now, report, false, &mut actions);
        }
        actions
    }
}
