//! Callers of a trial: they open programs, make numbered calls and record the results.

use super::plan::{Kind, Plan, Step, token_budget};
use crate::code::{Code, Failure, Ran};
use crate::program::{Message, Usage};
use crate::standin;
use eventsource_stream::Eventsource;
use futures::future::BoxFuture;
use futures::{FutureExt, StreamExt};
use rand::RngExt;
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a caller retries one request.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Delay before a retry if the failure does not give one.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of one call.
#[derive(Debug, Clone)]
pub(super) struct CallRecord {
    pub(super) program: String,
    pub(super) number: u64,
    /// Whether the call must run at most once.
    pub(super) at_most_once: bool,
    pub(super) result: Result<Value, Failure>,
    /// The streamed parts do not add up to the answer.
    pub(super) incomplete: bool,
    /// The answer does not match the history of this program.
    pub(super) wrong_history: bool,
}

/// Result of one program, including its sub-agents.
#[derive(Debug, Clone)]
pub(super) struct Outcome {
    pub(super) kind: Kind,
    /// Time from the caller's first request to its last answer.
    pub(super) duration: Duration,
    /// Failure that ended the program early.
    pub(super) failure: Option<Failure>,
    pub(super) trace: Trace,
}

/// Calls and token counts of a program and its sub-agents.
#[derive(Debug, Clone, Default)]
pub(super) struct Trace {
    pub(super) programs: Vec<String>,
    pub(super) calls: Vec<CallRecord>,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    /// Number of programs that used more tokens than their budget.
    pub(super) over_budget: u64,
}

impl Trace {
    fn merge(&mut self, other: Self) {
        self.programs.extend(other.programs);
        self.calls.extend(other.calls);
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.over_budget += other.over_budget;
    }
}

#[derive(Debug, Deserialize)]
struct Answer {
    text: Arc<str>,
    usage: Usage,
}

/// Request that may be retried at any VM.
#[derive(Debug)]
struct Request {
    path: String,
    body: Value,
    streamed: bool,
}

/// HTTP client of the callers; sends each request to a random VM, as a load balancer would.
#[derive(Debug)]
pub(super) struct Caller {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
}

/// State of a running program.
struct RunningProgram<'a> {
    caller: &'a Caller,
    program: String,
    token_budget: u64,
    last_call: u64,
    history: Vec<Message>,
    trace: Trace,
}

impl Caller {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            http: reqwest::Client::new(),
            addresses,
        }
    }

    pub(super) async fn run(&self, plan: Plan) -> Outcome {
        sleep(plan.start_delay).await;
        let started = Instant::now();
        let mut trace = Trace::default();
        let mut duration = Duration::ZERO;
        let result = self
            .run_steps(&plan, started, &mut duration, &mut trace)
            .await;
        Outcome {
            kind: plan.kind,
            duration: if result.is_ok() {
                duration
            } else {
                started.elapsed()
            },
            failure: result.err(),
            trace,
        }
    }

    async fn run_steps(
        &self,
        plan: &Plan,
        started: Instant,
        duration: &mut Duration,
        trace: &mut Trace,
    ) -> Result<(), Failure> {
        let token_budget = token_budget(&plan.steps);
        let body = json!({
            "class": plan.kind.class(), "key": plan.key, "budget": { "tokens": token_budget },
        });
        let opened = self.post("/v1/programs", body).await?;
        let mut running = self.start_program(&opened, token_budget)?;
        let steps_result = running.execute(plan.kind, &plan.steps).await;
        *duration = started.elapsed();
        let result = running.end().await;
        trace.merge(running.trace);
        steps_result.and(result)
    }

    fn start_program(
        &self,
        opened: &Value,
        token_budget: u64,
    ) -> Result<RunningProgram<'_>, Failure> {
        let program = opened["program"].as_str().map(str::to_owned);
        let missing = || Failure::refused(Code::Internal, "the reply has no program id");
        let program = program.ok_or_else(missing)?;
        let mut trace = Trace::default();
        trace.programs.push(program.clone());
        Ok(RunningProgram {
            caller: self,
            program,
            token_budget,
            last_call: 0,
            history: Vec::new(),
            trace,
        })
    }

    async fn post(&self, path: &str, body: Value) -> Result<Value, Failure> {
        let request = Request {
            path: path.to_owned(),
            body,
            streamed: false,
        };
        self.send_with_retry(&request)
            .await
            .map(|(answer, _)| answer)
    }

    /// Retries until there is a final answer; repeating a numbered call is always safe.
    async fn send_with_retry(&self, request: &Request) -> Result<(Value, String), Failure> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        loop {
            let failure = match self.send(request).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            let pause = failure.retry_after_ms.map(Duration::from_millis);
            if pause.is_none() || Instant::now() > deadline {
                return Err(failure);
            }
            sleep(pause.unwrap_or(DEFAULT_RETRY_DELAY)).await;
        }
    }

    /// Sends a request once; returns the answer and the text that was streamed before it.
    async fn send(&self, request: &Request) -> Result<(Value, String), Failure> {
        let address = self.addresses[rand::rng().random_range(0..self.addresses.len())];
        let url = format!("http://{address}{}", request.path);
        let builder = self
            .http
            .post(url)
            .timeout(REQUEST_TIMEOUT)
            .json(&request.body);
        let builder = if request.streamed {
            builder.header("accept", "text/event-stream")
        } else {
            builder
        };
        let reply = builder
            .send()
            .await
            .map_err(|error| transport_error(&error))?;
        if request.streamed && reply.status().is_success() {
            return read_event_stream(reply).await;
        }
        let succeeded = reply.status().is_success();
        let body = reply
            .bytes()
            .await
            .map_err(|error| transport_error(&error))?;
        if succeeded {
            let answer = serde_json::from_slice(&body).map_err(|error| malformed_reply(&error))?;
            return Ok((answer, String::new()));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|error| malformed_reply(&error)))
    }
}

