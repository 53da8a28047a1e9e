//! Dispatch thread: queues calls and issues permits for the pools that this VM dispatches.

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

/// Time between checks for cancelled requests and for servers that can be used again.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Commands of shard owners, on this VM or another, and of operators.
#[derive(Debug)]
pub(crate) enum Command {
    /// Requests a permit; the reply is sent when it is granted or refused.
    Acquire {
        key: Key,
        request: Box<Request>,
        reply: oneshot::Sender<Result<Grant, Failure>>,
    },
    /// Returns a permit; `outcome` is `None` if it was not used.
    Finish {
        key: Key,
        permit: Permit,
        outcome: Option<Outcome>,
    },
    /// Requests the state of all queues, for operators.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Queue of one pool.
#[derive(Default)]
struct Queue {
    pool: Pool,
    servers: Vec<Engine>,
    rates: Rates,
    /// Reply channels of the waiting requests.
    replies: BTreeMap<Permit, oneshot::Sender<Result<Grant, Failure>>>,
}

impl Queue {
    /// Executes the actions that the pool decided on.
    fn execute(&mut self, now: Instant, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                // The engine client does not support exporting caches.
                Action::Export(..) => {}
                Action::Refuse(permit, failure) => {
                    if let Some(reply) = self.replies.remove(&permit) {
                        let _ = reply.send(Err(failure));
                    }
                }
                Action::Grant(permit, server) => {
                    let engine = self.servers.iter().find(|engine| engine.name == server);
                    let sent =
                        engine
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

    fn set_servers(&mut self, key: &Key, snapshot: &Snapshot, view: &View) {
        let servers = match key {
            Key::Model(model) => snapshot.pools.get(model).map(|pool| &pool.engines),
            Key::Service(service) => snapshot
                .services
                .get(service)
                .map(|service| &service.servers),
        };
        self.servers = servers.cloned().unwrap_or_default();
        // A draining server gets no new calls; its running calls may finish.
        let names = self.servers.iter().map(|engine| engine.name.clone());
        let names: Vec<_> = names.filter(|name| !view.draining.contains(name)).collect();
        self.pool.set_servers(&names);
        self.rates = self.pool.rates();
    }

    /// Drops requests whose receiver was closed, and issues the permits that are possible now.
    fn tick(&mut self, now: Instant) {
        self.rates = self.pool.rates();
        let closed = self.replies.iter().filter(|(_, reply)| reply.is_closed());
        let closed: Vec<Permit> = closed.map(|(permit, _)| *permit).collect();
        for permit in closed {
            self.replies.remove(&permit);
            let actions = self.pool.finish(now, permit, None);
            self.execute(now, actions);
        }
        let actions = self.pool.grant(now);
        self.execute(now, actions);
    }
}

/// Dependencies of the dispatch thread.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) commands: flume::Receiver<Command>,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) view: watch::Receiver<Arc<View>>,
    /// Receives the servers that report draining, to be announced to all members.
    pub(crate) draining: flume::Sender<Server>,
    pub(crate) stop: CancellationToken,
}

/// Processes commands until the token is cancelled.
pub(crate) async fn run(context: Context) {
    let mut dispatcher = Dispatcher::default();
    spawn_local(report::poll(
        dispatcher.polled_servers.clone(),
        context.draining.clone(),
    ));
    let Context {
        commands,
        mut config,
        mut view,
        stop,
        ..
    } = context;
    let mut tick = interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv_async() => match command {
                Ok(command) => dispatcher.handle(command),
                Err(_) => return,
            },
            _ = tick.tick() => dispatcher.tick(),
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
                dispatcher.config = config.borrow_and_update().clone();
                dispatcher.update_servers();
            }
            changed = view.changed() => {
                if changed.is_err() {
                    return;
                }
                dispatcher.view = view.borrow_and_update().clone();
                dispatcher.update_servers();
            }
            () = stop.cancelled() => return,
        }
    }
}

/// Queues of all pools that this VM dispatches.
#[derive(Default)]
struct Dispatcher {
    queues: BTreeMap<Key, Queue>,
    last_permit: u64,
    config: Arc<Snapshot>,
    view: Arc<View>,
    polled_servers: report::Servers,
}

impl Dispatcher {
    fn tick(&mut self) {
        let now = Instant::now();
        for queue in self.queues.values_mut() {
            queue.tick(now);
        }
    }

    /// Updates the servers of all queues from the configuration and the view.
    fn update_servers(&mut self) {
        for (key, queue) in &mut self.queues {
            queue.set_servers(key, &self.config, &self.view);
        }
        let servers = self.queues.values().flat_map(|queue| &queue.servers);
        *self.polled_servers.borrow_mut() = servers
            .map(|engine| (engine.name.clone(), engine.address))
            .collect();
    }

    fn handle(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Acquire {
                key,
                request,
                reply,
            } => {
                if !self.queues.contains_key(&key) {
                    self.queues.insert(key.clone(), Queue::default());
                    self.update_servers();
                }
                self.last_permit += 1;
                let permit = Permit(self.last_permit);
                let queue = self.queues.entry(key).or_default();
                queue.replies.insert(permit, reply);
                let actions = queue.pool.request(now, permit, *request);
                queue.execute(now, actions);
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
                queue.execute(now, actions);
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

/// Failure for a dispatch thread that cannot be reached.
pub(crate) fn unavailable() -> Failure {
    Failure::refused(Code::RingFull, "the dispatcher does not respond")
        .retry_after(Duration::from_millis(500))
}
