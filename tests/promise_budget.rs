//! A program never spends beyond its budget.

mod support;

use serde_json::{Value, json};
use support::{Environment, model};
use vanillatrail::id::{Call, Class, Digest, Program, Server, Shard, Tokens};
use vanillatrail::journal::Body;
use vanillatrail::program::{Answer, Budget, Message, Table, Usage};

fn begun(environment: &Environment, program: &str) -> u64 {
    let counters = environment.counters(environment.engines[0].address);
    counters["begun"][program].as_u64().unwrap_or(0)
}

/// Four children of one parent make calls at once until they are refused, at an engine that goes
/// on past the number of tokens it was asked for. What the tree has used stays within the budget
/// of the parent, whose own calls are refused while the children hold their parts.
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
        .map(|told| told["program"].as_str().expect("an id").to_owned())
        .collect();
    assert_eq!(environment.call(0, &program, &spawn(5)).1["code"], "VT2001");
    assert_eq!(
        environment.call(1, &program, &model(5, "All", 60)).1["code"],
        "VT2001"
    );
    std::thread::scope(|scope| {
        for child in &children {
            let environment = &environment;
            scope.spawn(move || spend(environment, child));
        }
    });
    let (_, account) = environment.end(0, &program);
    assert!(account["tokens"].as_u64() <= Some(1000), "{account}");
    assert!(account["tokens"].as_u64() > Some(400), "{account}");
}

/// Makes calls, each twice, until one is refused for the budget.
fn spend(environment: &Environment, child: &str) {
    for call in 1.. {
        let body = model(call, "Rework", 40);
        let (status, told) = environment.call(1, child, &body);
        if status != 200 {
            assert_eq!(
                (&told["code"], &told["ran"]),
                (&json!("VT2001"), &json!(false))
            );
            assert_eq!(begun(environment, child), call - 1);
            return;
        }
        assert_eq!(told["usage"]["completion"], 40, "cut at the bound");
        assert_eq!(environment.call(2, child, &body).1, told);
        let (_, look) =
            environment.get(environment.vms[0].callers, &format!("/v1/programs/{child}"));
        assert!(look["used"].as_u64() <= Some(240), "{look}");
    }
}

/// The owner is killed while a call is streamed that may take most of the budget. The next owner
/// can't know what was spent, counts all that was set aside, and refuses to run the call again:
/// a second run would pass the budget.
#[test]
fn a_takeover_counts_what_was_set_aside() {
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
    assert_eq!(last.1["ran"], "unknown", "the lost owner had sent it");
    let (_, again) = environment.call(entry, &program, &call);
    assert_eq!(again["code"], "VT2001", "{again}");
    assert_eq!(begun(&environment, &program), 1);
    let (_, look) = environment.get(
        environment.vms[entry].callers,
        &format!("/v1/programs/{program}"),
    );
    assert!(look["used"].as_u64() <= Some(150), "{look}");
}

/// A child that was given no number of calls would be free to make more than its parent has.
#[test]
fn a_child_of_a_parent_with_counted_calls_needs_a_count() {
    let environment = Environment::start(1, 1);
    let budget = json!({ "tokens": 900, "calls": 3 });
    let open = json!({ "class": "quick", "key": "route-3", "budget": budget });
    let (_, opened) = environment.post(environment.vms[0].callers, "/v1/programs", &open);
    let program = opened["program"].as_str().expect("an id");
    let spawn =
        |budget: Value| json!({ "call": 1, "spawn": { "class": "rework", "budget": budget } });
    let (_, told) = environment.call(0, program, &spawn(json!({ "tokens": 100 })));
    assert_eq!(told["code"], "VT2001", "{told}");
    let (status, child) =
        environment.call(0, program, &spawn(json!({ "tokens": 100, "calls": 2 })));
    assert_eq!(status, 200, "{child}");
    let (_, told) = environment.call(0, program, &model(2, "Go on", 10));
    assert_eq!(
        told["code"], "VT2001",
        "one for the spawn, two for the child: {told}"
    );
}

/// An engine reports far too many prompt tokens once and the true number afterwards. The tokens
/// of the later calls count in full; taken from the wrong report, they would look as if they had
/// been counted before, and the program would go on past its budget.
#[test]
fn a_wrong_usage_report_does_not_make_later_tokens_free() {
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
