//! Client of the platform's VM list, which may be outdated: it adds addresses to contact and names
//! draining backend servers, but never removes a member.

use super::introduction::Introduction;
use crate::id::Server;
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

const POLL_INTERVAL: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// VM list as the platform serves it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct List {
    /// Gossip addresses of VMs.
    pub(crate) vms: Vec<SocketAddr>,
    /// Introduction records from the store; the platform's list has none.
    pub(crate) introductions: Vec<Introduction>,
    #[serde(rename = "leaving")]
    pub(crate) draining: Vec<Server>,
}

/// Polls the list at `base` until the receiver is dropped; without an address it never returns.
pub(crate) async fn poll_vm_list(base: Option<String>, lists: flume::Sender<List>) {
    let Some(base) = base else {
        return std::future::pending().await;
    };
    let client = reqwest::Client::builder()
        .timeout(READ_TIMEOUT)
        .build()
        .expect("a client without TLS can be built");
    loop {
        match read(&client, &base).await {
            Ok(list) => {
                if lists.send_async(list).await.is_err() {
                    return;
                }
            }
            Err(error) => event!(warn, "vm_list_failed", reason = error),
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn read(client: &reqwest::Client, base: &str) -> Result<List, reqwest::Error> {
    let response = client.get(format!("{base}/vms")).send().await?;
    response.error_for_status()?.json().await
}
