//! Event-driven simulation of one run: programs, engines and a scheduler. The tokio clock is paused
//! and follows the simulated time.

use crate::arrival::{Next, Plan};
use crate::assume::{
    EVENT_DELAY_S, EVENT_LOSS_SHARE, IMPORT_TOKENS_PER_SECOND, Scenario, TAKEOVER_S,
};
use crate::engine::{Call, Engine, Finished};
use crate::fault::Fault;
use crate::scheduler::{CallResult, Command, Opening, Request, Scheduler};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use tokio::time::Instant;

/// Time between two ticks of the scheduler, in seconds.
const TICK_S: f64 = 0.1;
/// Simulated time after which a run is aborted, in seconds.
const MAX_TIME_S: f64 = 20_000.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    ProgramArrives(usize),
    Engine(usize, u64),
    ProgramResumes(usize),
    RequestCall(u64),
    CacheImported(u64, usize),
    Evicted(usize, usize),
    Tick,
    FaultStarts,
    FaultEnds,
    Retarget,
}

/// Change of the target of a class during a run; times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Retarget {
    pub class: usize,
    pub at: f64,
    pub target: f64,
}

/// State of a program, and its results.
#[derive(Debug, Clone, Default)]
pub struct ProgramState {
    pub started_at: f64,
    pub ended_at: Option<f64>,
    pub refused: bool,
    /// Prefill tokens computed again because the cache was lost.
    pub wasted: u64,
    /// Longest time that one of its calls waited for an engine, in seconds.
    pub longest_wait: f64,
    /// Index of the current turn.
    pub turn: usize,
    pub context_tokens: u64,
    pub running_children: usize,
}

/// Results of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub programs: Vec<ProgramState>,
    /// Token-seconds of cache held for programs that have ended.
    pub held_after_end: f64,
}

struct PendingCall {
    request: Request,
    queued_at: f64,
}

pub struct Simulation<'a, S> {
    scheduler: S,
    plans: &'a [Plan],
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_number: u64,
    now: f64,
    programs: Vec<ProgramState>,
    pending: BTreeMap<u64, PendingCall>,
    /// Tokens of exported cache, by program.
    exported: BTreeMap<usize, u64>,
    next_call: u64,
    open_programs: usize,
    fault: Option<Fault>,
    fault_window: (f64, f64),
    retarget: Option<Retarget>,
    failover_until: f64,
    rng: SmallRng,
}

