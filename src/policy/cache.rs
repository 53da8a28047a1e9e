//! Estimated KV cache contents of the servers of a pool, and the choice of cache to export.
//!
//! Eviction events arrive late and incomplete, so this is an estimate, corrected by the token
//! counts of each response.

use crate::id::Program;
use std::collections::{BTreeSet, HashMap};

/// Fraction of a server's cache above which idle programs are exported.
const EXPORT_THRESHOLD: f64 = 0.9;
/// Factor on the estimated capacity after a response whose prefix was fully cached.
const CAPACITY_GROWTH: f64 = 1.002;
/// Factor on the cached tokens at the time of an eviction, which gives the new capacity estimate.
const CAPACITY_REDUCTION: f64 = 0.97;
/// Programs tracked per server.
const MAX_PROGRAMS: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u64,
    /// Expected end of the pause; none while the program runs.
    resume_ms: Option<i64>,
}

/// Estimated cache contents of one server.
///
/// ```
/// use vanillatrail::id::{Program, Shard};
/// use vanillatrail::policy::cache::CacheEstimate;
/// let mut cache = CacheEstimate::default();
/// let program = Program::new(Shard(0), 1);
/// cache.set_tokens(program, 1000);
/// assert_eq!(cache.tokens(program), 1000);
/// cache.remove(program);
/// assert_eq!(cache.total_tokens(), 0);
/// ```
#[derive(Debug, Default)]
pub struct CacheEstimate {
    entries: HashMap<Program, Entry>,
    /// Paused programs by the expected end of the pause.
    paused_by_resume: BTreeSet<(i64, Program)>,
    total_tokens: u64,
    /// Estimated capacity in tokens; none before the first eviction.
    capacity: Option<f64>,
}

impl CacheEstimate {
    /// Tokens cached for a program.
    #[must_use]
    pub fn tokens(&self, program: Program) -> u64 {
        self.entries.get(&program).map_or(0, |entry| entry.tokens)
    }

    /// Tokens cached for all programs.
    #[must_use]
    pub const fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Sets the cached tokens of a program that runs or has run on the server.
    pub fn set_tokens(&mut self, program: Program, tokens: u64) {
        self.remove(program);
        if self.entries.len() >= MAX_PROGRAMS {
            return;
        }
        let entry = Entry {
            tokens,
            resume_ms: None,
        };
        self.entries.insert(program, entry);
        self.total_tokens += tokens;
    }

    /// Removes a program.
    pub fn remove(&mut self, program: Program) {
        if let Some(entry) = self.entries.remove(&program) {
            self.total_tokens -= entry.tokens;
            if let Some(resume_ms) = entry.resume_ms {
                self.paused_by_resume.remove(&(resume_ms, program));
            }
        }
    }

    /// The server has evicted the cache of a live program: its capacity is smaller than estimated.
    pub fn record_eviction(&mut self, program: Program) {
        if self.entries.contains_key(&program) {
            let reduced = self.total_tokens as f64 * CAPACITY_REDUCTION;
            self.capacity = Some(
                self.capacity
                    .map_or(reduced, |capacity| capacity.min(reduced).max(reduced / 2.0)),
            );
            self.remove(program);
        }
    }

    /// A response found its whole prefix cached: the capacity may be larger than estimated.
    pub fn record_full_hit(&mut self) {
        if let Some(capacity) = &mut self.capacity {
            *capacity *= CAPACITY_GROWTH;
        }
    }

    /// Whether this many more tokens are expected to fit without evicting a live program.
    #[must_use]
    pub fn fits(&self, new_tokens: u64) -> bool {
        self.capacity
            .is_none_or(|capacity| (self.total_tokens + new_tokens) as f64 <= capacity)
    }

    /// Notes that a program is idle until about `resume_ms` on the pool's clock.
    pub fn pause(&mut self, program: Program, resume_ms: i64) {
        if let Some(entry) = self.entries.get_mut(&program) {
            if let Some(old_resume_ms) = entry.resume_ms.replace(resume_ms) {
                self.paused_by_resume.remove(&(old_resume_ms, program));
            }
            self.paused_by_resume.insert((resume_ms, program));
        }
    }

    /// Removes and returns idle programs to export, the longest idle first, until the others fit.
    pub fn take_excess(&mut self) -> Vec<Program> {
        let mut programs = Vec::new();
        let Some(capacity) = self.capacity else {
            return programs;
        };
        while self.total_tokens as f64 > EXPORT_THRESHOLD * capacity {
            let Some(&(_, program)) = self.paused_by_resume.last() else {
                break;
            };
            self.remove(program);
            programs.push(program);
        }
        programs
    }
}
