//! The dispatch thread: drives the pools whose queue this VM holds.

use super::{Grant, Key, report};
use crate::code::{Code, Failure};
use crate::config::{Engine, Snapshot};
use crate::id::{Permit, Server};
use crate::member::View;
use crate::policy::latency::Rates;
use crate::policy::{Action, Outcome, Pool, Request};
use crate::telemetry::event;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, interval};
use tokio_util::sync::CancellationToken;

/// Time between looks at callers that have gone and servers that have rested.
const TICK: Duration = Duration::from_millis(50);

/// What the owner, here or on another VM, asks of the dispatcher.
#[derive(Debug)]
pub(crate) enum Command {
    /// A call waits for a server.
    Acquire {
        key: Key,
        request: Box<Request>,
        reply: oneshot::Sender<Result<Grant, Failure>>,
    },
    /// A call is over, or its permit is given back unused.
    Finish {
        key: Key,
        permit: Permit,
        outcome: Option<Outcome>,
    },
    /// The state, for an operator.
    Dump(oneshot::Sender<serde_json::Value>),
}

#[derive(Default)]
struct Queue {
    pool: Pool,
    servers: Vec<Engine>,
    rates: Rates,
    replies: BTreeMap<Permit, oneshot::Sender<Result<Grant, Failure>>>,
}

impl Queue {
    fn carry_out(&mut self, now: Instant, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                // Not asked for: the engines' adapter cannot export yet.
                Action::Export(..) => {}
                Action::Refuse(permit, failure) => {
                    if let Some(reply) = self.replies.remove(&permit) {
                        let _ = reply.send(Err(failure));
                    }
                }
                Action::Grant(permit, server) => {
                    let found = self.servers.iter().find(|engine| engine.name == server);
                    let sent =
                        found
                            .zip(self.replies.remove(&permit))
                            .is_some_and(|(engine, reply)| {
                                let address = engine.address;
                                reply
                                    .send(Ok(Grant {
                                        permit,
                                        server,
                                        address,
                                        rates: self.rates,
                                    }))
                                    .is_ok()
                            });
                    if !sent {
                        actions.extend(self.pool.finish(now, permit, None));
                    }
                }
            }
        }
    }

    fn configure(&mut self, key: &Key, snapshot: &Snapshot, view: &View) {
        let servers = match key {
            Key::Model(model) => snapshot.pools.get(model).map(|pool| &pool.engines),
            Key::Service(service) => snapshot.services.get(service).map(|found| &found.servers),
        };
        self.servers = servers.cloned().unwrap_or_default();
        // A server that is leaving gets nothing new; the calls that run on it are left to end.
        let names = self.servers.iter().map(|engine| engine.name.clone());
        let names: Vec<_> = names.filter(|name| !view.leaving.contains(name)).collect();
        self.pool.set_servers(&names);
        self.rates = self.pool.rates();
    }

    /// Drops the calls whose owner has gone, and grants what can be granted.
    fn tick(&mut self, now: Instant) {
        self.rates = self.pool.rates();
        let closed = self.replies.iter().filter(|(_, reply)| reply.is_closed());
        let closed: Vec<Permit> = closed.map(|(permit, _)| *permit).collect();
        for permit in closed {
            self.replies.remove(&permit);
            let actions = self.pool.finish(now, permit, None);
            self.carry_out(now, actions);
        }
        let actions = self.pool.grant(now);
        self.carry_out(now, actions);
    }
}

/// What the dispatch thread works with.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) commands: flume::Receiver<Command>,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Takes the servers that say they are leaving, so that every VM learns of them.
    pub(crate) draining: flume::Sender<Server>,
    pub(crate) stop: CancellationToken,
}

/// Serves permits until the token is cancelled.
pub(crate) async fn run(context: Context) {
    let mut desk = Desk::default();
    spawn_local(report::follow(
        desk.reported.clone(),
        context.draining.clone(),
    ));
    let Context {
        commands,
        mut config,
        mut view,
        stop,
        ..
    } = context;
    let mut tick = interval(TICK);
    loop {
        tokio::select! {
            command = commands.recv_async() => match command {
                Ok(command) => desk.take(command),
                Err(_) => return,
            },
            _ = tick.tick() => desk.tick(),
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
                desk.config = config.borrow_and_update().clone();
                desk.configure();
            }
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
                desk.view = view.borrow_and_update().clone();
                desk.configure();
            }
            () = stop.cancelled() => return,
        }
    }
}

/// The queues of this VM, and what they are configured by.
#[derive(Default)]
struct Desk {
    queues: BTreeMap<Key, Queue>,
    last: u64,
    config: Arc<Snapshot>,
    view: Arc<View>,
    reported: report::Servers,
}

impl Desk {
    fn tick(&mut self) {
        let now = Instant::now();
        for queue in self.queues.values_mut() {
            queue.tick(now);
        }
    }

    fn configure(&mut self) {
        for (key, queue) in &mut self.queues {
            queue.configure(key, &self.config, &self.view);
        }
        let servers = self.queues.values().flat_map(|queue| &queue.servers);
        *self.reported.borrow_mut() = servers
            .map(|engine| (engine.name.clone(), engine.address))
            .collect();
    }

    fn take(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Acquire {
                key,
                request,
                reply,
            } => {
                if !self.queues.contains_key(&key) {
                    self.queues.insert(key.clone(), Queue::default());
                    self.configure();
                }
                self.last += 1;
                let permit = Permit(self.last);
                let queue = self.queues.entry(key).or_default();
                queue.replies.insert(permit, reply);
                let actions = queue.pool.request(now, permit, *request);
                queue.carry_out(now, actions);
            }
            Command::Finish {
                key,
                permit,
                outcome,
            } => {
                let Some(queue) = self.queues.get_mut(&key) else {
                    return;
                };
                if outcome.as_ref().is_some_and(|outcome| outcome.failed) {
                    event!(warn, "call_failed", pool = key, permit = permit);
                }
                let actions = queue.pool.finish(now, permit, outcome.as_ref());
                queue.carry_out(now, actions);
            }
            Command::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    fn dump(&self) -> serde_json::Value {
        let dump = self.queues.iter().map(|(key, queue)| {
            let (waiting, running) = queue.pool.load();
            (
                key.to_string(),
                json!({ "waiting": waiting, "running": running, "window": queue.pool.mean_window() }),
            )
        });
        dump.collect()
    }
}

/// The failure when the dispatch thread does not answer.
pub(crate) fn unavailable() -> Failure {
    Failure::refused(Code::RingFull, "the dispatcher does not answer")
        .retry_after(Duration::from_millis(500))
}
