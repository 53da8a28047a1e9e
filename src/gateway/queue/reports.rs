//! Exchange of the loads that servers without an engine report, between the VMs that use them.
//!
//! For each service, every VM sends what it saw to one collector, the first VM in rendezvous order
//! that has enough processor time, and the collector sends a digest to the VMs that sent it
//! something. All messages are one-way: without them, a VM places requests by its own reports.

use crate::gateway::Gateway;
use crate::gateway::peers::{Note, peer_address};
use crate::gateway::queue::lease::MIN_CORES_DIVISOR;
use crate::id::{Millicores, Vm, rendezvous_score};
use crate::policy::load_share::{
    MAX_REPORT_AGE, MAX_REPORTS_PER_DATAGRAM, Report, exchange_interval,
};
use crate::telemetry::event;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long a collector sends digests to a VM that has sent it nothing.
const SUBSCRIPTION_TIME: Duration = Duration::from_secs(2);

/// Load reports of one service, from a VM to the collector or back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LoadNote {
    service: Arc<str>,
    /// Whether the receiver is to send digests back.
    subscribe: bool,
    /// Time at the sender, on a clock of its own.
    sent_ms: u64,
    /// The newest `sent_ms` that the sender has from the receiver, and how long ago it came. Shows
    /// the receiver how late this message may be.
    echo: Option<(u64, u64)>,
    reports: Vec<Report>,
}

/// State of the exchange.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    epoch: Cell<Option<Instant>>,
    /// Clock of each VM that sent something, and when that was.
    heard: RefCell<HashMap<SocketAddr, (u64, Instant)>>,
    /// When each VM last sent reports of a service.
    subscribers: RefCell<HashMap<Arc<str>, HashMap<SocketAddr, Instant>>>,
    /// Collector of each service that this VM uses; `None` where the exchange is off.
    collectors: RefCell<HashMap<Arc<str>, Option<Vm>>>,
}

impl Exchange {
    fn clock_ms(&self, now: Instant) -> u64 {
        let epoch = self.epoch.get().unwrap_or(now);
        self.epoch.set(Some(epoch));
        millis(now.saturating_duration_since(epoch))
    }

    fn echo(&self, now: Instant, peer: SocketAddr) -> Option<(u64, u64)> {
        let (sent_ms, at) = *self.heard.borrow().get(&peer)?;
        Some((sent_ms, millis(now.saturating_duration_since(at))))
    }

    /// Removes VMs from which nothing came for a while, and returns those left for the service.
    fn subscribers(&self, now: Instant, service: &str) -> Vec<SocketAddr> {
        let is_recent = |at: &Instant| *at + SUBSCRIPTION_TIME > now;
        self.heard.borrow_mut().retain(|_, (_, at)| is_recent(at));
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|_, vms| {
            vms.retain(|_, at| is_recent(at));
            !vms.is_empty()
        });
        let vms = subscribers.get(service);
        vms.map_or_else(Vec::new, |vms| vms.keys().copied().collect())
    }

    /// Collector of each service and the number of VMs that get digests from this one.
    pub(crate) fn state(&self) -> serde_json::Value {
        let subscribers = self.subscribers.borrow();
        let subscribers = subscribers
            .iter()
            .map(|(service, vms)| (service, vms.len()));
        serde_json::json!({
            "collectors": *self.collectors.borrow(),
            "subscribers": subscribers.collect::<HashMap<_, _>>(),
        })
    }
}

/// Exchanges load reports until the process ends.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    let mut due: HashMap<Arc<str>, Instant> = HashMap::new();
    loop {
        let now = Instant::now();
        let vms = gateway.view.borrow().members.len();
        let services: Vec<(Arc<str>, usize)> = {
            let dispatcher = gateway.queue.dispatcher.borrow();
            let services = dispatcher.plain_services();
            services
                .map(|(service, servers)| (Arc::clone(service), servers))
                .collect()
        };
        due.retain(|service, _| services.iter().any(|(other, _)| other == service));
        let mut next = now + MAX_REPORT_AGE;
        for (service, servers) in services {
            let interval = exchange_interval(vms, servers);
            let due = due.entry(Arc::clone(&service)).or_insert(now);
            if *due <= now {
                *due = now + interval.unwrap_or(MAX_REPORT_AGE);
                gateway.exchange_loads(now, &service, interval).await;
            }
            next = next.min(*due);
        }
        sleep_until(next).await;
    }
}

