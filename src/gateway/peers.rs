//! Messages between VMs that requests wait for: sealed datagrams, repeated until they are answered.
//!
//! A datagram costs one system call on each side, and one that is lost holds up no other.

use crate::conversation::Id;
use crate::gateway::Gateway;
use crate::gateway::limits::count::Acquisition;
use crate::id::Vm;
use crate::member::{DATAGRAM, Sealer};
use crate::policy::allowance::{Reservation, Snapshot};
use crate::policy::dispatch::{Outcome, Request};
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Time after which a question is sent again. A round trip within a region takes 1 to 4 ms.
const AGAIN: Duration = Duration::from_millis(40);
/// The same while the answer is known to be worked on: long, since many requests may wait under
/// load, and short enough to notice soon that the other VM is gone.
const WORKING: Duration = Duration::from_millis(250);
/// Answers to one question that are kept: that it is worked on, and the answer itself, each repeated.
const REPLIES: usize = 4;
/// How often it is sent; a VM that answers none of them stands still or is gone.
const SENDS: usize = 4;
/// For how long a VM that did not answer is not asked first.
const SILENT: Duration = Duration::from_secs(1);

/// A question to another VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// May a turn of a program run?
    #[serde(rename = "r")]
    Reserve {
        part: u64,
        program: String,
        budget: u64,
        most: u64,
        /// Tokens that the asking VM knows to be spent.
        seen: u64,
        /// The number of the reservation, the same when it is asked again.
        reservation: u64,
        /// Whether those that come first did not answer.
        takeover: bool,
    },
    /// May a request of a team go?
    #[serde(rename = "q")]
    Take {
        part: u64,
        take: Acquisition,
        /// Whether those that come first did not answer.
        takeover: bool,
    },
    /// Keep an allowance that the store has not taken yet.
    #[serde(rename = "c")]
    Keep(Replica),
    /// Which allowances of a partition are kept that the store may lack?
    #[serde(rename = "l")]
    Copies { part: u64 },
    /// Does this VM count a partition, or is it about to?
    #[serde(rename = "h")]
    Counts { part: u64 },
    /// When did the newest call begin that the store answered this VM?
    #[serde(rename = "s")]
    Heard,
    /// Which server may a request go to? Answered when one has room.
    #[serde(rename = "p")]
    Place(Request),
    /// Where is a turn?
    #[serde(rename = "t")]
    Locate {
        turn: Id,
        /// A VM that was named before and did not give it.
        lost: Option<SocketAddr>,
    },
    /// Go on counting a partition, whose writer had this epoch.
    #[serde(rename = "a")]
    Adopt {
        part: u64,
        epoch: u64,
        /// Programs, and the allowance that the store still lacks; zero where it lacks none.
        entries: Vec<(Snapshot, u64)>,
        /// Whether tokens that were given without a record may have been forgotten.
        doubtful: bool,
        /// Whether these are the first ones.
        first: bool,
        /// Whether these are the last ones.
        last: bool,
        /// Whether to go on even if the store can't be told: the VM before is about to end.
        ending: bool,
    },
}

/// The allowance of a program, for a VM that may take over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Replica {
    pub(crate) part: u64,
    pub(crate) program: String,
    pub(crate) allowed: u64,
    /// The epoch of the VM that gave it.
    pub(crate) epoch: u64,
    /// Whether the store had shut out the VM before that one.
    pub(crate) fenced: bool,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The turn may run. The turns of the program so far, and the tokens spent or reserved.
    #[serde(rename = "g")]
    Granted { turns: u32, total: u64 },
    /// The budget is spent.
    #[serde(rename = "s")]
    Spent,
    /// The request may go, after so many milliseconds.
    #[serde(rename = "m")]
    Admitted { wait_ms: u64 },
    /// The team has used up its limit; the request may come back after so many milliseconds.
    #[serde(rename = "v")]
    OverLimit { retry_ms: u64 },
    /// The VM at this address has the turn in memory.
    #[serde(rename = "h")]
    HeldAt(SocketAddr),
    /// There is no such turn.
    #[serde(rename = "u")]
    NoTurn,
    /// Another VM counts this program.
    #[serde(rename = "o")]
    NotOwner,
    /// This VM has taken the partition a moment ago.
    #[serde(rename = "t")]
    Taken(SocketAddr),
    /// The store can't be reached from here, and the program's records are not known.
    #[serde(rename = "a")]
    Away,
    /// This VM counts the program, and can't record what the turn needs.
    #[serde(rename = "x")]
    Unrecorded,
    /// Whether this VM counts the partition that was asked for, or is about to.
    #[serde(rename = "y")]
    Counting(bool),
    /// How many milliseconds ago that was; none where the store refuses records of this VM.
    #[serde(rename = "e")]
    Heard { ago_ms: Option<u64> },
    /// An answer will follow.
    #[serde(rename = "w")]
    Working,
    /// The copy is kept.
    #[serde(rename = "k")]
    Kept,
    /// Programs and their allowances, and for how long the VM has run.
    #[serde(rename = "c")]
    Copies {
        allowed: Vec<(String, u64)>,
        up_ms: u64,
    },
    /// The request may go to this server.
    #[serde(rename = "p")]
    Placed(Arc<str>),
    /// The service has no server.
    #[serde(rename = "n")]
    NoServer,
    /// The request can't be served in time; it may come back after so many milliseconds.
    #[serde(rename = "f")]
    Full { retry_ms: u64 },
}

