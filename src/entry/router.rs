//! Routes requests to the owner of their shard, on this VM or another.

use crate::code::{Code, Failure, Ran};
use crate::id::Vm;
use crate::member::View;
use crate::owner::{Envelope, Frame, Position, Request};
use crate::peer::Connections;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// Capacity of frame channels; bounds what is buffered for a slow caller.
const FRAME_CAPACITY: usize = 1024;
/// Delay before the owner is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Part of the timeout withheld from the owner, so that its timeout response arrives first.
const OWNER_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);

/// Looks up shard owners and forwards requests to them.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    pub(crate) vm: Vm,
    pub(crate) shards: u64,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) local_owner: flume::Sender<Envelope>,
    pub(crate) connections: Connections,
}

enum Owner {
    Local,
    Remote(SocketAddr),
}

/// Result of one attempt.
enum Attempt {
    /// The final frame was forwarded, or the caller disconnected.
    Finished,
    /// The owner was lost or has changed; look it up and try again.
    Retry,
}

impl Router {
    /// Starts a request and returns the receiver of its frames; the last frame is final.
    pub(crate) fn start(&self, request: Request, timeout: Duration) -> mpsc::Receiver<Frame> {
        let (frames, receiver) = mpsc::channel(FRAME_CAPACITY);
        let router = self.clone();
        tokio::spawn(async move { router.forward(request, timeout, frames).await });
        receiver
    }

    /// Forwards a request to the owner and retries until it is answered.
    ///
    /// Retries are idempotent: calls are numbered and programs are opened with a key, so the owner
    /// returns the stored answer or resumes the stream.
    async fn forward(&self, request: Request, timeout: Duration, frames: mpsc::Sender<Frame>) {
        let deadline = Instant::now() + timeout;
        let mut progress = Progress::default();
        loop {
            if Instant::now() >= deadline {
                let failure = Failure::refused(Code::NoOwner, "no owner answered in time")
                    .ran(progress.ran())
                    .retry_after(Duration::from_secs(1));
                let _ = frames.send(Frame::Failed(failure)).await;
                return;
            }
            let attempt = match self.find_owner(&request) {
                Some(Owner::Local) => {
                    self.try_local(&request, deadline, &frames, &mut progress)
                        .await
                }
                Some(Owner::Remote(address)) => {
                    self.try_remote(address, &request, deadline, &frames, &mut progress)
                        .await
                }
                None => Attempt::Retry,
            };
            match attempt {
                Attempt::Finished => return,
                Attempt::Retry => sleep(RETRY_DELAY).await,
            }
            if frames.is_closed() {
                return;
            }
        }
    }

    fn find_owner(&self, request: &Request) -> Option<Owner> {
        let view = self.view.borrow();
        let member = view.owner(request.shard(self.shards))?;
        Some(if member.vm == self.vm {
            Owner::Local
        } else {
            Owner::Remote(member.address)
        })
    }

    async fn try_local(
        &self,
        request: &Request,
        deadline: Instant,
        frames: &mpsc::Sender<Frame>,
        progress: &mut Progress,
    ) -> Attempt {
        let (sender, mut receiver) = mpsc::channel(FRAME_CAPACITY);
        let request = resume_from(request, progress.position);
        let owner_deadline = deadline
            .checked_sub(OWNER_TIMEOUT_MARGIN)
            .unwrap_or(deadline);
        let ask = Envelope {
            request,
            frames: sender,
            deadline: owner_deadline,
        };
        if self.local_owner.try_send(ask).is_err() {
            let failure = Failure::refused(Code::RingFull, "the owner's queue is full")
                .ran(progress.ran())
                .retry_after(Duration::from_millis(500));
            let _ = frames.send(Frame::Failed(failure)).await;
            return Attempt::Finished;
        }
        while let Some(frame) = receiver.recv().await {
            if let Some(attempt) = forward_frame(frame, frames, progress).await {
                return attempt;
            }
        }
        progress.may_have_run = true;
        Attempt::Retry
    }

    async fn try_remote(
        &self,
        address: SocketAddr,
        request: &Request,
        deadline: Instant,
        frames: &mpsc::Sender<Frame>,
        progress: &mut Progress,
    ) -> Attempt {
        let timeout = deadline
            .saturating_duration_since(Instant::now())
            .saturating_sub(OWNER_TIMEOUT_MARGIN);
        let subscription = self
            .connections
            .request(address, &resume_from(request, progress.position), timeout)
            .await;
        let Ok(mut stream) = subscription else {
            progress.may_have_run = true;
            return Attempt::Retry;
        };
        loop {
            let Ok(Some(Ok(frame))) = timeout_at(deadline, stream.next()).await else {
                progress.may_have_run = true;
                return Attempt::Retry;
            };
            if let Some(attempt) = forward_frame(frame, frames, progress).await {
                return attempt;
            }
        }
    }
}

/// State of a request across attempts.
#[derive(Debug, Default)]
struct Progress {
    /// Position in the stream up to which the caller has the text.
    position: Position,
    /// Whether an owner may have run the call without its response reaching this VM.
    may_have_run: bool,
}

impl Progress {
    const fn ran(&self) -> Ran {
        if self.may_have_run {
            Ran::Unknown
        } else {
            Ran::No
        }
    }
}

/// Forwards a frame to the caller; returns `Some` if the attempt has ended.
async fn forward_frame(
    frame: Frame,
    frames: &mpsc::Sender<Frame>,
    progress: &mut Progress,
) -> Option<Attempt> {
    let frame = match frame {
        Frame::Failed(failure) if failure.code == Code::NotOwner => {
            progress.may_have_run |= failure.ran != Ran::No;
            return Some(Attempt::Retry);
        }
        // The owner that refused did not run the call, but a previous one may have.
        Frame::Failed(failure) if failure.ran == Ran::No => {
            Frame::Failed(failure.ran(progress.ran()))
        }
        frame => frame,
    };
    let is_final = matches!(frame, Frame::Final(_) | Frame::Failed(_));
    match &frame {
        Frame::Delta { at, .. } => {
            progress.position = Position {
                at: at.at + 1,
                ..*at
            };
        }
        Frame::Restart => progress.position = Position::default(),
        Frame::Final(_) | Frame::Failed(_) => {}
    }
    let sent = frames.send(frame).await;
    (is_final || sent.is_err()).then_some(Attempt::Finished)
}

/// Copies a request, with the stream position to resume from.
fn resume_from(request: &Request, position: Position) -> Request {
    let mut request = request.clone();
    if let Request::Call { from, .. } | Request::Read { from, .. } = &mut request
        && position.at > 0
    {
        *from = position;
    }
    request
}
