//! Interface between the simulation and a scheduler, and three baseline schedulers.

use crate::assume::MAX_BATCH_CALLS;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Model call that needs an engine.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: u64,
    pub program: usize,
    pub class: usize,
    pub turn: usize,
    pub prompt: u64,
    pub max_tokens: u64,
    /// Engines on which this call has failed.
    pub avoid: Vec<usize>,
}

/// Program or sub-agent that asks for admission.
#[derive(Debug, Clone)]
pub struct Opening {
    pub program: usize,
    pub parent: Option<usize>,
    pub class: usize,
}

/// Result of a call; times are in seconds.
#[derive(Debug, Clone)]
pub struct CallResult {
    pub id: u64,
    pub program: usize,
    pub engine: usize,
    pub failed: bool,
    pub first_token: f64,
    pub generation: f64,
    pub prompt: u64,
    pub cached: u64,
    pub generated: u64,
}

/// Command of a scheduler to the engines.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    Send { call: u64, engine: usize },
    Evict { engine: usize, program: usize },
    Export { engine: usize, program: usize },
}

/// Scheduler under test.
pub trait Scheduler {
    /// Decides whether the program may start.
    fn admit(&mut self, _opening: &Opening) -> bool {
        true
    }
    fn request(&mut self, request: &Request) -> Vec<Command>;
    fn finish(&mut self, result: &CallResult) -> Vec<Command>;
    /// The program has started a tool call or waits for sub-agents.
    fn program_paused(&mut self, _program: usize) -> Vec<Command> {
        Vec::new()
    }
    /// The program has ended; `completed` is false if it reached its turn limit.
    fn program_ended(&mut self, _program: usize, _completed: bool) -> Vec<Command> {
        Vec::new()
    }
    /// An engine reports that it has evicted the cache of a program. Events arrive with a delay.
    fn cache_evicted(&mut self, _engine: usize, _program: usize) {}
    /// The VM with the queue has failed; its successor starts without the queue and learned state.
    fn fail_over(&mut self) {}
    fn tick(&mut self) -> Vec<Command> {
        Vec::new()
    }
    /// The target of a class has changed.
    fn retarget(&mut self, _class: usize, _target: f64) {}
}

/// Baseline: first come, first served; each call goes to the next engine.
#[derive(Debug)]
pub struct RoundRobin {
    engines: usize,
    next: usize,
}

impl RoundRobin {
    pub const fn new(engines: usize) -> Self {
        Self { engines, next: 0 }
    }
}

impl Scheduler for RoundRobin {
    fn request(&mut self, request: &Request) -> Vec<Command> {
        self.next = (self.next + 1) % self.engines;
        vec![Command::Send {
            call: request.id,
            engine: self.next,
        }]
    }

    fn finish(&mut self, _: &CallResult) -> Vec<Command> {
        Vec::new()
    }
}

/// Baseline: first come, first served, at the engine with the cache or else the least loaded one.
#[derive(Debug)]
pub struct Affinity {
    running: Vec<usize>,
    last_engine: HashMap<usize, usize>,
}

impl Affinity {
    pub fn new(engines: usize) -> Self {
        Self {
            running: vec![0; engines],
            last_engine: HashMap::new(),
        }
    }
}

impl Scheduler for Affinity {
    fn request(&mut self, request: &Request) -> Vec<Command> {
        let last_engine = self.last_engine.get(&request.program).copied();
        let candidates = (0..self.running.len()).filter(|engine| !request.avoid.contains(engine));
        let engine = last_engine
            .filter(|engine| !request.avoid.contains(engine))
            .or_else(|| candidates.min_by_key(|engine| self.running[*engine]))
            .unwrap_or(0);
        self.last_engine.insert(request.program, engine);
        self.running[engine] += 1;
        vec![Command::Send {
            call: request.id,
            engine,
        }]
    }

    fn finish(&mut self, result: &CallResult) -> Vec<Command> {
        self.running[result.engine] -= 1;
        Vec::new()
    }
}

/// Baseline: shortest call first, on the least loaded engine with a free slot.
#[derive(Debug)]
pub struct Shortest {
    running: Vec<usize>,
    queue: BTreeSet<(u64, u64)>,
    avoid: BTreeMap<u64, Vec<usize>>,
}

impl Shortest {
    pub fn new(engines: usize) -> Self {
        Self {
            running: vec![0; engines],
            queue: BTreeSet::new(),
            avoid: BTreeMap::new(),
        }
    }

    fn grant(&mut self) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(&(size, call)) = self.queue.first() {
            let avoid = self.avoid.get(&call);
            let candidates =
                (0..self.running.len()).filter(|engine| self.running[*engine] < MAX_BATCH_CALLS);
            let least_loaded = candidates.min_by_key(|engine| {
                let avoided = avoid.is_some_and(|avoid| avoid.contains(engine));
                (avoided, self.running[*engine])
            });
            let Some(engine) = least_loaded else {
                return commands;
            };
            self.queue.remove(&(size, call));
            self.avoid.remove(&call);
            self.running[engine] += 1;
            commands.push(Command::Send { call, engine });
        }
        commands
    }
}

impl Scheduler for Shortest {
    fn request(&mut self, request: &Request) -> Vec<Command> {
        self.queue
            .insert((request.prompt + request.max_tokens, request.id));
        self.avoid.insert(request.id, request.avoid.clone());
        self.grant()
    }

    fn finish(&mut self, result: &CallResult) -> Vec<Command> {
        self.running[result.engine] -= 1;
        self.grant()
    }
}
