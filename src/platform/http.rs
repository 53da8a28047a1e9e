//! HTTP client of the log service.

use super::{Entry, Error, Log, Page, WireOffset, WirePage};
use crate::id::Offset;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use std::time::Duration;

/// After this time the outcome of an append is unknown, and it is sent again.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a read, on top of the time that it waits for entries.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
pub(crate) struct Client {
    client: reqwest::Client,
    base_url: String,
}

impl Client {
    /// Creates a client for the service at `base_url`, such as `http://IP:PORT`.
    pub(crate) fn new(base_url: &str) -> Self {
        let client = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS can be built");
        Self {
            client,
            base_url: base_url.to_owned(),
        }
    }
}

fn to_error(error: &reqwest::Error) -> Error {
    Error(error.to_string())
}

impl Log for Client {
    async fn append(&self, stream: &str, entry: Bytes) -> Result<Offset, Error> {
        let url = format!("{}/streams/{stream}", self.base_url);
        let request = self.client.post(url).timeout(APPEND_TIMEOUT).body(entry);
        let response = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| to_error(&error))?;
        let body: WireOffset = response.json().await.map_err(|error| to_error(&error))?;
        Ok(Offset(body.offset))
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "{}/streams/{stream}?from={from}&wait_ms={wait_ms}",
            self.base_url
        );
        let request = self.client.get(url).timeout(wait + READ_TIMEOUT);
        let response = request
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| to_error(&error))?;
        let page: WirePage = response.json().await.map_err(|error| to_error(&error))?;
        let entries = page.entries.into_iter().map(|entry| {
            let data = STANDARD
                .decode(entry.data)
                .map_err(|error| Error(error.to_string()))?;
            Ok(Entry {
                offset: Offset(entry.offset),
                data: data.into(),
            })
        });
        Ok(Page {
            first: Offset(page.first),
            next: Offset(page.next),
            entries: entries.collect::<Result<_, Error>>()?,
        })
    }
}
