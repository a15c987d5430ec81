//! Metric instruments of a host and their export in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Registry of instruments.
#[derive(Clone)]
pub struct Exposition {
    registry: Registry,
    // Keeps the instruments connected to the registry.
    provider: SdkMeterProvider,
}

impl Exposition {
    /// Creates a registry without instruments.
    ///
    /// # Panics
    ///
    /// Never: the registry is new, so registering the exporter cannot fail.
    pub fn empty() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Returns a meter, which creates instruments under the given scope name.
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// Exports all metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:%; "metrics cannot be encoded");
        }
        text
    }
}
