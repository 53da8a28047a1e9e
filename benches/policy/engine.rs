//! Simulated engine with continuous batching, a limited prefix cache and FIFO order.

use crate::assume::{CHUNK_TOKENS, MAX_BATCH_CALLS, STEP_PER_CALL_S, STEP_PER_CHUNK_S, STEP_S};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Call that is sent to an engine.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: u64,
    pub program: usize,
    pub prompt: u64,
    pub generated: u64,
    pub sent_at: f64,
}

/// Completed call.
#[derive(Debug, Clone)]
pub struct Finished {
    pub call: Call,
    pub cached: u64,
    pub first_token_at: f64,
}

#[derive(Debug)]
struct Entry {
    tokens: u64,
    last_used: u64,
    pinned: bool,
    ended_at: Option<f64>,
}

#[derive(Debug)]
struct Running {
    call: Call,
    cached: u64,
    first_token_at: f64,
}

/// Key that sorts calls by the step in which they finish.
fn step_key(step: f64, id: u64) -> (u64, u64) {
    (step.to_bits(), id)
}

/// Simulated engine. Time is in seconds, progress in engine steps.
#[derive(Debug)]
pub struct Engine {
    pub alive: bool,
    pub slowdown: f64,
    /// Incremented when an event is scheduled, to recognise outdated events.
    pub generation: u64,
    max_cache_tokens: u64,
    steps: f64,
    last_update: f64,
    queued: VecDeque<Call>,
    prefilling: VecDeque<(u64, f64)>,
    prefill_start_step: f64,
    decoding: BTreeMap<(u64, u64), u64>,
    running: BTreeMap<u64, Running>,
    cache: BTreeMap<usize, Entry>,
    lru_order: BTreeSet<(u64, usize)>,
    use_counter: u64,
    cached_tokens: u64,
    pub evicted_programs: Vec<usize>,
    /// Token-seconds of cache held for programs that have ended.
    pub held_after_end: f64,
}

impl Engine {
    pub fn new(max_cache_tokens: u64) -> Self {
        Self {
            alive: true,
            slowdown: 1.0,
            generation: 0,
            max_cache_tokens,
            steps: 0.0,
            last_update: 0.0,
            queued: VecDeque::new(),
            prefilling: VecDeque::new(),
            prefill_start_step: 0.0,
            decoding: BTreeMap::new(),
            running: BTreeMap::new(),
            cache: BTreeMap::new(),
            lru_order: BTreeSet::new(),
            use_counter: 0,
            cached_tokens: 0,
            evicted_programs: Vec::new(),
            held_after_end: 0.0,
        }
    }

    fn step_time(&self) -> f64 {
        let chunk = if self.prefilling.is_empty() {
            0.0
        } else {
            STEP_PER_CHUNK_S
        };
        (STEP_S + STEP_PER_CALL_S * self.decoding.len() as f64 + chunk) * self.slowdown
    }

    fn advance(&mut self, now: f64) {
        self.steps += (now - self.last_update) / self.step_time();
        self.last_update = now;
    }

