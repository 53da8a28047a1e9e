//! The log service over HTTP.

use super::{Entry, Fault, Log, Page, WireOffset, WirePage};
use crate::id::Offset;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use std::time::Duration;

/// How long an append may take before its outcome is taken as unknown and it is sent again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// What a read may take beyond the time that it waits for entries.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the log service.
#[derive(Debug, Clone)]
pub(crate) struct Http {
    client: reqwest::Client,
    base: String,
}

impl Http {
    /// A client of the log service at `base`, `http://IP:PORT`.
    pub(crate) fn new(base: &str) -> Self {
        let client = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS can be built");
        Self {
            client,
            base: base.to_owned(),
        }
    }
}

fn fault(error: &reqwest::Error) -> Fault {
    Fault(error.to_string())
}

impl Log for Http {
    async fn append(&self, stream: &str, entry: Bytes) -> Result<Offset, Fault> {
        let url = format!("{}/streams/{stream}", self.base);
        let request = self.client.post(url).timeout(APPEND_TIMEOUT).body(entry);
        let reply = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| fault(&error))?;
        let placed: WireOffset = reply.json().await.map_err(|error| fault(&error))?;
        Ok(Offset(placed.offset))
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, Fault> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/streams/{stream}?from={from}&wait_ms={wait_ms}",
            self.base
        );
        let request = self.client.get(url).timeout(wait + READ_TIMEOUT);
        let reply = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        let reply = reply.map_err(|error| fault(&error))?;
        let page: WirePage = reply.json().await.map_err(|error| fault(&error))?;
        let entries = page.entries.into_iter().map(|entry| {
            let data = STANDARD
                .decode(entry.data)
                .map_err(|error| Fault(error.to_string()))?;
            Ok(Entry {
                offset: Offset(entry.offset),
                data: data.into(),
            })
        });
        Ok(Page {
            first: Offset(page.first),
            next: Offset(page.next),
            entries: entries.collect::<Result<_, Fault>>()?,
        })
    }
}
