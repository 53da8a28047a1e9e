//! Messages between VMs on the path of a request: authenticated datagrams, repeated until answered.
//!
//! A datagram costs one system call on each side, and a lost one does not delay the others.

use crate::conversation::Id;
use crate::gateway::Gateway;
use crate::gateway::limits::count::Acquisition;
use crate::gateway::queue::reports::LoadNote;
use crate::id::Vm;
use crate::member::{MAX_DATAGRAM_BYTES, Sealer};
use crate::policy::allowance::{Reservation, Snapshot};
use crate::policy::dispatch::{Load, Outcome, Request};
use crate::policy::server_ends::{News, Try};
use crate::policy::stream_versions::StreamHash;
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

/// Time without a reply after which a question is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// The same after a [`Reply::Working`]: long, since many requests may wait under load, but short enough
/// to notice soon that the other VM failed.
const WORKING_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Replies to one question that are buffered: [`Reply::Working`] and the answer, each possibly repeated.
const REPLY_BUFFER: usize = 4;
/// Sends of a question before the other VM counts as unresponsive.
const MAX_SENDS: usize = 4;
/// How long a VM counts as unresponsive after it did not answer.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(1);

/// A question to another VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// Reserves tokens for a turn of a program.
    #[serde(rename = "r")]
    Reserve {
        part: u64,
        program: String,
        budget: u64,
        /// Most tokens that the turn generates.
        most: u64,
        /// Spent tokens of the program that the asking VM knows of.
        seen: u64,
        /// Number of the reservation, the same in retries.
        reservation: u64,
        /// Whether the receiver should take the partition over: the VMs ranked before it did not answer.
        takeover: bool,
    },
    /// Asks whether a request is within its team's limit.
    #[serde(rename = "q")]
    Take {
        part: u64,
        take: Acquisition,
        /// As in [`Question::Reserve`].
        takeover: bool,
    },
    /// Asks to keep a replica of an allowance that is not recorded in the store yet.
    #[serde(rename = "c")]
    Keep(Replica),
    /// Asks for the replicas of a partition that may not be recorded in the store.
    #[serde(rename = "l")]
    Copies { part: u64 },
    /// Asks whether the VM owns a partition or is taking it over.
    #[serde(rename = "h")]
    Counts { part: u64 },
    /// Asks how long ago the VM sent the newest call that the store answered.
    #[serde(rename = "s")]
    Heard,
    /// Asks for a slot at a backend server. Answered once one is free.
    #[serde(rename = "p")]
    Place(Request),
    /// Asks which VM has a turn in memory.
    #[serde(rename = "t")]
    Locate {
        turn: Id,
        /// VM that an earlier reply named, but that did not have the turn.
        lost: Option<SocketAddr>,
    },
    /// As [`Question::Place`], at a server of this software version.
    #[serde(rename = "v")]
    PlaceAtVersion { request: Request, version: Arc<str> },
    /// Asks for the software version at which a stream began.
    #[serde(rename = "b")]
    StreamVersion { stream: StreamHash },
    /// Asks for the only software version that the servers of a service had for this time.
    #[serde(rename = "n")]
    OnlyVersion { service: Arc<str>, time: Duration },
    /// As [`Question::Place`], for a request of this content, of which the asking VM knows this.
    #[serde(rename = "w")]
    PlaceContent {
        request: Box<Request>,
        /// The only software version that will do.
        version: Option<Arc<str>>,
        attempt: Try,
        known: Vec<News>,
    },
    /// Asks for what is known of requests under which servers end.
    #[serde(rename = "e")]
    Ends,
    /// As [`Question::Copies`], for the programs that follow this one.
    #[serde(rename = "x")]
    CopiesAfter { part: u64, program: String },
    /// Hands a partition over to the receiver, in one or more messages.
    #[serde(rename = "a")]
    Adopt {
        part: u64,
        /// Epoch of the previous owner.
        epoch: u64,
        /// Programs, each with its allowance that is not recorded in the store, or zero.
        entries: Vec<(Snapshot, u64)>,
        /// Whether tokens granted without a record may have been lost.
        doubtful: bool,
        /// Whether this is the first message of the handover.
        first: bool,
        /// Whether this is the last message of the handover.
        last: bool,
        /// Whether to take over even if the store can't be reached: the previous owner is about to exit.
        ending: bool,
    },
}

/// Replica of a program's allowance, kept by a VM that may take the partition over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Replica {
    pub(crate) part: u64,
    pub(crate) program: String,
    pub(crate) allowed: u64,
    /// Epoch of the owner that granted it.
    pub(crate) epoch: u64,
    /// Whether the store had fenced the owner before that one.
    pub(crate) fenced: bool,
}

