//! Reads the load reports of backend servers, for those that say they are leaving.

use crate::id::Server;
use crate::telemetry::event;
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

/// Time between two readings of one server.
const PERIOD: Duration = Duration::from_secs(1);
/// How long a reading may take.
const TIMEOUT: Duration = Duration::from_millis(900);

/// The servers to read, by name; the dispatch thread keeps it up to date.
pub(super) type Servers = Rc<RefCell<BTreeMap<Server, SocketAddr>>>;

/// What a server says of itself, as far as it is read.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default)]
    leaving: bool,
}

/// Reads every server again and again and tells of those that are leaving.
pub(super) async fn follow(servers: Servers, leaving: flume::Sender<Server>) {
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .build()
        .expect("a client without TLS can be built");
    let mut tick = interval(PERIOD);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        for (server, address) in servers.borrow().clone() {
            let (client, leaving) = (client.clone(), leaving.clone());
            spawn_local(async move {
                match read(&client, address).await {
                    Ok(report) if report.leaving => {
                        let _ = leaving.try_send(server);
                    }
                    Ok(_) => {}
                    Err(fault) => event!(debug, "report_unread", server = server, reason = fault),
                }
            });
        }
    }
}

async fn read(client: &reqwest::Client, address: SocketAddr) -> Result<Report, reqwest::Error> {
    let reply = client.get(format!("http://{address}/load")).send().await?;
    reply.error_for_status()?.json().await
}
