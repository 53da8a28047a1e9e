//! The membership thread: heartbeats over UDP, sealed with the peer key.

use super::table::{Beat, Table, View};
use crate::telemetry::event;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Time between heartbeats.
const PERIOD: Duration = Duration::from_millis(200);
/// Bytes of the seal in front of a datagram.
const SEAL: usize = 16;
/// Bytes that a datagram may have.
const DATAGRAM: usize = 65_507;

/// What this VM says of itself; other duties keep it up to date.
pub(crate) type Local = watch::Receiver<Beat>;

/// Sends and takes heartbeats until `stop`.
pub(crate) async fn run(
    socket: std::net::UdpSocket,
    key: String,
    seeds: Vec<SocketAddr>,
    local: Local,
    published: watch::Sender<Arc<View>>,
    stop: CancellationToken,
) {
    let key = blake3::derive_key("vanillatrail peer key", key.as_bytes());
    let socket = UdpSocket::from_std(socket).expect("the socket is bound and non-blocking");
    let mut table = Table::default();
    let mut buffer = vec![0; DATAGRAM];
    let mut tick = interval(PERIOD);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let beat = local.borrow().clone();
                table.heard(Instant::now(), beat.clone());
                let view = table.view(Instant::now());
                let known = view.members.values().map(|member| member.address);
                let targets: BTreeSet<SocketAddr> =
                    known.chain(seeds.iter().copied()).filter(|to| *to != beat.address).collect();
                let datagram = seal(&key, &beat);
                for target in targets {
                    let _ = socket.send_to(&datagram, target).await;
                }
                publish(&published, view);
            }
            received = socket.recv_from(&mut buffer) => {
                let Ok((size, from)) = received else { continue };
                if let Some(beat) = open(&key, &buffer[..size]) { table.heard(Instant::now(), beat) } else { event!(warn, "datagram_refused", from = from, bytes = size) }
            }
            () = stop.cancelled() => return,
        }
    }
}

fn publish(published: &watch::Sender<Arc<View>>, view: View) {
    if **published.borrow() != view {
        published.send_replace(Arc::new(view));
    }
}

fn seal(key: &[u8; 32], beat: &Beat) -> Vec<u8> {
    let body = rmp_serde::to_vec(beat).expect("a heartbeat can be encoded");
    let mut datagram = blake3::keyed_hash(key, &body).as_bytes()[..SEAL].to_vec();
    datagram.extend(body);
    datagram
}

/// The heartbeat in a datagram, if it was sealed with the key.
fn open(key: &[u8; 32], datagram: &[u8]) -> Option<Beat> {
    let (seal, body) = datagram.split_at_checked(SEAL)?;
    if blake3::keyed_hash(key, body).as_bytes()[..SEAL] != *seal {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}
