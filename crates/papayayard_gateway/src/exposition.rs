//! Instruments of one host and their text for Prometheus.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Where instruments are registered.
#[derive(Clone)]
pub struct Exposition {
    registry: Registry,
    // Keeps the instruments connected to the registry.
    provider: SdkMeterProvider,
}

impl Exposition {
    /// An exposition without instruments.
    ///
    /// # Panics
    ///
    /// Never: the registry is new, so that it takes the exporter.
    pub fn empty() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// Makes instruments of a name.
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// All figures as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:%; "metrics cannot be written");
        }
        text
    }
}
