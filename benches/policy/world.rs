//! One run: programs, engine fakes and a scheduler under the paused clock.

use crate::arrival::{Next, Plan};
use crate::assume::{EVENT_LAG, EVENT_LOSS, IMPORT_RATE, Scenario, TAKEOVER};
use crate::engine::{Call, Engine, Finished};
use crate::fault::Fault;
use crate::scheduler::{Opening, Order, Report, Request, Scheduler};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use tokio::time::Instant;

/// Seconds between two looks at the queue.
const TICK: f64 = 0.1;
/// Seconds after which a run is cut off.
const LIMIT: f64 = 20_000.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Engine(usize, u64),
    Resume(usize),
    Ask(u64),
    Import(u64, usize),
    Dropped(usize, usize),
    Tick,
    Begin,
    Over,
    Retarget,
}

/// A target that changes during a run.
#[derive(Debug, Clone, Copy)]
pub struct Retarget {
    pub class: usize,
    pub at: f64,
    pub target: f64,
}

/// What became of a program.
#[derive(Debug, Clone, Default)]
pub struct Fate {
    pub started: f64,
    pub ended: Option<f64>,
    pub refused: bool,
    /// Prefill tokens computed again that had been cached.
    pub wasted: u64,
    /// The longest wait of one of its calls.
    pub waited: f64,
    pub turn: usize,
    pub context: u64,
    pub children: usize,
}

/// What a run gave.
#[derive(Debug, Default)]
pub struct Outcome {
    pub fates: Vec<Fate>,
    pub held_ended: f64,
}

struct Pending {
    request: Request,
    asked: f64,
}

/// The state of a run.
pub struct World<'a, S> {
    scheduler: S,
    plans: &'a [Plan],
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: f64,
    fates: Vec<Fate>,
    pending: BTreeMap<u64, Pending>,
    exported: BTreeMap<usize, u64>,
    next_call: u64,
    open: usize,
    fault: Option<Fault>,
    faulty: (f64, f64),
    retarget: Option<Retarget>,
    away_until: f64,
    rng: SmallRng,
}

impl<'a, S: Scheduler> World<'a, S> {
    pub fn new(scheduler: S, scenario: &Scenario, plans: &'a [Plan], horizon: f64) -> Self {
        let engines = (0..scenario.engines).map(|_| Engine::new(scenario.memory));
        Self {
            scheduler,
            plans,
            engines: engines.collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0.0,
            fates: vec![Fate::default(); plans.len()],
            pending: BTreeMap::new(),
            exported: BTreeMap::new(),
            next_call: 0,
            open: 0,
            fault: None,
            faulty: (horizon / 3.0, horizon * 2.0 / 3.0),
            retarget: None,
            away_until: 0.0,
            rng: SmallRng::seed_from_u64(plans.len() as u64),
        }
    }

    pub const fn with_fault(mut self, fault: Option<Fault>) -> Self {
        self.fault = fault;
        self
    }

    pub const fn with_retarget(mut self, retarget: Option<Retarget>) -> Self {
        self.retarget = retarget;
        self
    }

    fn at(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        let key = at.max(self.now).to_bits();
        self.events.push(Reverse((key, self.sequence, event)));
    }

