//! The order thread: reads and orders the engines of the pools whose shard this VM owns.

use super::reconciler::{Reconciler, State, Step};
use crate::backend::Engines;
use crate::config::{Fencing, Pool, Snapshot};
use crate::id::{Epoch, Model, Server, shard_of};
use crate::member::Beat;
use crate::telemetry::event;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// A gap between two looks past which this process may have been paused and succeeded.
const PAUSED: Duration = Duration::from_secs(2);
/// Time between readings of a settled engine, where it checks fencing numbers.
const CHECKED: Duration = Duration::from_secs(10);
/// Time between readings of a settled engine, where it takes any order.
const IGNORED: Duration = Duration::from_secs(2);

/// What the order thread works with.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) shards: u64,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) local: watch::Receiver<Beat>,
    pub(crate) stop: CancellationToken,
}

struct Held {
    epoch: Epoch,
    control: Rc<RefCell<Reconciler>>,
}

/// Controls engines until the token is cancelled.
pub(crate) async fn run(context: Context) {
    let engines = Engines::new();
    let mut held: BTreeMap<Model, Held> = BTreeMap::new();
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = context.stop.cancelled() => return,
        }
        let now = Instant::now();
        if now - last > PAUSED {
            // Another VM may hold the pools by now and pace the loads of the store; start over as
            // a new holder would.
            held.clear();
        }
        last = now;
        context.refresh(&mut held, now);
        for (model, held) in &held {
            context.steps(&engines, model, held, now);
        }
    }
}

impl Context {
    /// Takes up the pools whose shard this VM owns now, and drops the others.
    fn refresh(&self, held: &mut BTreeMap<Model, Held>, now: Instant) {
        let config = self.config.borrow().clone();
        let owned: BTreeMap<_, _> = self.local.borrow().held.iter().copied().collect();
        let epoch_of = |model: &Model| {
            owned
                .get(&shard_of(&format!("pool/{model}"), self.shards))
                .copied()
        };
        held.retain(|model, held| {
            config.pools.contains_key(model) && epoch_of(model) == Some(held.epoch)
        });
        for (model, pool) in &config.pools {
            let Some(epoch) = epoch_of(model) else {
                continue;
            };
            let settled = match pool.fencing {
                Fencing::Checked => CHECKED,
                Fencing::Ignored => IGNORED,
            };
            let interval = config.load_interval();
            let held = held.entry(model.clone()).or_insert_with(|| {
                let control = Reconciler::new(now, settled, interval);
                Held {
                    epoch,
                    control: Rc::new(RefCell::new(control)),
                }
            });
            held.control
                .borrow_mut()
                .set_intervals(now, settled, interval);
            held.control.borrow_mut().set_desired(now, &goals(pool));
        }
    }

    fn steps(&self, engines: &Engines, model: &Model, held: &Held, now: Instant) {
        let due = held.control.borrow_mut().due_steps(now);
        for (server, step) in due {
            let Some(address) = self.address(model, &server) else {
                continue;
            };
            let (engines, control, epoch) = (engines.clone(), held.control.clone(), held.epoch);
            spawn_local(async move {
                match step {
                    Step::Read => match engines.state(address).await {
                        Ok(state) => {
                            control
                                .borrow_mut()
                                .record_state(Instant::now(), &server, state)
                        }
                        Err(fault) => {
                            event!(warn, "engine_unread", server = server, reason = fault);
                        }
                    },
                    Step::Order(goal) => {
                        let ordered = engines.order(address, epoch, &goal).await;
                        let reason = ordered.map_or_else(|fault| fault.0, |()| "ok".to_owned());
                        event!(
                            info,
                            "engine_ordered",
                            server = server,
                            epoch = epoch,
                            result = reason
                        );
                    }
                }
            });
        }
    }

    fn address(&self, model: &Model, server: &Server) -> Option<SocketAddr> {
        let config = self.config.borrow();
        let mut engines = config.pools.get(model)?.engines.iter();
        engines
            .find(|engine| engine.name == *server)
            .map(|engine| engine.address)
    }
}

/// The goals of the engines for which the pool says anything.
fn goals(pool: &Pool) -> BTreeMap<Server, State> {
    let goal = State {
        weights: pool.weights.clone(),
        adapters: pool.adapters.clone(),
        role: pool.role.clone(),
    };
    if goal == State::default() {
        return BTreeMap::new();
    }
    pool.engines
        .iter()
        .map(|engine| (engine.name.clone(), goal.clone()))
        .collect()
}
