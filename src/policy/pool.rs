//! The queue before the servers of one pool, and the window of each server.

use super::ask::{Action, Ask, Outcome};
use super::latency::{Model, Rates};
use super::queue::{Band, Queue};
use super::server::Server;
use super::slack::Waiting;
use crate::code::{Code, Failure};
use crate::id::{Permit, Program, Server as Name};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tokio::time::Instant;

/// Calls that may wait for one pool.
const QUEUE: usize = 100_000;
/// Calls that are looked at for each chance to grant.
const SCAN: usize = 32;
/// Servers that are weighed for a call beside those that may hold its cache.
const CHOICES: usize = 4;
/// Cost of a server that has failed the call already; it is better than none.
const AVOID_MS: f64 = 1e7;
/// Programs whose place is remembered.
const PLACES: usize = 200_000;

/// The servers of one pool and the calls that wait for them.
///
/// ```
/// use tokio::time::Instant;
/// use vanillatrail::id::{Permit, Program, Shard, Tokens};
/// use vanillatrail::policy::{Action, Ask, Pool};
/// let mut pool = Pool::default();
/// let server = "engine-1".parse().unwrap();
/// pool.configure(&[server]);
/// let ask = Ask {
///     program: Program::new(Shard(0), 1),
///     class: None,
///     slack_ms: 1000,
///     remaining_ms: 500,
///     prompt: Tokens(100),
///     max_tokens: Tokens(50),
///     resident: Vec::new(),
///     avoid: Vec::new(),
///     zone: None,
/// };
/// let actions = pool.ask(Instant::now(), Permit(1), ask);
/// assert!(matches!(actions[..], [Action::Grant(Permit(1), _)]));
/// ```
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    index: HashMap<Name, usize>,
    /// Servers that have room, by the time that a token would take.
    open: BTreeSet<(u64, usize)>,
    keys: Vec<Option<u64>>,
    resting: BTreeSet<(Instant, usize)>,
    running: HashMap<Permit, usize>,
    places: HashMap<Program, Vec<usize>>,
    queue: Queue<Waiting>,
    pace: Model,
    epoch: Option<Instant>,
    exports: bool,
}

impl Pool {
    /// Lets the pool move cache between its servers, which must all export and import it.
    #[must_use]
    pub fn with_exports(mut self) -> Self {
        self.exports = true;
        self
    }

    /// Sets the servers; calls that run on one that is gone are left to end.
    pub fn configure(&mut self, names: &[Name]) {
        for name in names {
            if !self.index.contains_key(name) {
                self.index.insert(name.clone(), self.servers.len());
                self.servers.push(Server::new(name.clone()));
                self.keys.push(None);
            }
        }
        let staying: BTreeSet<&Name> = names.iter().collect();
        for index in 0..self.servers.len() {
            self.servers[index].leaving = !staying.contains(&self.servers[index].name);
            self.refresh(index);
        }
    }

    /// Notes that a server is leaving: it gets nothing new.
    pub fn leave(&mut self, server: &Name) {
        if let Some(&index) = self.index.get(server) {
            self.servers[index].leaving = true;
            self.refresh(index);
        }
    }

    /// Takes in a call.
    pub fn ask(&mut self, now: Instant, permit: Permit, ask: Ask) -> Vec<Action> {
        if self.queue.len() >= QUEUE {
            let failure = Failure::refused(Code::Overloaded, "too many calls wait")
                .retry_after(Duration::from_secs(1));
            return vec![Action::Refuse(permit, failure)];
        }
        if self.servers.iter().all(|server| server.leaving) {
            let failure = Failure::refused(Code::NoServer, "the pool has no server")
                .retry_after(Duration::from_secs(1));
            return vec![Action::Refuse(permit, failure)];
        }
        let asked = self.clock(now);
        // A call that waits long holds cache as idle as that of a paused program.
        let until = asked.saturating_add(ask.slack_ms.max(0));
        for &place in self.places.get(&ask.program).into_iter().flatten() {
            self.servers[place].cache.pause(ask.program, until);
        }
        let waiting = Waiting {
            start_by: asked.saturating_add(ask.slack_ms),
            asked,
            ask,
        };
        self.queue.push(asked, permit, waiting);
        self.grant(now)
    }