/// The reply to a [`Question`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The tokens are reserved. Carries the turns of the program so far, and its tokens spent or reserved.
    #[serde(rename = "g")]
    Granted { turns: u32, total: u64 },
    /// The token budget is exhausted.
    #[serde(rename = "s")]
    Spent,
    /// The request is within the team limit, and may be sent after `wait_ms`.
    #[serde(rename = "m")]
    Admitted { wait_ms: u64 },
    /// The team limit is reached; the caller may retry after `retry_ms`.
    #[serde(rename = "v")]
    OverLimit { retry_ms: u64 },
    /// The VM at this address has the turn in memory.
    #[serde(rename = "h")]
    HeldAt(SocketAddr),
    /// The turn does not exist.
    #[serde(rename = "u")]
    NoTurn,
    /// Another VM owns the partition.
    #[serde(rename = "o")]
    NotOwner,
    /// The VM at this address has taken the partition over.
    #[serde(rename = "t")]
    Taken(SocketAddr),
    /// The store is unreachable from this VM, which does not know the records needed to answer.
    #[serde(rename = "a")]
    Away,
    /// This VM owns the partition, but can't record the allowance that the turn needs.
    #[serde(rename = "x")]
    Unrecorded,
    /// Whether this VM owns the partition or is taking it over.
    #[serde(rename = "y")]
    Counting(bool),
    /// Age of the newest call that the store answered; `None` if the store refuses records of this VM.
    #[serde(rename = "e")]
    Heard { ago_ms: Option<u64> },
    /// The question is being worked on; the answer will follow.
    #[serde(rename = "w")]
    Working,
    /// The replica or the handed-over partition was accepted.
    #[serde(rename = "k")]
    Kept,
    /// Programs and their unrecorded allowances, and the uptime of the VM.
    #[serde(rename = "c")]
    Copies {
        allowed: Vec<(String, u64)>,
        up_ms: u64,
    },
    /// A slot at this backend server is leased for the request.
    #[serde(rename = "p")]
    Placed(Arc<str>),
    /// The service has no usable backend server.
    #[serde(rename = "n")]
    NoServer,
    /// The request can't be served in time; the caller may retry after `retry_ms`.
    #[serde(rename = "f")]
    Full { retry_ms: u64 },
    /// The software version that was asked for; `None` if the VM does not know it.
    #[serde(rename = "i")]
    Version(Option<Arc<str>>),
    /// What is known of requests under which servers end, and whether the VM knows what was before its start.
    #[serde(rename = "d")]
    Attempts { news: Vec<News>, informed: bool },
    /// Servers ended under the request, or may yet; it may be sent to another one after `retry_ms`.
    #[serde(rename = "z")]
    ServersEnded { retry_ms: u64 },
    /// The request needs more memory than any engine of the service has.
    #[serde(rename = "b")]
    TooLarge,
}

/// A one-way message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Note {
    /// A turn is over and used this many tokens of its reservation.
    #[serde(rename = "s")]
    Settled {
        part: u64,
        reservation: Reservation,
        used: u64,
    },
    /// Replica of an allowance.
    #[serde(rename = "c")]
    Copied(Replica),
    /// The sender has a turn in memory.
    #[serde(rename = "h")]
    Holds { turn: Id },
    /// The request that asked for a slot under this question number is over, or no longer waits.
    #[serde(rename = "l")]
    Left { number: u64, outcome: Outcome },
    /// Load in the head of the response to the request that asked for a slot under this question number.
    #[serde(rename = "w")]
    Load { number: u64, load: Load },
    /// Loads that servers of a service reported.
    #[serde(rename = "o")]
    Loads(LoadNote),
    /// A stream began at a server of this software version.
    #[serde(rename = "b")]
    StreamBegan {
        stream: StreamHash,
        version: Arc<str>,
    },
    /// What happened to requests at servers.
    #[serde(rename = "d")]
    Attempts(Vec<News>),
}

/// Content of a datagram; questions and replies carry the number of the question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Packet {
    #[serde(rename = "q")]
    Question(u64, Question),
    #[serde(rename = "r")]
    Reply(u64, Reply),
    #[serde(rename = "n")]
    Note(Note),
}

/// Where a reply goes: address of the asking VM, and number of its question.
pub(crate) type ReplyAddress = (SocketAddr, u64);

/// Client and server side of the messages of this VM.
#[derive(Debug)]
pub(crate) struct Peers {
    socket: UdpSocket,
    sealer: Sealer,
    /// Starts at a random number, so that a restart does not reuse one.
    next_number: Cell<u64>,
    /// Unanswered questions of this VM.
    pending: RefCell<HashMap<u64, mpsc::Sender<Reply>>>,
    /// Questions of other VMs that are being worked on, so that a retry does not start the work again.
    in_progress: RefCell<HashSet<(SocketAddr, u64)>>,
    /// Until when each of these VMs counts as unresponsive.
    unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
}

