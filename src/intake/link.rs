//! A connection of a caller, with what it is at.

use super::{Charge, Intake, Kind};
use crate::policy::room::{Holder, Need, Phase, Port, is_abandoned};
use crate::telemetry::event;
use http::HeaderMap;
use socket2::SockRef;
use std::fmt;
use std::io::{Error, Result};
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Memory of an idle connection: its buffers and its task.
pub(super) const CONNECTION_BYTES: usize = 12 << 10;
/// Memory of a request under way beside its head and body: buffers that have grown, unread bytes of requests that the
/// caller sends ahead, and the state of its task.
const REQUEST_BYTES: usize = 32 << 10;
/// Largest head that the buffers of an idle connection hold.
const SMALL_HEAD_BYTES: usize = 4 << 10;
/// Bytes that may arrive unread. They are held by the machine.
pub(super) const RECEIVE_BYTES: usize = 16 << 10;
/// The same while a body arrives, whose bytes are charged before they do.
const LARGE_RECEIVE_BYTES: usize = 256 << 10;
/// Most bytes of a head.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time and bytes for which a closed connection is read on, so that its caller receives the answer: unread bytes would
/// reset the connection.
const LINGER_TIME: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 4 << 20;

/// A connection, known to its registry.
pub(crate) struct Link {
    pub(super) peer: SocketAddr,
    pub(super) port: Port,
    intake: Intake,
    state: Mutex<State>,
    refused: Notify,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact about the connection"
)]
struct State {
    stream: TcpStream,
    phase: Phase,
    /// Start of the phase.
    since: Instant,
    /// Last time when bytes arrived, or when the caller took some.
    progress: Instant,
    /// Whether the caller does not take the bytes that are ready for it.
    is_blocked: bool,
    /// Bytes that arrived in this phase.
    arrived: usize,
    /// Bytes of the request's body or of its answer.
    bytes: usize,
    /// An unfinished head that has outgrown the buffers of an idle connection.
    head: Option<Charge>,
    /// When the body of the request was first read.
    body_since: Option<Instant>,
    used: bool,
    /// Size of the receive buffer.
    receive_bytes: usize,
    /// Whether the answer was handed over whole.
    is_answered: bool,
    deadline: Option<Instant>,
    /// Whether the request has to give way.
    is_refused: bool,
    /// Whether a part of the request is not read.
    is_unread: bool,
    is_closed: bool,
}

impl State {
    fn begin(&mut self, phase: Phase) {
        let now = Instant::now();
        if self.phase != phase {
            (self.phase, self.since, self.arrived) = (phase, now, 0);
        }
        self.progress = now;
    }

    fn limit_receive_buffer(&mut self, bytes: usize) {
        if bytes == self.receive_bytes {
            return;
        }
        self.receive_bytes = bytes;
        // Without it the body is only slower.
        let _ = SockRef::from(&self.stream).set_recv_buffer_size(bytes);
    }

    /// Answers an unfinished head. Nothing else is being sent, since there is no request.
    fn answer_head(&self) {
        // Fails if the caller has closed the connection.
        let _ = self.stream.try_write(HEAD_REFUSAL);
    }

    fn shut_down(&mut self) {
        self.is_closed = true;
        // Fails if the caller has closed it.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }
}

impl Link {
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, port: Port, intake: Intake) -> Self {
        let now = Instant::now();
        Self {
            peer,
            port,
            intake,
            state: Mutex::new(State {
                stream,
                phase: Phase::Idle,
                since: now,
                progress: now,
                is_blocked: false,
                arrived: 0,
                bytes: 0,
                head: None,
                body_since: None,
                used: false,
                receive_bytes: RECEIVE_BYTES,
                is_answered: false,
                deadline: None,
                is_refused: false,
                is_unread: false,
                is_closed: false,
            }),
            refused: Notify::new(),
        }
    }

    pub(crate) const fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a head, and charges what its request needs beside the body.
    pub(crate) fn begin_request(&self, head_bytes: usize) -> Charge {
        let mut state = self.state();
        state.begin(Phase::Working);
        state.head = None;
        (state.used, state.bytes, state.body_since) = (true, 0, None);
        (state.is_answered, state.is_refused) = (false, false);
        let bytes = REQUEST_BYTES + 2 * head_bytes;
        self.intake.charge(Kind::Request, bytes)
    }

