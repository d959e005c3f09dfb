//! Metrics of an entry instance through opentelemetry, served for scraping.

use std::sync::Arc;
use std::time::Duration;

use bankvalve_link::ConnectionCounts;
use opentelemetry::metrics::{Histogram, Meter, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::core_loop::EntryHandle;

/// Bucket bounds of the latency histogram, in milliseconds: from one network hop to the usual timeout of a
/// caller.
const LATENCY_BOUNDS_MS: [f64; 10] = [
    2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 3_000.0,
];

/// Metrics of one entry instance.
pub struct EntryMetrics {
    registry: Registry,
    latency: Histogram<f64>,
    _provider: SdkMeterProvider,
}

impl std::fmt::Debug for EntryMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EntryMetrics")
    }
}

impl EntryMetrics {
    pub(super) fn new(core: &EntryHandle, connections: Arc<ConnectionCounts>) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an empty registry takes an exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bankvalve");
        register_counters(&meter, core);
        register_state(&meter, core);
        register_ages(&meter, core);
        register_customers(&meter, core);
        register_evacuations(&meter, core);
        register_worker_groups(&meter, core);
        register_forecast_waits(&meter, core);
        register_credits(&meter, core);
        register_connections(&meter, connections);
        let latency = meter
            .f64_histogram("bankvalve_request_ms")
            .with_description("Time to the answer of a caller's request, by method and status")
            .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
            .build();
        Self {
            registry,
            latency,
            _provider: provider,
        }
    }

    /// Records the latency of an answer to a caller.
    pub(super) fn record_request(&self, method: &str, status: u16, time: Duration) {
        let labels = [
            KeyValue::new("method", method.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.latency.record(time.as_secs_f64() * 1_000.0, &labels);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

fn register_counters(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_counter("bankvalve_decisions")
        .with_description("Decisions, refusals and retries, by family and kind")
        .with_callback(move |observer| {
            for (family, kind, count) in of_core.view().counters.all() {
                let labels = [KeyValue::new("family", family), KeyValue::new("kind", kind)];
                observer.observe(count, &labels);
            }
            let labels = [
                KeyValue::new("family", "refusals"),
                KeyValue::new("kind", "ring_full"),
            ];
            observer.observe(of_core.ring_full(), &labels);
        })
        .build();
}

fn register_customers(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_customer")
        .with_description("Customers with the most running, by quantity, as the leader sees them")
        .with_callback(move |observer| {
            for customer in of_core.view().customers {
                let quantities = [
                    ("running_millicores", customer.running.millicores),
                    ("running_memory_mib", customer.running.memory_mib),
                    ("running_accelerators", customer.running.accelerators),
                    ("waiting_tasks", customer.waiting_tasks),
                    ("jobs_accepted", customer.accepted),
                    ("jobs_beyond_share", customer.beyond_share),
                    ("jobs_refused_beyond_share", customer.refused),
                ];
                for (quantity, value) in quantities {
                    let labels = [
                        KeyValue::new("customer", customer.name.to_string()),
                        KeyValue::new("quantity", quantity),
                    ];
                    observer.observe(value, &labels);
                }
            }
        })
        .build();
}

fn register_connections(meter: &Meter, connections: Arc<ConnectionCounts>) {
    meter
        .u64_observable_gauge("bankvalve_connections")
        .with_description("Connections to workers, peers and the platform, by quantity")
        .with_callback(move |observer| {
            let quantities = [
                ("open", connections.open() as u64),
                ("closed_idle_near_limit", connections.closed_idle()),
                ("refused_at_limit", connections.refused()),
            ];
            for (quantity, value) in quantities {
                observer.observe(value, &[KeyValue::new("quantity", quantity)]);
            }
        })
        .build();
}

fn register_evacuations(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_evacuation")
        .with_description("Evacuated failure domains that the instance knows, by quantity")
        .with_callback(move |observer| {
            for evacuation in of_core.view().evacuations {
                let quantities = [
                    ("known_for_ms", evacuation.age.as_millis() as u64),
                    ("requested_at_version", evacuation.requested_at),
                ];
                for (quantity, value) in quantities {
                    let labels = [
                        KeyValue::new("domain", evacuation.domain.clone()),
                        KeyValue::new("quantity", quantity),
                    ];
                    observer.observe(value, &labels);
                }
            }
        })
        .build();
}

fn register_forecast_waits(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_forecast_wait_ms")
        .with_description(
            "Expected wait of work that arrives now, by priority, as the leader sees it",
        )
        .with_callback(move |observer| {
            for (priority, wait) in of_core.view().forecast_waits {
                let labels = [KeyValue::new("priority", i64::from(priority))];
                observer.observe(wait.as_millis() as u64, &labels);
            }
        })
        .build();
}

fn register_credits(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_admission_credit")
        .with_description(
            "Queues of which the instance passes less than all new jobs on, by quantity",
        )
        .with_callback(move |observer| {
            let Some(credits) = of_core.view().credits else {
                return;
            };
            for credit in credits.queues {
                let quantities = [
                    ("percent", u64::from(credit.percent)),
                    ("retry_ms", credit.retry_ms),
                    ("age_ms", credits.age_ms),
                    ("epoch", credits.epoch),
                ];
                for (quantity, value) in quantities {
                    let labels = [
                        KeyValue::new("queue", credit.queue.clone()),
                        KeyValue::new("quantity", quantity),
                    ];
                    observer.observe(value, &labels);
                }
            }
        })
        .build();
}

fn register_worker_groups(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_worker_group")
        .with_description(
            "Expected speed of workers by failure domain and kind, as the leader sees them",
        )
        .with_callback(move |observer| {
            for group in of_core.view().worker_groups {
                let quantities = [
                    ("time_percent_of_usual", group.time_factor * 100.0),
                    ("measurements", group.measurements),
                ];
                for (quantity, value) in quantities {
                    let labels = [
                        KeyValue::new("domain", group.domain.clone()),
                        KeyValue::new("kind", group.kind.clone()),
                        KeyValue::new("quantity", quantity),
                    ];
                    observer.observe(value.round() as u64, &labels);
                }
            }
        })
        .build();
}

/// Registers the ages; an unknown age is not exported.
fn register_ages(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_age_ms")
        .with_description("Time since something was last heard, by source")
        .with_callback(move |observer| {
            let view = of_core.view();
            let ages = [
                ("configuration", view.table_age),
                ("leader", view.leader_age),
                ("unheard_task", view.task_waits.oldest_lost_contact),
                ("ended_task", view.task_waits.oldest_start),
            ];
            for (source, age) in ages {
                if let Some(age) = age {
                    let labels = [KeyValue::new("source", source)];
                    observer.observe(age.as_millis() as u64, &labels);
                }
            }
        })
        .build();
}

fn register_state(meter: &Meter, core: &EntryHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_state")
        .with_description("How the instance stands, by quantity")
        .with_callback(move |observer| {
            let view = of_core.view();
            let quantities = [
                ("ready", u64::from(view.ready)),
                ("leading", u64::from(view.leading)),
                ("jobs", view.jobs),
                ("waiting_tasks", view.waiting_tasks),
                ("live_runs", view.live_runs),
                ("reserved_millicores", view.reserved_millicores),
                ("idle_reserved_millicores", view.idle_reserved_millicores),
                ("configuration", view.table_version),
                ("ledger_batches", view.ledger_batches),
                ("leaderless_ms", view.leaderless_ms),
            ];
            let waits = view.task_waits.quantities();
            for (quantity, value) in quantities.into_iter().chain(waits) {
                observer.observe(value, &[KeyValue::new("quantity", quantity)]);
            }
        })
        .build();
}
