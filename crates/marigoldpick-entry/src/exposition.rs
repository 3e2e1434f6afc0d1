//! The metrics page in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// `Exposition` renders the metrics of this process.
#[derive(Clone)]
pub struct Exposition {
    handle: PrometheusHandle,
}

impl std::fmt::Debug for Exposition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Exposition").finish_non_exhaustive()
    }
}

impl Exposition {
    /// Installs the process-wide metrics recorder on the first call; later calls share it.
    #[must_use]
    pub fn install() -> Self {
        static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
        let handle = HANDLE.get_or_init(|| {
            let recorder = PrometheusBuilder::new().build_recorder();
            let handle = recorder.handle();
            if metrics::set_global_recorder(recorder).is_err() {
                log::warn!(target: "entry", "Another metrics recorder is already installed.");
            }
            handle
        });
        Self {
            handle: handle.clone(),
        }
    }

    /// Returns the metrics page.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
