//! Drives the real policy: what an owner and a dispatcher do around it, without their transport.

use crate::assume::Scenario;
use crate::scheduler::{Opening, Order, Report, Request, Scheduler};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Permit, Program, Server, Shard, Tokens};
use vanillatrail::policy::forecast::{Forecast, Start, Urgency};
use vanillatrail::policy::{self, Action, Outcome, Pool};

/// Parts that can be switched off to see what each buys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Refusal at a program's start.
    Gate,
    /// Estimates of what remains: slack is the target less the time elapsed.
    Estimates,
    /// Calls with much slack only fill.
    Fill,
    /// Cache is exported and imported.
    Exports,
    /// The cache of ended programs is evicted.
    Evictions,
}

impl Part {
    pub const ALL: [Self; 5] = [
        Self::Gate,
        Self::Estimates,
        Self::Fill,
        Self::Exports,
        Self::Evictions,
    ];
}

/// The scheduler of this project.
pub struct Ours {
    pool: Pool,
    forecast: Forecast,
    scenario: &'static Scenario,
    servers: Vec<Server>,
    targets: Vec<f64>,
    without: Option<Part>,
    /// Engines that hold cache, newest first, by program.
    engines: HashMap<usize, Vec<usize>>,
    /// What the log would tell a successor of each program under way.
    started: HashMap<usize, Start>,
}

fn id(program: usize) -> Program {
    Program::new(Shard(0), program as u128)
}

fn pool(servers: &[Server], without: Option<Part>) -> Pool {
    let mut pool = Pool::default();
    if without != Some(Part::Exports) {
        pool = pool.with_cache_export();
    }
    pool.set_servers(servers);
    pool
}

impl Ours {
    pub fn new(scenario: &'static Scenario, without: Option<Part>) -> Self {
        let name = |index| format!("engine-{index}").parse().expect("a plain name");
        let servers: Vec<Server> = (0..scenario.engines).map(name).collect();
        Self {
            pool: pool(&servers, without),
            forecast: Forecast::default(),
            scenario,
            targets: scenario.classes.iter().map(|class| class.target).collect(),
            servers,
            without,
            engines: HashMap::new(),
            started: HashMap::new(),
        }
    }

    fn orders(&self, actions: Vec<Action>) -> Vec<Order> {
        let index = |server: &Server| self.servers.iter().position(|name| name == server);
        let order = |action| match action {
            Action::Grant(permit, server) => Some(Order::Send {
                call: permit.0,
                engine: index(&server)?,
            }),
            Action::Export(server, program) => Some(Order::Export {
                engine: index(&server)?,
                program: self.number(program)?,
            }),
            Action::Refuse(..) => None,
        };
        actions.into_iter().filter_map(order).collect()
    }

    fn number(&self, program: Program) -> Option<usize> {
        let text = program.to_string();
        let digits = text.split_once('-')?.1;
        usize::from_str_radix(digits, 16)
            .ok()
            .filter(|number| self.started.contains_key(number))
    }

    fn start(&self, opening: &Opening) -> Start {
        let class = &self.scenario.classes[opening.class];
        let target = Duration::from_secs_f64(self.targets[opening.class]);
        Start {
            class: class.name.parse().expect("a plain name"),
            parent: opening.parent.map(id),
            target,
            deadline: Instant::now() + target,
            waiting: class.waiting,
            answers: 0,
        }
    }

    fn urgency(&mut self, program: usize) -> Urgency {
        let found = self.forecast.urgency(Instant::now(), id(program));
        let mut urgency = found.expect("the program has started");
        let rest = i64::try_from(urgency.remaining_ms).unwrap_or(i64::MAX);
        match self.without {
            Some(Part::Estimates) => {
                urgency.slack_ms += rest;
                urgency.remaining_ms = 0;
            }
            Some(Part::Fill) => urgency.slack_ms = urgency.slack_ms.min(5 * rest),
            _ => {}
        }
        urgency
    }
}

impl Scheduler for Ours {
    fn open(&mut self, opening: &Opening) -> bool {
        let (now, start) = (Instant::now(), self.start(opening));
        self.forecast.set_rates(self.pool.rates());
        let refused = self.forecast.admit(now, &start, 1.0).is_err();
        if refused && self.without != Some(Part::Gate) {
            return false;
        }
        self.started.insert(opening.program, start.clone());
        self.forecast.start(now, id(opening.program), start);
        true
    }

    fn ask(&mut self, request: &Request) -> Vec<Order> {
        let urgency = self.urgency(request.program);
        let name = |engine: &usize| self.servers[*engine].clone();
        let engines = self.engines.get(&request.program);
        let class = self.scenario.classes[request.class].name;
        let ask = policy::Request {
            program: id(request.program),
            class: class.parse().ok(),
            slack_ms: urgency.slack_ms,
            remaining_ms: urgency.remaining_ms,
            prompt: Tokens(request.prompt),
            max_tokens: Tokens(request.max_tokens),
            resident: engines.into_iter().flatten().map(name).collect(),
            avoid: request.avoid.iter().map(name).collect(),
            zone: None,
        };
        let actions = self.pool.request(Instant::now(), Permit(request.id), ask);
        self.orders(actions)
    }

    fn done(&mut self, report: &Report) -> Vec<Order> {
        let now = Instant::now();
        if !report.failed {
            let engines = self.engines.entry(report.program).or_default();
            engines.retain(|engine| *engine != report.engine);
            engines.insert(0, report.engine);
            if let Some(start) = self.started.get_mut(&report.program) {
                start.answers += 1;
            }
            let took = Duration::from_secs_f64(report.first + report.rest);
            let fresh = report.prompt - report.cached;
            self.forecast.set_rates(self.pool.rates());
            self.forecast
                .record_answer(now, id(report.program), took, fresh, report.generated);
        }
        let outcome = Outcome {
            failed: report.failed,
            first_ms: report.first * 1000.0,
            rest_ms: report.rest * 1000.0,
            prompt: Tokens(report.prompt),
            cached: Tokens(report.cached),
            completion: Tokens(report.generated),
        };
        let actions = self.pool.finish(now, Permit(report.id), Some(&outcome));
        self.orders(actions)
    }

    fn pause(&mut self, program: usize) -> Vec<Order> {
        let pause = self.forecast.mean_pause(id(program));
        let actions = self.pool.program_paused(Instant::now(), id(program), pause);
        self.orders(actions)
    }

    fn end(&mut self, program: usize, whole: bool) -> Vec<Order> {
        self.pool.program_ended(id(program));
        self.forecast.record_end(Instant::now(), id(program), whole);
        self.started.remove(&program);
        let engines = self.engines.remove(&program).unwrap_or_default();
        if self.without == Some(Part::Evictions) {
            return Vec::new();
        }
        let evict = |engine| Order::Evict { engine, program };
        engines.into_iter().map(evict).collect()
    }

    fn dropped(&mut self, engine: usize, program: usize) {
        self.pool.cache_evicted(&self.servers[engine], id(program));
    }

    fn lose(&mut self) {
        // Harsher than one VM of many: every owner's forecast is lost with the queue.
        self.pool = pool(&self.servers, self.without);
        self.forecast = Forecast::default();
        let mut started: Vec<_> = self.started.iter().collect();
        started.sort_by_key(|(program, _)| **program);
        for (program, start) in started {
            self.forecast
                .start(Instant::now(), id(*program), start.clone());
        }
    }

    fn tick(&mut self) -> Vec<Order> {
        let actions = self.pool.grant(Instant::now());
        self.orders(actions)
    }

    fn retarget(&mut self, class: usize, target: f64) {
        self.targets[class] = target;
    }
}
