//! Metrics of an instance, collected with OpenTelemetry and served in Prometheus text format.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use bankvalve_cell::refusal::{RefusalReason, RetryReason};
use bankvalve_cell::tally::InvariantKind;
use bankvalve_link::ServerCounters;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::Resource;
use prometheus::{Registry, TextEncoder};

use crate::serve::{CoreHandle, RequestRouter};

type WatchedServers = Arc<Mutex<BTreeMap<&'static str, Arc<ServerCounters>>>>;

/// Metrics of one entry instance.
pub struct InstanceMetrics {
    registry: Registry,
    servers: WatchedServers,
    _provider: SdkMeterProvider,
}

impl std::fmt::Debug for InstanceMetrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("InstanceMetrics")
    }
}

impl InstanceMetrics {
    pub(crate) fn new(name: &str, core: &CoreHandle, router: &RequestRouter) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("an exporter can be registered in an empty registry");
        let resource = Resource::builder()
            .with_service_name("bankvalve")
            .with_attribute(KeyValue::new("service.instance.id", name.to_owned()))
            .build();
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_resource(resource)
            .build();
        let meter = provider.meter("bankvalve");
        let servers = WatchedServers::default();
        register_reasons(&meter, core, router);
        register_core(&meter, core);
        register_effort(&meter, core);
        register_requests(&meter, router);
        register_servers(&meter, &servers);
        Self {
            registry,
            servers,
            _provider: provider,
        }
    }

    /// Adds an HTTP server whose connection counters are included in the metrics.
    pub(crate) fn watch_server(&self, name: &'static str, counters: Arc<ServerCounters>) {
        let mut servers = self
            .servers
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        servers.insert(name, counters);
    }

    /// Returns all metrics in Prometheus text format.
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

/// Registers the counters of refusals, retries and invariants.
///
/// Each reason and each invariant is reported from the start, with 0 if it has not occurred.
fn register_reasons(meter: &Meter, core: &CoreHandle, router: &RequestRouter) {
    let (of_core, of_router) = (core.clone(), router.clone());
    meter
        .u64_observable_counter("bankvalve_refusals")
        .with_description("Work that was refused, by reason")
        .with_callback(move |observer| {
            let tally = of_core.view().tally;
            let requests = of_router.counts().refused;
            let reasons = RefusalReason::ALL.iter().zip(requests);
            for (reason, (_, routed)) in reasons {
                let decided = tally.refusals().get(reason).copied().unwrap_or(0);
                let label = KeyValue::new("reason", reason.as_str());
                observer.observe(decided + routed, &[label]);
            }
        })
        .build();
    let (of_core, of_router) = (core.clone(), router.clone());
    meter
        .u64_observable_counter("bankvalve_retries")
        .with_description("What was sent or tried again, by reason")
        .with_callback(move |observer| {
            let tally = of_core.view().tally;
            let requests = of_router.counts().retried;
            let reasons = RetryReason::ALL.iter().zip(requests);
            for (reason, (_, routed)) in reasons {
                let decided = tally.retries().get(reason).copied().unwrap_or(0);
                let label = KeyValue::new("reason", reason.as_str());
                observer.observe(decided + routed, &[label]);
            }
        })
        .build();
    let of_core = core.clone();
    meter
        .u64_observable_counter("bankvalve_invariant_checks")
        .with_description("Checks of invariants, by invariant")
        .with_callback(move |observer| {
            let tally = of_core.view().tally;
            for kind in InvariantKind::ALL {
                let label = KeyValue::new("invariant", kind.as_str());
                observer.observe(tally.checked(*kind), &[label]);
            }
        })
        .build();
    let of_core = core.clone();
    meter
        .u64_observable_counter("bankvalve_invariant_breaches")
        .with_description("Invariants found broken; anything but zero is a fault of bankvalve")
        .with_callback(move |observer| observer.observe(of_core.view().tally.breach_count(), &[]))
        .build();
}

fn register_core(meter: &Meter, core: &CoreHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_counter("bankvalve_decisions")
        .with_description("Decisions made, by kind")
        .with_callback(move |observer| {
            let tally = of_core.view().tally;
            let kinds = [
                ("placed", tally.placed),
                ("preempted", tally.preempted),
                ("claimed", tally.claims),
                ("ledger_commits", tally.ledger_commits),
                ("ledger_events", tally.ledger_events),
                ("peer_batches_dropped", tally.peer_batches_dropped),
                ("worker_answers_dropped", tally.worker_answers_dropped),
            ];
            for (kind, count) in kinds {
                observer.observe(count, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
    let of_core = core.clone();
    meter
        .u64_observable_gauge("bankvalve_state")
        .with_description("How the instance stands, by quantity")
        .with_callback(move |observer| {
            let view = of_core.view();
            let quantities = [
                ("worker_partitions", view.partitions.0 as u64),
                ("team_partitions", view.partitions.1 as u64),
                ("tasks_waiting", view.waiting as u64),
                ("bundle_version", view.bundle),
                ("store_answers", u64::from(view.store_answers)),
                ("batches_unarchived", view.unarchived as u64),
                ("millicores_reserved", u64::from(view.room.0.millicores)),
                ("millicores", u64::from(view.room.1.millicores)),
                ("memory_mib_reserved", u64::from(view.room.0.memory_mib)),
                ("memory_mib", u64::from(view.room.1.memory_mib)),
            ];
            for (quantity, value) in quantities {
                observer.observe(value, &[KeyValue::new("quantity", quantity)]);
            }
        })
        .build();
}

fn register_effort(meter: &Meter, core: &CoreHandle) {
    let of_core = core.clone();
    meter
        .u64_observable_counter("bankvalve_core_effort")
        .with_description("Steps of the core, their time in nanoseconds, and events refused")
        .with_callback(move |observer| {
            let (steps, nanos, refused) = of_core.effort();
            let kinds = [("steps", steps), ("nanos", nanos), ("ring_full", refused)];
            for (kind, count) in kinds {
                observer.observe(count, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
}

fn register_requests(meter: &Meter, router: &RequestRouter) {
    let of_router = router.clone();
    meter
        .u64_observable_counter("bankvalve_requests")
        .with_description("Requests for services, by outcome, and hops to peers")
        .with_callback(move |observer| {
            let counts = of_router.counts();
            let kinds = [
                ("answered", counts.answered),
                ("unknown", counts.unknown),
                ("hops", counts.hops),
            ];
            for (kind, count) in kinds {
                observer.observe(count, &[KeyValue::new("kind", kind)]);
            }
        })
        .build();
}

fn register_servers(meter: &Meter, servers: &WatchedServers) {
    let servers = servers.clone();
    meter
        .u64_observable_counter("bankvalve_connections")
        .with_description("Connections and requests of each listener, by what became of them")
        .with_callback(move |observer| {
            let servers = servers.lock().unwrap_or_else(|error| error.into_inner());
            for (name, counters) in servers.iter() {
                for (kind, count) in counters.all() {
                    let labels = [
                        KeyValue::new("listener", *name),
                        KeyValue::new("kind", kind),
                    ];
                    observer.observe(count, &labels);
                }
            }
        })
        .build();
}
