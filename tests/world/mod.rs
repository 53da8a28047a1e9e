//! Simulated VMs with a log and backend servers in memory, driven step by step.

mod check;
mod service;
mod step;

pub use step::{Counters, Step};

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use vanillatrail::effect::{Action, Effect, Event};
use vanillatrail::id::{self, Boot, Call, Digest, Epoch, Offset, Sequence, Shard, Tokens};
use vanillatrail::journal::{Body, Id, Record};
use vanillatrail::ownership::{Ledger, Validity};
use vanillatrail::program::{Admission, Answer, Budget, Message, Table, Usage};

const SHARD: Shard = Shard(0);
const BUDGET: Tokens = Tokens(400);

#[derive(Debug, Clone)]
enum Kind {
    Receipt(Effect),
    Model { tokens: u64 },
}

#[derive(Debug, Clone)]
struct Run {
    number: u64,
    call: Call,
    digest: Digest,
    epoch: Epoch,
    kind: Kind,
    /// Record whose read-back the run waits for.
    awaited_record: Option<Sequence>,
}

/// A page of the log in a socket: its end position, and when it was requested.
type Page = (usize, Instant);

#[derive(Debug, Default)]
struct Vm {
    boot: u64,
    paused: bool,
    position: usize,
    page: Option<Page>,
    ledger: Ledger,
    table: Table,
    epoch: Option<Epoch>,
    sequence: u64,
    queue: VecDeque<Record>,
    runs: BTreeMap<usize, Run>,
    settling: BTreeSet<(usize, Sequence)>,
}

#[derive(Debug)]
struct Request {
    vm: usize,
    boot: u64,
    program: usize,
    run: u64,
    call: Call,
    served: bool,
}

/// The simulated deployment with the state that the checks need.
pub struct World {
    now: Instant,
    up: bool,
    log: Vec<Record>,
    copies: Vec<Record>,
    vms: Vec<Vm>,
    in_flight: Vec<Request>,
    /// Ledger of a reader without faults, and its table after each record.
    reference: (Ledger, Vec<Table>),
    effects: BTreeMap<(usize, Call), u64>,
    spent: BTreeMap<usize, u64>,
    answers: BTreeMap<(usize, Call), Answer>,
    refused: BTreeSet<u64>,
    started: BTreeSet<u64>,
    runs: u64,
    violation: Option<String>,
    pub counters: Counters,
}

fn program(index: usize) -> id::Program {
    id::Program::new(SHARD, index as u128 + 1)
}

