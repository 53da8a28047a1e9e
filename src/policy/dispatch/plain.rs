//! Services without an engine, whose requests are placed by their object and by load reports.

use super::Dispatcher;
use crate::policy::affinity;
use crate::policy::load_share::{self, Report};
use std::sync::Arc;
use tokio::time::Instant;

impl Dispatcher {
    /// Replaces the set of services that have no engine. Without it, requests are placed regardless
    /// of their object and of the reported pace of hosts.
    pub fn set_plain_services(&mut self, services: impl IntoIterator<Item = Arc<str>>) {
        let mut previous = std::mem::take(&mut self.plain);
        let with_state = services.into_iter().map(|service| {
            let state = previous.remove(&service).unwrap_or_default();
            (service, state)
        });
        self.plain = with_state.collect();
    }

    /// Requests placed by their object and by load reports, by service without an engine.
    pub fn plain_counts(
        &self,
    ) -> impl Iterator<Item = (&str, affinity::Counts, load_share::Counts)> {
        self.plain
            .iter()
            .map(|(service, share)| (&**service, share.by_object, share.by_load))
    }

    /// Services without an engine that have servers, with the number of servers.
    pub fn plain_services(&self) -> impl Iterator<Item = (&Arc<str>, usize)> {
        self.plain
            .keys()
            .filter_map(|service| Some((service, self.pools.get(service)?.servers.len())))
    }

    /// Whether a service is known to have no engine.
    #[must_use]
    pub fn is_plain(&self, service: &str) -> bool {
        self.plain.contains_key(service)
    }

    /// Load reports that came with answers since the previous call; `None` if the service was not
    /// used since, or its servers do not report the pace of their hosts.
    pub fn take_load_reports(&mut self, now: Instant, service: &str) -> Option<Vec<Report>> {
        self.plain.get_mut(service)?.take_reports(now)
    }

    /// The newest load report of each server, without those that are too old.
    #[must_use]
    pub fn load_digest(&self, now: Instant, service: &str) -> Vec<Report> {
        let share = self.plain.get(service);
        share.map_or_else(Vec::new, |share| share.digest(now))
    }

    /// Merges load reports that other VMs received, by which requests are then placed.
    pub fn merge_load_reports(&mut self, now: Instant, service: &str, reports: &[Report]) {
        if let (Some(share), Some(pool)) = (self.plain.get_mut(service), self.pools.get(service)) {
            share.merge(now, reports, pool);
        }
    }
}
