//! Order thread: reconciles the engines of the pools whose shard this VM owns.

use super::reconciler::{Reconciler, State, Step};
use crate::backend::Engines;
use crate::config::{Fencing, Pool, Snapshot};
use crate::id::{Epoch, Model, Server, shard_of};
use crate::member::Announcement;
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

/// Time between checks for due steps.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest gap between ticks before the process counts as suspended.
const MAX_TICK_GAP: Duration = Duration::from_secs(2);
/// Time between reads of an engine in its desired state, if it checks fencing tokens.
const FENCED_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Time between reads of an engine in its desired state, if it ignores fencing tokens.
const UNFENCED_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Dependencies of the order thread.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) shards: u64,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) local: watch::Receiver<Announcement>,
    pub(crate) stop: CancellationToken,
}

struct OwnedPool {
    epoch: Epoch,
    reconciler: Rc<RefCell<Reconciler>>,
}

/// Reconciles engines until the token is cancelled.
pub(crate) async fn run(context: Context) {
    let engines = Engines::new();
    let mut pools: BTreeMap<Model, OwnedPool> = BTreeMap::new();
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = context.stop.cancelled() => return,
        }
        let now = Instant::now();
        if now - last_tick > MAX_TICK_GAP {
            // Another VM may have taken the pools over meanwhile and loaded weights; start over
            // like a new owner.
            pools.clear();
        }
        last_tick = now;
        context.refresh(&mut pools, now);
        for (model, pool) in &pools {
            context.run_steps(&engines, model, pool, now);
        }
    }
}

impl Context {
    /// Adds newly owned pools, drops others, and updates desired states and intervals.
    fn refresh(&self, owned_pools: &mut BTreeMap<Model, OwnedPool>, now: Instant) {
        let config = self.config.borrow().clone();
        let owned_shards: BTreeMap<_, _> = self.local.borrow().owned.iter().copied().collect();
        let epoch_of = |model: &Model| {
            owned_shards
                .get(&shard_of(&format!("pool/{model}"), self.shards))
                .copied()
        };
        owned_pools.retain(|model, owned_pool| {
            config.pools.contains_key(model) && epoch_of(model) == Some(owned_pool.epoch)
        });
        for (model, pool) in &config.pools {
            let Some(epoch) = epoch_of(model) else {
                continue;
            };
            let poll_interval = match pool.fencing {
                Fencing::Checked => FENCED_POLL_INTERVAL,
                Fencing::Ignored => UNFENCED_POLL_INTERVAL,
            };
            let load_interval = config.load_interval();
            let owned_pool = owned_pools.entry(model.clone()).or_insert_with(|| {
                let reconciler = Reconciler::new(now, poll_interval, load_interval);
                OwnedPool {
                    epoch,
                    reconciler: Rc::new(RefCell::new(reconciler)),
                }
            });
            owned_pool
                .reconciler
                .borrow_mut()
                .set_intervals(now, poll_interval, load_interval);
            owned_pool
                .reconciler
                .borrow_mut()
                .set_desired(now, &desired_states(pool));
        }
    }

    /// Starts the due steps of a pool's engines as tasks.
    fn run_steps(&self, engines: &Engines, model: &Model, pool: &OwnedPool, now: Instant) {
        let steps = pool.reconciler.borrow_mut().due_steps(now);
        for (server, step) in steps {
            let Some(address) = self.engine_address(model, &server) else {
                continue;
            };
            let (engines, reconciler, epoch) =
                (engines.clone(), pool.reconciler.clone(), pool.epoch);
            spawn_local(async move {
                match step {
                    Step::Read => match engines.read_state(address).await {
                        Ok(state) => {
                            reconciler
                                .borrow_mut()
                                .record_state(Instant::now(), &server, state);
                        }
                        Err(error) => {
                            event!(warn, "engine_unread", server = server, reason = error);
                        }
                    },
                    Step::Order(desired) => {
                        let ordered = engines.send_order(address, epoch, &desired).await;
                        let result = ordered.map_or_else(|error| error.0, |()| "ok".to_owned());
                        event!(
                            info,
                            "engine_ordered",
                            server = server,
                            epoch = epoch,
                            result = result
                        );
                    }
                }
            });
        }
    }

    fn engine_address(&self, model: &Model, server: &Server) -> Option<SocketAddr> {
        let config = self.config.borrow();
        let mut engines = config.pools.get(model)?.engines.iter();
        engines
            .find(|engine| engine.name == *server)
            .map(|engine| engine.address)
    }
}

/// Desired states of the pool's engines; empty if the pool configures none.
fn desired_states(pool: &Pool) -> BTreeMap<Server, State> {
    let desired = State {
        weights: pool.weights.clone(),
        adapters: pool.adapters.clone(),
        role: pool.role.clone(),
    };
    if desired == State::default() {
        return BTreeMap::new();
    }
    pool.engines
        .iter()
        .map(|engine| (engine.name.clone(), desired.clone()))
        .collect()
}