impl Gateway {
    /// The VM that collects the reports of a service, and its address for messages.
    fn load_collector(&self, service: &str) -> Option<(Vm, SocketAddr)> {
        let view = self.view.borrow();
        let key = format!("loads/{service}");
        let ready = view
            .members
            .values()
            .filter(|member| member.ready && !member.suspect);
        let max_cores = ready.clone().map(|member| member.cores).max()?;
        let min_cores = Millicores(max_cores.0 / MIN_CORES_DIVISOR);
        let able = ready.filter(|member| member.cores >= min_cores);
        let first = able.max_by_key(|member| rendezvous_score(&key, member.vm.as_str()))?;
        Some((first.vm.clone(), peer_address(first.address)))
    }

    /// Sends what this VM saw to the collector, and a digest to the VMs for which it collects.
    async fn exchange_loads(&self, now: Instant, service: &Arc<str>, interval: Option<Duration>) {
        let exchange = &self.queue.exchange;
        let reports = {
            let mut dispatcher = self.queue.dispatcher.borrow_mut();
            dispatcher.take_load_reports(now, service)
        };
        if let Some(reports) = reports {
            let collector = interval.and_then(|_| self.load_collector(service));
            let vm = collector.as_ref().map(|(vm, _)| vm.clone());
            let previous = exchange
                .collectors
                .borrow_mut()
                .insert(Arc::clone(service), vm.clone());
            if previous.as_ref() != Some(&vm) {
                event!(
                    info,
                    "load_collector",
                    service = service,
                    vm = vm.as_ref().map_or("", Vm::as_str)
                );
            }
            if let Some((vm, address)) = collector
                && vm != self.settings.vm
            {
                self.send_reports(now, address, service, true, &reports)
                    .await;
            }
        }
        let subscribers = exchange.subscribers(now, service);
        if subscribers.is_empty() || interval.is_none() {
            return;
        }
        let digest = self.queue.dispatcher.borrow().load_digest(now, service);
        if digest.is_empty() {
            return;
        }
        for subscriber in subscribers {
            self.send_reports(now, subscriber, service, false, &digest)
                .await;
        }
    }

    async fn send_reports(
        &self,
        now: Instant,
        peer: SocketAddr,
        service: &Arc<str>,
        subscribe: bool,
        reports: &[Report],
    ) {
        let exchange = &self.queue.exchange;
        // A VM that uses the service subscribes even if it has nothing new.
        let chunks = reports.chunks(MAX_REPORTS_PER_DATAGRAM);
        let empty = reports.is_empty().then_some(reports);
        for reports in chunks.chain(empty) {
            let note = LoadNote {
                service: Arc::clone(service),
                subscribe,
                sent_ms: exchange.clock_ms(now),
                echo: exchange.echo(now, peer),
                reports: reports.to_vec(),
            };
            self.metrics.count_load_note("sent");
            self.peers.notify(peer, Note::Loads(note)).await;
        }
    }

    /// Merges the reports of another VM. Their age grows by the time that the message may have been
    /// on its way, such as in the socket of a process that was stopped.
    pub(crate) fn handle_loads(&self, from: SocketAddr, note: LoadNote) {
        let now = Instant::now();
        let exchange = &self.queue.exchange;
        let LoadNote {
            service,
            subscribe,
            sent_ms,
            echo,
            mut reports,
        } = note;
        let late_ms = echo.map_or(0, |(sent_ms, held_ms)| {
            let round_trip = exchange.clock_ms(now).saturating_sub(sent_ms);
            round_trip.saturating_sub(held_ms)
        });
        exchange.heard.borrow_mut().insert(from, (sent_ms, now));
        if subscribe && self.queue.dispatcher.borrow().is_plain(&service) {
            let mut subscribers = exchange.subscribers.borrow_mut();
            let vms = subscribers.entry(Arc::clone(&service)).or_default();
            vms.insert(from, now);
        }
        let is_late = Duration::from_millis(late_ms) >= MAX_REPORT_AGE;
        self.metrics
            .count_load_note(if is_late { "late" } else { "received" });
        if is_late {
            return;
        }
        let late_ms = u32::try_from(late_ms).unwrap_or(u32::MAX);
        for report in &mut reports {
            report.age_ms = report.age_ms.saturating_add(late_ms);
        }
        let mut dispatcher = self.queue.dispatcher.borrow_mut();
        dispatcher.merge_load_reports(now, &service, &reports);
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
