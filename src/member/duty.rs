//! The membership thread: drives the protocol over UDP.

use super::changes::Changes;
use super::gossip::{Action, Gossip};
use super::introduction::Introduction;
use super::list::List;
use super::view::{Beat, View};
use super::wire::{DATAGRAM, Sealer};
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

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// What the membership thread works with.
#[derive(Debug)]
pub(crate) struct Setup {
    pub(crate) socket: std::net::UdpSocket,
    pub(crate) key: String,
    pub(crate) seeds: Vec<SocketAddr>,
    /// What the platform tells of VMs and of servers that are leaving.
    pub(crate) listed: flume::Receiver<List>,
    /// What this VM says of itself; other duties keep it up to date.
    pub(crate) local: watch::Receiver<Beat>,
    pub(crate) published: watch::Sender<Arc<View>>,
    /// What this VM leaves for others that start.
    pub(crate) introduction: watch::Sender<Option<Introduction>>,
    /// Backend servers that other duties know to be leaving.
    pub(crate) leaving: flume::Receiver<Server>,
    pub(crate) stop: CancellationToken,
}

/// Takes part in the membership until it is stopped.
pub(crate) async fn run(setup: Setup) {
    let Setup {
        socket,
        key,
        seeds,
        mut local,
        published,
        introduction,
        listed,
        leaving,
        stop,
    } = setup;
    let socket = UdpSocket::from_std(socket).expect("the socket is bound and non-blocking");
    let sealer = Sealer::new(&key);
    let beat = local.borrow_and_update().clone();
    let now = Instant::now();
    let mut gossip = Gossip::new(now, beat, first_incarnation(), seeds, rand::random());
    // One byte more than a datagram may have, so that a longer one is seen to be too long.
    let mut buffer = vec![0; DATAGRAM + 1];
    let mut changes = Changes::default();
    let mut built = now;
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                if local.has_changed().unwrap_or(false) {
                    gossip.local(&local.borrow_and_update());
                }
                let actions = gossip.tick(Instant::now());
                perform(&socket, &sealer, &mut changes, actions).await;
                changes.flush(Instant::now());
                // Not at each datagram: after a partition hundreds of them change the view.
                let members = published.borrow().members.len();
                if gossip.changed() && built.elapsed() >= View::pause(members) {
                    built = Instant::now();
                    published.send_replace(Arc::new(gossip.view(built)));
                    introduction.send_replace(Some(gossip.introduction()));
                }
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((size, from)) = received else { continue };
                if let Some(message) = sealer.open(&buffer[..size]) {
                    let actions = gossip.on_message(Instant::now(), from, message);
                    perform(&socket, &sealer, &mut changes, actions).await;
                } else {
                    event!(warn, "datagram_refused", from = from, bytes = size);
                }
            }
            list = listed.recv_async() => {
                let Ok(list) = list else { continue };
                gossip.contact(list.vms);
                let actions = gossip.introduce(Instant::now(), &list.introductions);
                perform(&socket, &sealer, &mut changes, actions).await;
                for server in &list.leaving {
                    gossip.leaving(Instant::now(), server);
                }
            }
            server = leaving.recv_async() => {
                let Ok(server) = server else { continue };
                gossip.leaving(Instant::now(), &server);
            }
            () = stop.cancelled() => {
                let actions = gossip.leave(Instant::now());
                perform(&socket, &sealer, &mut changes, actions).await;
                return;
            }
        }
    }
}

async fn perform(socket: &UdpSocket, sealer: &Sealer, changes: &mut Changes, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Send { to, message } => {
                let _ = socket.send_to(&sealer.seal(&message), to).await;
            }
            Action::Tell { vm, state } => changes.tell(Instant::now(), &vm, state),
        }
    }
}

/// An incarnation that exceeds those of earlier runs, as long as the wall clock goes forward;
/// where it does not, the VM learns of the earlier run from its peers and raises it.
fn first_incarnation() -> Incarnation {
    Incarnation(clock::since_epoch().as_secs().max(1))
}
