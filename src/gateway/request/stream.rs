//! Passes the events of a stream on to its caller, from one server after another where one breaks off.

use super::body::{Body, Cut};
use super::job::Job;
use super::wait;
use crate::conversation::Transcript;
use crate::gateway::queue::permit::Permit;
use crate::gateway::server::attempt::{Attempt, Next, Source, Stream, attempt};
use crate::gateway::server::event::Batch;
use crate::policy::dispatch::Outcome;
use crate::telemetry::event;
use bytes::Bytes;
use http::Response;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// How often a stream may go on after a break.
const RESUMES: usize = 4;

/// Begins the answer of a stream, whose events follow as they come.
pub(super) fn relay(job: &Rc<Job>, permit: Permit, stream: Stream) -> Response<Body> {
    let (chunks, body) = Body::relayed();
    let mut response = Response::new(body);
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers;
    let pump = Pump {
        job: Rc::clone(job),
        permit,
        source: stream.source,
        last: job.meta.last_event,
        said: job.route.stores_history.then(Transcript::default),
        chunks,
    };
    tokio::task::spawn_local(pump.run(stream.first));
    response
}

/// Passes the events of a stream on, from one server after another where one breaks off.
#[derive(Debug)]
struct Pump {
    job: Rc<Job>,
    permit: Permit,
    source: Source,
    /// The last event that was passed on.
    last: Option<u64>,
    /// What was said, where the system keeps turns.
    said: Option<Transcript>,
    chunks: mpsc::Sender<Result<Bytes, Cut>>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    CallerLeft,
    Late,
    Broken(&'static str),
}

impl Pump {
    async fn run(mut self, first: Option<Batch>) {
        let mut end = match first {
            Some(batch) => self.pass(batch).await,
            None => Some(End::Whole),
        };
        let mut resumes = 0;
        let chunks = self.chunks.clone();
        while end.is_none() {
            let next = tokio::select! {
                next = self.source.next() => next,
                () = chunks.closed() => { end = Some(End::CallerLeft); break },
                () = tokio::time::sleep_until(self.job.deadline) => { end = Some(End::Late); break },
            };
            end = match next {
                Next::Events(batch) => self.pass(batch).await,
                Next::End => Some(End::Whole),
                Next::Broken(reason) if resumes >= RESUMES || !self.job.route.resumable => {
                    Some(End::Broken(reason))
                }
                Next::Broken(reason) => {
                    resumes += 1;
                    self.resume(reason).await
                }
            };
        }
        self.finish(end.unwrap_or(End::Whole)).await;
    }

    async fn pass(&mut self, batch: Batch) -> Option<End> {
        self.last = batch.last.or(self.last);
        let job = &self.job;
        job.events.set(job.events.get() + batch.events);
        if let Some(said) = &mut self.said {
            said.push(&batch.bytes);
        }
        let sent = tokio::time::timeout_at(job.deadline, self.chunks.send(Ok(batch.bytes))).await;
        match sent {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::CallerLeft),
            Err(_) => Some(End::Late),
        }
    }

    /// Goes on from the last whole event: at the same server, which does not count twice among
    /// those that the request may run on, or at another one if it has ended.
    async fn resume(&mut self, reason: &'static str) -> Option<End> {
        let chunks = self.chunks.clone();
        let job = Rc::clone(&self.job);
        let work = self.resume_somewhere(reason);
        tokio::select! {
            end = work => end,
            () = chunks.closed() => Some(End::CallerLeft),
            () = tokio::time::sleep_until(job.deadline) => Some(End::Late),
        }
    }

    async fn resume_somewhere(&mut self, reason: &'static str) -> Option<End> {
        let mut again = attempt(&self.job, &self.permit, self.last).await;
        log_resume(&self.job, &self.permit.server.id, reason, &again, self.last);
        if matches!(again, Attempt::Unreachable) {
            let avoid = [Arc::clone(&self.permit.server.id)];
            match wait(&self.job, &avoid).await {
                Ok(permit) => {
                    let ended = std::mem::replace(&mut self.permit, permit);
                    ended.end(Outcome::Failed);
                }
                Err(_) => return Some(End::Broken(reason)),
            }
            again = attempt(&self.job, &self.permit, self.last).await;
            log_resume(&self.job, &self.permit.server.id, reason, &again, self.last);
        }
        let Attempt::Stream(stream) = again else {
            return Some(End::Broken(reason));
        };
        self.source = stream.source;
        match stream.first {
            Some(batch) => self.pass(batch).await,
            None => Some(End::Whole),
        }
    }

    async fn finish(self, end: End) {
        let Self {
            job,
            permit,
            source,
            said,
            chunks,
            ..
        } = self;
        if end == End::Whole {
            let (took, load) = (source.began.elapsed(), source.load);
            source.finish(&job);
            permit.end(Outcome::Done {
                took,
                work: (job.events.get() + 1) as f64,
                load,
            });
            let kept = keep(&job, said).await;
            job.ended(if kept { "200" } else { "cut:not_kept" }, kept);
            if !kept {
                drop(chunks.send(Err(Cut)).await);
            }
            return;
        }
        let result = match end {
            End::Whole => return,
            End::CallerLeft => "caller_left",
            End::Late => "cut:late",
            End::Broken(reason) => reason,
        };
        job.ended(result, false);
        if matches!(end, End::Broken(_)) {
            permit.end(Outcome::Failed);
        }
        if end != End::CallerLeft {
            // The caller has left where this fails.
            drop(chunks.send(Err(Cut)).await);
        }
    }
}

/// Keeps a turn whose last event came, where its route wants that; false where it is not kept.
async fn keep(job: &Job, said: Option<Transcript>) -> bool {
    let Some(said) = said else {
        return true;
    };
    job.gateway.persist_turn(job, said).await
}

fn log_resume(job: &Job, server: &str, reason: &str, attempt: &Attempt, last: Option<u64>) {
    let outcome = match attempt {
        Attempt::Stream(_) => "resumed",
        Attempt::Answer(_) => "other_answer",
        Attempt::NotRun(reason) | Attempt::Lost(reason) => reason,
        Attempt::Unreachable => "unreachable",
    };
    event!(
        info,
        "stream_resumed",
        id = job.meta.id,
        server = server,
        after = reason,
        last = last.unwrap_or_default(),
        outcome = outcome,
        age_ms = job.age_ms()
    );
}
