//! What a scheduler is told and what it orders, and the three schedulers to beat.

use crate::assume::BATCH;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A model call that asks for an engine.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: u64,
    pub program: usize,
    pub class: usize,
    pub turn: usize,
    pub prompt: u64,
    pub max_tokens: u64,
    /// Engines that have failed this call.
    pub avoid: Vec<usize>,
}

/// A program that a caller wants to open, or a sub-agent.
#[derive(Debug, Clone)]
pub struct Opening {
    pub program: usize,
    pub parent: Option<usize>,
    pub class: usize,
}

/// How a call ended.
#[derive(Debug, Clone)]
pub struct Report {
    pub id: u64,
    pub program: usize,
    pub engine: usize,
    pub failed: bool,
    pub first: f64,
    pub rest: f64,
    pub prompt: u64,
    pub cached: u64,
    pub generated: u64,
}

/// What a scheduler orders.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    Send { call: u64, engine: usize },
    Evict { engine: usize, program: usize },
    Export { engine: usize, program: usize },
}

/// A scheduler, here one of those measured.
pub trait Scheduler {
    /// Whether the program may start.
    fn open(&mut self, _opening: &Opening) -> bool {
        true
    }
    fn ask(&mut self, request: &Request) -> Vec<Order>;
    fn done(&mut self, report: &Report) -> Vec<Order>;
    /// The program has gone into a tool call.
    fn pause(&mut self, _program: usize) -> Vec<Order> {
        Vec::new()
    }
    /// The program has ended; `whole` when by itself and not by its limit of turns.
    fn end(&mut self, _program: usize, _whole: bool) -> Vec<Order> {
        Vec::new()
    }
    /// An engine reports, late, that it has dropped the cache of a program.
    fn dropped(&mut self, _engine: usize, _program: usize) {}
    /// The VM that holds the queue is lost: another one starts with nothing.
    fn lose(&mut self) {}
    fn tick(&mut self) -> Vec<Order> {
        Vec::new()
    }
    /// Operators change the target of a class.
    fn retarget(&mut self, _class: usize, _target: f64) {}
}

/// Arrival order, each call to the next engine.
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
    fn ask(&mut self, request: &Request) -> Vec<Order> {
        self.next = (self.next + 1) % self.engines;
        vec![Order::Send {
            call: request.id,
            engine: self.next,
        }]
    }

    fn done(&mut self, _: &Report) -> Vec<Order> {
        Vec::new()
    }
}

/// Arrival order, each call to the engine that has the cache, else to the least loaded.
#[derive(Debug)]
pub struct Affinity {
    running: Vec<usize>,
    home: HashMap<usize, usize>,
}

impl Affinity {
    pub fn new(engines: usize) -> Self {
        Self {
            running: vec![0; engines],
            home: HashMap::new(),
        }
    }
}

impl Scheduler for Affinity {
    fn ask(&mut self, request: &Request) -> Vec<Order> {
        let home = self.home.get(&request.program).copied();
        let open = (0..self.running.len()).filter(|engine| !request.avoid.contains(engine));
        let engine = home
            .filter(|engine| !request.avoid.contains(engine))
            .or_else(|| open.min_by_key(|engine| self.running[*engine]))
            .unwrap_or(0);
        self.home.insert(request.program, engine);
        self.running[engine] += 1;
        vec![Order::Send {
            call: request.id,
            engine,
        }]
    }

    fn done(&mut self, report: &Report) -> Vec<Order> {
        self.running[report.engine] -= 1;
        Vec::new()
    }
}

/// The call with the fewest tokens first, to the least loaded engine that has room.
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

    fn grant(&mut self) -> Vec<Order> {
        let mut orders = Vec::new();
        while let Some(&(size, call)) = self.queue.first() {
            let avoid = self.avoid.get(&call);
            let open = (0..self.running.len()).filter(|engine| self.running[*engine] < BATCH);
            let best = open.min_by_key(|engine| {
                let avoided = avoid.is_some_and(|avoid| avoid.contains(engine));
                (avoided, self.running[*engine])
            });
            let Some(engine) = best else {
                return orders;
            };
            self.queue.remove(&(size, call));
            self.avoid.remove(&call);
            self.running[engine] += 1;
            orders.push(Order::Send { call, engine });
        }
        orders
    }
}

impl Scheduler for Shortest {
    fn ask(&mut self, request: &Request) -> Vec<Order> {
        self.queue
            .insert((request.prompt + request.max_tokens, request.id));
        self.avoid.insert(request.id, request.avoid.clone());
        self.grant()
    }

    fn done(&mut self, report: &Report) -> Vec<Order> {
        self.running[report.engine] -= 1;
        self.grant()
    }
}
