//! A program never spends more than its budget.

mod support;

use serde_json::{Value, json};
use support::{Environment, model};
use vanillatrail::id::{Call, Class, Digest, Program, Server, Shard, Tokens};
use vanillatrail::journal::Body;
use vanillatrail::program::{Answer, Budget, Message, Table, Usage};

/// Number of calls of the program that the engine has started.
fn started_calls(environment: &Environment, program: &str) -> u64 {
    let counters = environment.counters(environment.engines[0].address);
    counters["begun"][program].as_u64().unwrap_or(0)
}

/// Four children make calls in parallel until they are refused, at an engine that generates more
/// tokens than requested. The program tree must stay within the budget of the parent.
#[test]
fn parallel_children_stay_within_the_budget_of_their_parent() {
    let environment = Environment::start(1, 3);
    environment.faults(
        environment.engines[0].address,
        &json!({ "extra_tokens": 30 }),
    );
    let program = environment.open(0, "quick", "route-1", 1000);
    let spawn = |call: u64| {
        let spawn = json!({ "class": "rework", "budget": { "tokens": 240 } });
        json!({ "call": call, "spawn": spawn })
    };
    let children: Vec<String> = (1..=4)
        .map(|call| environment.call(0, &program, &spawn(call)).1)
        .map(|response| response["program"].as_str().expect("an id").to_owned())
        .collect();
    assert_eq!(environment.call(0, &program, &spawn(5)).1["code"], "VT2001");
    assert_eq!(
        environment.call(1, &program, &model(5, "All", 60)).1["code"],
        "VT2001"
    );
    std::thread::scope(|scope| {
        for child in &children {
            let environment = &environment;
            scope.spawn(move || spend_budget(environment, child));
        }
    });
    let (_, account) = environment.end(0, &program);
    assert!(account["tokens"].as_u64() <= Some(1000), "{account}");
    assert!(account["tokens"].as_u64() > Some(400), "{account}");
}

/// Makes each call twice, until one is refused for the budget.
fn spend_budget(environment: &Environment, child: &str) {
    for call in 1.. {
        let body = model(call, "Rework", 40);
        let (status, response) = environment.call(1, child, &body);
        if status != 200 {
            assert_eq!(
                (&response["code"], &response["ran"]),
                (&json!("VT2001"), &json!(false))
            );
            assert_eq!(started_calls(environment, child), call - 1);
            return;
        }
        assert_eq!(
            response["usage"]["completion"], 40,
            "truncated at the requested length"
        );
        assert_eq!(environment.call(2, child, &body).1, response);
        let (_, view) =
            environment.get(environment.vms[0].callers, &format!("/v1/programs/{child}"));
        assert!(view["used"].as_u64() <= Some(240), "{view}");
    }
}

/// The owner is killed during a call. The next owner must count the whole reservation as spent and
/// refuse to run the call again, since a second run could exceed the budget.
#[test]
fn a_takeover_counts_the_reservation_as_spent() {
    let environment = Environment::start(1, 3);
    environment.faults(environment.engines[0].address, &json!({ "slower": 40 }));
    let program = environment.open(0, "quick", "route-2", 150);
    let owner = environment.owner(&program);
    let entry = (owner + 1) % 3;
    let call = model(1, "Rework the route", 90);
    let mut stream = environment.stream_call(entry, &program, &call);
    assert_eq!(stream.next().expect("a part").0, "delta");
    environment.vms[owner].process.signal("KILL");
    let last = stream.last().expect("a final event");
    assert_eq!(last.1["code"], "VT2001", "{last:?}");
    assert_eq!(
        last.1["ran"], "unknown",
        "the killed owner had sent the call"
    );
    let (_, repeated) = environment.call(entry, &program, &call);
    assert_eq!(repeated["code"], "VT2001", "{repeated}");
    assert_eq!(started_calls(&environment, &program), 1);
    let (_, view) = environment.get(
        environment.vms[entry].callers,
        &format!("/v1/programs/{program}"),
    );
    assert!(view["used"].as_u64() <= Some(150), "{view}");
}

/// A child without a call limit could make more calls than its parent may.
#[test]
fn a_child_needs_a_call_limit_if_its_parent_has_one() {
    let environment = Environment::start(1, 1);
    let budget = json!({ "tokens": 900, "calls": 3 });
    let open = json!({ "class": "quick", "key": "route-3", "budget": budget });
    let (_, opened) = environment.post(environment.vms[0].callers, "/v1/programs", &open);
    let program = opened["program"].as_str().expect("an id");
    let spawn =
        |budget: Value| json!({ "call": 1, "spawn": { "class": "rework", "budget": budget } });
    let (_, response) = environment.call(0, program, &spawn(json!({ "tokens": 100 })));
    assert_eq!(response["code"], "VT2001", "{response}");
    let (status, child) =
        environment.call(0, program, &spawn(json!({ "tokens": 100, "calls": 2 })));
    assert_eq!(status, 200, "{child}");
    let (_, response) = environment.call(0, program, &model(2, "Go on", 10));
    assert_eq!(
        response["code"], "VT2001",
        "one call for the spawn and two reserved for the child: {response}"
    );
}

/// An engine reports far too many prompt tokens once. The tokens of later calls must still be charged
/// in full, rather than be taken for tokens already counted.
#[test]
fn an_inflated_usage_report_does_not_hide_later_tokens() {
    let id = Program::new(Shard(0), 1);
    let class: Class = "quick".parse().expect("a name");
    let server: Server = "e0".parse().expect("a name");
    let budget = Budget {
        tokens: Tokens(1000),
        calls: None,
    };
    let mut table = Table::default();
    table.apply(&Body::Opened {
        program: id,
        key: "k".into(),
        class,
        budget,
        at_ms: 0,
    });
    for (call, prompt) in [(1, 100_000), (2, 70), (3, 130)] {
        let call = Call(call);
        let reserve = Tokens(60);
        let server = server.clone();
        table.apply(&Body::Begun {
            program: id,
            call,
            reserve,
            server: server.clone(),
        });
        let usage = Usage {
            prompt: Tokens(prompt),
            cached: Tokens(0),
            completion: Tokens(40),
        };
        let answer = Answer::Model {
            text: "a".into(),
            usage,
            server,
        };
        let messages = vec![Message {
            role: "user".into(),
            content: "q".into(),
        }];
        let digest = Digest::of(b"body");
        table.apply(&Body::Done {
            program: id,
            call,
            digest,
            messages,
            answer,
        });
    }
    let spent = table.get(id).expect("open").spent;
    assert!(spent >= Tokens(170), "{spent} of at least 170");
}
