//! Metrics of what is held.

use super::{Intake, Kind};
use crate::policy::room::Port;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

/// Exports what is held for callers.
pub(crate) fn observe(meter: &Meter, intake: &Intake) {
    // The meter keeps the callbacks, so the instruments are not needed.
    let held = intake.clone();
    let gauge = meter.u64_observable_gauge("held_bytes");
    let gauge = gauge.with_description("Bytes held for callers, by kind");
    let gauge = gauge.with_callback(move |observer| {
        for kind in Kind::ALL {
            let labels = [KeyValue::new("kind", kind.name())];
            observer.observe(held.held(kind) as u64, &labels);
        }
    });
    let _gauge = gauge.build();
    let limit = intake.limit() as u64;
    let gauge = meter.u64_observable_gauge("held_bytes_limit");
    let gauge = gauge.with_description("Most bytes that may be held for callers");
    let gauge = gauge.with_callback(move |observer| observer.observe(limit, &[]));
    let _gauge = gauge.build();
    let open = intake.clone();
    let gauge = meter.u64_observable_gauge("connections_open");
    let gauge = gauge.with_description("Open connections, by listener");
    let gauge = gauge.with_callback(move |observer| {
        for port in Port::ALL {
            let labels = [KeyValue::new("listener", port.name())];
            observer.observe(open.registry().open(port) as u64, &labels);
        }
    });
    let _gauge = gauge.build();
    let closed = intake.clone();
    let counter = meter.u64_observable_counter("connections_closed");
    let counter = counter.with_description("Connections closed or refused to make room, by reason");
    let counter = counter.with_callback(move |observer| {
        for (reason, count) in closed.registry().counts.by_reason() {
            observer.observe(count, &[KeyValue::new("reason", reason)]);
        }
    });
    let _counter = counter.build();
}
