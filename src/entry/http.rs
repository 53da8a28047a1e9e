//! HTTP API for callers.

use super::router::Router;
use crate::code::{Code, Failure};
use crate::config::Snapshot;
use crate::id::{self, Call, Operation, Program, Service};
use crate::intake::{Intake, Kind, Link, ReadError, read_body};
use crate::owner::{Frame, Position, Request};
use crate::program::{self, Budget, Invocation};
use crate::telemetry::{Metrics, event};
use futures::StreamExt;
use http_body_util::combinators::BoxBody;
use poem::http::StatusCode;
use poem::web::sse::{Event, SSE};
use poem::web::{Data, Path, Query};
use poem::{Body, EndpointExt, IntoEndpoint, IntoResponse, Response, Route, handler, post};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Timeout of requests that set no `timeout_ms`.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Upper bound on `timeout_ms`.
const MAX_TIMEOUT: Duration = Duration::from_mins(10);
/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of tokens or calls that a caller may pass. Sums of such numbers cannot overflow
/// and thereby bypass a budget.
const MAX_BUDGET_VALUE: u64 = 1 << 40;

/// Shared state of the HTTP handlers.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) router: Router,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) metrics: Metrics,
    pub(crate) max_body_bytes: usize,
    pub(crate) intake: Intake,
}

