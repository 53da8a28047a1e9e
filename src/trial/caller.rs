//! The callers of a trial: they open programs, make numbered calls, and keep what they saw.

use super::plan::{Kind, Plan, Step, budget};
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

/// How long a caller goes on asking for one answer.
const PATIENCE: Duration = Duration::from_mins(1);
/// The pause before a caller asks again when it was not told when to.
const AGAIN: Duration = Duration::from_millis(200);

/// What became of one call.
#[derive(Debug, Clone)]
pub(super) struct Seen {
    pub(super) program: String,
    pub(super) call: u64,
    /// Whether its effect must not be repeated.
    pub(super) once: bool,
    pub(super) ended: Result<Value, Failure>,
    /// The streamed parts did not add up to the answer.
    pub(super) incomplete: bool,
    /// The answer is not the one to exactly this program's history.
    pub(super) mixed: bool,
}

/// What became of one program, its sub-agents among it.
#[derive(Debug, Clone)]
pub(super) struct Outcome {
    pub(super) kind: Kind,
    /// From the caller's first request to its last answer.
    pub(super) took: Duration,
    /// The failure that stopped it short.
    pub(super) failure: Option<Failure>,
    pub(super) trace: Trace,
}

/// What a program and its sub-agents saw.
#[derive(Debug, Clone, Default)]
pub(super) struct Trace {
    pub(super) programs: Vec<String>,
    pub(super) calls: Vec<Seen>,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
    /// Programs whose account passed their budget.
    pub(super) overspent: u64,
}

impl Trace {
    fn absorb(&mut self, other: Self) {
        self.programs.extend(other.programs);
        self.calls.extend(other.calls);
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.overspent += other.overspent;
    }
}

/// A model's answer as the caller gets it.
#[derive(Debug, Deserialize)]
struct Answer {
    text: Arc<str>,
    usage: Usage,
}

/// A request that may be asked again at another VM.
#[derive(Debug)]
struct Asked {
    path: String,
    body: Value,
    streamed: bool,
}

/// A caller's client: each request goes to any VM, as behind a balancer.
#[derive(Debug)]
pub(super) struct Caller {
    http: reqwest::Client,
    entries: Vec<SocketAddr>,
}

/// One program while it runs.
struct Agent<'a> {
    caller: &'a Caller,
    program: String,
    budget: u64,
    call: u64,
    history: Vec<Message>,
    trace: Trace,
}

impl Caller {
    pub(super) fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            http: reqwest::Client::new(),
            entries,
        }
    }

    /// Runs a program from its opening to its end.
    pub(super) async fn run(&self, plan: Plan) -> Outcome {
        sleep(plan.after).await;
        let started = Instant::now();
        let mut trace = Trace::default();
        let mut took = Duration::ZERO;
        let ended = self.run_steps(&plan, started, &mut took, &mut trace).await;
        Outcome {
            kind: plan.kind,
            took: if ended.is_ok() {
                took
            } else {
                started.elapsed()
            },
            failure: ended.err(),
            trace,
        }
    }

    async fn run_steps(
        &self,
        plan: &Plan,
        started: Instant,
        took: &mut Duration,
        trace: &mut Trace,
    ) -> Result<(), Failure> {
        let budget = budget(&plan.steps);
        let body = json!({
            "class": plan.kind.class(), "key": plan.key, "budget": { "tokens": budget },
        });
        let opened = self.ask("/v1/programs", body).await?;
        let mut agent = self.agent(&opened, budget)?;
        let worked = agent.work(plan.kind, &plan.steps).await;
        *took = started.elapsed();
        let ended = agent.end().await;
        trace.absorb(agent.trace);
        worked.and(ended)
    }

    fn agent(&self, opened: &Value, budget: u64) -> Result<Agent<'_>, Failure> {
        let program = opened["program"].as_str().map(str::to_owned);
        let missing = || Failure::refused(Code::Internal, "the reply names no program");
        let program = program.ok_or_else(missing)?;
        let mut trace = Trace::default();
        trace.programs.push(program.clone());
        Ok(Agent {
            caller: self,
            program,
            budget,
            call: 0,
            history: Vec::new(),
            trace,
        })
    }

    async fn ask(&self, path: &str, body: Value) -> Result<Value, Failure> {
        let asked = Asked {
            path: path.to_owned(),
            body,
            streamed: false,
        };
        self.persist(&asked).await.map(|(answer, _)| answer)
    }

    /// Asks until there is a final answer; asking for the same call again is always safe.
    async fn persist(&self, asked: &Asked) -> Result<(Value, String), Failure> {
        let until = Instant::now() + PATIENCE;
        loop {
            let failure = match self.once(asked).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => failure,
            };
            let pause = failure.retry_after_ms.map(Duration::from_millis);
            if pause.is_none() || Instant::now() > until {
                return Err(failure);
            }
            sleep(pause.unwrap_or(AGAIN)).await;
        }
    }

    /// The answer of one request, and the text that was streamed before it.
    async fn once(&self, asked: &Asked) -> Result<(Value, String), Failure> {
        let entry = self.entries[rand::rng().random_range(0..self.entries.len())];
        let url = format!("http://{entry}{}", asked.path);
        let request = self.http.post(url).timeout(PATIENCE).json(&asked.body);
        let request = if asked.streamed {
            request.header("accept", "text/event-stream")
        } else {
            request
        };
        let reply = request.send().await.map_err(|error| broken(&error))?;
        if asked.streamed && reply.status().is_success() {
            return follow(reply).await;
        }
        let succeeded = reply.status().is_success();
        let body = reply.bytes().await.map_err(|error| broken(&error))?;
        if succeeded {
            let answer = serde_json::from_slice(&body).map_err(|error| malformed(&error))?;
            return Ok((answer, String::new()));
        }
        Err(serde_json::from_slice(&body).unwrap_or_else(|error| malformed(&error)))
    }
}

