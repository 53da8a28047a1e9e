//! Which parts of prompts a server is believed to keep.
//!
//! Load it answers: programs that start several sub-agents at once, each of which begins with all that
//! its parent has read, and lines of turns that go on. A server that keeps the beginning of a prompt
//! reads only the rest; while it reads, all that runs there stands still.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Parts that are remembered of one server, at the most; 100 bytes each.
const PARTS: usize = 4096;

/// One part of a prompt, as far as it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// A hash of its identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The parts that one server keeps; the least recently used leave first.
///
/// ```
/// use vanillatrail::policy::prefix::{Part, Prefixes};
/// let mut prefixes = Prefixes::default();
/// let (shared, own) = (Part { id: 1, tokens: 500 }, Part { id: 2, tokens: 300 });
/// prefixes.read(&[shared, own], 10_000);
/// let other = Part { id: 3, tokens: 200 };
/// assert_eq!(prefixes.missing(&[shared, other]), 200);
/// ```
#[derive(Debug, Default)]
pub struct Prefixes {
    parts: HashMap<u64, (u32, u64)>,
    by_use: BTreeSet<(u64, u64)>,
    tokens: u64,
    uses: u64,
}

impl Prefixes {
    /// Tokens of a prompt that the server would have to read.
    #[must_use]
    pub fn missing(&self, prompt: &[Part]) -> u64 {
        let mut missing = 0;
        for part in prompt {
            // What follows a gap is not used, though it may be kept.
            let kept = self.parts.get(&part.id).filter(|_| missing == 0);
            let kept = kept.map_or(0, |(tokens, _)| *tokens);
            missing += u64::from(part.tokens.saturating_sub(kept));
        }
        missing
    }

    /// The server reads a prompt; it keeps `most` tokens in all.
    pub fn read(&mut self, prompt: &[Part], most: u64) {
        for part in prompt {
            self.uses += 1;
            if let Some((tokens, used)) = self.parts.insert(part.id, (part.tokens, self.uses)) {
                self.tokens -= u64::from(tokens);
                self.by_use.remove(&(used, part.id));
            }
            self.tokens += u64::from(part.tokens);
            self.by_use.insert((self.uses, part.id));
        }
        while self.tokens > most || self.parts.len() > PARTS {
            let Some((_, id)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&id) {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}
