//! The dispatch thread: drives the pools whose queue this VM holds.

use super::{Grant, Key};
use crate::code::{Code, Failure};
use crate::config::{Engine, Snapshot};
use crate::id::Permit;
use crate::policy::{Action, Ask, Outcome, Pool};
use crate::telemetry::event;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
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
        ask: Box<Ask>,
        reply: oneshot::Sender<Result<Grant, Failure>>,
    },
    /// A call is over, or its permit is given back unused.
    Done {
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
    replies: BTreeMap<Permit, oneshot::Sender<Result<Grant, Failure>>>,
}

impl Queue {
    fn carry_out(&mut self, now: Instant, actions: Vec<Action>) {
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
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
                                    }))
                                    .is_ok()
                            });
                    if !sent {
                        actions.extend(self.pool.done(now, permit, None));
                    }
                }
            }
        }
    }

    /// Drops the calls whose owner has gone, and grants what can be granted.
    fn tick(&mut self, now: Instant) {
        let closed = self.replies.iter().filter(|(_, reply)| reply.is_closed());
        let closed: Vec<Permit> = closed.map(|(permit, _)| *permit).collect();
        for permit in closed {
            self.replies.remove(&permit);
            let actions = self.pool.done(now, permit, None);
            self.carry_out(now, actions);
        }
        let actions = self.pool.grant(now);
        self.carry_out(now, actions);
    }
}

/// Serves permits until `stop`.
pub(crate) async fn run(
    commands: flume::Receiver<Command>,
    mut config: watch::Receiver<Arc<Snapshot>>,
    stop: CancellationToken,
) {
    let mut queues: BTreeMap<Key, Queue> = BTreeMap::new();
    let mut last = 0;
    let mut tick = interval(TICK);
    loop {
        tokio::select! {
            command = commands.recv_async() => match command {
                Ok(command) => take(&mut queues, &mut last, command, &config),
                Err(_) => return,
            },
            _ = tick.tick() => {
                let now = Instant::now();
                for queue in queues.values_mut() {
                    queue.tick(now);
                }
            }
            changed = config.changed() => {
                if changed.is_err() {
                    return;
                }
                let snapshot = config.borrow_and_update().clone();
                for (key, queue) in &mut queues {
                    configure(queue, key, &snapshot);
                }
            }
            () = stop.cancelled() => return,
        }
    }
}

fn take(
    queues: &mut BTreeMap<Key, Queue>,
    last: &mut u64,
    command: Command,
    config: &watch::Receiver<Arc<Snapshot>>,
) {
    let now = Instant::now();
    match command {
        Command::Acquire { key, ask, reply } => {
            let fresh = !queues.contains_key(&key);
            let queue = queues.entry(key.clone()).or_default();
            if fresh {
                configure(queue, &key, &config.borrow());
            }
            *last += 1;
            let permit = Permit(*last);
            queue.replies.insert(permit, reply);
            let actions = queue.pool.ask(now, permit, *ask);
            queue.carry_out(now, actions);
        }
        Command::Done {
            key,
            permit,
            outcome,
        } => {
            if let Some(queue) = queues.get_mut(&key) {
                if outcome.as_ref().is_some_and(|outcome| outcome.failed) {
                    event!(warn, "call_failed", pool = key, permit = permit);
                }
                let actions = queue.pool.done(now, permit, outcome.as_ref());
                queue.carry_out(now, actions);
            }
        }
        Command::Dump(reply) => {
            let dump = queues.iter().map(|(key, queue)| {
                let (waiting, running) = queue.pool.load();
                (
                    key.to_string(),
                    json!({ "waiting": waiting, "running": running }),
                )
            });
            let _ = reply.send(dump.collect());
        }
    }
}

fn configure(queue: &mut Queue, key: &Key, snapshot: &Snapshot) {
    queue.servers = match key {
        Key::Model(model) => snapshot.pools.get(model).map(|pool| pool.engines.clone()),
        Key::Service(service) => snapshot
            .services
            .get(service)
            .map(|found| found.servers.clone()),
    }
    .unwrap_or_default();
    let names: Vec<_> = queue
        .servers
        .iter()
        .map(|engine| engine.name.clone())
        .collect();
    queue.pool.configure(&names);
}

/// The failure when the dispatch thread does not answer.
pub(crate) fn unreachable() -> Failure {
    Failure::refused(Code::RingFull, "the dispatcher does not answer")
        .retry_after(Duration::from_millis(500))
}