/// Follows an event stream to its final event.
async fn follow(reply: reqwest::Response) -> Result<(Value, String), Failure> {
    let mut text = String::new();
    let mut events = std::pin::pin!(reply.bytes_stream().eventsource());
    while let Some(event) = events.next().await {
        let cut = |error: String| Failure::refused(Code::Internal, error).retry_after(AGAIN);
        let event = event.map_err(|error| cut(error.to_string()))?;
        match event.event.as_str() {
            "delta" => {
                let delta: Value =
                    serde_json::from_str(&event.data).map_err(|error| malformed(&error))?;
                text.push_str(delta["text"].as_str().unwrap_or_default());
            }
            "restart" => text.clear(),
            "answer" => {
                let answer =
                    serde_json::from_str(&event.data).map_err(|error| malformed(&error))?;
                return Ok((answer, text));
            }
            "failed" => {
                let failure = serde_json::from_str(&event.data);
                return Err(failure.unwrap_or_else(|error| malformed(&error)));
            }
            _ => {}
        }
    }
    Err(Failure::refused(Code::Internal, "the stream ended early").retry_after(AGAIN))
}

fn broken(error: &reqwest::Error) -> Failure {
    Failure::refused(Code::Internal, error.to_string())
        .ran(Ran::Unknown)
        .retry_after(AGAIN)
}

fn malformed(error: &serde_json::Error) -> Failure {
    Failure::refused(Code::Internal, format!("malformed reply: {error}")).ran(Ran::Unknown)
}

impl Agent<'_> {
    fn work<'b>(&'b mut self, kind: Kind, steps: &'b [Step]) -> BoxFuture<'b, Result<(), Failure>> {
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
        let answer: Answer = serde_json::from_value(answer).map_err(|error| malformed(&error))?;
        if let Some(seen) = self.trace.calls.last_mut() {
            seen.incomplete = *streamed != *answer.text;
            seen.mixed = *expected != *answer.text;
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
        let once = matches!(operation, "receipt" | "confirm");
        self.call(json!({ "service": service }), false, once)
            .await?;
        Ok(())
    }

    async fn spawn(&mut self, kind: Kind, children: &[Vec<Step>]) -> Result<(), Failure> {
        let mut agents = Vec::new();
        for steps in children {
            let budget = budget(steps);
            let spawn = json!({ "class": kind.class(), "budget": { "tokens": budget } });
            let (opened, _) = self.call(json!({ "spawn": spawn }), false, false).await?;
            agents.push((self.caller.agent(&opened, budget)?, steps));
        }
        let ran = agents.into_iter().map(|(mut agent, steps)| async move {
            let worked = agent.work(kind, steps).await;
            let ended = agent.end().await;
            (agent.trace, worked.and(ended))
        });
        let mut failure = Ok(());
        for (trace, ended) in futures::future::join_all(ran).await {
            self.trace.absorb(trace);
            failure = failure.and(ended);
        }
        failure
    }

    /// Makes the next call and notes what became of it.
    async fn call(
        &mut self,
        mut body: Value,
        streamed: bool,
        once: bool,
    ) -> Result<(Value, String), Failure> {
        self.call += 1;
        body["call"] = json!(self.call);
        let path = format!("/v1/programs/{}/calls", self.program);
        let asked = Asked {
            path,
            body,
            streamed,
        };
        let answered = self.caller.persist(&asked).await;
        self.trace.calls.push(Seen {
            program: self.program.clone(),
            call: self.call,
            once,
            ended: answered.clone().map(|(answer, _)| answer),
            incomplete: false,
            mixed: false,
        });
        answered
    }

    async fn end(&mut self) -> Result<(), Failure> {
        let path = format!("/v1/programs/{}/end", self.program);
        let account = self.caller.ask(&path, json!({})).await?;
        let spent = account["tokens"].as_u64().unwrap_or(u64::MAX);
        self.trace.overspent += u64::from(spent > self.budget);
        Ok(())
    }
}

fn message(role: &str, content: Arc<str>) -> Message {
    Message {
        role: role.to_owned(),
        content,
    }
}