    /// Charges an unfinished head of which this much has arrived; returns whether there is room for it.
    fn hold_head(&self, arrived: usize) -> bool {
        if arrived <= SMALL_HEAD_BYTES {
            return true;
        }
        let charged = self.state().head.as_ref().map_or(0, Charge::bytes);
        // The buffer grows by doubling, and is copied meanwhile.
        let missing = (2 * arrived.next_power_of_two()).saturating_sub(charged);
        if missing == 0 {
            return true;
        }
        if !self.intake.admits(Need::Small, missing) && !self.intake.make_room(Need::Small, missing)
        {
            return false;
        }
        let charge = self.intake.charge(Kind::Request, missing);
        match &mut self.state().head {
            Some(head) => head.add(charge),
            head => *head = Some(charge),
        }
        true
    }

    /// Sets when the request is given up.
    pub(crate) fn set_deadline(&self, deadline: Instant) {
        self.state().deadline = Some(deadline);
    }

    /// Notes that the body is read from now on, for which this many bytes are reserved.
    pub(crate) fn begin_body(&self, bytes: usize) {
        let mut state = self.state();
        let arrived = state.arrived;
        state.begin(Phase::Body);
        // Pauses in which it waited for room are a part of its time.
        let since = state.since;
        state.since = *state.body_since.get_or_insert(since);
        (state.arrived, state.bytes) = (arrived, bytes);
        // What has not arrived yet is charged, so it may wait unread.
        state.limit_receive_buffer(bytes.clamp(RECEIVE_BYTES, LARGE_RECEIVE_BYTES));
    }

    /// Notes that the VM, not the caller, is at work.
    pub(crate) fn begin_work(&self) {
        let mut state = self.state();
        let arrived = state.arrived;
        state.begin(Phase::Working);
        state.arrived = arrived;
        state.limit_receive_buffer(RECEIVE_BYTES);
    }

    /// Notes that an answer is sent, of which this many bytes are held.
    pub(crate) fn begin_answer(&self, bytes: usize) {
        let mut state = self.state();
        state.begin(Phase::Answer);
        state.bytes = bytes;
    }

    pub(super) fn end_answer(&self) {
        self.state().is_answered = true;
    }

    /// Waits until the request has to give way to others.
    pub(super) async fn refused(&self) {
        loop {
            let refused = self.refused.notified();
            if self.state().is_refused {
                return;
            }
            refused.await;
        }
    }

    fn refuse_head(&self) {
        self.state().answer_head();
        self.intake.refuse(self.peer, self.port, "memory");
    }

    /// What the policy has to know; `None` if the connection is closing.
    pub(super) fn holder<K>(&self, key: K, now: Instant) -> Option<Holder<K>> {
        let state = self.state();
        if state.is_closed || state.is_refused {
            return None;
        }
        let quiet = now.saturating_duration_since(state.progress);
        let is_waiting_for_us = state.phase == Phase::Answer && !state.is_blocked;
        let left = state.deadline.map(|at| at.saturating_duration_since(now));
        Some(Holder {
            key,
            phase: state.phase,
            used: state.used,
            bytes: CONNECTION_BYTES + state.bytes + state.head.as_ref().map_or(0, Charge::bytes),
            arrived: state.arrived,
            age: now.saturating_duration_since(state.since),
            quiet: if is_waiting_for_us {
                Duration::ZERO
            } else {
                quiet
            },
            left: left.unwrap_or_default(),
        })
    }

    /// Makes the connection give way: an unfinished request is refused, another connection is closed. Returns whether it is
    /// closed.
    pub(super) fn give_way(&self, reason: &str) -> bool {
        let mut state = self.state();
        if state.phase == Phase::Body {
            state.is_refused = true;
            drop(state);
            // The refusal has a line of its own.
            self.refused.notify_waiters();
            return false;
        }
        if state.phase == Phase::Head && state.arrived > 0 {
            state.answer_head();
        }
        state.shut_down();
        event!(
            info,
            "connection_closed",
            port = self.port.name(),
            peer = self.peer,
            reason = reason,
            phase = state.phase.name(),
            bytes = (state.bytes + CONNECTION_BYTES),
            quiet_ms = state.progress.elapsed().as_millis()
        );
        true
    }

