//! What the servers of a pool are believed to hold, and what is moved out over tool pauses.
//!
//! Cache events come late and with gaps: what is kept here is a belief, set right by the cached
//! tokens that each answer reports.

use crate::id::Program;
use std::collections::{BTreeSet, HashMap};

/// Share of a server's cache that paused programs may fill before some are exported.
const FULL: f64 = 0.9;
/// How much the believed size grows with each answer whose cache was all there.
const GROWTH: f64 = 1.002;
/// How far the believed size falls when something was dropped.
const FALL: f64 = 0.97;
/// Programs that one server is believed to hold, at most.
const PROGRAMS: usize = 65_536;

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u64,
    resume_ms: Option<i64>,
}

/// What one server is believed to hold.
///
/// ```
/// use vanillatrail::id::{Program, Shard};
/// use vanillatrail::policy::cache::Cache;
/// let mut cache = Cache::default();
/// let program = Program::new(Shard(0), 1);
/// cache.hold(program, 1000);
/// assert_eq!(cache.tokens(program), 1000);
/// cache.forget(program);
/// assert_eq!(cache.held(), 0);
/// ```
#[derive(Debug, Default)]
pub struct Cache {
    entries: HashMap<Program, Entry>,
    paused: BTreeSet<(i64, Program)>,
    held: u64,
    size: Option<f64>,
}

impl Cache {
    /// Tokens held for a program.
    #[must_use]
    pub fn tokens(&self, program: Program) -> u64 {
        self.entries.get(&program).map_or(0, |entry| entry.tokens)
    }

    /// Tokens held for all programs.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Notes what a program holds now that it runs or has run.
    pub fn hold(&mut self, program: Program, tokens: u64) {
        self.forget(program);
        if self.entries.len() >= PROGRAMS {
            return;
        }
        let entry = Entry {
            tokens,
            resume_ms: None,
        };
        self.entries.insert(program, entry);
        self.held += tokens;
    }

    /// Drops what is known of a program.
    pub fn forget(&mut self, program: Program) {
        if let Some(entry) = self.entries.remove(&program) {
            self.held -= entry.tokens;
            if let Some(at) = entry.resume_ms {
                self.paused.remove(&(at, program));
            }
        }
    }

    /// The server has dropped a live program's cache: it holds less than was believed.
    pub fn dropped(&mut self, program: Program) {
        if self.entries.contains_key(&program) {
            let held = self.held as f64 * FALL;
            self.size = Some(
                self.size
                    .map_or(held, |size| size.min(held).max(held / 2.0)),
            );
            self.forget(program);
        }
    }

    /// An answer found all of its prefix: the believed size may be too small.
    pub fn found(&mut self) {
        if let Some(size) = &mut self.size {
            *size *= GROWTH;
        }
    }

    /// Whether so many more tokens fit without pushing a live program out, as far as is known.
    #[must_use]
    pub fn fits(&self, more: u64) -> bool {
        self.size
            .is_none_or(|size| (self.held + more) as f64 <= size)
    }

    /// Notes that a program has paused until about `resume_ms` on the pool's clock.
    pub fn pause(&mut self, program: Program, resume_ms: i64) {
        if let Some(entry) = self.entries.get_mut(&program) {
            if let Some(old) = entry.resume_ms.replace(resume_ms) {
                self.paused.remove(&(old, program));
            }
            self.paused.insert((resume_ms, program));
        }
    }

    /// Paused programs to export, those that pause longest first, until the rest fits.
    pub fn excess(&mut self) -> Vec<Program> {
        let mut out = Vec::new();
        let Some(size) = self.size else {
            return out;
        };
        while self.held as f64 > FULL * size {
            let Some(&(_, program)) = self.paused.last() else {
                break;
            };
            self.forget(program);
            out.push(program);
        }
        out
    }
}
