//! Drives the real policy: what an owner and a dispatcher do around it, without their transport.

use crate::assume::Scenario;
use crate::scheduler::{Opening, Order, Report, Request, Scheduler};
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::id::{Class, Permit, Program, Server, Shard, Tokens};
use vanillatrail::policy::admit::Gate;
use vanillatrail::policy::estimate::{Estimator, Rest, Track};
use vanillatrail::policy::{Action, Ask, Outcome, Pool};

/// The quantile of what remains that slack counts with.
const QUANTILE: f64 = 0.6;
/// Share of the target that an unknown program is taken to need.
const UNKNOWN: f64 = 0.3;

/// Share of the remaining time past which a program is taken as late.
const LATE: f64 = 0.7;

struct Live {
    class: usize,
    parent: Option<usize>,
    opened: Instant,
    track: Track,
    paused: Option<Instant>,
    engines: Vec<usize>,
}

/// The scheduler of this project.
pub struct Ours {
    pool: Pool,
    gate: Gate,
    estimator: Estimator,
    servers: Vec<Server>,
    classes: Vec<Class>,
    targets: Vec<f64>,
    waiting: Vec<bool>,
    turn_limits: Vec<usize>,
    live: HashMap<usize, Live>,
    pauses: Vec<f64>,
}

fn id(program: usize) -> Program {
    Program::new(Shard(0), program as u128)
}

fn pool(servers: &[Server]) -> Pool {
    let mut pool = Pool::default().with_exports();
    pool.configure(servers);
    pool
}

impl Ours {
    pub fn new(scenario: &Scenario) -> Self {
        let name = |index| format!("engine-{index}").parse().expect("a plain name");
        let servers: Vec<Server> = (0..scenario.engines).map(name).collect();
        let classes = scenario.classes;
        Self {
            pool: pool(&servers),
            gate: Gate::default(),
            estimator: Estimator::default(),
            servers,
            classes: classes
                .iter()
                .map(|class| class.name.parse().expect("a plain name"))
                .collect(),
            targets: classes.iter().map(|class| class.target).collect(),
            waiting: classes.iter().map(|class| class.waiting).collect(),
            turn_limits: classes.iter().map(|class| class.turn_limit).collect(),
            live: HashMap::new(),
            pauses: vec![1.0; classes.len()],
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
            .filter(|number| self.live.contains_key(number))
    }

    /// What remains of a class after so many answers.
    fn rest(&self, class: usize, answers: usize) -> Rest {
        let known = self.estimator.rest(&self.classes[class], answers, QUANTILE);
        known.unwrap_or_else(|| Rest {
            time: Duration::from_secs_f64((self.targets[class] * UNKNOWN).min(30.0)),
            work_ms: 0.0,
        })
    }

    /// What remains of a program and of those that wait for it.
    fn whole(&self, program: usize) -> Rest {
        let live = &self.live[&program];
        let mut rest = self.rest(live.class, live.track.answers());
        if let Some(parent) = live.parent {
            let parent = self.whole(parent);
            rest.time += parent.time;
            rest.work_ms += parent.work_ms;
        }
        rest
    }

    fn root(&self, program: usize) -> usize {
        self.live[&program]
            .parent
            .map_or(program, |parent| self.root(parent))
    }

    fn deadline(&self, root: usize) -> Instant {
        let live = &self.live[&root];
        live.opened + Duration::from_secs_f64(self.targets[live.class])
    }

    fn promise(&mut self, program: usize) {
        let root = self.root(program);
        let live = &self.live[&root];
        let (class, answers) = (live.class, live.track.answers());
        let rest = self.rest(class, answers);
        let (deadline, now) = (self.deadline(root), Instant::now());
        self.gate.promise(now, id(root), deadline, rest.work_ms);
    }
}

#[expect(clippy::cast_possible_truncation, reason = "milliseconds of a run")]
fn millis(seconds: f64) -> i64 {
    (seconds * 1000.0) as i64
}

impl Scheduler for Ours {
    fn open(&mut self, opening: &Opening) -> bool {
        let now = Instant::now();
        let live = Live {
            class: opening.class,
            parent: opening.parent,
            opened: now,
            track: Track::default(),
            paused: None,
            engines: Vec::new(),
        };
        if opening.parent.is_none() && self.waiting[opening.class] {
            let work = self.rest(opening.class, 0).work_ms;
            let deadline = now + Duration::from_secs_f64(self.targets[opening.class]);
            let capacity = self.pool.capacity();
            if self.gate.admit(now, deadline, work, capacity).is_err() {
                return false;
            }
        }
        self.live.insert(opening.program, live);
        self.promise(opening.program);
        true
    }

