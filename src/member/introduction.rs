//! How a VM that starts learns of all others at once.
//!
//! Load it answers: hundreds of VMs that start in the same second, or lose power together. When news go from
//! one to the next, each within its budget of bytes, large groups take long to know each other, and until then
//! they disagree on who counts and who queues. A VM that gets the introductions of all others from one
//! place knows them at once; probes sort out those that have gone since.

use super::gossip::{Action, Gossip};
use super::roster::Told;
use super::wire::{Profile, State};
use crate::id::Incarnation;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What a VM leaves where others can read it: itself, as it would tell them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Introduction {
    /// What it says of itself.
    pub profile: Profile,
    /// Its incarnation; news of a later one replace what stands here.
    pub incarnation: Incarnation,
}

impl Gossip {
    /// What this VM leaves for others.
    #[must_use]
    pub fn introduction(&self) -> Introduction {
        let me = &self.roster.records[&self.me];
        Introduction {
            profile: me.profile.clone(),
            incarnation: me.incarnation,
        }
    }

    /// Takes in what other VMs have left. It is passed on to nobody, since everybody reads it, and says
    /// nothing of members of which the same is known already.
    pub fn introduce(&mut self, now: Instant, introductions: &[Introduction]) -> Vec<Action> {
        let mut actions = Vec::new();
        for Introduction {
            profile,
            incarnation,
        } in introductions
        {
            let known = self.roster.records.get(&profile.vm);
            let same = known.is_some_and(|known| known.profile.version >= profile.version);
            if self.left || same {
                continue;
            }
            let told = Told {
                vm: &profile.vm,
                incarnation: *incarnation,
                state: State::Alive,
                profile: Some(profile),
            };
            self.learn_member(now, told, false, &mut actions);
        }
        actions
    }
}
