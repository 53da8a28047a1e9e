//! The servers of one service and the requests that wait for them.

use super::candidates::Candidates;
use super::dispatch::{Ask, Crowd, Description};
use super::flow::Flow;
use super::programs::Programs;
use super::queue::{Band, Order, Queue};
use super::standing::Standing;
use super::window::{Server, choose};
use crate::id::Permit;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Requests that are looked at for each chance to grant.
pub(super) const SCAN: usize = 32;
/// The bounds of the time after which a refused caller may come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(2));

/// A request that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    pub(super) standing: Standing,
}

impl Waiting {
    pub(super) fn is_held(&self, clock: i64) -> bool {
        let held = i64::try_from(self.ask.held().as_millis()).unwrap_or(i64::MAX);
        self.standing.asked + held < clock
    }
}

impl Order for Waiting {
    const LATE_SHARE: u64 = Standing::LATE_SHARE;

    fn band(&self, now: i64) -> (Band, i64) {
        self.standing.band(now)
    }

    fn key(&self, band: Band) -> i64 {
        self.standing.key(band)
    }
}

/// The servers of one service and the requests that wait for them.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) servers: Vec<Server>,
    pub(super) candidates: Candidates,
    pub(super) queue: Queue<Waiting>,
    pub(super) flow: Flow,
    /// Of those that went to programs that were not admitted.
    pub(super) late: Flow,
    pub(super) programs: Programs,
    /// The usual time for one unit of work, in milliseconds.
    pub(super) pace: Option<f64>,
}

impl Pool {
    /// Sets the servers; what runs on one that is gone is left to end.
    pub(super) fn configure(&mut self, mut wanted: HashMap<Arc<str>, Description>) {
        self.servers.retain_mut(|server| {
            let Some(about) = wanted.remove(&server.about.id) else {
                return false;
            };
            server.about = about;
            true
        });
        self.servers.extend(wanted.into_values().map(Server::new));
        let servers = self.servers.iter().map(|server| &server.about);
        self.candidates
            .configure(servers.map(|about| (&about.id, &about.zone)));
    }

    /// Sets one server.
    pub(super) fn set(&mut self, about: Description) {
        let known = self.candidates.find(&about.id);
        if let Some(number) = known.filter(|number| self.servers[*number].about.zone == about.zone)
        {
            self.servers[number].about = about;
            return;
        }
        self.remove(&about.id);
        self.candidates.add(&about.id, &about.zone);
        self.servers.push(Server::new(about));
    }

    /// Takes one server out; what runs on it is left to end.
    pub(super) fn remove(&mut self, id: &str) {
        let Some(number) = self.candidates.find(id) else {
            return;
        };
        let (removed, last) = (&self.servers[number].about, self.servers.last());
        if let Some(Server { about, .. }) = last {
            let gone = (&*removed.id, &*removed.zone);
            self.candidates.remove(gone, (&about.id, &about.zone));
        }
        self.servers.swap_remove(number);
    }

    /// The best server with room for a request; none where none has room.
    pub(super) fn choose(
        &self,
        now: Instant,
        permit: Permit,
        ask: &Ask,
        band: Band,
        line: Option<&Arc<str>>,
    ) -> Option<usize> {
        let candidates = self.candidates.of(permit, ask, line);
        let few = candidates.len() < self.servers.len();
        let chosen = choose(&self.servers, candidates, ask, band, line, now);
        if chosen.is_some() || !few {
            return chosen;
        }
        choose(&self.servers, 0..self.servers.len(), ask, band, line, now)
    }

    /// Places that can be used now.
    pub(super) fn capacity(&self, now: Instant) -> f64 {
        let usable = self.servers.iter().filter(|server| server.is_usable(now));
        let places = usable.map(|server| server.about.slots as f64 - server.others.max(0.0));
        places.map(|places| places.max(0.0)).sum()
    }

    pub(super) fn crowd<'a>(&'a self, now: Instant, service: &'a str) -> Crowd<'a> {
        let [in_time, late, past] = self.queue.bands();
        Crowd {
            service,
            in_time,
            late,
            past,
            running: self.servers.iter().map(|server| server.in_flight).sum(),
            places: self.capacity(now),
            per_second: self.flow.per_second(now).unwrap_or_default(),
            programs: self.programs.len().1,
            needs: self.programs.needs(),
        }
    }

    /// When a request may come back that would wait in vain.
    pub(super) fn hopeless(&self, now: Instant, band: Band, ask: &Ask) -> Option<Duration> {
        let (flow, ahead, limit) = match band {
            Band::OnTime => (&self.flow, self.queue.ahead(band), ask.limit()),
            Band::Late | Band::Fills => {
                let ahead = self.queue.ahead(band) - self.queue.ahead(Band::OnTime);
                (&self.late, ahead, ask.held())
            }
        };
        let wait = Duration::from_secs_f64(flow.wait_ms(now, ahead) / 1000.0);
        let (least, most) = COME_BACK;
        (wait > limit).then(|| wait.clamp(least, most))
    }

    /// A request is over, after this time at a server.
    pub(super) fn over(&mut self, now: Instant, program: Option<u64>, took: Duration) {
        if let Some(program) = program {
            self.programs.done(now, program, took);
        }
    }

    /// Frees what ended programs had set aside, and admits those that wait and fit now.
    pub(super) fn sweep(&mut self, now: Instant, clock: i64) {
        self.programs.sweep(now, clock);
        let capacity = self.capacity(now);
        for permit in self.queue.first(clock, SCAN) {
            let Some((Waiting { ask, standing }, Band::Late)) = self.queue.get(permit) else {
                continue;
            };
            let Some(program) = ask.program else { continue };
            if standing.admitted || !self.programs.admit(clock, program, capacity) {
                continue;
            }
            if let Some(Waiting { ask, standing }) = self.queue.remove(permit) {
                let standing = self.programs.standing(standing.asked, program, &ask);
                self.queue.push(clock, permit, Waiting { ask, standing });
            }
        }
    }
}