    /// Takes a call out, whether it waits or runs.
    pub fn done(&mut self, now: Instant, permit: Permit, outcome: Option<&Outcome>) -> Vec<Action> {
        let max = self
            .queue
            .remove(permit)
            .map(|waiting| waiting.ask.max_tokens);
        let Some(index) = self.running.remove(&permit) else {
            return max.map_or_else(Vec::new, |_| self.grant(now));
        };
        let server = &mut self.servers[index];
        if let Some(program) = server.end(now, permit, outcome, &mut self.pace) {
            self.place_again(program, index, outcome);
        }
        if let Some(until) = self.servers[index].rests_until {
            self.resting.insert((until, index));
        }
        self.refresh(index);
        self.grant(now)
    }

    /// The newest call of a program ran here: what other servers hold is behind.
    fn place_again(&mut self, program: Program, index: usize, outcome: Option<&Outcome>) {
        if outcome.is_none_or(|end| end.failed) {
            return;
        }
        if self.places.len() >= PLACES {
            self.places.clear();
        }
        let places = self.places.entry(program).or_default();
        if !places.contains(&index) {
            places.push(index);
        }
    }

    /// A program has ended: nothing is held for it any more.
    pub fn ended(&mut self, program: Program) {
        for place in self.places.remove(&program).unwrap_or_default() {
            self.servers[place].cache.forget(program);
        }
    }

    /// A cache event: the server has dropped what it held for a program.
    pub fn dropped(&mut self, server: &Name, program: Program) {
        if let Some(&index) = self.index.get(server) {
            self.servers[index].cache.dropped(program);
        }
    }

    /// A program pauses for about `pause`: its cache, or that of one that pauses longer, may
    /// have to move out.
    pub fn pause(&mut self, now: Instant, program: Program, pause: Duration) -> Vec<Action> {
        let until = i64::try_from(pause.as_millis()).unwrap_or(i64::MAX);
        let until = self.clock(now).saturating_add(until);
        let places = self.places.get(&program).cloned().unwrap_or_default();
        let mut actions = Vec::new();
        for place in places {
            self.servers[place].cache.pause(program, until);
            self.export(place, &mut actions);
        }
        actions
    }

    /// Moves idle cache out of a server before the server drops what it used longest ago.
    fn export(&mut self, index: usize, actions: &mut Vec<Action>) {
        if !self.exports {
            return;
        }
        let server = &mut self.servers[index];
        let out = server.cache.excess().into_iter();
        actions.extend(out.map(|program| Action::Export(server.name.clone(), program)));
    }

    /// Grants what can be granted now.
    pub fn grant(&mut self, now: Instant) -> Vec<Action> {
        self.wake(now);
        let mut actions = Vec::new();
        if self.queue.is_empty() || self.open.is_empty() {
            return actions;
        }
        let clock = self.clock(now);
        for permit in self.queue.first(clock, SCAN) {
            if self.open.is_empty() {
                break;
            }
            let Some((waiting, band)) = self.queue.get(permit) else {
                continue;
            };
            let Some(index) = self.place(&waiting.ask, band == Band::Fills) else {
                continue;
            };
            if let Some(waiting) = self.queue.remove(permit) {
                self.fetch(waiting.ask.program, index, &mut actions);
                self.start(permit, index, &waiting.ask);
                self.export(index, &mut actions);
                actions.push(Action::Grant(permit, self.servers[index].name.clone()));
            }
        }
        actions
    }

    /// Moves a program's cache out of the servers that it leaves.
    fn fetch(&mut self, program: Program, to: usize, actions: &mut Vec<Action>) {
        if !self.exports {
            return;
        }
        for place in self.places.get(&program).into_iter().flatten() {
            let server = &mut self.servers[*place];
            if *place != to && server.cache.tokens(program) > 0 {
                server.cache.forget(program);
                actions.push(Action::Export(server.name.clone(), program));
            }
        }
    }

    fn start(&mut self, permit: Permit, index: usize, ask: &Ask) {
        let tokens = ask.prompt.0 + ask.max_tokens.0;
        self.servers[index].start(permit, ask.program, tokens);
        self.running.insert(permit, index);
        self.queue.granted();
        self.refresh(index);
    }