pub(crate) fn routes(context: Context) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/programs", post(open_program))
        .at("/v1/programs/:program", poem::get(program_state))
        .at("/v1/programs/:program/calls", post(make_call))
        .at("/v1/programs/:program/calls/:call", poem::get(read_call))
        .at("/v1/programs/:program/end", post(end_program))
        .at("/v1/services/:service/:operation", post(plain_call))
        .data(context)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenBody {
    class: id::Class,
    key: String,
    budget: Budget,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CallBody {
    call: Call,
    #[serde(default)]
    model: Option<program::Prompt>,
    #[serde(default)]
    service: Option<Invocation>,
    #[serde(default)]
    spawn: Option<program::Spawn>,
    #[serde(default)]
    timeout_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ReadQuery {
    /// Number of chunks that the caller already has.
    #[serde(default)]
    from: u64,
    /// Number of the stream that these chunks belong to; each run of a call starts a new one.
    #[serde(default)]
    stream: u32,
    #[serde(default)]
    timeout_ms: Option<u64>,
}

#[handler]
async fn open_program(context: Data<&Context>, link: Data<&Arc<Link>>, body: Body) -> Response {
    let request = async {
        let open: OpenBody = parse_body(&context, &link, body).await?;
        if open.key.is_empty() || open.key.len() > 256 {
            return Err(Failure::refused(
                Code::BadBody,
                "at `key`: must have 1 to 256 bytes",
            ));
        }
        check_budget("budget", open.budget)?;
        check_admission(&context)?;
        Ok(Request::Open {
            key: open.key,
            class: open.class,
            budget: open.budget,
        })
    };
    respond(&context, request.await, None).await
}

#[handler]
async fn make_call(
    context: Data<&Context>,
    link: Data<&Arc<Link>>,
    Path(program): Path<String>,
    request: &poem::Request,
    body: Body,
) -> Response {
    let mut timeout_ms = None;
    let owner_request = async {
        let program = parse_parameter::<Program>(&program)?;
        let call_body: CallBody = parse_body(&context, &link, body).await?;
        timeout_ms = call_body.timeout_ms;
        let request = match (call_body.model, call_body.service, call_body.spawn) {
            (Some(model), None, None) => {
                check_limit("model.max_tokens", model.max_tokens.0)?;
                program::Request::Model(model)
            }
            (None, Some(service), None) => program::Request::Service(service),
            (None, None, Some(spawn)) => {
                check_budget("spawn.budget", spawn.budget)?;
                program::Request::Spawn(spawn)
            }
            _ => {
                let message = "exactly one of `model`, `service` and `spawn` is required";
                return Err(Failure::refused(Code::BadBody, message));
            }
        };
        Ok(Request::Call {
            program,
            call: call_body.call,
            request,
            from: Position::default(),
        })
    };
    let owner_request = owner_request.await;
    if accepts_stream(request) {
        return respond_stream(&context, owner_request, timeout_ms);
    }
    respond(&context, owner_request, timeout_ms).await
}

#[handler]
async fn read_call(
    context: Data<&Context>,
    Path((program, call)): Path<(String, String)>,
    Query(query): Query<ReadQuery>,
    request: &poem::Request,
) -> Response {
    let owner_request = parse_parameter::<Program>(&program).and_then(|program| {
        let call = parse_parameter::<Call>(&call)?;
        Ok(Request::Read {
            program,
            call,
            from: Position {
                stream: query.stream,
                at: query.from,
            },
        })
    });
    if accepts_stream(request) {
        return respond_stream(&context, owner_request, query.timeout_ms);
    }
    respond(&context, owner_request, query.timeout_ms).await
}

#[handler]
async fn end_program(context: Data<&Context>, Path(program): Path<String>) -> Response {
    let request = parse_parameter::<Program>(&program).map(|program| Request::End { program });
    respond(&context, request, None).await
}

#[handler]
async fn program_state(context: Data<&Context>, Path(program): Path<String>) -> Response {
    let request = parse_parameter::<Program>(&program).map(|program| Request::Look { program });
    respond(&context, request, None).await
}

/// Calls a plain service outside a program. Internally this is a program with one call, opened
/// with the idempotency key.
#[handler]
async fn plain_call(
    context: Data<&Context>,
    link: Data<&Arc<Link>>,
    Path((service, operation)): Path<(String, String)>,
    request: &poem::Request,
    body: Body,
) -> Response {
    let key = request.header("idempotency-key").map(str::to_owned);
    let result = run_plain_call(&context, &link, (&service, &operation), key, body).await;
    json_response(&context, result)
}

async fn run_plain_call(
    context: &Context,
    link: &Link,
    (service, operation): (&str, &str),
    key: Option<String>,
    body: Body,
) -> Result<serde_json::Value, Failure> {
    let service = parse_parameter::<Service>(service)?;
    let operation = parse_parameter::<Operation>(operation)?;
    let body: Box<RawValue> = parse_body(context, link, body).await?;
    let key = key
        .filter(|key| !key.is_empty() && key.len() <= 200)
        .ok_or_else(|| {
            let message = "an `idempotency-key` header with 1 to 200 bytes is required";
            Failure::refused(Code::BadBody, message)
        })?;
    check_admission(context)?;
    let class = {
        let config = context.config.borrow();
        config.operation(&service, &operation)?;
        // Plain calls have no class; use the one with the shortest target time.
        let most_urgent = config
            .classes
            .iter()
            .min_by_key(|(_, class)| class.target_ms);
        most_urgent.map(|(name, _)| name.clone()).ok_or_else(|| {
            Failure::refused(Code::UnknownClass, "the configuration has no classes")
        })?
    };
    let key = format!("plain/{service}/{operation}/{key}");
    let budget = Budget {
        tokens: id::Tokens(0),
        calls: Some(1),
    };
    let opened = final_answer(
        context,
        Request::Open { key, class, budget },
        DEFAULT_TIMEOUT,
    )
    .await?;
    let program = opened["program"].as_str().unwrap_or_default();
    let program = parse_parameter::<Program>(program)?;
    let request = program::Request::Service(Invocation {
        service,
        operation,
        body,
    });
    let call = Request::Call {
        program,
        call: Call(1),
        request,
        from: Position::default(),
    };
    let result = final_answer(context, call, DEFAULT_TIMEOUT).await;
    if result.is_ok() {
        let _ = final_answer(context, Request::End { program }, DEFAULT_TIMEOUT).await;
    }
    result
}

/// Fails if the configuration does not allow programs to be admitted.
fn check_admission(context: &Context) -> Result<(), Failure> {
    let config = context.config.borrow();
    if config.allows_admission() {
        return Ok(());
    }
    let failure = Failure::refused(Code::NotReady, Code::NotReady.meaning());
    Err(failure.retry_after(Duration::from_secs(1)))
}

fn parse_parameter<T: std::str::FromStr<Err = id::ParseError>>(text: &str) -> Result<T, Failure> {
    text.parse()
        .map_err(|error: id::ParseError| Failure::refused(Code::BadBody, error.to_string()))
}

fn check_budget(path: &str, budget: Budget) -> Result<(), Failure> {
    check_limit(&format!("{path}.tokens"), budget.tokens.0)?;
    check_limit(&format!("{path}.calls"), budget.calls.unwrap_or(0))
}

fn check_limit(path: &str, number: u64) -> Result<(), Failure> {
    if number > MAX_BUDGET_VALUE {
        let message = format!("at `{path}`: more than {MAX_BUDGET_VALUE}");
        return Err(Failure::refused(Code::BadBody, message));
    }
    Ok(())
}

async fn parse_body<T: DeserializeOwned>(
    context: &Context,
    link: &Link,
    body: Body,
) -> Result<T, Failure> {
    let (intake, limit) = (&context.intake, context.max_body_bytes);
    let deadline = Instant::now() + BODY_TIMEOUT;
    link.set_deadline(deadline);
    let body = BoxBody::from(body);
    let body = read_body(intake, link, Kind::Body, body, limit, deadline).await;
    let body = body.map_err(|error| match error {
        ReadError::TooLarge => {
            let message = format!("the body has more than {limit} bytes");
            Failure::refused(Code::TooLarge, message)
        }
        ReadError::EndedEarly => Failure::refused(Code::BadBody, "the body ended early"),
        ReadError::Late => Failure::refused(Code::BadBody, "timed out while receiving the body"),
        ReadError::NoRoom(shortage) => {
            event!(
                info,
                "request_refused",
                peer = link.peer(),
                code = Code::NoRoom,
                reason = shortage
            );
            let failure = Failure::refused(Code::NoRoom, shortage.to_string());
            failure.retry_after(shortage.retry_after)
        }
    })?;
    let bytes = body.to_bytes();
    let mut deserializer = serde_json::Deserializer::from_slice(&bytes);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        Failure::refused(
            Code::BadBody,
            format!("at `{}`: {}", error.path(), error.inner()),
        )
    })
}

