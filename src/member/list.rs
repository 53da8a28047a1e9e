//! A client of the platform's VM list, which lags: it adds addresses to contact, and tells which
//! backend servers are leaving; it never removes a member.

use super::introduction::Introduction;
use crate::id::Server;
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two reads of the list.
const PERIOD: Duration = Duration::from_secs(2);
/// How long a read may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The list as the platform gives it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct List {
    /// Peer addresses of VMs.
    pub(crate) vms: Vec<SocketAddr>,
    /// What VMs have left of themselves; none in the platform's list.
    pub(crate) introductions: Vec<Introduction>,
    /// Backend servers that are leaving.
    pub(crate) leaving: Vec<Server>,
}

/// Reads the list at `base` again and again; without an address it waits for ever.
pub(crate) async fn follow(base: Option<String>, lists: flume::Sender<List>) {
    let Some(base) = base else {
        return std::future::pending().await;
    };
    let client = reqwest::Client::builder()
        .timeout(TIMEOUT)
        .build()
        .expect("a client without TLS can be built");
    loop {
        match read(&client, &base).await {
            Ok(list) => {
                if lists.send_async(list).await.is_err() {
                    return;
                }
            }
            Err(fault) => event!(warn, "vm_list_failed", reason = fault),
        }
        sleep(PERIOD).await;
    }
}

async fn read(client: &reqwest::Client, base: &str) -> Result<List, reqwest::Error> {
    let reply = client.get(format!("{base}/vms")).send().await?;
    reply.error_for_status()?.json().await
}
