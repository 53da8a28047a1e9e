//! Requests of the commands to VMs.

use crate::code::{Code, Failure, Ran};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connection may take to stand.
const CONNECT: Duration = Duration::from_secs(3);
/// How long an answer may take; a call may run for minutes.
const ANSWER: Duration = Duration::from_mins(11);

/// A client of the VMs.
#[derive(Debug, Clone)]
pub(super) struct Client {
    http: reqwest::Client,
}

impl Client {
    pub(super) fn new() -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT)
            .timeout(ANSWER)
            .retry(reqwest::retry::never())
            .build()
            .expect("a client without TLS can be built");
        Self { http }
    }

    pub(super) async fn get(&self, address: SocketAddr, path: &str) -> Result<Value, Failure> {
        body(self.http.get(format!("http://{address}{path}"))).await
    }

    pub(super) async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        json: &Value,
    ) -> Result<Value, Failure> {
        body(self.http.post(format!("http://{address}{path}")).json(json)).await
    }

    /// The reply to a request for an event stream.
    pub(super) async fn stream(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<reqwest::Response, Failure> {
        let request = self.http.get(format!("http://{address}{path}"));
        let reply = request.header("accept", "text/event-stream").send().await;
        let reply = reply.map_err(|error| unreachable(&error))?;
        if reply.status().is_success() {
            return Ok(reply);
        }
        Err(refusal(reply).await)
    }
}

async fn body(request: reqwest::RequestBuilder) -> Result<Value, Failure> {
    let reply = request.send().await.map_err(|error| unreachable(&error))?;
    if reply.status().is_success() {
        return reply.json().await.map_err(|error| unreachable(&error));
    }
    Err(refusal(reply).await)
}

async fn refusal(reply: reqwest::Response) -> Failure {
    let status = reply.status();
    let other = |_| Failure::refused(Code::Internal, format!("the address answers {status}"));
    reply.json().await.unwrap_or_else(other)
}

fn unreachable(error: &reqwest::Error) -> Failure {
    let ran = if error.is_connect() {
        Ran::No
    } else {
        Ran::Unknown
    };
    Failure::refused(Code::Unreachable, error.to_string()).ran(ran)
}
