//! A small engine: continuous batching, a limited prefix cache, no priorities.

use crate::assume::{BATCH, CHUNK, STEP, STEP_PER_CALL, STEP_PER_CHUNK};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A call as the engine sees it.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: u64,
    pub program: usize,
    pub prompt: u64,
    pub generated: u64,
    pub sent: f64,
}

/// A call that is over.
#[derive(Debug, Clone)]
pub struct Finished {
    pub call: Call,
    pub cached: u64,
    pub first: f64,
}

#[derive(Debug)]
struct Entry {
    tokens: u64,
    used: u64,
    pinned: bool,
    ended: Option<f64>,
}

#[derive(Debug)]
struct Running {
    call: Call,
    cached: u64,
    first: f64,
}

/// Order of steps, as an integer so that it can be a key.
fn key(step: f64, id: u64) -> (u64, u64) {
    (step.to_bits(), id)
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    pub alive: bool,
    pub slower: f64,
    /// Counts changes, so that an event for an older state is known as such.
    pub generation: u64,
    memory: u64,
    steps: f64,
    last: f64,
    waiting: VecDeque<Call>,
    prefilling: VecDeque<(u64, f64)>,
    head_from: f64,
    decoding: BTreeMap<(u64, u64), u64>,
    running: BTreeMap<u64, Running>,
    cache: BTreeMap<usize, Entry>,
    order: BTreeSet<(u64, usize)>,
    clock: u64,
    held: u64,
    pub dropped: Vec<usize>,
    /// Token-seconds held for programs that had ended.
    pub held_ended: f64,
}

impl Engine {
    pub fn new(memory: u64) -> Self {
        Self {
            alive: true,
            slower: 1.0,
            generation: 0,
            memory,
            steps: 0.0,
            last: 0.0,
            waiting: VecDeque::new(),
            prefilling: VecDeque::new(),
            head_from: 0.0,
            decoding: BTreeMap::new(),
            running: BTreeMap::new(),
            cache: BTreeMap::new(),
            order: BTreeSet::new(),
            clock: 0,
            held: 0,
            dropped: Vec::new(),
            held_ended: 0.0,
        }
    }

    fn step_time(&self) -> f64 {
        let chunk = if self.prefilling.is_empty() {
            0.0
        } else {
            STEP_PER_CHUNK
        };
        (STEP + STEP_PER_CALL * self.decoding.len() as f64 + chunk) * self.slower
    }

    fn advance(&mut self, now: f64) {
        self.steps += (now - self.last) / self.step_time();
        self.last = now;
    }

    fn next_step(&self) -> Option<f64> {
        let decode = self
            .decoding
            .first_key_value()
            .map(|(key, _)| f64::from_bits(key.0));
        let prefill = self
            .prefilling
            .front()
            .map(|(_, chunks)| self.head_from + chunks);
        [decode, prefill]
            .into_iter()
            .flatten()
            .min_by(f64::total_cmp)
    }

    /// When something next happens here.
    pub fn next_event(&self) -> Option<f64> {
        let step = self.next_step()?;
        Some(self.last + (step - self.steps).max(0.0) * self.step_time())
    }

    /// Changes how slow the engine is.
    pub fn set_slower(&mut self, now: f64, slower: f64) {
        self.advance(now);
        self.slower = slower;
    }

    pub fn send(&mut self, now: f64, call: Call) {
        self.advance(now);
        self.waiting.push_back(call);
        self.admit(now);
    }

    fn admit(&mut self, now: f64) {
        while self.running.len() < BATCH {
            let Some(call) = self.waiting.front() else {
                return;
            };
            let (program, need) = (call.program, call.prompt + call.generated);
            let have = self.cache.get(&program).map_or(0, |entry| entry.tokens);
            if !self.make_room(now, program, need.saturating_sub(have)) {
                return;
            }
            let Some(call) = self.waiting.pop_front() else {
                return;
            };
            let cached = have.min(call.prompt);
            self.pin(program, need.max(have));
            let chunks = ((call.prompt - cached) as f64 / CHUNK).max(0.1);
            if self.prefilling.is_empty() {
                self.head_from = self.steps;
            }
            self.prefilling.push_back((call.id, chunks));
            let first = 0.0;
            self.running.insert(
                call.id,
                Running {
                    call,
                    cached,
                    first,
                },
            );
        }
    }

