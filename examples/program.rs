//! Applies the records of a program and decides on its calls: order, stored answers, token budget.
//!
//!     cargo run --example program

use vanillatrail::code::Code;
use vanillatrail::id::{Call, Digest, Program, Shard, Tokens};
use vanillatrail::journal::Body;
use vanillatrail::program::{Admission, Answer, Budget, Message, Table, Usage};

fn main() {
    let id = Program::new(Shard(3), 7);
    let mut table = Table::default();
    table.apply(&Body::Opened {
        program: id,
        key: "order-7".to_owned(),
        class: "quick".parse().expect("a valid name"),
        budget: Budget {
            tokens: Tokens(100),
            calls: None,
        },
        at_ms: 0,
    });

    let digest = Digest::of(b"which levy?");
    let program = table.get(id).expect("the program is open");
    assert_eq!(program.admit(Call(1), digest), Admission::Run);
    assert_eq!(program.admit(Call(2), digest), Admission::Wait);
    println!("call 1 runs, call 2 waits for it");

    let answer = Answer::Model {
        text: "the car levy".into(),
        usage: Usage {
            prompt: Tokens(3),
            cached: Tokens(0),
            completion: Tokens(4),
        },
        server: "engine-1".parse().expect("a valid name"),
    };
    let question = Message {
        role: "user".to_owned(),
        content: "which levy?".into(),
    };
    table.apply(&Body::Begun {
        program: id,
        call: Call(1),
        reserve: Tokens(40),
        server: "engine-1".parse().expect("a valid name"),
    });
    println!(
        "while call 1 runs, {} tokens are reserved",
        table.get(id).expect("the program is open").used_tokens()
    );
    table.apply(&Body::Done {
        program: id,
        call: Call(1),
        digest,
        messages: vec![question.clone()],
        answer: answer.clone(),
    });

    let program = table.get(id).expect("the program is open");
    assert_eq!(program.admit(Call(1), digest), Admission::Answered(answer));
    println!(
        "call 1 repeated gives the stored answer; {} tokens are spent",
        program.used_tokens()
    );
    let conflicting = program.admit(Call(1), Digest::of(b"another body"));
    assert!(
        matches!(conflicting, Admission::Refuse(failure) if failure.code == Code::CallConflict)
    );
    let refused = program
        .reservation_for(&[question], Tokens(500))
        .expect_err("the call exceeds the budget");
    println!("a call that could exceed the budget: {refused}");
}
