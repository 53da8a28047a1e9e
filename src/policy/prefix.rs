//! Model of the prefix cache of a server.
//!
//! A server that has cached the beginning of a prompt has to prefill only the rest, and prefill
//! blocks all other requests on it. Sub-agents, whose prompts start with that of their parent, and
//! further turns of a session profit from it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Parts tracked per server.
const MAX_PARTS: usize = 4096;

/// One part of a prompt, the unit of prefix caching.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Hash of its identifier.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt parts that one server has cached, with least-recently-used eviction.
///
/// ```
/// use vanillatrail::policy::prefix::{Cache, Part};
/// let mut cache = Cache::default();
/// let (shared, own) = (Part { id: 1, tokens: 500 }, Part { id: 2, tokens: 300 });
/// cache.insert(&[shared, own], 10_000);
/// let other = Part { id: 3, tokens: 200 };
/// assert_eq!(cache.uncached_tokens(&[shared, other]), 200);
/// ```
#[derive(Debug, Default)]
pub struct Cache {
    /// Tokens and last use of each part.
    parts: HashMap<u64, (u32, u64)>,
    /// Last use and id of each part, least recently used first.
    by_last_use: BTreeSet<(u64, u64)>,
    total_tokens: u64,
    /// Counts insertions; orders the parts by last use.
    use_count: u64,
}

impl Cache {
    /// Tokens of a prompt that the server would have to prefill.
    #[must_use]
    pub fn uncached_tokens(&self, prompt: &[Part]) -> u64 {
        let mut uncached = 0;
        for part in prompt {
            // Only an unbroken prefix is reused.
            let cached = self.parts.get(&part.id).filter(|_| uncached == 0);
            let cached = cached.map_or(0, |(tokens, _)| *tokens);
            uncached += u64::from(part.tokens.saturating_sub(cached));
        }
        uncached
    }

    /// Inserts the parts of a prompt that the server processes. Evicts parts beyond a capacity of
    /// `max_tokens`.
    pub fn insert(&mut self, prompt: &[Part], max_tokens: u64) {
        for part in prompt {
            self.use_count += 1;
            if let Some((tokens, last_use)) =
                self.parts.insert(part.id, (part.tokens, self.use_count))
            {
                self.total_tokens -= u64::from(tokens);
                self.by_last_use.remove(&(last_use, part.id));
            }
            self.total_tokens += u64::from(part.tokens);
            self.by_last_use.insert((self.use_count, part.id));
        }
        while self.total_tokens > max_tokens || self.parts.len() > MAX_PARTS {
            let Some((_, id)) = self.by_last_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&id) {
                self.total_tokens -= u64::from(tokens);
            }
        }
    }
}
