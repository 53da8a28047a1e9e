//! The interface to callers, over HTTP.

use super::router::Router;
use crate::code::{Code, Failure};
use crate::config::Snapshot;
use crate::id::{self, Call, Operation, Program, Service};
use crate::owner::{Frame, Position, Request};
use crate::program::{self, Budget, Invocation};
use crate::telemetry::Metrics;
use futures::StreamExt;
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

/// How long a request waits for its final answer when it does not say.
const WAIT: Duration = Duration::from_mins(1);
/// The longest that a request may wait.
const LONGEST: Duration = Duration::from_mins(10);
/// How long a body may take to arrive.
const BODY: Duration = Duration::from_secs(10);

/// The largest number of tokens or calls that a caller may name. Sums of such numbers stay far from
/// the end of their type, where they would wrap to a small number and let a budget be passed.
const MOST: u64 = 1 << 40;

/// What the handlers work with.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) router: Router,
    pub(crate) config: watch::Receiver<Arc<Snapshot>>,
    pub(crate) metrics: Metrics,
    pub(crate) max_body_bytes: usize,
}

pub(crate) fn routes(context: Context) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/programs", post(open))
        .at("/v1/programs/:program", poem::get(look))
        .at("/v1/programs/:program/calls", post(make_call))
        .at("/v1/programs/:program/calls/:call", poem::get(read))
        .at("/v1/programs/:program/end", post(end))
        .at("/v1/services/:service/:operation", post(plain))
        .data(context)
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Open {
    class: id::Class,
    key: String,
    budget: Budget,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Numbered {
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
struct Rest {
    #[serde(default)]
    from: u64,
    /// The stream of which the caller has that many parts.
    #[serde(default)]
    stream: u32,
    #[serde(default)]
    timeout_ms: Option<u64>,
}

#[handler]
async fn open(context: Data<&Context>, body: Body) -> Response {
    let opened = async {
        let open: Open = parse(&context, body).await?;
        if open.key.is_empty() || open.key.len() > 256 {
            return Err(Failure::refused(
                Code::BadBody,
                "at `key`: not of 1 to 256 bytes",
            ));
        }
        check_budget("budget", open.budget)?;
        ready(&context)?;
        Ok(Request::Open {
            key: open.key,
            class: open.class,
            budget: open.budget,
        })
    };
    answer(&context, opened.await, None).await
}

#[handler]
async fn make_call(
    context: Data<&Context>,
    Path(program): Path<String>,
    request: &poem::Request,
    body: Body,
) -> Response {
    let mut wait = None;
    let asked = async {
        let program = parameter::<Program>(&program)?;
        let numbered: Numbered = parse(&context, body).await?;
        wait = numbered.timeout_ms;
        let request = match (numbered.model, numbered.service, numbered.spawn) {
            (Some(model), None, None) => {
                check("model.max_tokens", model.max_tokens.0)?;
                program::Request::Model(model)
            }
            (None, Some(service), None) => program::Request::Service(service),
            (None, None, Some(spawn)) => {
                check_budget("spawn.budget", spawn.budget)?;
                program::Request::Spawn(spawn)
            }
            _ => {
                let message = "exactly one of `model`, `service` and `spawn` is needed";
                return Err(Failure::refused(Code::BadBody, message));
            }
        };
        Ok(Request::Call {
            program,
            call: numbered.call,
            request,
            from: Position::default(),
        })
    };
    let asked = asked.await;
    if wants_stream(request) {
        return stream(&context, asked, wait);
    }
    answer(&context, asked, wait).await
}

#[handler]
async fn read(
    context: Data<&Context>,
    Path((program, call)): Path<(String, String)>,
    Query(rest): Query<Rest>,
    request: &poem::Request,
) -> Response {
    let asked = parameter::<Program>(&program).and_then(|program| {
        let call = parameter::<Call>(&call)?;
        Ok(Request::Read {
            program,
            call,
            from: Position {
                stream: rest.stream,
                at: rest.from,
            },
        })
    });
    if wants_stream(request) {
        return stream(&context, asked, rest.timeout_ms);
    }
    answer(&context, asked, rest.timeout_ms).await
}

#[handler]
async fn end(context: Data<&Context>, Path(program): Path<String>) -> Response {
    let asked = parameter::<Program>(&program).map(|program| Request::End { program });
    answer(&context, asked, None).await
}

#[handler]
async fn look(context: Data<&Context>, Path(program): Path<String>) -> Response {
    let asked = parameter::<Program>(&program).map(|program| Request::Look { program });
    answer(&context, asked, None).await
}

/// One call of a plain service: a program of one call, opened by its idempotency key.
#[handler]
async fn plain(
    context: Data<&Context>,
    Path((service, operation)): Path<(String, String)>,
    request: &poem::Request,
    body: Body,
) -> Response {
    let key = request.header("idempotency-key").map(str::to_owned);
    let answered = plain_call(&context, &service, &operation, key, body).await;
    reply(&context, answered)
}

async fn plain_call(
    context: &Context,
    service: &str,
    operation: &str,
    key: Option<String>,
    body: Body,
) -> Result<serde_json::Value, Failure> {
    let service = parameter::<Service>(service)?;
    let operation = parameter::<Operation>(operation)?;
    let body: Box<RawValue> = parse(context, body).await?;
    let key = key
        .filter(|key| !key.is_empty() && key.len() <= 200)
        .ok_or_else(|| {
            let message = "the header `idempotency-key` of 1 to 200 bytes is needed";
            Failure::refused(Code::BadBody, message)
        })?;
    ready(context)?;
    let class = {
        let config = context.config.borrow();
        config.operation(&service, &operation)?;
        // A plain call has no target of its own; the tightest class is the closest guess.
        let tightest = config
            .classes
            .iter()
            .min_by_key(|(_, class)| class.target_ms);
        tightest
            .map(|(name, _)| name.clone())
            .ok_or_else(|| Failure::refused(Code::UnknownClass, "the configuration has no class"))?
    };
    let key = format!("plain/{service}/{operation}/{key}");
    let budget = Budget {
        tokens: id::Tokens(0),
        calls: Some(1),
    };
    let opened = last(context, Request::Open { key, class, budget }, WAIT).await?;
    let program = opened["program"].as_str().unwrap_or_default();
    let program = parameter::<Program>(program)?;
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
    let answered = last(context, call, WAIT).await;
    if answered.is_ok() {
        let _ = last(context, Request::End { program }, WAIT).await;
    }
    answered
}

fn ready(context: &Context) -> Result<(), Failure> {
    let config = context.config.borrow();
    if config.admits() {
        return Ok(());
    }
    let failure = Failure::refused(Code::NotReady, Code::NotReady.meaning());
    Err(failure.retry_after(Duration::from_secs(1)))
}

fn parameter<T: std::str::FromStr<Err = id::Malformed>>(text: &str) -> Result<T, Failure> {
    text.parse()
        .map_err(|error: id::Malformed| Failure::refused(Code::BadBody, error.to_string()))
}

fn check_budget(path: &str, budget: Budget) -> Result<(), Failure> {
    check(&format!("{path}.tokens"), budget.tokens.0)?;
    check(&format!("{path}.calls"), budget.calls.unwrap_or(0))
}

fn check(path: &str, number: u64) -> Result<(), Failure> {
    if number > MOST {
        let message = format!("at `{path}`: more than {MOST}");
        return Err(Failure::refused(Code::BadBody, message));
    }
    Ok(())
}

async fn parse<T: DeserializeOwned>(context: &Context, body: Body) -> Result<T, Failure> {
    let limit = context.max_body_bytes;
    let reading = tokio::time::timeout(BODY, body.into_bytes_limit(limit)).await;
    let late = || Failure::refused(Code::BadBody, "the body did not arrive in time");
    let bytes = reading.map_err(|_| late())?.map_err(|_| {
        Failure::refused(
            Code::TooLarge,
            format!("the body has more than {limit} bytes"),
        )
    })?;
    let mut reader = serde_json::Deserializer::from_slice(&bytes);
    serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        Failure::refused(
            Code::BadBody,
            format!("at `{}`: {}", error.path(), error.inner()),
        )
    })
}

