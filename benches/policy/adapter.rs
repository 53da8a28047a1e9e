//! Runs the library's scheduling policy as a [`Scheduler`], in place of the owners and the
//! dispatcher that use it in production.

use crate::assume::Scenario;
use crate::scheduler::{CallResult, Command, Opening, Request, Scheduler};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Permit, Program, Server, Shard, Tokens};
use vanillatrail::policy::forecast::{Forecast, Start, Urgency};
use vanillatrail::policy::{self, Action, Outcome, Pool};

/// Features that an ablation run can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feature {
    /// Admission control.
    Admission,
    /// Estimates of the remaining time. Without them, slack is the target minus the elapsed time.
    Estimates,
    /// Calls with much slack are granted spare capacity only.
    Backfill,
    /// Export and import of KV cache.
    Exports,
    /// Eviction of the cache of ended programs.
    Evictions,
}

impl Feature {
    pub const ALL: [Self; 5] = [
        Self::Admission,
        Self::Estimates,
        Self::Backfill,
        Self::Exports,
        Self::Evictions,
    ];
}

/// The library's policy, with at most one feature disabled.
pub struct Adapter {
    pool: Pool,
    forecast: Forecast,
    scenario: &'static Scenario,
    servers: Vec<Server>,
    targets: Vec<f64>,
    disabled: Option<Feature>,
    /// Engines with cache of a program, most recent first.
    cached_on: HashMap<usize, Vec<usize>>,
    /// Facts about the running programs that a successor would read from the log.
    running: HashMap<usize, Start>,
}

fn program_id(program: usize) -> Program {
    Program::new(Shard(0), program as u128)
}

fn pool(servers: &[Server], disabled: Option<Feature>) -> Pool {
    let mut pool = Pool::default();
    if disabled != Some(Feature::Exports) {
        pool = pool.with_cache_export();
    }
    pool.set_servers(servers);
    pool
}

impl Adapter {
    pub fn new(scenario: &'static Scenario, disabled: Option<Feature>) -> Self {
        let server_name = |index| format!("engine-{index}").parse().expect("a valid name");
        let servers: Vec<Server> = (0..scenario.engines).map(server_name).collect();
        Self {
            pool: pool(&servers, disabled),
            forecast: Forecast::default(),
            scenario,
            targets: scenario.classes.iter().map(|class| class.target).collect(),
            servers,
            disabled,
            cached_on: HashMap::new(),
            running: HashMap::new(),
        }
    }

    fn commands(&self, actions: Vec<Action>) -> Vec<Command> {
        let index = |server: &Server| self.servers.iter().position(|name| name == server);
        let command = |action| match action {
            Action::Grant(permit, server) => Some(Command::Send {
                call: permit.0,
                engine: index(&server)?,
            }),
            Action::Export(server, program) => Some(Command::Export {
                engine: index(&server)?,
                program: self.program_index(program)?,
            }),
            Action::Refuse(..) => None,
        };
        actions.into_iter().filter_map(command).collect()
    }

    fn program_index(&self, program: Program) -> Option<usize> {
        let text = program.to_string();
        let digits = text.split_once('-')?.1;
        usize::from_str_radix(digits, 16)
            .ok()
            .filter(|index| self.running.contains_key(index))
    }

    fn start_of(&self, opening: &Opening) -> Start {
        let class = &self.scenario.classes[opening.class];
        let target = Duration::from_secs_f64(self.targets[opening.class]);
        Start {
            class: class.name.parse().expect("a valid name"),
            parent: opening.parent.map(program_id),
            target,
            deadline: Instant::now() + target,
            waiting: class.waiting,
            answers: 0,
        }
    }

    fn urgency(&mut self, program: usize) -> Urgency {
        let urgency = self.forecast.urgency(Instant::now(), program_id(program));
        let mut urgency = urgency.expect("the program has started");
        let remaining_ms = i64::try_from(urgency.remaining_ms).unwrap_or(i64::MAX);
        match self.disabled {
            Some(Feature::Estimates) => {
                urgency.slack_ms += remaining_ms;
                urgency.remaining_ms = 0;
            }
            Some(Feature::Backfill) => urgency.slack_ms = urgency.slack_ms.min(5 * remaining_ms),
            _ => {}
        }
        urgency
    }
}