impl<'a, S: Scheduler> Simulation<'a, S> {
    pub fn new(scheduler: S, scenario: &Scenario, plans: &'a [Plan], horizon: f64) -> Self {
        let engines = (0..scenario.engines).map(|_| Engine::new(scenario.cache_tokens));
        Self {
            scheduler,
            plans,
            engines: engines.collect(),
            events: BinaryHeap::new(),
            event_number: 0,
            now: 0.0,
            programs: vec![ProgramState::default(); plans.len()],
            pending: BTreeMap::new(),
            exported: BTreeMap::new(),
            next_call: 0,
            open_programs: 0,
            fault: None,
            fault_window: (horizon / 3.0, horizon * 2.0 / 3.0),
            retarget: None,
            failover_until: 0.0,
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

    fn schedule(&mut self, at: f64, event: Event) {
        self.event_number += 1;
        let key = at.max(self.now).to_bits();
        self.events.push(Reverse((key, self.event_number, event)));
    }

    /// Runs until every program has ended.
    pub fn run(mut self) -> Outcome {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        runtime.block_on(async {
            self.schedule_initial_events();
            let start = Instant::now();
            while let Some(Reverse((at, _, event))) = self.events.pop() {
                self.now = f64::from_bits(at);
                let due = start + Duration::from_secs_f64(self.now);
                let step = due.saturating_duration_since(Instant::now());
                if !step.is_zero() {
                    tokio::time::advance(step).await;
                }
                self.handle(event);
                if self.now > MAX_TIME_S
                    || (self.open_programs == 0 && self.pending.is_empty() && self.all_arrived())
                {
                    break;
                }
            }
        });
        self.into_outcome()
    }

    fn all_arrived(&self) -> bool {
        self.events
            .iter()
            .all(|Reverse((_, _, event))| !matches!(event, Event::ProgramArrives(_)))
    }

    fn schedule_initial_events(&mut self) {
        for (index, plan) in self.plans.iter().enumerate() {
            if plan.parent.is_none() {
                self.open_programs += 1;
                self.schedule(plan.at, Event::ProgramArrives(index));
            }
        }
        self.schedule(TICK_S, Event::Tick);
        if self.fault.is_some() {
            self.schedule(self.fault_window.0, Event::FaultStarts);
            self.schedule(self.fault_window.1, Event::FaultEnds);
        }
        if let Some(change) = self.retarget {
            self.schedule(change.at, Event::Retarget);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ProgramArrives(program) => self.start_program(program),
            Event::Engine(engine, generation) => self.handle_engine_event(engine, generation),
            Event::ProgramResumes(program) => {
                self.start_turn(program);
            }
            Event::RequestCall(call) => self.request_engine(call),
            Event::CacheImported(call, engine) => self.import(call, engine),
            Event::Evicted(engine, program) => self.scheduler.cache_evicted(engine, program),
            Event::Tick => {
                if self.now >= self.failover_until {
                    let commands = self.scheduler.tick();
                    self.execute(commands);
                }
                self.schedule(self.now + TICK_S, Event::Tick);
            }
            Event::FaultStarts => self.begin_fault(),
            Event::FaultEnds => self.end_fault(),
            Event::Retarget => {
                if let Some(change) = self.retarget {
                    self.scheduler.retarget(change.class, change.target);
                }
            }
        }
    }

    fn start_program(&mut self, program: usize) {
        self.programs[program].started_at = self.now;
        let plan = &self.plans[program];
        let opening = Opening {
            program,
            parent: plan.parent,
            class: plan.class,
        };
        if self.scheduler.admit(&opening) {
            self.start_turn(program);
        } else {
            self.programs[program].refused = true;
            self.open_programs -= 1;
        }
    }

    fn start_turn(&mut self, program: usize) {
        let turn = self.programs[program].turn;
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
        let queued_at = self.now;
        self.pending
            .insert(request.id, PendingCall { request, queued_at });
        self.request_engine(self.next_call);
    }

    fn request_engine(&mut self, call: u64) {
        if self.now < self.failover_until {
            let resume_at = self.failover_until;
            self.schedule(resume_at, Event::RequestCall(call));
            return;
        }
        let Some(pending) = self.pending.get(&call) else {
            return;
        };
        let request = pending.request.clone();
        let commands = self.scheduler.request(&request);
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send { call, engine } => self.send(call, engine),
                Command::Evict { engine, program } => {
                    self.exported.remove(&program);
                    self.engines[engine].evict(self.now, program);
                }
                Command::Export { engine, program } => {
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
        let wait = self.now - pending.queued_at;
        let state = &mut self.programs[program];
        state.longest_wait = state.longest_wait.max(wait);
        if let Some(tokens) = self.exported.get(&program) {
            let import_time = *tokens as f64 / IMPORT_TOKENS_PER_SECOND;
            self.schedule(self.now + import_time, Event::CacheImported(call, engine));
        } else {
            self.start_call(call, engine);
        }
    }

    fn import(&mut self, call: u64, engine: usize) {
        let program = self.pending[&call].request.program;
        if let Some(tokens) = self.exported.remove(&program)
            && self.engines[engine].alive
        {
            self.engines[engine].import(self.now, program, tokens);
        }
        self.start_call(call, engine);
    }

    fn start_call(&mut self, call: u64, engine: usize) {
        let request = &self.pending[&call].request;
        let turn = &self.plans[request.program].turns[request.turn];
        let call = Call {
            id: call,
            program: request.program,
            prompt: turn.prompt,
            generated: turn.generated,
            sent_at: self.now,
        };
        if self.engines[engine].alive {
            self.engines[engine].send(self.now, call);
            self.schedule_engine(engine);
        } else {
            self.call_failed(engine, &call);
        }
    }

    /// Schedules the next event of an engine and the reports of its evictions.
    fn schedule_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.generation += 1;
        let (generation, next) = (state.generation, state.next_event());
        let evicted = std::mem::take(&mut state.evicted_programs);
        if let Some(next) = next {
            self.schedule(next, Event::Engine(engine, generation));
        }
        for program in evicted {
            let events_lost = self.fault == Some(Fault::EventsCut);
            if !events_lost && !self.rng.random_bool(EVENT_LOSS_SHARE) {
                self.schedule(self.now + EVENT_DELAY_S, Event::Evicted(engine, program));
            }
        }
    }

    fn handle_engine_event(&mut self, engine: usize, generation: u64) {
        if self.engines[engine].generation != generation {
            return;
        }
        let finished = self.engines[engine].run(self.now);
        self.schedule_engine(engine);
        for finished_call in finished {
            self.finish(engine, &finished_call);
        }
    }

    fn finish(&mut self, engine: usize, finished: &Finished) {
        let Finished {
            call,
            cached,
            first_token_at,
        } = finished;
        if self.pending.remove(&call.id).is_none() {
            return;
        }
        let result = CallResult {
            id: call.id,
            program: call.program,
            engine,
            failed: false,
            first_token: first_token_at - call.sent_at,
            generation: self.now - first_token_at,
            prompt: call.prompt,
            cached: *cached,
            generated: call.generated,
        };
        let state = &mut self.programs[call.program];
        state.wasted += state.context_tokens.saturating_sub(*cached);
        state.context_tokens = call.prompt + call.generated;
        let commands = self.scheduler.finish(&result);
        self.execute(commands);
        self.advance(call.program);
    }

    /// Starts the next step of a program after an answer.
    fn advance(&mut self, program: usize) {
        let plan = &self.plans[program];
        let turn = self.programs[program].turn;
        self.programs[program].turn += 1;
        match &plan.turns[turn].next {
            Next::Tool(seconds) if turn + 1 < plan.turns.len() => {
                self.schedule(self.now + seconds, Event::ProgramResumes(program));
                let commands = self.scheduler.program_paused(program);
                self.execute(commands);
            }
            Next::Spawn(children) => {
                self.programs[program].running_children = children.len();
                let commands = self.scheduler.program_paused(program);
                self.execute(commands);
                for child in children {
                    self.open_programs += 1;
                    self.start_program(*child);
                }
            }
            Next::Tool(_) | Next::End => self.end_program(program),
        }
    }

    fn end_program(&mut self, program: usize) {
        self.programs[program].ended_at = Some(self.now);
        self.open_programs -= 1;
        for engine in &mut self.engines {
            engine.program_ended(self.now, program);
        }
        let completed = !self.plans[program].loops;
        let commands = self.scheduler.program_ended(program, completed);
        self.execute(commands);
        if let Some(parent) = self.plans[program].parent {
            self.programs[parent].running_children -= 1;
            if self.programs[parent].running_children == 0 {
                self.start_turn(parent);
            }
        }
    }

    fn begin_fault(&mut self) {
        match self.fault {
            Some(Fault::EngineLost) => {
                let failed_calls = self.engines[0].fail(self.now);
                self.schedule_engine(0);
                for call in failed_calls {
                    self.call_failed(0, &call);
                }
            }
            Some(Fault::EngineSlow) => {
                self.engines[0].set_slowdown(self.now, 3.0);
                self.schedule_engine(0);
            }
            Some(Fault::VmLost) => {
                self.scheduler.fail_over();
                self.failover_until = self.now + TAKEOVER_S;
                let unsent_calls: Vec<u64> = self.unsent_calls();
                for call in unsent_calls {
                    self.schedule(self.failover_until, Event::RequestCall(call));
                }
            }
            _ => {}
        }
    }

    /// Calls that have not been sent to an engine.
    fn unsent_calls(&self) -> Vec<u64> {
        let at_engine = |call: &u64| self.engines.iter().any(|engine| engine.has_call(*call));
        let calls = self.pending.keys().copied();
        calls.filter(|call| !at_engine(call)).collect()
    }

    fn end_fault(&mut self) {
        match self.fault {
            Some(Fault::EngineLost) => self.engines[0].alive = true,
            Some(Fault::EngineSlow) => {
                self.engines[0].set_slowdown(self.now, 1.0);
                self.schedule_engine(0);
            }
            _ => {}
        }
    }

    fn call_failed(&mut self, engine: usize, call: &Call) {
        let Some(pending) = self.pending.get_mut(&call.id) else {
            return;
        };
        pending.request.avoid.push(engine);
        let result = CallResult {
            id: call.id,
            program: call.program,
            engine,
            failed: true,
            first_token: 0.0,
            generation: 0.0,
            prompt: 0,
            cached: 0,
            generated: 0,
        };
        let commands = self.scheduler.finish(&result);
        self.execute(commands);
        self.schedule(self.now + 0.02, Event::RequestCall(call.id));
    }

    fn into_outcome(mut self) -> Outcome {
        for engine in &mut self.engines {
            engine.finish_run(self.now);
        }
        Outcome {
            programs: self.programs,
            held_after_end: self
                .engines
                .iter()
                .map(|engine| engine.held_after_end)
                .sum(),
        }
    }
}
