//! Each caller receives one complete answer to its own request.

mod support;

use serde_json::{Value, json};
use support::stream::Stream;
use support::{Environment, model, service};

/// The parts and final events that a caller received on a stream.
#[derive(Debug, Default)]
struct ReceivedAnswer {
    text: String,
    stream: u64,
    parts: u64,
    restarts: u64,
    finals: Vec<Value>,
}

impl ReceivedAnswer {
    /// Reads until `most` parts have arrived or the stream has ended.
    fn read_parts(&mut self, stream: &mut Stream, max_parts: u64) {
        for (event, data) in stream {
            match event.as_str() {
                "delta" => {
                    assert_eq!(data["at"], self.parts, "no part is missing or repeated");
                    self.stream = data["stream"].as_u64().expect("a stream");
                    self.parts += 1;
                    self.text += data["text"].as_str().expect("text");
                }
                "restart" => {
                    (self.text, self.parts) = (String::new(), 0);
                    self.restarts += 1;
                }
                _ => self.finals.push(data),
            }
            if self.parts == max_parts {
                return;
            }
        }
    }

    /// Checks that there is exactly one final answer and that it equals the joined parts.
    fn assert_complete(&self) {
        assert_eq!(self.finals.len(), 1, "{:?}", self.finals);
        assert_eq!(self.finals[0]["text"], self.text, "{:?}", self.finals);
        assert_eq!(self.parts, 40);
    }
}

fn start_with_slow_engines(engines: usize) -> Environment {
    let environment = Environment::start(engines, 3);
    for engine in &environment.engines {
        environment.faults(engine.address, &json!({ "slower": 20, "vary": true }));
    }
    environment
}

/// The owner is killed in mid-stream and the next owner generates a different text. The caller must
/// get a restart event, since the halves of two answers must not be joined.
#[test]
fn killing_the_owner_mid_stream_restarts_the_answer() {
    let environment = start_with_slow_engines(1);
    let program = environment.open(0, "quick", "route-1", 5000);
    let owner = environment.owner(&program);
    let call = model(1, "Rework the route", 40);
    let mut stream = environment.stream_call((owner + 1) % 3, &program, &call);
    let mut received = ReceivedAnswer::default();
    received.read_parts(&mut stream, 5);
    environment.vms[owner].process.signal("KILL");
    received.read_parts(&mut stream, u64::MAX);
    received.assert_complete();
    assert_eq!(received.restarts, 1);
    let (_, repeated) = environment.call((owner + 2) % 3, &program, &call);
    assert_eq!(repeated, received.finals[0]);
}

/// A caller that reconnects at another VM must get the remaining parts without a second run at the
/// engine. After the owner was killed, it gets the answer from the beginning instead.
#[test]
fn a_stream_is_resumed_at_another_vm() {
    let environment = start_with_slow_engines(1);
    let program = environment.open(0, "quick", "route-2", 5000);
    let owner = environment.owner(&program);
    let call = model(1, "Rework the route", 40);
    let mut received = ReceivedAnswer::default();
    received.read_parts(&mut environment.stream_call(owner, &program, &call), 5);
    let rest = format!("1?from=5&stream={}", received.stream);
    let mut stream = environment.stream_rest((owner + 1) % 3, &program, &rest);
    received.read_parts(&mut stream, u64::MAX);
    received.assert_complete();
    assert_eq!(received.restarts, 0);
    let counters = environment.counters(environment.engines[0].address);
    assert_eq!(counters["begun"][&program], 1);

    let second = model(2, "Once more", 40);
    let mut received = ReceivedAnswer::default();
    received.read_parts(
        &mut environment.stream_call((owner + 1) % 3, &program, &second),
        5,
    );
    environment.vms[owner].process.signal("KILL");
    let (status, _) = environment.call((owner + 2) % 3, &program, &second);
    assert_eq!(status, 200);
    let rest = format!("2?from=5&stream={}", received.stream);
    let mut stream = environment.stream_rest((owner + 2) % 3, &program, &rest);
    let mut resumed = ReceivedAnswer::default();
    resumed.read_parts(&mut stream, u64::MAX);
    assert_eq!(
        resumed.finals.len(),
        1,
        "one final answer after the takeover"
    );
}

/// An engine cuts its stream after a few tokens. The call must be retried at another engine, with a
/// restart event and one complete final answer.
#[test]
fn a_truncated_stream_is_retried_at_another_engine() {
    let environment = start_with_slow_engines(2);
    environment.faults(environment.engines[0].address, &json!({ "cut_after": 4 }));
    for index in 0..4 {
        let program = environment.open(0, "quick", &format!("route-{index}"), 5000);
        let call = model(1, "Rework the route", 40);
        let mut received = ReceivedAnswer::default();
        received.read_parts(&mut environment.stream_call(1, &program, &call), u64::MAX);
        received.assert_complete();
        assert_eq!(received.finals[0]["server"], "e1");
    }
    let counters = environment.counters(environment.engines[0].address);
    assert!(counters["requests"].as_u64() > Some(0), "{counters}");
}

/// The service replies in reverse order of the requests. Each caller must get the reply that bears
/// the idempotency key of its own call.
#[test]
fn replies_out_of_order_reach_the_right_callers() {
    let environment = Environment::start(0, 3);
    let programs: Vec<String> = (0..4)
        .map(|index| environment.open(0, "quick", &format!("slot-{index}"), 5000))
        .collect();
    std::thread::scope(|scope| {
        for (index, program) in programs.iter().enumerate() {
            let environment = &environment;
            scope.spawn(move || {
                let body = json!({ "work_ms": 900 - 300 * index });
                let (status, response) = environment.call(1, program, &service(1, "book", &body));
                assert_eq!(status, 200, "{response}");
                assert_eq!(response["body"]["key"], format!("{program}/1"));
            });
        }
    });
}