impl Scheduler for Adapter {
    fn admit(&mut self, opening: &Opening) -> bool {
        let (now, start) = (Instant::now(), self.start_of(opening));
        self.forecast.set_rates(self.pool.rates());
        let refused = self.forecast.admit(now, &start, 1.0).is_err();
        if refused && self.disabled != Some(Feature::Admission) {
            return false;
        }
        self.running.insert(opening.program, start.clone());
        self.forecast.start(now, program_id(opening.program), start);
        true
    }

    fn request(&mut self, request: &Request) -> Vec<Command> {
        let urgency = self.urgency(request.program);
        let server_name = |engine: &usize| self.servers[*engine].clone();
        let cached_on = self.cached_on.get(&request.program);
        let class = self.scenario.classes[request.class].name;
        let pool_request = policy::Request {
            program: program_id(request.program),
            class: class.parse().ok(),
            slack_ms: urgency.slack_ms,
            remaining_ms: urgency.remaining_ms,
            prompt: Tokens(request.prompt),
            max_tokens: Tokens(request.max_tokens),
            resident: cached_on.into_iter().flatten().map(server_name).collect(),
            avoid: request.avoid.iter().map(server_name).collect(),
            zone: None,
        };
        let actions = self
            .pool
            .request(Instant::now(), Permit(request.id), pool_request);
        self.commands(actions)
    }

    fn finish(&mut self, result: &CallResult) -> Vec<Command> {
        let now = Instant::now();
        if !result.failed {
            let cached_on = self.cached_on.entry(result.program).or_default();
            cached_on.retain(|engine| *engine != result.engine);
            cached_on.insert(0, result.engine);
            if let Some(start) = self.running.get_mut(&result.program) {
                start.answers += 1;
            }
            let duration = Duration::from_secs_f64(result.first_token + result.generation);
            let uncached = result.prompt - result.cached;
            self.forecast.set_rates(self.pool.rates());
            self.forecast.record_answer(
                now,
                program_id(result.program),
                duration,
                uncached,
                result.generated,
            );
        }
        let outcome = Outcome {
            failed: result.failed,
            first_ms: result.first_token * 1000.0,
            rest_ms: result.generation * 1000.0,
            prompt: Tokens(result.prompt),
            cached: Tokens(result.cached),
            completion: Tokens(result.generated),
        };
        let actions = self.pool.finish(now, Permit(result.id), Some(&outcome));
        self.commands(actions)
    }

    fn program_paused(&mut self, program: usize) -> Vec<Command> {
        let pause = self.forecast.mean_pause(program_id(program));
        let actions = self
            .pool
            .program_paused(Instant::now(), program_id(program), pause);
        self.commands(actions)
    }

    fn program_ended(&mut self, program: usize, completed: bool) -> Vec<Command> {
        self.pool.program_ended(program_id(program));
        self.forecast
            .record_end(Instant::now(), program_id(program), completed);
        self.running.remove(&program);
        let cached_on = self.cached_on.remove(&program).unwrap_or_default();
        if self.disabled == Some(Feature::Evictions) {
            return Vec::new();
        }
        let evict = |engine| Command::Evict { engine, program };
        cached_on.into_iter().map(evict).collect()
    }

    fn cache_evicted(&mut self, engine: usize, program: usize) {
        self.pool
            .cache_evicted(&self.servers[engine], program_id(program));
    }

    fn fail_over(&mut self) {
        // In production, only the forecasts of one owner would be lost with the queue.
        self.pool = pool(&self.servers, self.disabled);
        self.forecast = Forecast::default();
        let mut started: Vec<_> = self.running.iter().collect();
        started.sort_by_key(|(program, _)| **program);
        for (program, start) in started {
            self.forecast
                .start(Instant::now(), program_id(*program), start.clone());
        }
    }

    fn tick(&mut self) -> Vec<Command> {
        let actions = self.pool.grant(Instant::now());
        self.commands(actions)
    }

    fn retarget(&mut self, class: usize, target: f64) {
        self.targets[class] = target;
    }
}
