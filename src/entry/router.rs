//! The way from an entry to the owner of a shard, here or on another VM.

use crate::code::{Code, Failure, Ran};
use crate::id::Vm;
use crate::member::View;
use crate::owner::{Ask, Frame, Position, Request};
use crate::peer::Links;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// Frames that may wait for a slow caller.
const FRAMES: usize = 1024;
/// The pause before the owner is looked up again.
const RETRY: Duration = Duration::from_millis(60);
/// What the owner is given less than the entry, so that its own answer comes first.
const MARGIN: Duration = Duration::from_millis(200);

/// Finds owners and passes requests to them.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    pub(crate) vm: Vm,
    pub(crate) shards: u64,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) local_owner: flume::Sender<Ask>,
    pub(crate) connections: Links,
}

enum Place {
    Here,
    There(SocketAddr),
}

/// How one try ended.
enum End {
    /// The final frame was passed on, or the caller has gone.
    Over,
    /// The owner was lost or is another: the request is brought to the next one.
    Again,
}

impl Router {
    /// Starts a request; its frames come on the receiver, the last is final.
    pub(crate) fn start(&self, request: Request, wait: Duration) -> mpsc::Receiver<Frame> {
        let (frames, receiver) = mpsc::channel(FRAMES);
        let router = self.clone();
        tokio::spawn(async move { router.bring(request, wait, frames).await });
        receiver
    }

    /// Brings a request to the owner until it is answered.
    ///
    /// Calls are numbered and openings have keys, so asking again after a lost connection or a
    /// change of owner gives the kept answer, or the rest of the stream, and runs nothing twice.
    async fn bring(&self, request: Request, wait: Duration, frames: mpsc::Sender<Frame>) {
        let until = Instant::now() + wait;
        let mut tries = Tries::default();
        loop {
            if Instant::now() >= until {
                let failure = Failure::refused(Code::NoOwner, "no owner answered in time")
                    .ran(tries.ran())
                    .retry_after(Duration::from_secs(1));
                let _ = frames.send(Frame::Failed(failure)).await;
                return;
            }
            let end = match self.place(&request) {
                Some(Place::Here) => self.here(&request, until, &frames, &mut tries).await,
                Some(Place::There(to)) => {
                    self.there(to, &request, until, &frames, &mut tries).await
                }
                None => End::Again,
            };
            match end {
                End::Over => return,
                End::Again => sleep(RETRY).await,
            }
            if frames.is_closed() {
                return;
            }
        }
    }

    fn place(&self, request: &Request) -> Option<Place> {
        let view = self.view.borrow();
        let member = view.owner(request.shard(self.shards))?;
        Some(if member.vm == self.vm {
            Place::Here
        } else {
            Place::There(member.address)
        })
    }

    async fn here(
        &self,
        request: &Request,
        until: Instant,
        frames: &mpsc::Sender<Frame>,
        tries: &mut Tries,
    ) -> End {
        let (sender, mut receiver) = mpsc::channel(FRAMES);
        let request = resumed(request, tries.passed);
        let until_owner = until.checked_sub(MARGIN).unwrap_or(until);
        let ask = Ask {
            request,
            frames: sender,
            until: until_owner,
        };
        if self.local_owner.try_send(ask).is_err() {
            let full = Failure::refused(Code::RingFull, "the owner's queue is full")
                .ran(tries.ran())
                .retry_after(Duration::from_millis(500));
            let _ = frames.send(Frame::Failed(full)).await;
            return End::Over;
        }
        while let Some(frame) = receiver.recv().await {
            if let Some(end) = pass(frame, frames, tries).await {
                return end;
            }
        }
        tries.lost = true;
        End::Again
    }

    async fn there(
        &self,
        to: SocketAddr,
        request: &Request,
        until: Instant,
        frames: &mpsc::Sender<Frame>,
        tries: &mut Tries,
    ) -> End {
        let wait = until
            .saturating_duration_since(Instant::now())
            .saturating_sub(MARGIN);
        let asked = self
            .connections
            .ask(to, &resumed(request, tries.passed), wait)
            .await;
        let Ok(mut stream) = asked else {
            tries.lost = true;
            return End::Again;
        };
        loop {
            let Ok(Some(Ok(frame))) = timeout_at(until, stream.next()).await else {
                tries.lost = true;
                return End::Again;
            };
            if let Some(end) = pass(frame, frames, tries).await {
                return end;
            }
        }
    }
}

/// What the tries so far have done.
#[derive(Debug, Default)]
struct Tries {
    /// What the caller has of the stream.
    passed: Position,
    /// An owner may have acted without an answer that reached this entry.
    lost: bool,
}

impl Tries {
    const fn ran(&self) -> Ran {
        if self.lost { Ran::Unknown } else { Ran::No }
    }
}

/// Passes a frame on; `Some` when the try is over.
async fn pass(frame: Frame, frames: &mpsc::Sender<Frame>, tries: &mut Tries) -> Option<End> {
    let frame = match frame {
        Frame::Failed(failure) if failure.code == Code::NotOwner => {
            tries.lost |= failure.ran != Ran::No;
            return Some(End::Again);
        }
        // The refusing owner speaks for itself; one that was lost before it may have acted.
        Frame::Failed(failure) if failure.ran == Ran::No => Frame::Failed(failure.ran(tries.ran())),
        frame => frame,
    };
    let last = matches!(frame, Frame::Final(_) | Frame::Failed(_));
    match &frame {
        Frame::Delta { at, .. } => {
            tries.passed = Position {
                at: at.at + 1,
                ..*at
            };
        }
        Frame::Restart => tries.passed = Position::default(),
        Frame::Final(_) | Frame::Failed(_) => {}
    }
    let sent = frames.send(frame).await;
    (last || sent.is_err()).then_some(End::Over)
}

/// The request, asking for the stream from where the caller has it.
fn resumed(request: &Request, passed: Position) -> Request {
    let mut request = request.clone();
    if let Request::Call { from, .. } | Request::Read { from, .. } = &mut request
        && passed.at > 0
    {
        *from = passed;
    }
    request
}
