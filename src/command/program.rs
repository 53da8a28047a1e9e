//! `program`: controls one program and explains what it is waiting for.

use super::client::Client;
use super::state::unquoted;
use super::{Exit, print_json, runtime};
use crate::code::{Code, Failure};
use crate::id::{Call, Class, Program, Tokens};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use serde_json::{Map, Value, json};
use std::io::Write;
use std::net::SocketAddr;

/// Subcommand of `program`.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Open a program; idempotent per key.
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
    /// Stream the answer of a call.
    Watch {
        program: Program,
        call: Call,
    },
    Show {
        program: Program,
    },
    /// Explain what the program is waiting for. `operators` are the operator addresses of VMs
    /// whose queue lengths are included.
    Why {
        program: Program,
        operators: Vec<SocketAddr>,
    },
    End {
        program: Program,
    },
}

/// Runs the action at the VM with the caller address `vm`.
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
            let mut body = parse_object(&body)?;
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

fn parse_object(body: &str) -> Result<Map<String, Value>, Failure> {
    serde_json::from_str(body).map_err(|error| Failure::refused(Code::BadBody, error.to_string()))
}

/// Without `json`, prints only the text of a model's answer, or one line per field otherwise.
fn print(answer: &Value, json: bool) -> Result<(), Failure> {
    if json {
        return print_json(answer);
    }
    if let Some(text) = answer["text"].as_str() {
        println!("{text}");
        return Ok(());
    }
    for (key, value) in answer.as_object().into_iter().flatten() {
        println!("{key}: {}", unquoted(value));
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
    let response = client.stream(vm, &path).await?;
    let mut events = std::pin::pin!(response.bytes_stream().eventsource());
    let mut out = std::io::stdout();
    let mut has_text = false;
    while let Some(event) = events.next().await {
        let event = event.map_err(|error| stream_error(&error.to_string()))?;
        let body: Value = serde_json::from_str(&event.data).unwrap_or_default();
        match event.event.as_str() {
            "delta" => {
                has_text = true;
                let _ = write!(out, "{}", unquoted(&body["text"]));
                let _ = out.flush();
            }
            "restart" => println!("\n(the engine failed; the answer restarts from the beginning)"),
            "answer" if has_text => {
                println!();
                return Ok(());
            }
            "answer" => return print(&body, false),
            "failed" => {
                let failure = serde_json::from_str(&event.data);
                return Err(failure.unwrap_or_else(|_| stream_error("malformed failure event")));
            }
            _ => {}
        }
    }
    Err(stream_error(
        "the stream ended before the answer was complete; run `watch` again",
    ))
}

fn stream_error(reason: &str) -> Failure {
    Failure::refused(Code::Unreachable, reason)
}

async fn why(
    client: &Client,
    vm: SocketAddr,
    program: Program,
    operators: &[SocketAddr],
    json: bool,
) -> Result<Exit, Failure> {
    let state = match client.get(vm, &format!("/v1/programs/{program}")).await {
        Ok(state) => state,
        Err(failure) if failure.code == Code::NoOwner => {
            let reason = "no VM owns its shard; one claims it as soon as the log is readable";
            return print_reason(program, reason, &Value::Null, json);
        }
        Err(failure) => return Err(failure),
    };
    let mut queues = Map::new();
    for operator in operators {
        let vm_state = client.get(*operator, "/state").await?;
        for (pool, queue) in vm_state["dispatch"].as_object().into_iter().flatten() {
            let vm = unquoted(&vm_state["local"]["vm"]);
            queues.insert(format!("{pool} at {vm}"), queue.clone());
        }
    }
    let reason = reason(&state, &queues);
    print_reason(program, &reason, &state, json)
}

fn print_reason(
    program: Program,
    reason: &str,
    state: &Value,
    json: bool,
) -> Result<Exit, Failure> {
    if json {
        print_json(&json!({ "program": program, "reason": reason, "state": state }))?;
    } else {
        println!("{program}: {reason}");
    }
    Ok(Exit::Success)
}

fn reason(program: &Value, queues: &Map<String, Value>) -> String {
    if program["ended"] == true {
        return match program["ended_with"].as_str() {
            Some(code) => format!("it has ended with code {code}"),
            None => "it has ended".to_owned(),
        };
    }
    let owner = unquoted(&program["owner"]);
    let next = unquoted(&program["next_call"]);
    let running = &program["running"];
    let Some(stage) = running["stage"].as_str() else {
        if !program["intent"].is_null() {
            return format!(
                "call {next} was sent and its outcome is unknown; {owner} is asking the service for it"
            );
        }
        return format!("no call is running; {owner} waits for its caller to make call {next}");
    };
    let elapsed_ms = unquoted(&running["for_ms"]);
    let status = match stage {
        "permit" => format!("waits for a backend server{}", queue_lengths(queues)),
        "journal_begun" => "waits for a log write before it is sent to the engine".to_owned(),
        "journal_intent" => {
            "waits for a log write before it is sent to the service, at most once".to_owned()
        }
        "journal_done" => "has its answer and waits for a log write of it".to_owned(),
        "stream" => format!(
            "is receiving an engine's answer, {} parts so far",
            running["parts"]
        ),
        "send" => "was sent to its service, which has not answered".to_owned(),
        other => format!("is in stage `{other}`"),
    };
    format!(
        "call {next} {status}; {elapsed_ms} ms so far, attempt {}, owner {owner}",
        running["attempt"]
    )
}

fn queue_lengths(queues: &Map<String, Value>) -> String {
    let nonempty = queues
        .iter()
        .filter(|(_, queue)| queue["waiting"] != json!(0));
    let nonempty = nonempty.map(|(pool, queue)| format!("; {pool}: {} waiting", queue["waiting"]));
    nonempty.collect()
}
