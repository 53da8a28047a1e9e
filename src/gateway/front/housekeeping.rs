//! Periodic maintenance of the gateway, and updates of configuration and server directory.

use crate::gateway::Gateway;
use crate::gateway::tokens::handover::Reason;
use crate::gateway::world::directory::Change;
use crate::gateway::world::state::Routing;
use crate::intake::Timeouts;
use crate::member::Announcement;
use crate::policy::store_health::State;
use crate::telemetry::event;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// Store outage after which this VM hands its partitions over, and the pause between two attempts. A VM
/// that reaches the store reads its directory about once in that time.
const STORE_LOSS_HANDOVER_DELAY: Duration = Duration::from_millis(800);
/// Interval of closing expired connections, logging the queues and recording the members.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the dispatcher's timeouts, ownership checks and announcements.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Applies each new configuration and directory to the dispatch queue.
pub(super) async fn follow_routing(gateway: Rc<Gateway>) {
    let mut routing = gateway.routing.clone();
    let mut applied = None;
    loop {
        gateway.configure_queue(&mut routing, &mut applied);
        if routing.changed().await.is_err() {
            return;
        }
    }
}

impl Gateway {
    /// Closes connections that exceed the time limits of the configuration.
    fn close_overdue_connections(&self) {
        let limits = self
            .routing
            .borrow()
            .table
            .as_ref()
            .map(|table| table.request_limits);
        let limits = limits.unwrap_or_default();
        self.intake.registry().close_overdue(Timeouts {
            head: limits.head_timeout,
            idle: limits.idle_timeout,
        });
    }

    /// Records the usual time of the store's answers, and logs each change between well, slow and silent.
    fn report_store_state(&self, logged: &mut State) {
        let health = self.partitions.store.observer().health();
        self.metrics.store_answer(health.usual_answer());
        let state = health.state(Instant::now());
        if std::mem::replace(logged, state) != state {
            let usual_ms = health.usual_answer().as_millis();
            event!(info, "store_state", state = state, usual_ms = usual_ms);
        }
    }

    /// Logs all calls to the store since the last time, if it rejected any of them as too many.
    fn report_rejected_calls(&self) {
        let calls = self.partitions.store.observer().take_calls();
        if calls.values().all(|calls| calls.rejected == 0) {
            return;
        }
        for (topic, calls) in calls {
            event!(
                info,
                "store_rejected",
                topic = topic,
                reads = calls.reads,
                appends = calls.appends,
                rejected = calls.rejected
            );
        }
    }

    /// Applies the changes of the directory to the queue, or the whole directory if the configuration is another.
    /// `applied` is the configuration version and the directory revision that were applied last.
    fn configure_queue(
        self: &Rc<Self>,
        routing: &mut watch::Receiver<Routing>,
        applied: &mut Option<(u64, u64)>,
    ) {
        let routing = routing.borrow_and_update();
        let table = routing.table.as_deref();
        let version = routing.config_version();
        let same_config = applied.filter(|(previous, _)| *previous == version);
        let changes = same_config.and_then(|(_, revision)| routing.changes.since(revision));
        if let Some(changes) = changes {
            let changes: Vec<Change> = changes.cloned().collect();
            let turnover = self.queue.apply_changes(&changes, table);
            self.servers_left(&turnover);
        } else {
            let turnover = self.queue.configure(&routing.directory, table);
            self.servers_left(&turnover);
        }
        *applied = Some((version, routing.changes.revision()));
    }
}

/// Runs the periodic maintenance until the process ends.
pub(super) async fn run_maintenance(
    gateway: Rc<Gateway>,
    announcements: Arc<watch::Sender<Announcement>>,
) {
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_sweep = Instant::now();
    let handing_over = Rc::new(Cell::new(false));
    let mut lost_since = None;
    let mut store_state = State::default();
    loop {
        tick.tick().await;
        gateway.queue.tick();
        gateway.check_for_stall();
        gateway.expire_leases();
        // Store contact is not announced: in a store outage every VM would announce a change at once, and
        // the membership views would differ for seconds.
        let (ready, owned) = (gateway.can_own(), gateway.partitions.ownership_claims());
        let config_version = gateway.config_version();
        announcements.send_if_modified(|announcement| {
            let changed = (announcement.ready, announcement.applied) != (ready, config_version)
                || announcement.owned != owned;
            (announcement.ready, announcement.applied, announcement.owned) =
                (ready, config_version, owned);
            changed
        });
        gateway.broadcast_orphaned_allowances().await;
        gateway.release_superseded_partitions();
        let store_lost = !gateway.has_store();
        lost_since = store_lost.then(|| lost_since.unwrap_or_else(Instant::now));
        if let Some(since) = lost_since.filter(|since| since.elapsed() >= STORE_LOSS_HANDOVER_DELAY)
            && !handing_over.replace(true)
        {
            let (gateway, handing_over) = (Rc::clone(&gateway), Rc::clone(&handing_over));
            spawn_local(async move {
                gateway.hand_over_partitions(Reason::StoreLost(since)).await;
                sleep(STORE_LOSS_HANDOVER_DELAY).await;
                handing_over.set(false);
            });
        }
        if last_sweep.elapsed() >= SWEEP_INTERVAL {
            last_sweep = Instant::now();
            gateway.close_overdue_connections();
            gateway.queue.log_waiting();
            gateway.queue.report_plain_placement(&gateway.metrics);
            gateway.queue.record_pace(&gateway.metrics);
            gateway.sweep_pins();
            gateway.repeat_ends().await;
            gateway.tell_answered().await;
            let programs = gateway.queue.waiting_programs();
            gateway.metrics.programs_waiting(programs);
            gateway.report_store_state(&mut store_state);
            gateway.report_rejected_calls();
            gateway.record_members();
            let (directory, confirmed_at) = {
                let routing = gateway.routing.borrow();
                (
                    Arc::clone(&routing.directory),
                    routing.directory_confirmed_at,
                )
            };
            if let Some(confirmed_at) = confirmed_at {
                gateway.metrics.directory_age(confirmed_at.elapsed());
            }
            gateway
                .connections
                .close_expired(|id| directory.get(id).is_some());
        }
    }
}
