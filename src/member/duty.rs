//! The membership thread: runs the gossip protocol over UDP.

use super::gossip::{Action, Gossip};
use super::introduction::Introduction;
use super::list::List;
use super::state_log::StateLog;
use super::view::{Announcement, View};
use super::wire::{MAX_DATAGRAM_BYTES, Sealer};
use crate::clock;
use crate::id::{Incarnation, Server};
use crate::telemetry::event;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Inputs and outputs of the membership thread.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) key: String,
    pub(crate) seeds: Vec<SocketAddr>,
    /// VM lists read from the platform or the store.
    pub(crate) vm_lists: flume::Receiver<List>,
    /// This VM's own state, updated by other threads.
    pub(crate) local: watch::Receiver<Announcement>,
    pub(crate) view: watch::Sender<Arc<View>>,
    /// This VM's introduction record, for VMs that start later.
    pub(crate) introduction: watch::Sender<Option<Introduction>>,
    /// Backend servers that other threads report as draining.
    pub(crate) draining: flume::Receiver<Server>,
    pub(crate) stop: CancellationToken,
}

/// Runs the membership protocol until stopped, then announces that this VM leaves.
pub(crate) async fn run(setup: Setup) {
    let Setup {
        socket,
        key,
        seeds,
        mut local,
        view,
        introduction,
        vm_lists,
        draining,
        stop,
    } = setup;
    let socket = UdpSocket::from_std(socket).expect("the socket is bound and non-blocking");
    let sealer = Sealer::new(&key);
    let announcement = local.borrow_and_update().clone();
    let now = Instant::now();
    let mut gossip = Gossip::new(
        now,
        announcement,
        first_incarnation(),
        seeds,
        rand::random(),
    );
    // One byte larger than the limit, so that the size of an oversized datagram shows it.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    let mut state_log = StateLog::default();
    let mut last_view = now;
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                if local.has_changed().unwrap_or(false) {
                    gossip.update_local(&local.borrow_and_update());
                }
                let actions = gossip.tick(Instant::now());
                perform(&socket, &sealer, &mut state_log, actions).await;
                state_log.flush(Instant::now());
                // Not on every datagram: after a network partition hundreds of them change the view.
                let members = view.borrow().members.len();
                if gossip.view_changed() && last_view.elapsed() >= View::rebuild_interval(members) {
                    last_view = Instant::now();
                    view.send_replace(Arc::new(gossip.view(last_view)));
                    introduction.send_replace(Some(gossip.introduction()));
                }
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((size, from)) = received else { continue };
                if let Some(message) = sealer.open(&buffer[..size]) {
                    let actions = gossip.on_message(Instant::now(), from, message);
                    perform(&socket, &sealer, &mut state_log, actions).await;
                } else {
                    event!(warn, "datagram_refused", from = from, bytes = size);
                }
            }
            list = vm_lists.recv_async() => {
                let Ok(list) = list else { continue };
                gossip.add_contacts(list.vms);
                let actions = gossip.apply_introductions(Instant::now(), &list.introductions);
                perform(&socket, &sealer, &mut state_log, actions).await;
                for server in &list.draining {
                    gossip.announce_draining(Instant::now(), server);
                }
            }
            server = draining.recv_async() => {
                let Ok(server) = server else { continue };
                gossip.announce_draining(Instant::now(), &server);
            }
            () = stop.cancelled() => {
                let actions = gossip.leave(Instant::now());
                perform(&socket, &sealer, &mut state_log, actions).await;
                return;
            }
        }
    }
}

async fn perform(
    socket: &UdpSocket,
    sealer: &Sealer,
    state_log: &mut StateLog,
    actions: Vec<Action>,
) {
    for action in actions {
        match action {
            Action::Send { to, message } => {
                let _ = socket.send_to(&sealer.seal(&message), to).await;
            }
            Action::LogState { vm, state } => state_log.log(Instant::now(), &vm, state),
        }
    }
}

/// Incarnation from the wall clock, so that it exceeds those of earlier runs. If the clock went
/// back, peers report the higher incarnation and this VM raises its own above it.
fn first_incarnation() -> Incarnation {
    Incarnation(clock::since_epoch().as_secs().max(1))
}