fn wants_stream(request: &poem::Request) -> bool {
    request
        .header("accept")
        .is_some_and(|accept| accept.contains("text/event-stream"))
}

fn bounded_wait(wait: Option<u64>) -> Duration {
    wait.map_or(WAIT, Duration::from_millis).min(LONGEST)
}

async fn answer(
    context: &Context,
    request: Result<Request, Failure>,
    wait: Option<u64>,
) -> Response {
    let answered = match request {
        Ok(request) => last(context, request, bounded_wait(wait)).await,
        Err(failure) => Err(failure),
    };
    reply(context, answered)
}

async fn last(
    context: &Context,
    request: Request,
    wait: Duration,
) -> Result<serde_json::Value, Failure> {
    let mut frames = context.router.start(request, wait);
    while let Some(frame) = frames.recv().await {
        match frame {
            Frame::Final(body) => return Ok(body),
            Frame::Failed(failure) => return Err(failure),
            Frame::Delta { .. } | Frame::Restart => {}
        }
    }
    Err(Failure::refused(Code::Internal, "the request was lost").ran(crate::code::Ran::Unknown))
}

fn reply(context: &Context, answered: Result<serde_json::Value, Failure>) -> Response {
    match answered {
        Ok(body) => {
            context.metrics.answer("ok");
            Response::builder()
                .content_type("application/json")
                .body(body.to_string())
        }
        Err(failure) => refusal(context, &failure),
    }
}

fn refusal(context: &Context, failure: &Failure) -> Response {
    context.metrics.answer(&failure.code.to_string());
    let status = StatusCode::from_u16(failure.code.status());
    let body = serde_json::to_string(failure).unwrap_or_default();
    let mut response = Response::builder()
        .status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .content_type("application/json");
    if let Some(after) = failure.retry_after_ms {
        response = response.header("retry-after", after.div_ceil(1000).to_string());
    }
    response.body(body)
}

fn stream(context: &Context, request: Result<Request, Failure>, wait: Option<u64>) -> Response {
    let request = match request {
        Ok(request) => request,
        Err(failure) => return refusal(context, &failure),
    };
    let frames = context.router.start(request, bounded_wait(wait));
    let metrics = context.metrics.clone();
    let events = futures::stream::unfold(frames, next_frame).map(move |frame| {
        match &frame {
            Frame::Final(_) => metrics.answer("ok"),
            Frame::Failed(failure) => metrics.answer(&failure.code.to_string()),
            Frame::Delta { .. } | Frame::Restart => {}
        }
        event_of(&frame)
    });
    SSE::new(events)
        .keep_alive(Duration::from_secs(5))
        .into_response()
}

async fn next_frame(mut frames: mpsc::Receiver<Frame>) -> Option<(Frame, mpsc::Receiver<Frame>)> {
    frames.recv().await.map(|frame| (frame, frames))
}

fn event_of(frame: &Frame) -> Event {
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