    fn ask(&mut self, request: &Request) -> Vec<Order> {
        let rest = self.whole(request.program);
        let deadline = self.deadline(request.root);
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_secs_f64()
            - Instant::now()
                .saturating_duration_since(deadline)
                .as_secs_f64();
        let slack = left - rest.time.as_secs_f64();
        self.promise(request.program);
        if slack < -LATE * rest.time.as_secs_f64() && self.waiting[self.live[&request.root].class] {
            self.gate.late(id(request.root));
        }
        let name = |engine: &usize| self.servers[*engine].clone();
        let ask = Ask {
            program: id(request.program),
            class: Some(self.classes[request.class].clone()),
            slack_ms: millis(slack),
            remaining_ms: u64::try_from(rest.time.as_millis()).unwrap_or(u64::MAX),
            prompt: Tokens(request.prompt),
            max_tokens: Tokens(request.max_tokens),
            resident: self.live[&request.program]
                .engines
                .iter()
                .map(name)
                .collect(),
            avoid: request.avoid.iter().map(name).collect(),
            zone: None,
        };
        let actions = self.pool.ask(Instant::now(), Permit(request.id), ask);
        self.orders(actions)
    }

    fn done(&mut self, report: &Report) -> Vec<Order> {
        let fresh = (report.prompt - report.cached) as f64;
        let window = self.pool.window();
        let work = self
            .pool
            .pace()
            .work_ms(window, fresh, report.generated as f64);
        if !report.failed
            && let Some(live) = self.live.get_mut(&report.program)
        {
            live.engines.retain(|engine| *engine != report.engine);
            live.engines.insert(0, report.engine);
            let took = Duration::from_secs_f64(report.first + report.rest);
            live.track.answer(took, work);
            let root = self.root(report.program);
            if root != report.program
                && let Some(live) = self.live.get_mut(&root)
            {
                live.track.add_work(work);
            }
        }
        let outcome = Outcome {
            failed: report.failed,
            first_ms: report.first * 1000.0,
            rest_ms: report.rest * 1000.0,
            prompt: Tokens(report.prompt),
            cached: Tokens(report.cached),
            completion: Tokens(report.generated),
        };
        let permit = Permit(report.id);
        let actions = self.pool.done(Instant::now(), permit, Some(&outcome));
        self.orders(actions)
    }

    fn pause(&mut self, program: usize) -> Vec<Order> {
        let now = Instant::now();
        let Some(live) = self.live.get_mut(&program) else {
            return Vec::new();
        };
        live.paused = Some(now);
        let pause = Duration::from_secs_f64(self.pauses[live.class]);
        let actions = self.pool.pause(now, id(program), pause);
        self.orders(actions)
    }

    fn resume(&mut self, program: usize) {
        let Some(live) = self.live.get_mut(&program) else {
            return;
        };
        if let Some(since) = live.paused.take() {
            let took = since.elapsed();
            live.track.outside(took);
            let pause = &mut self.pauses[live.class];
            *pause += 0.05 * (took.as_secs_f64() - *pause);
        }
    }

    fn end(&mut self, program: usize) -> Vec<Order> {
        self.pool.ended(id(program));
        let deadline = self.deadline(program);
        let Some(live) = self.live.remove(&program) else {
            return Vec::new();
        };
        if live.track.answers() < self.turn_limits[live.class] {
            self.estimator.ended(&self.classes[live.class], &live.track);
        }
        if live.parent.is_none() {
            if self.waiting[live.class] {
                self.gate.ended(id(program), Instant::now() <= deadline);
            } else {
                self.gate.drop(id(program));
            }
        }
        let evict = |engine| Order::Evict { engine, program };
        live.engines.into_iter().map(evict).collect()
    }

    fn dropped(&mut self, engine: usize, program: usize) {
        self.pool.dropped(&self.servers[engine], id(program));
    }

    fn lose(&mut self) {
        self.pool = pool(&self.servers);
        self.gate = Gate::default();
        self.estimator = Estimator::default();
        for live in self.live.values_mut() {
            live.engines.truncate(4);
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