    fn pin(&mut self, program: usize, tokens: u64) {
        if let Some(old) = self.cache.remove(&program) {
            self.order.remove(&(old.used, program));
            self.held -= old.tokens;
        }
        self.held += tokens;
        let entry = Entry {
            tokens,
            used: 0,
            pinned: true,
            ended: None,
        };
        self.cache.insert(program, entry);
    }

    /// Drops the caches used longest ago until `need` more tokens fit.
    fn make_room(&mut self, now: f64, keep: usize, need: u64) -> bool {
        while self.held + need > self.memory {
            let oldest = self.order.iter().find(|(_, program)| *program != keep);
            let Some(&(_, program)) = oldest else {
                return self.running.is_empty();
            };
            self.evict(now, program);
            self.dropped.push(program);
        }
        true
    }

    /// Frees the cache of a program, unless a call of it runs.
    pub fn evict(&mut self, now: f64, program: usize) -> u64 {
        let Some(entry) = self.cache.get(&program) else {
            return 0;
        };
        if entry.pinned {
            return 0;
        }
        let tokens = entry.tokens;
        self.held_ended += entry.ended.map_or(0.0, |at| (now - at) * tokens as f64);
        self.order.remove(&(entry.used, program));
        self.held -= tokens;
        self.cache.remove(&program);
        tokens
    }

    /// Puts imported cache in.
    pub fn import(&mut self, now: f64, program: usize, tokens: u64) {
        if self.cache.contains_key(&program) || !self.make_room(now, program, tokens) {
            return;
        }
        self.pin(program, tokens);
        self.unpin(program, tokens);
    }

    fn unpin(&mut self, program: usize, tokens: u64) {
        self.clock += 1;
        if let Some(entry) = self.cache.get_mut(&program) {
            entry.pinned = false;
            entry.used = self.clock;
            self.held = self.held - entry.tokens + tokens;
            entry.tokens = tokens;
            self.order.insert((self.clock, program));
        }
    }

    /// Notes that a program has ended; what is held for it from now on is waste.
    pub fn ended(&mut self, now: f64, program: usize) {
        if let Some(entry) = self.cache.get_mut(&program) {
            entry.ended.get_or_insert(now);
        }
    }

    /// Carries out what is due, and gives the calls that are over.
    pub fn run(&mut self, now: f64) -> Vec<Finished> {
        self.advance(now);
        let due = self.steps + 1e-6;
        let mut finished = Vec::new();
        loop {
            if let Some(&(id, chunks)) = self.prefilling.front()
                && self.head_from + chunks <= due
            {
                self.prefilling.pop_front();
                self.head_from = self.steps;
                self.start_decoding(now, id);
                continue;
            }
            let Some((&first, &id)) = self.decoding.first_key_value() else {
                break;
            };
            if f64::from_bits(first.0) > due {
                break;
            }
            self.decoding.remove(&first);
            finished.extend(self.finish(id));
        }
        self.admit(now);
        finished
    }

    fn start_decoding(&mut self, now: f64, id: u64) {
        if let Some(running) = self.running.get_mut(&id) {
            running.first = now;
            let until = self.steps + running.call.generated as f64;
            self.decoding.insert(key(until, id), id);
        }
    }

    fn finish(&mut self, id: u64) -> Option<Finished> {
        let Running {
            call,
            cached,
            first,
        } = self.running.remove(&id)?;
        self.unpin(call.program, call.prompt + call.generated);
        Some(Finished {
            call,
            cached,
            first,
        })
    }

    /// The engine dies: every call inside breaks, and the cache is gone.
    pub fn die(&mut self, now: f64) -> Vec<Call> {
        self.advance(now);
        self.alive = false;
        self.prefilling.clear();
        self.decoding.clear();
        self.cache.clear();
        self.order.clear();
        self.held = 0;
        let running = std::mem::take(&mut self.running);
        let running = running.into_values().map(|running| running.call);
        running.chain(self.waiting.drain(..)).collect()
    }
}

impl Engine {
    /// Whether a call is inside.
    pub fn has(&self, call: u64) -> bool {
        self.running.contains_key(&call) || self.waiting.iter().any(|waiting| waiting.id == call)
    }

    /// Counts what is still held for ended programs when the run is over.
    pub fn close(&mut self, now: f64) {
        for entry in self.cache.values() {
            self.held_ended += entry
                .ended
                .map_or(0.0, |at| (now - at) * entry.tokens as f64);
        }
    }
}
