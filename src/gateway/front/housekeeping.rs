//! What a VM looks after as time passes, beside its requests.

use crate::gateway::Gateway;
use crate::gateway::tokens::handover::Reason;
use crate::gateway::world::directory::Change;
use crate::gateway::world::state::Routing;
use crate::member::Announcement;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// How long this VM has lost the store before it hands over what it counts, and the pause between two
/// tries. A VM that still has the store reads its directory about once in that time.
const LOST: Duration = Duration::from_millis(800);
/// Time between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_millis(500);
/// Time between two looks at servers that rest.
const TICK: Duration = Duration::from_millis(50);

/// Tells the windows of the servers what the directory and the configuration say of them.
pub(super) async fn follow_world(gateway: Rc<Gateway>) {
    let mut world = gateway.world.clone();
    let mut known = None;
    loop {
        gateway.configure(&mut world, &mut known);
        if world.changed().await.is_err() {
            return;
        }
    }
}

impl Gateway {
    /// Takes in what has changed; all of it under another configuration. `known` is the version of the configuration
    /// and the number of changes that were taken in before.
    fn configure(&self, world: &mut watch::Receiver<Routing>, known: &mut Option<(u64, u64)>) {
        let world = world.borrow_and_update();
        let table = world.table.as_deref();
        let version = world.config_version();
        let same = known.filter(|(before, _)| *before == version);
        let changes = same.and_then(|(_, noted)| world.changes.since(noted));
        if let Some(changes) = changes {
            let changes: Vec<Change> = changes.cloned().collect();
            self.queue.apply_changes(&changes, table);
        } else {
            self.queue.configure(&world.directory, table);
        }
        *known = Some((version, world.changes.revision()));
    }
}

/// Keeps house until the process ends.
pub(super) async fn keep(gateway: Rc<Gateway>, beats: Arc<watch::Sender<Announcement>>) {
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut swept = Instant::now();
    let handing = Rc::new(Cell::new(false));
    let mut lost = None;
    loop {
        tick.tick().await;
        gateway.queue.tick();
        gateway.check_for_stall();
        gateway.expire_leases();
        // Whether a VM has the store is not told to all: when it refuses everybody, each VM would have news for all
        // others at once, and their views would differ for seconds.
        let (ready, held) = (gateway.takes_part(), gateway.keeper.ownership_claims());
        let applied = gateway.applied();
        beats.send_if_modified(|beat| {
            let changed = (beat.ready, beat.applied) != (ready, applied) || beat.owned != held;
            (beat.ready, beat.applied, beat.owned) = (ready, applied, held);
            changed
        });
        gateway.broadcast_orphaned_allowances().await;
        gateway.release_superseded_partitions();
        let away = !gateway.has_store();
        lost = away.then(|| lost.unwrap_or_else(Instant::now));
        if let Some(since) = lost.filter(|since| since.elapsed() >= LOST)
            && !handing.replace(true)
        {
            let (gateway, handing) = (Rc::clone(&gateway), Rc::clone(&handing));
            spawn_local(async move {
                gateway.hand_over_partitions(Reason::StoreLost(since)).await;
                sleep(LOST).await;
                handing.set(false);
            });
        }
        if swept.elapsed() >= SWEEP {
            swept = Instant::now();
            gateway.queue.log_waiting();
            gateway.note_members();
            let (directory, aged) = {
                let world = gateway.world.borrow();
                (Arc::clone(&world.directory), world.directory_confirmed_at)
            };
            if let Some(aged) = aged {
                gateway.metrics.directory_age(aged.elapsed());
            }
            gateway
                .connections
                .close_expired(|id| directory.get(id).is_some());
        }
    }
}
