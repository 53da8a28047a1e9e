//! The queue before the servers of one pool, and the window of each server.

use crate::code::{Code, Failure};
use crate::id::{self, Permit, Server, Tokens, Zone};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Calls that one server is given at a time, before anything has been measured.
const WINDOW: usize = 8;
/// Calls that may wait for one pool.
const QUEUE: usize = 4096;
/// How long a refused server is left alone.
const REST: Duration = Duration::from_secs(1);

/// A call that asks for a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The program.
    pub program: id::Program,
    /// Its class.
    pub class: Option<id::Class>,
    /// Time left of the class target, less the estimate of what the program still has to do, in
    /// milliseconds; below zero when it is late.
    pub slack_ms: i64,
    /// Tokens of the whole prompt, estimated.
    pub prompt: Tokens,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// Servers that may hold cache for the program.
    pub resident: Vec<Server>,
    /// Servers not to be given: they have failed this call.
    pub avoid: Vec<Server>,
    /// The availability zone of the VM that asks.
    pub zone: Option<Zone>,
}

/// How a granted call ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Outcome {
    /// Whether the server refused or broke the call.
    pub failed: bool,
    /// Milliseconds from sending to the first token.
    pub first_ms: f64,
    /// Milliseconds from the first token to the last.
    pub rest_ms: f64,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of the prompt that were cached.
    pub cached: Tokens,
    /// Tokens generated.
    pub completion: Tokens,
}

/// What the pool decides.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// The call goes to this server now.
    Grant(Permit, Server),
    /// The call is given up.
    Refuse(Permit, Failure),
}

#[derive(Debug)]
struct Window {
    size: usize,
    running: BTreeMap<Permit, id::Program>,
    rests_until: Option<Instant>,
    leaving: bool,
}

/// The servers of one pool and the calls that wait for them.
#[derive(Debug, Default)]
pub struct Pool {
    windows: BTreeMap<Server, Window>,
    queue: BTreeMap<Permit, Ask>,
}

impl Pool {
    /// Sets the servers; calls that run on one that is gone are left to end.
    pub fn configure(&mut self, servers: &[Server]) {
        self.windows
            .retain(|name, window| servers.contains(name) || !window.running.is_empty());
        for (name, window) in &mut self.windows {
            window.leaving = !servers.contains(name);
        }
        for name in servers {
            let fresh = || Window {
                size: WINDOW,
                running: BTreeMap::new(),
                rests_until: None,
                leaving: false,
            };
            self.windows.entry(name.clone()).or_insert_with(fresh);
        }
    }

    /// Notes that a server is leaving: it gets nothing new.
    pub fn leave(&mut self, server: &Server) {
        if let Some(window) = self.windows.get_mut(server) {
            window.leaving = true;
        }
    }

    /// Takes in a call.
    pub fn ask(&mut self, now: Instant, permit: Permit, ask: Ask) -> Vec<Action> {
        if self.queue.len() >= QUEUE {
            let failure = Failure::refused(Code::Overloaded, "too many calls wait")
                .retry_after(Duration::from_secs(1));
            return vec![Action::Refuse(permit, failure)];
        }
        if self.windows.values().all(|window| window.leaving) {
            let failure = Failure::refused(Code::NoServer, "the pool has no server")
                .retry_after(Duration::from_secs(1));
            return vec![Action::Refuse(permit, failure)];
        }
        self.queue.insert(permit, ask);
        self.grant(now)
    }

    /// Takes a call out, whether it waits or runs.
    pub fn done(&mut self, now: Instant, permit: Permit, outcome: Option<&Outcome>) -> Vec<Action> {
        self.queue.remove(&permit);
        for window in self.windows.values_mut() {
            if window.running.remove(&permit).is_some() && outcome.is_some_and(|end| end.failed) {
                window.rests_until = Some(now + REST);
            }
        }
        self.grant(now)
    }

    /// Grants what can be granted now.
    pub fn grant(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut order: Vec<Permit> = self.queue.keys().copied().collect();
        order.sort_by_key(|permit| (self.queue[permit].slack_ms, *permit));
        for permit in order {
            let Some(server) = self.place(now, &self.queue[&permit]) else {
                continue;
            };
            let Some(ask) = self.queue.remove(&permit) else {
                continue;
            };
            if let Some(window) = self.windows.get_mut(&server) {
                window.running.insert(permit, ask.program);
            }
            actions.push(Action::Grant(permit, server));
        }
        actions
    }

    /// Calls that wait, and calls that run by server.
    #[must_use]
    pub fn load(&self) -> (usize, BTreeMap<Server, usize>) {
        let running = self
            .windows
            .iter()
            .map(|(name, window)| (name.clone(), window.running.len()));
        (self.queue.len(), running.collect())
    }

    fn place(&self, now: Instant, ask: &Ask) -> Option<Server> {
        let open = self.windows.iter().filter(|(_, window)| {
            !window.leaving
                && window.running.len() < window.size
                && window.rests_until.is_none_or(|until| until <= now)
        });
        let cost = |(name, window): &(&Server, &Window)| {
            let avoided = ask.avoid.contains(name);
            let cold = !ask.resident.contains(name);
            (
                avoided,
                cold && window.running.len() + 1 < window.size,
                window.running.len(),
            )
        };
        open.min_by_key(cost).map(|(name, _)| name.clone())
    }
}
