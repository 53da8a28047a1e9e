//! Each caller gets the complete answer to its own request, and one answer only.

mod support;

use serde_json::{Value, json};
use support::stream::Stream;
use support::{Environment, model, service};

/// What a caller has put together from a stream.
#[derive(Debug, Default)]
struct Read {
    text: String,
    stream: u64,
    parts: u64,
    restarts: u64,
    finals: Vec<Value>,
}

impl Read {
    /// Reads on, until `most` parts have come in or the stream has ended.
    fn read(&mut self, stream: &mut Stream, most: u64) {
        for (event, data) in stream {
            match event.as_str() {
                "delta" => {
                    assert_eq!(data["at"], self.parts, "no part is left out or doubled");
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
            if self.parts == most {
                return;
            }
        }
    }

    /// One final answer, and the parts make it up.
    fn check(&self) {
        assert_eq!(self.finals.len(), 1, "{:?}", self.finals);
        assert_eq!(self.finals[0]["text"], self.text, "{:?}", self.finals);
        assert_eq!(self.parts, 40);
    }
}

fn slow(engines: usize) -> Environment {
    let environment = Environment::start(engines, 3);
    for engine in &environment.engines {
        environment.faults(engine.address, &json!({ "slower": 20, "vary": true }));
    }
    environment
}

/// The owner is killed while its answer is half streamed. The entry that the caller reads from
/// asks the next owner, whose engine gives other words to the same prompt; the caller is told
/// that the text starts anew. Joined to the first half, the rest would be nobody's answer.
#[test]
fn an_answer_whose_owner_is_killed_in_mid_stream_starts_anew() {
    let environment = slow(1);
    let program = environment.open(0, "quick", "route-1", 5000);
    let owner = environment.owner(&program);
    let call = model(1, "Rework the route", 40);
    let mut stream = environment.stream_call((owner + 1) % 3, &program, &call);
    let mut read = Read::default();
    read.read(&mut stream, 5);
    environment.vms[owner].process.signal("KILL");
    read.read(&mut stream, u64::MAX);
    read.check();
    assert_eq!(read.restarts, 1);
    let (_, again) = environment.call((owner + 2) % 3, &program, &call);
    assert_eq!(again, read.finals[0]);
}

/// A caller loses its connection in mid-stream and comes back at another VM for the rest: the
/// engine runs once and the parts make up the answer. One that comes back after the owner was
/// killed holds parts of an attempt that is over, and is told to start anew.
#[test]
fn a_caller_that_comes_back_at_another_vm_gets_the_rest() {
    let environment = slow(1);
    let program = environment.open(0, "quick", "route-2", 5000);
    let owner = environment.owner(&program);
    let call = model(1, "Rework the route", 40);
    let mut read = Read::default();
    read.read(&mut environment.stream_call(owner, &program, &call), 5);
    let rest = format!("1?from=5&stream={}", read.stream);
    let mut stream = environment.stream_rest((owner + 1) % 3, &program, &rest);
    read.read(&mut stream, u64::MAX);
    read.check();
    assert_eq!(read.restarts, 0);
    let counters = environment.counters(environment.engines[0].address);
    assert_eq!(counters["begun"][&program], 1);

    let second = model(2, "Once more", 40);
    let mut read = Read::default();
    read.read(
        &mut environment.stream_call((owner + 1) % 3, &program, &second),
        5,
    );
    environment.vms[owner].process.signal("KILL");
    let (status, _) = environment.call((owner + 2) % 3, &program, &second);
    assert_eq!(status, 200);
    let rest = format!("2?from=5&stream={}", read.stream);
    let mut stream = environment.stream_rest((owner + 2) % 3, &program, &rest);
    let mut back = Read::default();
    back.read(&mut stream, u64::MAX);
    assert_eq!(back.finals.len(), 1, "the kept answer is whole");
}

/// The stream of one engine is cut after a few tokens and the call goes on at another. The caller
/// is told that the text starts anew and gets one final answer, which is whole.
#[test]
fn an_answer_that_an_engine_cuts_is_made_whole_by_another() {
    let environment = slow(2);
    environment.faults(environment.engines[0].address, &json!({ "cut_after": 4 }));
    for index in 0..4 {
        let program = environment.open(0, "quick", &format!("route-{index}"), 5000);
        let call = model(1, "Rework the route", 40);
        let mut read = Read::default();
        read.read(&mut environment.stream_call(1, &program, &call), u64::MAX);
        read.check();
        assert_eq!(read.finals[0]["server"], "e1");
    }
    let cut = environment.counters(environment.engines[0].address);
    assert!(cut["requests"].as_u64() > Some(0), "{cut}");
}

/// Two callers ask at the same VM; the reply to the first comes after that to the second. Each
/// gets the reply to its own call, which the service stamps with the key that went with it.
#[test]
fn replies_that_come_in_another_order_reach_their_own_callers() {
    let environment = Environment::start(0, 3);
    let programs: Vec<String> = (0..4)
        .map(|index| environment.open(0, "quick", &format!("slot-{index}"), 5000))
        .collect();
    std::thread::scope(|scope| {
        for (index, program) in programs.iter().enumerate() {
            let environment = &environment;
            scope.spawn(move || {
                let body = json!({ "work_ms": 900 - 300 * index });
                let (status, told) = environment.call(1, program, &service(1, "book", &body));
                assert_eq!(status, 200, "{told}");
                assert_eq!(told["body"]["key"], format!("{program}/1"));
            });
        }
    });
}
