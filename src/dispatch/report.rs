//! Polls the load reports of backend servers to learn which are draining.

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

const POLL_INTERVAL: Duration = Duration::from_secs(1);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Addresses of the polled servers; updated by the dispatch thread.
pub(super) type Servers = Rc<RefCell<BTreeMap<Server, SocketAddr>>>;

/// Fields of a load report that are used here.
#[derive(Debug, Deserialize)]
struct Report {
    #[serde(default, rename = "leaving")]
    draining: bool,
}

/// Polls all servers and sends the names of those that report draining.
pub(super) async fn poll(servers: Servers, draining: flume::Sender<Server>) {
    let client = reqwest::Client::builder()
        .timeout(REQUEST_TIMEOUT)
        .build()
        .expect("a client without TLS can be built");
    let mut tick = interval(POLL_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        for (server, address) in servers.borrow().clone() {
            let (client, draining) = (client.clone(), draining.clone());
            spawn_local(async move {
                match read_report(&client, address).await {
                    Ok(report) if report.draining => {
                        let _ = draining.try_send(server);
                    }
                    Ok(_) => {}
                    Err(error) => event!(debug, "report_unread", server = server, reason = error),
                }
            });
        }
    }
}

async fn read_report(
    client: &reqwest::Client,
    address: SocketAddr,
) -> Result<Report, reqwest::Error> {
    let response = client.get(format!("http://{address}/load")).send().await?;
    response.error_for_status()?.json().await
}