    fn next_step(&self) -> Option<f64> {
        let decode = self
            .decoding
            .first_key_value()
            .map(|(step_key, _)| f64::from_bits(step_key.0));
        let prefill = self
            .prefilling
            .front()
            .map(|(_, chunks)| self.prefill_start_step + chunks);
        [decode, prefill]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// Time of the next event at this engine.
    pub fn next_event(&self) -> Option<f64> {
        let step = self.next_step()?;
        Some(self.last_update + (step - self.steps).max(0.0) * self.step_time())
    }

    /// Sets the factor on the duration of a step.
    pub fn set_slowdown(&mut self, now: f64, slowdown: f64) {
        self.advance(now);
        self.slowdown = slowdown;
    }

    pub fn send(&mut self, now: f64, call: Call) {
        self.advance(now);
        self.queued.push_back(call);
        self.start_queued(now);
    }

    fn start_queued(&mut self, now: f64) {
        while self.running.len() < MAX_BATCH_CALLS {
            let Some(call) = self.queued.front() else {
                return;
            };
            let (program, needed) = (call.program, call.prompt + call.generated);
            let resident = self.cache.get(&program).map_or(0, |entry| entry.tokens);
            if !self.make_room(now, program, needed.saturating_sub(resident)) {
                return;
            }
            let Some(call) = self.queued.pop_front() else {
                return;
            };
            let cached = resident.min(call.prompt);
            self.pin(program, needed.max(resident));
            let chunks = ((call.prompt - cached) as f64 / CHUNK_TOKENS).max(0.1);
            if self.prefilling.is_empty() {
                self.prefill_start_step = self.steps;
            }
            self.prefilling.push_back((call.id, chunks));
            let first_token_at = 0.0;
            self.running.insert(
                call.id,
                Running {
                    call,
                    cached,
                    first_token_at,
                },
            );
        }
    }

    fn pin(&mut self, program: usize, tokens: u64) {
        if let Some(previous) = self.cache.remove(&program) {
            self.lru_order.remove(&(previous.last_used, program));
            self.cached_tokens -= previous.tokens;
        }
        self.cached_tokens += tokens;
        let entry = Entry {
            tokens,
            last_used: 0,
            pinned: true,
            ended_at: None,
        };
        self.cache.insert(program, entry);
    }

    /// Evicts the least recently used caches until `needed` more tokens fit. An idle engine accepts
    /// a call of any size.
    fn make_room(&mut self, now: f64, kept_program: usize, needed: u64) -> bool {
        while self.cached_tokens + needed > self.max_cache_tokens {
            let least_recent = self
                .lru_order
                .iter()
                .find(|(_, program)| *program != kept_program);
            let Some(&(_, program)) = least_recent else {
                return self.running.is_empty();
            };
            self.evict(now, program);
            self.evicted_programs.push(program);
        }
        true
    }

    /// Evicts the cache of a program unless one of its calls runs; returns the freed tokens.
    pub fn evict(&mut self, now: f64, program: usize) -> u64 {
        let Some(entry) = self.cache.get(&program) else {
            return 0;
        };
        if entry.pinned {
            return 0;
        }
        let tokens = entry.tokens;
        self.held_after_end += entry.ended_at.map_or(0.0, |at| (now - at) * tokens as f64);
        self.lru_order.remove(&(entry.last_used, program));
        self.cached_tokens -= tokens;
        self.cache.remove(&program);
        tokens
    }

    /// Adds the exported cache of a program.
    pub fn import(&mut self, now: f64, program: usize, tokens: u64) {
        if self.cache.contains_key(&program) || !self.make_room(now, program, tokens) {
            return;
        }
        self.pin(program, tokens);
        self.unpin(program, tokens);
    }

    fn unpin(&mut self, program: usize, tokens: u64) {
        self.use_counter += 1;
        if let Some(entry) = self.cache.get_mut(&program) {
            entry.pinned = false;
            entry.last_used = self.use_counter;
            self.cached_tokens = self.cached_tokens - entry.tokens + tokens;
            entry.tokens = tokens;
            self.lru_order.insert((self.use_counter, program));
        }
    }

    /// Notes that a program has ended, so that its cache counts as wasted from now on.
    pub fn program_ended(&mut self, now: f64, program: usize) {
        if let Some(entry) = self.cache.get_mut(&program) {
            entry.ended_at.get_or_insert(now);
        }
    }

    /// Processes the steps up to `now` and returns the completed calls.
    pub fn run(&mut self, now: f64) -> Vec<Finished> {
        self.advance(now);
        let due_step = self.steps + 1e-6;
        let mut finished = Vec::new();
        loop {
            if let Some(&(id, chunks)) = self.prefilling.front()
                && self.prefill_start_step + chunks <= due_step
            {
                self.prefilling.pop_front();
                self.prefill_start_step = self.steps;
                self.start_decoding(now, id);
                continue;
            }
            let Some((&next_key, &id)) = self.decoding.first_key_value() else {
                break;
            };
            if f64::from_bits(next_key.0) > due_step {
                break;
            }
            self.decoding.remove(&next_key);
            finished.extend(self.finish(id));
        }
        self.start_queued(now);
        finished
    }

    fn start_decoding(&mut self, now: f64, id: u64) {
        if let Some(running) = self.running.get_mut(&id) {
            running.first_token_at = now;
            let last_step = self.steps + running.call.generated as f64;
            self.decoding.insert(step_key(last_step, id), id);
        }
    }

    fn finish(&mut self, id: u64) -> Option<Finished> {
        let Running {
            call,
            cached,
            first_token_at,
        } = self.running.remove(&id)?;
        self.unpin(call.program, call.prompt + call.generated);
        Some(Finished {
            call,
            cached,
            first_token_at,
        })
    }

    /// Stops the engine and clears its cache; returns the calls that break.
    pub fn fail(&mut self, now: f64) -> Vec<Call> {
        self.advance(now);
        self.alive = false;
        self.prefilling.clear();
        self.decoding.clear();
        self.cache.clear();
        self.lru_order.clear();
        self.cached_tokens = 0;
        let running = std::mem::take(&mut self.running);
        let running = running.into_values().map(|running| running.call);
        running.chain(self.queued.drain(..)).collect()
    }
}

impl Engine {
    /// Whether a call is running or queued here.
    pub fn has_call(&self, call: u64) -> bool {
        self.running.contains_key(&call) || self.queued.iter().any(|queued| queued.id == call)
    }

    /// Adds the cache that ended programs still hold at the end of the run.
    pub fn finish_run(&mut self, now: f64) {
        for entry in self.cache.values() {
            self.held_after_end += entry
                .ended_at
                .map_or(0.0, |at| (now - at) * entry.tokens as f64);
        }
    }
}