impl Peers {
    pub(crate) fn new(socket: UdpSocket, key: &str) -> Self {
        Self {
            socket,
            sealer: Sealer::new(key),
            next_number: Cell::new(u64::from(rand::random::<u32>()) << 24),
            pending: RefCell::default(),
            in_progress: RefCell::default(),
            unresponsive: RefCell::default(),
        }
    }

    /// Number for a question or reservation, not used before by this VM.
    pub(crate) fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Whether a VM recently left a question unanswered.
    pub(crate) fn is_unresponsive(&self, peer: SocketAddr) -> bool {
        let unresponsive = self.unresponsive.borrow();
        unresponsive
            .get(&peer)
            .is_some_and(|until| Instant::now() < *until)
    }

    /// Sends a question until it is answered; `None` if the VM does not respond.
    pub(crate) async fn ask(&self, peer: SocketAddr, question: &Question) -> Option<Reply> {
        self.ask_numbered(self.next_number(), peer, question).await
    }

    /// As [`Peers::ask`], with a number from [`Peers::next_number`].
    pub(crate) async fn ask_numbered(
        &self,
        number: u64,
        peer: SocketAddr,
        question: &Question,
    ) -> Option<Reply> {
        let packet = Packet::Question(number, question.clone());
        let (sender, mut replies) = mpsc::channel(REPLY_BUFFER);
        self.pending.borrow_mut().insert(number, sender);
        let _pending = Pending {
            peers: self,
            number,
        };
        let (mut sends, mut pause) = (0, RETRY_INTERVAL);
        while sends < MAX_SENDS {
            self.send(peer, &packet).await;
            sends += 1;
            while let Ok(Some(reply)) = timeout(pause, replies.recv()).await {
                if reply != Reply::Working {
                    return Some(reply);
                }
                (sends, pause) = (0, WORKING_RETRY_INTERVAL);
            }
            pause = RETRY_INTERVAL;
        }
        event!(warn, "peer_silent", peer = peer, sends = sends);
        let until = Instant::now() + UNRESPONSIVE_PERIOD;
        self.unresponsive.borrow_mut().insert(peer, until);
        None
    }

    /// Sends a one-way message.
    pub(crate) async fn notify(&self, peer: SocketAddr, note: Note) {
        self.send(peer, &Packet::Note(note)).await;
    }

    async fn send(&self, peer: SocketAddr, packet: &Packet) {
        let datagram = self.sealer.seal(packet);
        if let Err(error) = self.socket.send_to(&datagram, peer).await {
            event!(debug, "datagram_failed", peer = peer, reason = error);
        }
    }

    /// Tells the asking VM that its question is being worked on.
    pub(crate) async fn send_working(&self, (peer, number): ReplyAddress) {
        self.send(peer, &Packet::Reply(number, Reply::Working))
            .await;
    }

    fn handle_reply(&self, number: u64, reply: Reply) {
        if let Some(sender) = self.pending.borrow().get(&number) {
            // A full channel already holds a copy of a repeated reply.
            drop(sender.try_send(reply));
        }
    }
}

/// Removes a pending question when it is answered or its future is dropped.
struct Pending<'a> {
    peers: &'a Peers,
    number: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.peers.pending.borrow_mut().remove(&self.number);
    }
}

/// Address for messages between VMs: the port after that of the membership protocol.
pub(crate) fn peer_address(member: SocketAddr) -> SocketAddr {
    SocketAddr::new(member.ip(), member.port() + 1)
}

/// Receives and handles datagrams until the process ends.
pub(crate) async fn receive(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((size, from)) = gateway.peers.socket.recv_from(&mut buffer).await else {
            continue;
        };
        match gateway.peers.sealer.open(&buffer[..size]) {
            Some(Packet::Reply(number, reply)) => gateway.peers.handle_reply(number, reply),
            Some(Packet::Note(note)) => gateway.handle_note(from, note).await,
            Some(Packet::Question(number, question)) => {
                tokio::task::spawn_local(answer(Rc::clone(&gateway), from, number, question));
            }
            None => event!(warn, "datagram_refused", from = from, bytes = size),
        }
    }
}

async fn answer(gateway: Rc<Gateway>, from: SocketAddr, number: u64, question: Question) {
    let peers = &gateway.peers;
    if !peers.in_progress.borrow_mut().insert((from, number)) {
        return peers.send_working((from, number)).await;
    }
    let reply = gateway.handle_question((from, number), question).await;
    peers.in_progress.borrow_mut().remove(&(from, number));
    peers.send(from, &Packet::Reply(number, reply)).await;
}

/// Numeric id of a VM for [`crate::policy::allowance`], derived from its address.
pub(crate) fn vm_number(address: SocketAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes())
}

/// Another VM, by its address for messages between VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Peer {
    pub(crate) vm: Vm,
    pub(crate) address: SocketAddr,
    /// Whether the member announces that it may own partitions and queues.
    pub(crate) ready: bool,
}