    /// Whether its phase began, or its caller last sent or took something, too long ago.
    pub(super) fn overdue(
        &self,
        now: Instant,
        head: Duration,
        idle: Option<Duration>,
    ) -> Option<&'static str> {
        let state = self.state();
        match (state.phase, idle) {
            (Phase::Head, _) if now >= state.since + head => Some("head_timeout"),
            (Phase::Idle, Some(idle)) if now >= state.progress + idle => Some("idle_timeout"),
            (Phase::Answer, _) if state.is_blocked => {
                let late = state.deadline.map(|at| now.saturating_duration_since(at));
                let quiet = now.saturating_duration_since(state.progress);
                is_abandoned(quiet, late.unwrap_or(quiet)).then_some("unread")
            }
            _ => None,
        }
    }

    /// Notes that a part of the request is not read.
    pub(crate) fn leave_unread(&self) {
        self.state().is_unread = true;
    }

    /// Whether a part of the request is not read.
    pub(crate) fn is_unread(&self) -> bool {
        self.state().is_unread
    }

    /// Reads on for a moment after the last answer, and closes the connection.
    pub(crate) async fn linger(&self, io: &mut Io) {
        {
            let mut state = self.state();
            if state.is_closed || !state.is_unread {
                return;
            }
            state.begin(Phase::Closing);
            state.bytes = 0;
            if SockRef::from(&state.stream)
                .shutdown(Shutdown::Write)
                .is_err()
            {
                return;
            }
        }
        let mut buffer = [0; 4096];
        let mut read = 0;
        let drain = async {
            while let Ok(size @ 1..) = io.read(&mut buffer).await {
                read += size;
                if read > MAX_LINGER_BYTES {
                    return;
                }
            }
        };
        drop(timeout(LINGER_TIME, drain).await);
    }
}

/// Size of a head, without the request line.
pub(crate) fn head_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers.iter();
    let sizes = sizes.map(|(name, value)| name.as_str().len() + value.len());
    sizes.sum()
}

const HEAD_REFUSAL: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// The bytes of a connection.
#[derive(Debug, Clone)]
pub(crate) struct Io(pub(super) Arc<Link>);

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let mut state = self.0.state();
        let before = buf.filled().len();
        ready!(Pin::new(&mut state.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if read == 0 {
            return Poll::Ready(Ok(()));
        }
        if state.phase == Phase::Idle {
            state.begin(Phase::Head);
        }
        state.arrived += read;
        if state.phase != Phase::Answer {
            state.progress = Instant::now();
        }
        if state.phase != Phase::Head {
            return Poll::Ready(Ok(()));
        }
        let arrived = state.arrived;
        drop(state);
        if arrived > MAX_HEAD_BYTES {
            return Poll::Ready(Err(Error::other("the head is too large")));
        }
        if !self.0.hold_head(arrived) {
            self.0.refuse_head();
            return Poll::Ready(Err(Error::other("no room for the head")));
        }
        Poll::Ready(Ok(()))
    }
}

impl Io {
    fn written(state: &mut State, result: Poll<Result<usize>>) -> Poll<Result<usize>> {
        let now = Instant::now();
        match &result {
            Poll::Ready(_) => (state.is_blocked, state.progress) = (false, now),
            Poll::Pending if !state.is_blocked => (state.is_blocked, state.progress) = (true, now),
            Poll::Pending => {}
        }
        result
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let mut state = self.0.state();
        let result = Pin::new(&mut state.stream).poll_write(cx, buf);
        Self::written(&mut state, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let mut state = self.0.state();
        let result = Pin::new(&mut state.stream).poll_write_vectored(cx, bufs);
        Self::written(&mut state, result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let mut state = self.0.state();
        // All that was handed over is written when this is called.
        if state.is_answered {
            state.is_answered = false;
            state.begin(Phase::Idle);
            (state.bytes, state.deadline) = (0, None);
        }
        Pin::new(&mut state.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0.state().stream).poll_shutdown(cx)
    }
}
