//! HTTP client for requests of the commands to VMs.

use crate::code::{Code, Failure, Ran};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Long enough for a call, which may run for minutes.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(11);

#[derive(Debug, Clone)]
pub(super) struct Client {
    http: reqwest::Client,
}

impl Client {
    pub(super) fn new() -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
            .retry(reqwest::retry::never())
            .build()
            .expect("a client without TLS can be built");
        Self { http }
    }

    pub(super) async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        send(self.http.get(format!("http://{address}{path}"))).await
    }

    pub(super) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        json: &Value,
    ) -> Result<Value, Failure> {
        send(self.http.post(format!("http://{address}{path}")).json(json)).await
    }

    /// Requests an event stream and returns the response.
    pub(super) async fn stream(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<reqwest::Response, Failure> {
        let request = self.http.get(format!("http://{address}{path}"));
        let response = request.header("accept", "text/event-stream").send().await;
        let response = response.map_err(|error| connection_error(&error))?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(read_failure(response).await)
    }
}

async fn send(request: reqwest::RequestBuilder) -> Result<Value, Failure> {
    let response = request
        .send()
        .await
        .map_err(|error| connection_error(&error))?;
    if response.status().is_success() {
        return response
            .json()
            .await
            .map_err(|error| connection_error(&error));
    }
    Err(read_failure(response).await)
}

async fn read_failure(response: reqwest::Response) -> Failure {
    let status = response.status();
    let not_a_failure = |_| {
        Failure::refused(
            Code::Internal,
            format!("the server responded with {status}"),
        )
    };
    response.json().await.unwrap_or_else(not_a_failure)
}

fn connection_error(error: &reqwest::Error) -> Failure {
    let ran = if error.is_connect() {
        Ran::No
    } else {
        Ran::Unknown
    };
    Failure::refused(Code::Unreachable, error.to_string()).ran(ran)
}
