//! Counters and histograms of the forwarded requests.

use opentelemetry::metrics::{Counter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::fmt;

/// The metrics of one VM.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    /// New connections to backend servers.
    pub(crate) connections: Counter<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a fresh registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("vanillatrail");
        Self {
            connections: meter
                .u64_counter("backend_connections")
                .with_description("New connections to backend servers")
                .build(),
            registry,
            _provider: provider,
        }
    }

    /// The text that is served to operators.
    pub(crate) fn text(&self) -> String {
        let mut bytes = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut bytes).is_err() {
            return String::new();
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}