fn accepts_stream(request: &poem::Request) -> bool {
    request
        .header("accept")
        .is_some_and(|accept| accept.contains("text/event-stream"))
}

fn request_timeout(timeout_ms: Option<u64>) -> Duration {
    timeout_ms
        .map_or(DEFAULT_TIMEOUT, Duration::from_millis)
        .min(MAX_TIMEOUT)
}

/// Sends a request to the owner and responds with its final answer as JSON.
async fn respond(
    context: &Context,
    request: Result<Request, Failure>,
    timeout_ms: Option<u64>,
) -> Response {
    let result = match request {
        Ok(request) => final_answer(context, request, request_timeout(timeout_ms)).await,
        Err(failure) => Err(failure),
    };
    json_response(context, result)
}

/// Sends a request to the owner and waits for the final answer; skips streamed text.
async fn final_answer(
    context: &Context,
    request: Request,
    timeout: Duration,
) -> Result<serde_json::Value, Failure> {
    let mut frames = context.router.start(request, timeout);
    while let Some(frame) = frames.recv().await {
        match frame {
            Frame::Final(body) => return Ok(body),
            Frame::Failed(failure) => return Err(failure),
            Frame::Delta { .. } | Frame::Restart => {}
        }
    }
    Err(
        Failure::refused(Code::Internal, "the request ended without an answer")
            .ran(crate::code::Ran::Unknown),
    )
}

fn json_response(context: &Context, result: Result<serde_json::Value, Failure>) -> Response {
    match result {
        Ok(body) => {
            context.metrics.answer("ok");
            Response::builder()
                .content_type("application/json")
                .body(body.to_string())
        }
        Err(failure) => failure_response(context, &failure),
    }
}

fn failure_response(context: &Context, failure: &Failure) -> Response {
    context.metrics.answer(&failure.code.to_string());
    let status = StatusCode::from_u16(failure.code.status());
    let body = serde_json::to_string(failure).unwrap_or_default();
    let mut response = Response::builder()
        .status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .content_type("application/json");
    if let Some(delay_ms) = failure.retry_after_ms {
        response = response.header("retry-after", delay_ms.div_ceil(1000).to_string());
    }
    response.body(body)
}

/// Sends a request to the owner and responds with its frames as server-sent events.
fn respond_stream(
    context: &Context,
    request: Result<Request, Failure>,
    timeout_ms: Option<u64>,
) -> Response {
    let request = match request {
        Ok(request) => request,
        Err(failure) => return failure_response(context, &failure),
    };
    let frames = context.router.start(request, request_timeout(timeout_ms));
    let metrics = context.metrics.clone();
    let events = futures::stream::unfold(frames, next_frame).map(move |frame| {
        match &frame {
            Frame::Final(_) => metrics.answer("ok"),
            Frame::Failed(failure) => metrics.answer(&failure.code.to_string()),
            Frame::Delta { .. } | Frame::Restart => {}
        }
        to_event(&frame)
    });
    SSE::new(events)
        .keep_alive(Duration::from_secs(5))
        .into_response()
}

async fn next_frame(mut frames: mpsc::Receiver<Frame>) -> Option<(Frame, mpsc::Receiver<Frame>)> {
    frames.recv().await.map(|frame| (frame, frames))
}

fn to_event(frame: &Frame) -> Event {
    match frame {
        Frame::Delta { at, text } => {
            let Position { stream, at } = at;
            let body = serde_json::json!({ "stream": stream, "at": at, "text": text });
            Event::message(body.to_string()).event_type("delta")
        }
        Frame::Restart => Event::message("{}").event_type("restart"),
        Frame::Final(body) => Event::message(body.to_string()).event_type("answer"),
        Frame::Failed(failure) => {
            Event::message(serde_json::to_string(failure).unwrap_or_default()).event_type("failed")
        }
    }
}