fn name(vm: usize) -> id::Vm {
    format!("vm-{vm}").parse().expect("a name")
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: Instant::now(),
            up: true,
            log: Vec::new(),
            copies: Vec::new(),
            vms: (0..3).map(|_| Vm::default()).collect(),
            in_flight: Vec::new(),
            reference: (Ledger::default(), vec![Table::default()]),
            effects: BTreeMap::new(),
            spent: BTreeMap::new(),
            answers: BTreeMap::new(),
            refused: BTreeSet::new(),
            started: BTreeSet::new(),
            runs: 0,
            violation: None,
            counters: Counters::default(),
        };
        world.open();
        world
    }

    /// The first VM claims the shard and opens two programs.
    fn open(&mut self) {
        self.enqueue(0, Epoch::default(), Body::Claim);
        let epoch = Epoch::at(Offset(0), 0);
        for index in 0..2 {
            let class = "quick".parse().expect("a name");
            let budget = Budget {
                tokens: BUDGET,
                calls: None,
            };
            let key = format!("key-{index}");
            let opened = Body::Opened {
                program: program(index),
                key,
                class,
                budget,
                at_ms: 0,
            };
            self.enqueue(0, epoch, opened);
        }
        for _ in 0..3 {
            self.append(0, false, false);
        }
        for vm in 0..3 {
            self.fetch(vm);
            self.apply_page(vm);
        }
    }

    pub fn apply(&mut self, step: &Step) {
        self.counters.steps += 1;
        match *step {
            Step::Receipt { vm, program } => self.start(vm, program, None),
            Step::Model {
                vm,
                program,
                tokens,
            } => self.start(vm, program, Some(tokens)),
            Step::Append {
                vm,
                lost,
                duplicated,
            } => self.append(vm, lost, duplicated),
            Step::Fetch { vm } => self.fetch(vm),
            Step::ApplyPage { vm } => self.apply_page(vm),
            Step::Sync { vm } => {
                for _ in 0..self.vms[vm].queue.len() {
                    self.append(vm, false, false);
                }
                self.fetch(vm);
                self.apply_page(vm);
            }
            Step::Settle { vm } => self.settle(vm),
            Step::Claim { vm } => {
                if !self.vms[vm].paused && self.vms[vm].epoch.is_none() {
                    self.enqueue(vm, Epoch::default(), Body::Claim);
                }
            }
            Step::Withdraw { vm, program } => self.withdraw(vm, program),
            Step::Kill { vm } => {
                let boot = self.vms[vm].boot + 1;
                self.vms[vm] = Vm {
                    boot,
                    ..Vm::default()
                };
            }
            Step::Pause { vm } => self.vms[vm].paused = true,
            Step::Resume { vm } => self.vms[vm].paused = false,
            Step::Copy { index } => {
                if self.up && index < self.copies.len() {
                    let copy = self.copies.remove(index);
                    self.append_to_log(copy);
                }
            }
            Step::Serve { index } => self.serve(index),
            Step::Reply { index, lost } => self.reply(index, lost),
            Step::Log { up } => self.up = up,
            Step::Time { ms } => self.now += Duration::from_millis(ms),
        }
    }

    fn enqueue(&mut self, vm: usize, epoch: Epoch, body: Body) -> Sequence {
        let state = &mut self.vms[vm];
        state.sequence += 1;
        let sequence = Sequence(state.sequence);
        let boot = Boot(state.boot * 10 + vm as u64);
        let id = Id {
            vm: name(vm),
            boot,
            sequence,
        };
        state.queue.push_back(Record {
            id,
            shard: SHARD,
            epoch,
            body,
        });
        sequence
    }

    fn append(&mut self, vm: usize, lost: bool, duplicated: bool) {
        if !self.up || self.vms[vm].paused {
            return;
        }
        let Some(record) = self.vms[vm].queue.front().cloned() else {
            return;
        };
        if duplicated {
            self.copies.push(record.clone());
        }
        self.append_to_log(record);
        if !lost {
            self.vms[vm].queue.pop_front();
        }
    }

    fn append_to_log(&mut self, record: Record) {
        let (ledger, tables) = &mut self.reference;
        let mut table = tables.last().expect("at least one table").clone();
        match ledger.apply(Offset(self.log.len() as u64), 0, &record) {
            Validity::Valid => table.apply(&record.body),
            Validity::Claimed(_) => self.counters.takeovers += 1,
            Validity::Fenced => self.counters.fenced += 1,
            Validity::Duplicate => {}
        }
        tables.push(table);
        self.log.push(record);
    }

    fn start(&mut self, vm: usize, index: usize, model: Option<u64>) {
        let state = &self.vms[vm];
        let Some(epoch) = state.epoch.filter(|_| !state.paused) else {
            return;
        };
        let Ok(table) = state.table.get(program(index)) else {
            return;
        };
        if state.runs.contains_key(&index) || table.intent.is_some() {
            return;
        }
        let call = table.next_call();
        let digest = Digest::of(b"body");
        // The caller also repeats the previous call, which must get the same answer.
        if call.0 > 1
            && let Admission::Answered(answer) = table.admit(Call(call.0 - 1), digest)
        {
            self.answer_caller(index, Call(call.0 - 1), &answer);
        }
        let state = &self.vms[vm];
        let Ok(table) = state.table.get(program(index)) else {
            return;
        };
        let Admission::Run = table.admit(call, digest) else {
            return;
        };
        let (kind, body) = match model {
            None => {
                let target = "filing/receipt".to_owned();
                let intent = Body::Intent {
                    program: program(index),
                    call,
                    digest,
                    target,
                };
                (Kind::Receipt(Effect::default()), intent)
            }
            Some(tokens) => {
                let Ok(reserve) = table.reservation_for(&[question()], Tokens(tokens)) else {
                    return;
                };
                let server = "e0".parse().expect("a name");
                let begun = Body::Begun {
                    program: program(index),
                    call,
                    reserve,
                    server,
                };
                (Kind::Model { tokens }, begun)
            }
        };
        self.runs += 1;
        let awaited_record = Some(self.enqueue(vm, epoch, body));
        let run = Run {
            number: self.runs,
            call,
            digest,
            epoch,
            kind,
            awaited_record,
        };
        self.vms[vm].runs.insert(index, run);
    }

    fn fetch(&mut self, vm: usize) {
        if self.up && !self.vms[vm].paused && self.vms[vm].page.is_none() {
            self.vms[vm].page = Some((self.log.len(), self.now));
        }
    }

    /// Applies the fetched page, then continues the runs whose records it contains.
    fn apply_page(&mut self, vm: usize) {
        if self.vms[vm].paused {
            return;
        }
        let Some((end, asked)) = self.vms[vm].page.take() else {
            return;
        };
        let mut read = Vec::new();
        for position in self.vms[vm].position..end {
            let record = self.log[position].clone();
            let state = &mut self.vms[vm];
            let own = record.id.boot == Boot(state.boot * 10 + vm as u64);
            let validity = state.ledger.apply(Offset(position as u64), 0, &record);
            match validity {
                Validity::Valid => state.table.apply(&record.body),
                Validity::Claimed(epoch) => state.epoch = own.then_some(epoch),
                Validity::Fenced | Validity::Duplicate => {}
            }
            if own && validity != Validity::Duplicate {
                read.push((record.id.sequence, validity));
            }
        }
        self.vms[vm].position = end;
        for (sequence, validity) in read {
            self.vms[vm]
                .settling
                .retain(|(_, awaited)| *awaited != sequence);
            let found = self.vms[vm]
                .runs
                .iter()
                .find(|(_, run)| run.awaited_record == Some(sequence));
            if let Some(index) = found.map(|(index, _)| *index) {
                self.read_back(vm, index, validity, asked);
            }
        }
    }

    fn read_back(&mut self, vm: usize, index: usize, validity: Validity, asked: Instant) {
        let state = &mut self.vms[vm];
        let mut run = state.runs.remove(&index).expect("the run exists");
        run.awaited_record = None;
        let valid = validity == Validity::Valid;
        let owned = state.epoch == Some(run.epoch);
        let Ok(table) = state.table.get(program(index)) else {
            return;
        };
        if table.next_call() > run.call {
            // The caller gets the answer that the history has.
            if valid && let Admission::Answered(answer) = table.admit(run.call, run.digest) {
                self.answer_caller(index, run.call, &answer);
            }
            return;
        }
        match &mut run.kind {
            Kind::Receipt(effect) => {
                let open = table.intent.as_ref();
                let open = open.is_some_and(|intent| intent.call == run.call);
                let counts = valid && owned && open;
                let now = self.now;
                match effect.handle(Event::IntentRead {
                    valid: counts,
                    requested_at: asked,
                    now,
                }) {
                    Action::Send => self.send(vm, index, run),
                    Action::DropIntent => self.drop_intent(vm, index, run),
                    _ => {}
                }
            }
            Kind::Model { tokens } if valid && owned => {
                let tokens = *tokens;
                *self.spent.entry(index).or_default() += tokens + question().content.len() as u64;
                self.finish_model(vm, index, run, tokens);
            }
            Kind::Model { .. } => {}
        }
    }

    fn finish_model(&mut self, vm: usize, index: usize, mut run: Run, tokens: u64) {
        let context = self.vms[vm]
            .table
            .get(program(index))
            .expect("open")
            .context;
        let prompt = Tokens(context.0 + question().content.len() as u64);
        let usage = Usage {
            prompt,
            cached: Tokens(0),
            completion: Tokens(tokens),
        };
        let server = "e0".parse().expect("a name");
        let text = format!("answer {} of {vm}", run.number).into();
        let answer = Answer::Model {
            text,
            usage,
            server,
        };
        run.awaited_record =
            Some(self.enqueue(vm, run.epoch, done(index, &run, vec![question()], answer)));
        self.vms[vm].runs.insert(index, run);
    }
}

fn done(index: usize, run: &Run, messages: Vec<Message>, answer: Answer) -> Body {
    let (call, digest) = (run.call, run.digest);
    Body::Done {
        program: program(index),
        call,
        digest,
        messages,
        answer,
    }
}

fn question() -> Message {
    Message {
        role: "user".into(),
        content: "question".into(),
    }
}
