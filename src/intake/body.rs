//! Reads bodies into memory that is charged.

use super::{Charge, Intake, Kind, Link, Shortage};
use crate::policy::room::Need;
use crate::segments::Segments;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

/// Size of the pieces in which a body is held. A body grows by pieces, so that it is never copied or held twice.
const SEGMENT_BYTES: usize = 64 << 10;
/// First reservation for a body of unknown length. Each further one is as large as all before it, up to the maximum.
const MIN_RESERVATION: usize = 4 << 10;
const MAX_RESERVATION: usize = 256 << 10;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// It is larger than the limit.
    TooLarge,
    /// The connection ended, or what arrived is malformed.
    EndedEarly,
    /// It did not arrive in time.
    Late,
    /// There is no room for it.
    NoRoom(Shortage),
}

/// A body under construction.
#[derive(Debug)]
pub(crate) struct Buffer {
    segments: Segments,
    tail: Vec<u8>,
    /// Covers the tail and what is reserved beyond it.
    charge: Charge,
    /// Bytes reserved so far.
    reserved: usize,
}

impl Buffer {
    pub(crate) fn new(charge: Charge) -> Self {
        Self {
            segments: Segments::default(),
            tail: Vec::new(),
            reserved: charge.bytes(),
            charge,
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.segments.len() + self.tail.len()
    }

    /// Bytes that have to be reserved before `more` bytes are pushed; zero if they are.
    pub(crate) fn missing(&self, more: usize) -> usize {
        let free = self.charge.bytes() - self.tail.len();
        if more <= free {
            return 0;
        }
        let step = self.reserved.clamp(MIN_RESERVATION, MAX_RESERVATION);
        (more - free).max(step)
    }

    /// Bytes reserved so far.
    pub(crate) const fn reserved(&self) -> usize {
        self.reserved
    }

    pub(crate) fn add(&mut self, charge: Charge) {
        self.reserved += charge.bytes();
        self.charge.add(charge);
    }

    /// Appends bytes for which room is reserved.
    pub(crate) fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.tail.len() == self.tail.capacity() {
                self.seal_tail();
                let capacity = self.charge.bytes().clamp(1, SEGMENT_BYTES);
                self.tail = Vec::with_capacity(capacity);
            }
            let free = self.tail.capacity() - self.tail.len();
            let (now, rest) = data.split_at(free.min(data.len()));
            self.tail.extend_from_slice(now);
            data = rest;
        }
    }

    fn seal_tail(&mut self) {
        let tail = std::mem::take(&mut self.tail);
        if !tail.is_empty() {
            let charge = self.charge.split(tail.capacity());
            self.segments.push(charge.hold(tail));
        }
    }

    /// The whole body. What is reserved beyond it is released.
    pub(crate) fn finish(mut self) -> Segments {
        self.tail.shrink_to_fit();
        self.seal_tail();
        self.segments
    }
}

/// Reads the body of a request, for which room is reserved before it is read as far as its length is known.
///
/// # Errors
/// If it is not whole by the deadline, larger than `limit`, or has to give way to others.
pub(crate) async fn read_body(
    intake: &Intake,
    link: &Link,
    kind: Kind,
    body: impl Body<Data = Bytes> + Unpin,
    limit: usize,
    deadline: Instant,
) -> Result<Segments, ReadError> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    if announced.is_some_and(|size| size > limit) {
        link.leave_unread();
        return Err(ReadError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Segments::default());
    }
    let reading = read(intake, link, kind, body, announced, limit, deadline);
    let result = tokio::select! {
        result = timeout_at(deadline, reading) => result.unwrap_or(Err(ReadError::Late)),
        () = link.refused() => {
            let needed = announced.unwrap_or(limit);
            Err(ReadError::NoRoom(intake.shortage(kind, need(kind, needed), needed)))
        }
    };
    link.begin_work();
    if result.is_err() {
        link.leave_unread();
    }
    result
}

fn need(kind: Kind, size: usize) -> Need {
    match kind {
        Kind::Message => Need::Message,
        _ => Need::of_request(size),
    }
}

async fn read(
    intake: &Intake,
    link: &Link,
    kind: Kind,
    mut body: impl Body<Data = Bytes> + Unpin,
    announced: Option<usize>,
    limit: usize,
    deadline: Instant,
) -> Result<Segments, ReadError> {
    let size = announced.unwrap_or(MIN_RESERVATION);
    let reserved = intake.reserve(kind, need(kind, size), size, deadline).await;
    let mut buffer = Buffer::new(reserved.map_err(ReadError::NoRoom)?);
    link.begin_body(size);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::EndedEarly)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(ReadError::TooLarge);
        }
        let missing = buffer.missing(data.len());
        if missing > 0 {
            link.begin_work();
            let need = need(kind, buffer.reserved() + missing);
            let more = intake.reserve(kind, need, missing, deadline).await;
            buffer.add(more.map_err(ReadError::NoRoom)?);
            link.begin_body(buffer.reserved());
        }
        buffer.push(&data);
    }
    Ok(buffer.finish())
}