    /// The server to give a call to now; none when it should rather wait.
    fn place(&self, ask: &Ask, fills: bool) -> Option<usize> {
        let homes = self.homes(ask);
        let choices = self.open.iter().map(|(_, index)| *index).take(CHOICES);
        let open = homes.iter().copied().chain(choices).filter(|index| {
            let server = &self.servers[*index];
            self.keys[*index].is_some() && server.has_room(&self.pace, fills)
        });
        let (cost, best) = open
            .map(|index| (self.cost(index, ask), index))
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        let waits = homes.iter().any(|home| {
            let server = &self.servers[*home];
            let away = server.leaving || server.rests_until.is_some();
            !away && !ask.avoid.contains(&server.name) && self.wait_ms(*home, ask) < cost
        });
        (homes.contains(&best) || !waits).then_some(best)
    }

    /// Servers that may hold the program's cache.
    fn homes(&self, ask: &Ask) -> Vec<usize> {
        let mut homes = self.places.get(&ask.program).cloned().unwrap_or_default();
        if homes.is_empty() {
            homes.extend(ask.resident.iter().filter_map(|name| self.index.get(name)));
        }
        homes
    }

    fn cost(&self, index: usize, ask: &Ask) -> f64 {
        let server = &self.servers[index];
        let mut cost = server.call_ms(&self.pace, ask.program, ask.prompt.0, ask.max_tokens.0);
        let more =
            (ask.prompt.0 + ask.max_tokens.0).saturating_sub(server.cache.tokens(ask.program));
        if !server.cache.fits(more) {
            cost += more as f64 * self.pace.prefill_ms();
        }
        if ask.avoid.contains(&server.name) {
            cost += AVOID_MS;
        }
        cost
    }

    /// Expected time until a full server has run this call.
    fn wait_ms(&self, index: usize, ask: &Ask) -> f64 {
        let cost = self.cost(index, ask);
        cost + cost / (self.servers[index].running() as f64).max(1.0)
    }

    /// Calls that wait, and calls that run by server.
    #[must_use]
    pub fn load(&self) -> (usize, BTreeMap<Name, usize>) {
        let running = self
            .servers
            .iter()
            .filter(|server| !server.leaving || server.running() > 0)
            .map(|server| (server.name.clone(), server.running()));
        (self.queue.len(), running.collect())
    }

    /// Calls that a server is given at a time, on average.
    #[must_use]
    pub fn window(&self) -> f64 {
        let count = (self.servers.len() as f64).max(1.0);
        let sizes = self.servers.iter().map(|server| server.size(&self.pace));
        (sizes.sum::<f64>() / count).max(1.0)
    }

    /// What the pool gives, for those that decide whether a program may start.
    #[must_use]
    pub fn rates(&self) -> Rates {
        let window = self.window();
        let usable = self
            .servers
            .iter()
            .filter(|server| !server.leaving && server.rests_until.is_none());
        Rates {
            prefill_ms: self.pace.prefill_ms(),
            token_ms: self.pace.token_ms(window) / window,
            capacity: usable.map(|server| 1.0 / server.ratio.get().max(1.0)).sum(),
        }
    }

    fn wake(&mut self, now: Instant) {
        while let Some(&(until, index)) = self.resting.first() {
            if until > now {
                return;
            }
            self.resting.remove(&(until, index));
            if self.servers[index].rests_until == Some(until) {
                self.servers[index].rests_until = None;
                self.refresh(index);
            }
        }
    }

    /// Sets anew whether a server is among those with room.
    fn refresh(&mut self, index: usize) {
        let server = &self.servers[index];
        let usable = !server.leaving && server.rests_until.is_none();
        let running = server.running() as f64 + 1.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "microseconds"
        )]
        let key = (usable && server.has_room(&self.pace, false))
            .then(|| (self.pace.token_ms(running) * server.ratio.get() * 1000.0) as u64);
        if let Some(old) = self.keys[index] {
            self.open.remove(&(old, index));
        }
        if let Some(key) = key {
            self.open.insert((key, index));
        }
        self.keys[index] = key;
    }

    /// Milliseconds since the pool was first used.
    fn clock(&mut self, now: Instant) -> i64 {
        let epoch = *self.epoch.get_or_insert(now);
        let since = now.saturating_duration_since(epoch).as_millis();
        i64::try_from(since).unwrap_or(i64::MAX)
    }
}