    /// Runs until every program has ended.
    pub fn run(mut self) -> Outcome {
        let clock = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        clock.block_on(async {
            self.prepare();
            let start = Instant::now();
            while let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = f64::from_bits(at);
                let due = start + Duration::from_secs_f64(self.now);
                let step = due.saturating_duration_since(Instant::now());
                if !step.is_zero() {
                    tokio::time::advance(step).await;
                }
                self.take(event);
                if self.now > LIMIT || (self.open == 0 && self.pending.is_empty() && self.idle()) {
                    break;
                }
            }
        });
        self.close()
    }

    fn idle(&self) -> bool {
        self.events
            .iter()
            .all(|Reverse((_, _, event))| !matches!(event, Event::Arrive(_)))
    }

    fn prepare(&mut self) {
        for (index, plan) in self.plans.iter().enumerate() {
            if plan.parent.is_none() {
                self.open += 1;
                self.at(plan.at, Event::Arrive(index));
            }
        }
        self.at(TICK, Event::Tick);
        if self.fault.is_some() {
            self.at(self.faulty.0, Event::Begin);
            self.at(self.faulty.1, Event::Over);
        }
        if let Some(change) = self.retarget {
            self.at(change.at, Event::Retarget);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(program) => self.arrive(program),
            Event::Engine(engine, generation) => self.engine(engine, generation),
            Event::Resume(program) => {
                self.call(program);
            }
            Event::Ask(call) => self.ask(call),
            Event::Import(call, engine) => self.import(call, engine),
            Event::Dropped(engine, program) => self.scheduler.dropped(engine, program),
            Event::Tick => {
                if self.now >= self.away_until {
                    let orders = self.scheduler.tick();
                    self.carry_out(orders);
                }
                self.at(self.now + TICK, Event::Tick);
            }
            Event::Begin => self.begin_fault(),
            Event::Over => self.end_fault(),
            Event::Retarget => {
                if let Some(change) = self.retarget {
                    self.scheduler.retarget(change.class, change.target);
                }
            }
        }
    }

    fn arrive(&mut self, program: usize) {
        self.fates[program].started = self.now;
        let plan = &self.plans[program];
        let opening = Opening {
            program,
            parent: plan.parent,
            class: plan.class,
        };
        if self.scheduler.open(&opening) {
            self.call(program);
        } else {
            self.fates[program].refused = true;
            self.open -= 1;
        }
    }

    fn call(&mut self, program: usize) {
        let turn = self.fates[program].turn;
        let plan = &self.plans[program];
        self.next_call += 1;
        let request = Request {
            id: self.next_call,
            program,
            class: plan.class,
            turn,
            prompt: plan.turns[turn].prompt,
            max_tokens: plan.turns[turn].max_tokens,
            avoid: Vec::new(),
        };
        let asked = self.now;
        self.pending.insert(request.id, Pending { request, asked });
        self.ask(self.next_call);
    }

    fn ask(&mut self, call: u64) {
        if self.now < self.away_until {
            let back = self.away_until;
            self.at(back, Event::Ask(call));
            return;
        }
        let Some(pending) = self.pending.get(&call) else {
            return;
        };
        let request = pending.request.clone();
        let orders = self.scheduler.ask(&request);
        self.carry_out(orders);
    }

    fn carry_out(&mut self, orders: Vec<Order>) {
        for order in orders {
            match order {
                Order::Send { call, engine } => self.send(call, engine),
                Order::Evict { engine, program } => {
                    self.exported.remove(&program);
                    self.engines[engine].evict(self.now, program);
                }
                Order::Export { engine, program } => {
                    let tokens = self.engines[engine].evict(self.now, program);
                    if tokens > 0 {
                        self.exported.insert(program, tokens);
                    }
                }
            }
        }
    }

    fn send(&mut self, call: u64, engine: usize) {
        let Some(pending) = self.pending.get(&call) else {
            return;
        };
        let program = pending.request.program;
        let waited = self.now - pending.asked;
        let fate = &mut self.fates[program];
        fate.waited = fate.waited.max(waited);
        if let Some(tokens) = self.exported.get(&program) {
            let takes = *tokens as f64 / IMPORT_RATE;
            self.at(self.now + takes, Event::Import(call, engine));
        } else {
            self.start(call, engine);
        }
    }

    fn import(&mut self, call: u64, engine: usize) {
        let program = self.pending[&call].request.program;
        if let Some(tokens) = self.exported.remove(&program)
            && self.engines[engine].alive
        {
            self.engines[engine].import(self.now, program, tokens);
        }
        self.start(call, engine);
    }

    fn start(&mut self, call: u64, engine: usize) {
        let request = &self.pending[&call].request;
        let turn = &self.plans[request.program].turns[request.turn];
        let call = Call {
            id: call,
            program: request.program,
            prompt: turn.prompt,
            generated: turn.generated,
            sent: self.now,
        };
        if self.engines[engine].alive {
            self.engines[engine].send(self.now, call);
            self.touch(engine);
        } else {
            self.broke(engine, &call);
        }
    }

    /// Looks again when something happens at an engine.
    fn touch(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.generation += 1;
        let (generation, next) = (state.generation, state.next_event());
        let dropped = std::mem::take(&mut state.dropped);
        if let Some(next) = next {
            self.at(next, Event::Engine(engine, generation));
        }
        for program in dropped {
            let cut = self.fault == Some(Fault::EventsCut);
            if !cut && !self.rng.random_bool(EVENT_LOSS) {
                self.at(self.now + EVENT_LAG, Event::Dropped(engine, program));
            }
        }
    }

    fn engine(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let finished = self.engines[engine].run(self.now);
        self.touch(engine);
        for one in finished {
            self.finish(engine, &one);
        }
    }

    fn finish(&mut self, engine: usize, finished: &Finished) {
        let Finished {
            call,
            cached,
            first,
        } = finished;
        if self.pending.remove(&call.id).is_none() {
            return;
        }
        let report = Report {
            id: call.id,
            program: call.program,
            engine,
            failed: false,
            first: first - call.sent,
            rest: self.now - first,
            prompt: call.prompt,
            cached: *cached,
            generated: call.generated,
        };
        let fate = &mut self.fates[call.program];
        fate.wasted += fate.context.saturating_sub(*cached);
        fate.context = call.prompt + call.generated;
        let orders = self.scheduler.done(&report);
        self.carry_out(orders);
        self.advance(call.program);
    }

    /// The program goes on after an answer.
    fn advance(&mut self, program: usize) {
        let plan = &self.plans[program];
        let turn = self.fates[program].turn;
        self.fates[program].turn += 1;
        match &plan.turns[turn].next {
            Next::Tool(seconds) if turn + 1 < plan.turns.len() => {
                self.at(self.now + seconds, Event::Resume(program));
                let orders = self.scheduler.pause(program);
                self.carry_out(orders);
            }
            Next::Spawn(children) => {
                self.fates[program].children = children.len();
                let orders = self.scheduler.pause(program);
                self.carry_out(orders);
                for child in children {
                    self.open += 1;
                    self.arrive(*child);
                }
            }
            Next::Tool(_) | Next::End => self.end(program),
        }
    }

    fn end(&mut self, program: usize) {
        self.fates[program].ended = Some(self.now);
        self.open -= 1;
        for engine in &mut self.engines {
            engine.ended(self.now, program);
        }
        let whole = !self.plans[program].loops;
        let orders = self.scheduler.end(program, whole);
        self.carry_out(orders);
        if let Some(parent) = self.plans[program].parent {
            self.fates[parent].children -= 1;
            if self.fates[parent].children == 0 {
                self.call(parent);
            }
        }
    }

    fn begin_fault(&mut self) {
        match self.fault {
            Some(Fault::EngineLost) => {
                let broken = self.engines[0].die(self.now);
                self.touch(0);
                for call in broken {
                    self.broke(0, &call);
                }
            }
            Some(Fault::EngineSlow) => {
                self.engines[0].set_slower(self.now, 3.0);
                self.touch(0);
            }
            Some(Fault::VmLost) => {
                self.scheduler.lose();
                self.away_until = self.now + TAKEOVER;
                let waiting: Vec<u64> = self.waiting();
                for call in waiting {
                    self.at(self.away_until, Event::Ask(call));
                }
            }
            _ => {}
        }
    }

    /// Calls that no engine has yet.
    fn waiting(&self) -> Vec<u64> {
        let inside = |call: &u64| self.engines.iter().any(|engine| engine.has(*call));
        let calls = self.pending.keys().copied();
        calls.filter(|call| !inside(call)).collect()
    }

    fn end_fault(&mut self) {
        match self.fault {
            Some(Fault::EngineLost) => self.engines[0].alive = true,
            Some(Fault::EngineSlow) => {
                self.engines[0].set_slower(self.now, 1.0);
                self.touch(0);
            }
            _ => {}
        }
    }

    fn broke(&mut self, engine: usize, call: &Call) {
        let Some(pending) = self.pending.get_mut(&call.id) else {
            return;
        };
        pending.request.avoid.push(engine);
        let report = Report {
            id: call.id,
            program: call.program,
            engine,
            failed: true,
            first: 0.0,
            rest: 0.0,
            prompt: 0,
            cached: 0,
            generated: 0,
        };
        let orders = self.scheduler.done(&report);
        self.carry_out(orders);
        self.at(self.now + 0.02, Event::Ask(call.id));
    }

    fn close(mut self) -> Outcome {
        for engine in &mut self.engines {
            engine.close(self.now);
        }
        Outcome {
            fates: self.fates,
            held_ended: self.engines.iter().map(|engine| engine.held_ended).sum(),
        }
    }
}