/// What is told and needs no answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Note {
    /// A turn is over; so many tokens were handed out.
    #[serde(rename = "s")]
    Settled {
        part: u64,
        reservation: Reservation,
        used: u64,
    },
    /// A durable allowance.
    #[serde(rename = "c")]
    Copied(Replica),
    /// The VM that tells this has a turn in memory.
    #[serde(rename = "h")]
    Holds { turn: Id },
    /// A request that asked for a place under this number is over, or waits no longer.
    #[serde(rename = "l")]
    Left { number: u64, outcome: Outcome },
}

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Packet {
    #[serde(rename = "q")]
    Question(u64, Question),
    #[serde(rename = "r")]
    Reply(u64, Reply),
    #[serde(rename = "n")]
    Note(Note),
}

/// Who asked, and under which number.
pub(crate) type ReplyAddress = (SocketAddr, u64);

/// The datagrams of this VM.
#[derive(Debug)]
pub(crate) struct Peers {
    socket: UdpSocket,
    sealer: Sealer,
    /// Numbers of questions; begins at random, so that a restart repeats none.
    numbers: Cell<u64>,
    waiting: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    /// Questions that are being worked on, so that a repeated one is not worked on twice.
    working: RefCell<HashSet<(SocketAddr, u64)>>,
    silent: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Peers {
    pub(crate) fn new(socket: UdpSocket, key: &str) -> Self {
        Self {
            socket,
            sealer: Sealer::new(key),
            numbers: Cell::new(u64::from(rand::random::<u32>()) << 24),
            waiting: RefCell::default(),
            working: RefCell::default(),
            silent: RefCell::default(),
        }
    }

    /// A number that no question or reservation of this VM had before.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        number
    }

    /// Whether a VM has not answered lately.
    pub(crate) fn is_unresponsive(&self, peer: SocketAddr) -> bool {
        let silent = self.silent.borrow();
        silent
            .get(&peer)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Asks until there is an answer; none comes from a VM that stands still or is gone.
    pub(crate) async fn ask(&self, peer: SocketAddr, question: &Question) -> Option<Reply> {
        self.ask_numbered(self.next_number(), peer, question).await
    }

    /// Asks under a number that was drawn before.
    pub(crate) async fn ask_numbered(
        &self,
        number: u64,
        peer: SocketAddr,
        question: &Question,
    ) -> Option<Reply> {
        let packet = Packet::Question(number, question.clone());
        let (answers, mut replies) = mpsc::channel(REPLIES);
        self.waiting.borrow_mut().insert(number, answers);
        let _waiting = Waiting {
            peers: self,
            number,
        };
        let (mut sends, mut pause) = (0, AGAIN);
        while sends < SENDS {
            self.send(peer, &packet).await;
            sends += 1;
            while let Ok(Some(reply)) = timeout(pause, replies.recv()).await {
                if reply != Reply::Working {
                    return Some(reply);
                }
                (sends, pause) = (0, WORKING);
            }
            pause = AGAIN;
        }
        event!(warn, "peer_silent", peer = peer, sends = sends);
        let until = Instant::now() + SILENT;
        self.silent.borrow_mut().insert(peer, until);
        None
    }

    /// Tells without waiting for an answer.
    pub(crate) async fn notify(&self, peer: SocketAddr, note: Note) {
        self.send(peer, &Packet::Note(note)).await;
    }

    async fn send(&self, peer: SocketAddr, packet: &Packet) {
        let datagram = self.sealer.seal(packet);
        if let Err(error) = self.socket.send_to(&datagram, peer).await {
            event!(debug, "datagram_failed", peer = peer, reason = error);
        }
    }

    /// Tells whoever asked that an answer will follow.
    pub(crate) async fn send_working(&self, (peer, number): ReplyAddress) {
        self.send(peer, &Packet::Reply(number, Reply::Working))
            .await;
    }

    fn answered(&self, number: u64, reply: Reply) {
        if let Some(waiting) = self.waiting.borrow().get(&number) {
            // Of repeated answers one is enough.
            drop(waiting.try_send(reply));
        }
    }
}

/// A question that waits for its answer. Whoever asked may give up at any time.
struct Waiting<'a> {
    peers: &'a Peers,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.peers.waiting.borrow_mut().remove(&self.number);
    }
}

/// The port of the datagrams of this module: the one after that of membership.
pub(crate) fn peer_address(member: SocketAddr) -> SocketAddr {
    SocketAddr::new(member.ip(), member.port() + 1)
}

/// Takes datagrams in until the process ends.
pub(crate) async fn receive(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; DATAGRAM + 1];
    loop {
        let Ok((size, from)) = gateway.peers.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match gateway.peers.sealer.open(&buffer[..size]) {
            Some(Packet::Reply(number, reply)) => gateway.peers.answered(number, reply),
            Some(Packet::Note(note)) => gateway.handle_note(from, note).await,
            Some(Packet::Question(number, question)) => {
                tokio::task::spawn_local(work(Rc::clone(&gateway), from, number, question));
            }
            None => event!(warn, "datagram_refused", from = from, bytes = size),
        }
    }
}

async fn work(gateway: Rc<Gateway>, from: SocketAddr, number: u64, question: Question) {
    let peers = &gateway.peers;
    if !peers.working.borrow_mut().insert((from, number)) {
        return peers.send_working((from, number)).await;
    }
    let reply = gateway.handle_question((from, number), question).await;
    peers.working.borrow_mut().remove(&(from, number));
    peers.send(from, &Packet::Reply(number, reply)).await;
}

/// A number for a VM by its address, as [`crate::policy::allowance`] wants one.
pub(crate) fn vm_number(address: SocketAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes())
}

/// A member as this module needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) vm: Vm,
    pub(crate) address: SocketAddr,
    /// Whether it reaches the store and does not stop.
    pub(crate) ready: bool,
}