/// Reads an event stream up to its final event.
async fn read_event_stream(reply: reqwest::Response) -> Result<(Value, String), Failure> {
    let mut text = String::new();
    let mut events = std::pin::pin!(reply.bytes_stream().eventsource());
    while let Some(event) = events.next().await {
        let interrupted = |error: String| {
            Failure::refused(Code::Internal, error).retry_after(DEFAULT_RETRY_DELAY)
        };
        let event = event.map_err(|error| interrupted(error.to_string()))?;
        match event.event.as_str() {
            "delta" => {
                let delta: Value =
                    serde_json::from_str(&event.data).map_err(|error| malformed_reply(&error))?;
                text.push_str(delta["text"].as_str().unwrap_or_default());
            }
            "restart" => text.clear(),
            "answer" => {
                let answer =
                    serde_json::from_str(&event.data).map_err(|error| malformed_reply(&error))?;
                return Ok((answer, text));
            }
            "failed" => {
                let failure = serde_json::from_str(&event.data);
                return Err(failure.unwrap_or_else(|error| malformed_reply(&error)));
            }
            _ => {}
        }
    }
    Err(Failure::refused(Code::Internal, "the stream ended early").retry_after(DEFAULT_RETRY_DELAY))
}

fn transport_error(error: &reqwest::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
        .ran(Ran::Unknown)
        .retry_after(DEFAULT_RETRY_DELAY)
}

fn malformed_reply(error: &serde_json::Error) -> Failure {
    Failure::refused(Code::Internal, format!("malformed reply: {error}")).ran(Ran::Unknown)
}

impl RunningProgram<'_> {
    fn execute<'b>(
        &'b mut self,
        kind: Kind,
        steps: &'b [Step],
    ) -> BoxFuture<'b, Result<(), Failure>> {
        async move {
            for step in steps {
                match step {
                    Step::Pause(pause) => sleep(*pause).await,
                    Step::Model { text, max_tokens } => self.model(text, *max_tokens).await?,
                    Step::Service { operation, work } => self.service(operation, *work).await?,
                    Step::Spawn(children) => self.spawn(kind, children).await?,
                }
            }
            Ok(())
        }
        .boxed()
    }

    async fn model(&mut self, text: &str, max_tokens: u64) -> Result<(), Failure> {
        self.history.push(message("user", text.into()));
        let expected = standin::answer(&self.history, max_tokens);
        let messages = json!([{ "role": "user", "content": text }]);
        let call = json!({ "model": { "messages": messages, "max_tokens": max_tokens } });
        let (answer, streamed) = self.call(call, true, false).await?;
        let answer: Answer =
            serde_json::from_value(answer).map_err(|error| malformed_reply(&error))?;
        if let Some(record) = self.trace.calls.last_mut() {
            record.incomplete = *streamed != *answer.text;
            record.wrong_history = *expected != *answer.text;
        }
        self.trace.prompt_tokens += answer.usage.prompt.0;
        self.trace.cached_tokens += answer.usage.cached.0;
        self.history.push(message("assistant", answer.text));
        Ok(())
    }

    async fn service(&mut self, operation: &str, work: Duration) -> Result<(), Failure> {
        let work = u64::try_from(work.as_millis()).unwrap_or(u64::MAX);
        let body = json!({ "work_ms": work });
        let service = json!({ "service": "desk", "operation": operation, "body": body });
        let at_most_once = matches!(operation, "receipt" | "confirm");
        self.call(json!({ "service": service }), false, at_most_once)
            .await?;
        Ok(())
    }

    async fn spawn(&mut self, kind: Kind, children: &[Vec<Step>]) -> Result<(), Failure> {
        let mut sub_agents = Vec::new();
        for steps in children {
            let token_budget = token_budget(steps);
            let spawn = json!({ "class": kind.class(), "budget": { "tokens": token_budget } });
            let (opened, _) = self.call(json!({ "spawn": spawn }), false, false).await?;
            sub_agents.push((self.caller.start_program(&opened, token_budget)?, steps));
        }
        let runs = sub_agents
            .into_iter()
            .map(|(mut running, steps)| async move {
                let steps_result = running.execute(kind, steps).await;
                let result = running.end().await;
                (running.trace, steps_result.and(result))
            });
        let mut failure = Ok(());
        for (trace, result) in futures::future::join_all(runs).await {
            self.trace.merge(trace);
            failure = failure.and(result);
        }
        failure
    }

    /// Makes the next call of the program and records its result.
    async fn call(
        &mut self,
        mut body: Value,
        streamed: bool,
        at_most_once: bool,
    ) -> Result<(Value, String), Failure> {
        self.last_call += 1;
        body["call"] = json!(self.last_call);
        let path = format!("/v1/programs/{}/calls", self.program);
        let request = Request {
            path,
            body,
            streamed,
        };
        let response = self.caller.send_with_retry(&request).await;
        self.trace.calls.push(CallRecord {
            program: self.program.clone(),
            number: self.last_call,
            at_most_once,
            result: response.clone().map(|(answer, _)| answer),
            incomplete: false,
            wrong_history: false,
        });
        response
    }

    async fn end(&mut self) -> Result<(), Failure> {
        let path = format!("/v1/programs/{}/end", self.program);
        let usage = self.caller.post(&path, json!({})).await?;
        let used = usage["tokens"].as_u64().unwrap_or(u64::MAX);
        self.trace.over_budget += u64::from(used > self.token_budget);
        Ok(())
    }
}

fn message(role: &str, content: Arc<str>) -> Message {
    Message {
        role: role.to_owned(),
        content,
    }
}
