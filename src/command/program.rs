//! `program`: a program by hand, and why it waits.

use super::client::Client;
use super::state::plain;
use super::{Exit, print_json, runtime};
use crate::code::{Code, Failure};
use crate::id::{Call, Class, Program, Tokens};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Map, Value, json};
use std::io::Write;
use std::net::SocketAddr;

/// What to do with a program.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Open one, once per key.
    Open {
        class: Class,
        key: String,
        tokens: Tokens,
        calls: Option<u64>,
    },
    /// Make a call; `body` holds `model`, `service` or `spawn`.
    Call {
        program: Program,
        call: Call,
        body: String,
    },
    /// Follow a call's answer as it comes.
    Watch { program: Program, call: Call },
    /// Tell its state.
    Show { program: Program },
    /// Tell why it waits; `operators` are addresses of VMs for operators.
    Why {
        program: Program,
        operators: Vec<SocketAddr>,
    },
    /// End it.
    End { program: Program },
}

/// Does it at the VM whose address for callers is `vm`.
pub(crate) fn run(vm: SocketAddr, action: Action, json: bool) -> Result<Exit, Failure> {
    let client = Client::new();
    let runtime = runtime()?;
    let answer = match action {
        Action::Watch { program, call } => {
            runtime.block_on(watch(&client, vm, program, call))?;
            return Ok(Exit::Success);
        }
        Action::Why { program, operators } => {
            return runtime.block_on(why(&client, vm, program, &operators, json));
        }
        Action::Open {
            class,
            key,
            tokens,
            calls,
        } => {
            let budget = json!({ "tokens": tokens, "calls": calls });
            let body = json!({ "class": class, "key": key, "budget": budget });
            runtime.block_on(client.post(vm, "/v1/programs", &body))?
        }
        Action::Call {
            program,
            call,
            body,
        } => {
            let mut body = parsed(&body)?;
            body.insert("call".to_owned(), json!(call));
            let path = format!("/v1/programs/{program}/calls");
            runtime.block_on(client.post(vm, &path, &Value::Object(body)))?
        }
        Action::Show { program } => {
            runtime.block_on(client.get(vm, &format!("/v1/programs/{program}")))?
        }
        Action::End { program } => {
            let path = format!("/v1/programs/{program}/end");
            runtime.block_on(client.post(vm, &path, &json!({})))?
        }
    };
    print(&answer, json)?;
    Ok(Exit::Success)
}

fn parsed(body: &str) -> Result<Map<String, Value>, Failure> {
    serde_json::from_str(body).map_err(|error| Failure::refused(Code::BadBody, error.to_string()))
}

/// For a person: the text of a model's answer alone, one line per field of anything else.
fn print(answer: &Value, json: bool) -> Result<(), Failure> {
    if json {
        return print_json(answer);
    }
    if let Some(text) = answer["text"].as_str() {
        println!("{text}");
        return Ok(());
    }
    for (key, value) in answer.as_object().into_iter().flatten() {
        println!("{key}: {}", plain(value));
    }
    Ok(())
}

async fn watch(
    client: &Client,
    vm: SocketAddr,
    program: Program,
    call: Call,
) -> Result<(), Failure> {
    let path = format!("/v1/programs/{program}/calls/{call}");
    let reply = client.stream(vm, &path).await?;
    let mut events = std::pin::pin!(reply.bytes_stream().eventsource());
    let mut out = std::io::stdout();
    let mut written = false;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| cut(&error.to_string()))?;
        let body: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.event.as_str() {
            "delta" => {
                written = true;
                let _ = write!(out, "{}", plain(&body["text"]));
                let _ = out.flush();
            }
            "restart" => println!("\n(the engine failed; the answer starts anew)"),
            "answer" if written => {
                println!();
                return Ok(());
            }
            "answer" => return print(&body, false),
            "failed" => {
                let failure = serde_json::from_str(&event.data);
                return Err(failure.unwrap_or_else(|_| cut("a malformed failure")));
            }
            _ => {}
        }
    }
    Err(cut("the stream ended early; watch again"))
}

fn cut(reason: &str) -> Failure {
    Failure::refused(Code::Unreachable, reason)
}

async fn why(
    client: &Client,
    vm: SocketAddr,
    program: Program,
    operators: &[SocketAddr],
    json: bool,
) -> Result<Exit, Failure> {
    let look = match client.get(vm, &format!("/v1/programs/{program}")).await {
        Ok(look) => look,
        Err(failure) if failure.code == Code::NoOwner => {
            let reason = "no VM owns its shard now; one claims it as soon as the log can be read";
            return told(program, reason, &Value::Null, json);
        }
        Err(failure) => return Err(failure),
    };
    let mut queues = Map::new();
    for operator in operators {
        let state = client.get(*operator, "/state").await?;
        for (pool, queue) in state["dispatch"].as_object().into_iter().flatten() {
            let vm = plain(&state["local"]["vm"]);
            queues.insert(format!("{pool} at {vm}"), queue.clone());
        }
    }
    let reason = reason(&look, &queues);
    told(program, &reason, &look, json)
}

fn told(program: Program, reason: &str, look: &Value, json: bool) -> Result<Exit, Failure> {
    if json {
        print_json(&json!({ "program": program, "reason": reason, "state": look }))?;
    } else {
        println!("{program}: {reason}");
    }
    Ok(Exit::Success)
}

fn reason(look: &Value, queues: &Map<String, Value>) -> String {
    if look["ended"] == true {
        return match look["ended_with"].as_str() {
            Some(code) => format!("it has ended with {code}"),
            None => "it has ended".to_owned(),
        };
    }
    let owner = plain(&look["owner"]);
    let next = plain(&look["next_call"]);
    let running = &look["running"];
    let Some(stage) = running["stage"].as_str() else {
        if !look["intent"].is_null() {
            return format!(
                "call {next} was sent once and has no outcome; {owner} is settling it with the service"
            );
        }
        return format!("nothing of it runs; {owner} waits for its caller to make call {next}");
    };
    let since = plain(&running["for_ms"]);
    let what = match stage {
        "permit" => format!("waits for a backend server{}", waiting(queues)),
        "journal_begun" => "waits for the log before it is sent to the engine".to_owned(),
        "journal_intent" => "waits for the log before it is sent, which happens once".to_owned(),
        "journal_done" => "has its answer and waits for the log to keep it".to_owned(),
        "stream" => format!(
            "is streamed by an engine, {} parts so far",
            running["parts"]
        ),
        "send" => "was sent to its service, which has not answered".to_owned(),
        other => format!("is at `{other}`"),
    };
    format!(
        "call {next} {what}; {since} ms so far, attempt {}, owner {owner}",
        running["attempt"]
    )
}

fn waiting(queues: &Map<String, Value>) -> String {
    let busy = queues
        .iter()
        .filter(|(_, queue)| queue["waiting"] != json!(0));
    let busy = busy.map(|(pool, queue)| format!("; {pool}: {} waiting", queue["waiting"]));
    busy.collect()
}
