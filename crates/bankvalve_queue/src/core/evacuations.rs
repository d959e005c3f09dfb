//! Evacuated failure domains: no task starts there until the operator withdraws the evacuation. Runs that
//! have already started there continue.
//!
//! Each instance reads the operator's evacuations together with the configuration, so any instance that
//! becomes the leader has them. Heartbeats contain them too: a leader that the table does not answer still
//! learns of an evacuation from peers that it does answer. A worker's failure domain is checked when the
//! worker is selected for a task and again when the order is sent, since commits can take seconds.

use std::collections::{BTreeMap, BTreeSet};

use super::store_link::{StorePurpose, WatchState};
use super::worker_state::WorkerState;
use super::EntryCore;
use crate::decision::EvacuationView;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, DomainName, StepKey, TaskKey, WorkerId};
use crate::peer::EvacuationList;
use crate::store::{DomainEvacuation, EvacuationNews, StoreOutcome, StoreRequest};

/// An evacuation in force.
#[derive(Clone, Copy, Debug)]
struct KnownEvacuation {
    /// Version of the table at which the operator requested it.
    requested_at: u64,
    /// When this instance learned of it.
    known_at: CoreTime,
}

/// The evacuated failure domains, and how they are read from the table.
#[derive(Debug, Default)]
pub(super) struct EvacuatedDomains {
    /// Version of the table up to which all evacuations and withdrawals are known; `None` before the first
    /// complete read.
    version: Option<u64>,
    known: BTreeMap<DomainName, KnownEvacuation>,
    /// Whether the table must be asked for all evacuations.
    read_wanted: bool,
    read: WatchState,
}

impl EvacuatedDomains {
    /// Returns whether all evacuations are known, as of some time.
    pub(super) fn are_known(&self) -> bool {
        self.version.is_some()
    }

    /// Returns whether a failure domain is evacuated.
    pub(super) fn contains(&self, domain: &str) -> bool {
        self.known.contains_key(domain)
    }

    /// Returns the list for peers; `None` before the first complete read.
    pub(super) fn list(&self) -> Option<EvacuationList> {
        let domains = self.known.iter();
        let domains = domains.map(|(domain, known)| (domain.clone(), known.requested_at));
        Some(EvacuationList {
            version: self.version?,
            domains: domains.collect(),
        })
    }

    /// Replaces what is known by a complete list, unless something newer is known.
    fn replace(
        &mut self,
        all: impl IntoIterator<Item = (DomainName, u64)>,
        version: u64,
        now: CoreTime,
    ) {
        if self.version.is_some_and(|known| known > version) {
            return;
        }
        let before = std::mem::take(&mut self.known);
        let known_at = |domain: &DomainName, requested_at: u64| {
            let same = before.get(domain);
            let same = same.filter(|known| known.requested_at == requested_at);
            same.map_or(now, |known| known.known_at)
        };
        let all = all.into_iter().map(|(domain, requested_at)| {
            let known_at = known_at(&domain, requested_at);
            let known = KnownEvacuation {
                requested_at,
                known_at,
            };
            (domain, known)
        });
        self.known = all.collect();
        self.version = Some(version);
    }

    /// Applies changes up to a version of the table. Changes that are already known are skipped.
    fn apply(&mut self, changes: Vec<DomainEvacuation>, version: u64, now: CoreTime) {
        let Some(known_version) = self.version else {
            return;
        };
        for change in changes {
            if change.version <= known_version {
                continue;
            }
            if change.withdrawn {
                self.known.remove(&change.domain);
            } else {
                let known = KnownEvacuation {
                    requested_at: change.version,
                    known_at: now,
                };
                self.known.insert(change.domain, known);
            }
        }
        self.version = Some(known_version.max(version));
    }

    fn names(&self) -> BTreeSet<DomainName> {
        self.known.keys().cloned().collect()
    }
}

impl EntryCore {
    /// Returns the evacuated failure domains, for metrics.
    pub(super) fn evacuation_views(&self) -> Vec<EvacuationView> {
        let known = self.evacuations.known.iter();
        let view = |(domain, known): (&DomainName, &KnownEvacuation)| EvacuationView {
            domain: domain.clone(),
            requested_at: known.requested_at,
            age: self.age(known.known_at),
        };
        known.map(view).collect()
    }

    /// Handles the evacuations in the table's answer to a request for the operator's rows.
    pub(super) fn handle_evacuation_news(&mut self, news: EvacuationNews, version: u64) {
        let before = self.evacuations.names();
        let now = self.now;
        let evacuations = &mut self.evacuations;
        match news {
            EvacuationNews::Incomplete => evacuations.read_wanted = true,
            EvacuationNews::Changes(changes) => evacuations.apply(changes, version, now),
            EvacuationNews::All(all) => {
                let all = all.into_iter().filter(|domain| !domain.withdrawn);
                let all = all.map(|domain| (domain.domain, domain.version));
                evacuations.replace(all, version, now);
            }
        }
        self.apply_evacuations(&before);
    }

    /// Handles the evacuations that a peer knows.
    pub(super) fn handle_peer_evacuations(&mut self, list: Option<&EvacuationList>) {
        let Some(list) = list else {
            return;
        };
        let evacuations = &mut self.evacuations;
        if evacuations
            .version
            .is_some_and(|known| known >= list.version)
        {
            return;
        }
        let before = evacuations.names();
        evacuations.replace(list.domains.iter().cloned(), list.version, self.now);
        self.apply_evacuations(&before);
    }

    /// Asks the table for all evacuations, if the page of the operator's rows did not contain them.
    pub(super) fn run_evacuation_read(&mut self) {
        let evacuations = &mut self.evacuations;
        if !evacuations.read_wanted || !evacuations.read.is_due(self.now) {
            return;
        }
        evacuations.read.busy = true;
        self.send_store_request(StorePurpose::ReadEvacuations, StoreRequest::ReadEvacuations);
    }

    /// Handles the result of that request.
    pub(super) fn end_evacuation_read(&mut self, outcome: StoreOutcome) {
        let watched_after = self.tables.watched_after().unwrap_or(0);
        let StoreOutcome::Operator { news, version } = outcome else {
            self.evacuations.read.end(false, self.now);
            return;
        };
        self.evacuations.read.end(true, self.now);
        // A change between this read and the last answered watch was in neither.
        self.evacuations.read_wanted = version < watched_after;
        self.handle_evacuation_news(news.evacuations, version);
    }

    /// Returns whether tasks may start on the workers of a failure domain.
    pub(super) fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuations.contains(domain) && self.enforces(SiteGuard::EvacuatedDomain)
    }

    /// Returns whether a start that is about to be sent is for a worker of a failure domain that has been
    /// evacuated since the worker was selected.
    pub(super) fn is_evacuated_now(&self, id: &WorkerId) -> bool {
        let lead = self.lead.as_deref();
        let state = lead.and_then(|lead| lead.worker_states.get(id));
        self.enforces(SiteGuard::EvacuatedNow) && state.is_some_and(|state| state.domain_evacuated)
    }

    /// Logs the failure domains that have been evacuated, or whose evacuation has been withdrawn, and applies
    /// that to the workers.
    fn apply_evacuations(&mut self, before: &BTreeSet<DomainName>) {
        let after = self.evacuations.names();
        if after == *before {
            return;
        }
        for domain in before.difference(&after) {
            self.counters.count("evacuations", "withdrawn");
            let detail = self.domain_text(domain);
            self.log("evacuations", "withdrawn", domain.clone(), detail);
        }
        for domain in after.difference(before) {
            self.counters.count("evacuations", "evacuated");
            let requested_at = self.evacuations.known[domain].requested_at;
            let detail = format!(
                "requested at version {requested_at}, {}",
                self.domain_text(domain)
            );
            self.log("evacuations", "evacuated", domain.clone(), detail);
        }
        self.mark_evacuated_workers();
    }

    fn domain_text(&self, domain: &str) -> String {
        let Some(lead) = self.lead.as_deref() else {
            return "this instance does not lead".to_owned();
        };
        let states = lead.worker_states.values();
        let of_domain = states.filter(|state| state.entry.domain == domain);
        let (workers, runs) = of_domain.fold((0, 0), |(workers, runs), state| {
            (workers + 1, runs + state.runs.len())
        });
        format!("{workers} workers with {runs} runs")
    }

    fn mark_evacuated_workers(&mut self) {
        let enforced = self.enforces(SiteGuard::EvacuatedDomain);
        let evacuations = &self.evacuations;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.placement_due = true;
        let mut blocked: BTreeSet<StepKey> = BTreeSet::new();
        for state in lead.worker_states.values_mut() {
            state.domain_evacuated = enforced && evacuations.contains(&state.entry.domain);
            if state.domain_evacuated {
                blocked.extend(state.reserved.iter().map(|reserved| reserved.step));
            }
        }
        // Their capacity is planned again at once, on the workers that are left.
        for step in &blocked {
            lead.next_plan_at.remove(step);
        }
        for step in blocked {
            self.release_reservations(step);
        }
    }

    /// Cancels a start on a worker whose failure domain has been evacuated. Returns whether it was cancelled.
    pub(super) fn cancel_evacuated_start(&mut self, id: &WorkerId, task: TaskKey) -> bool {
        if !self.is_evacuated_now(id) {
            return false;
        }
        let why = "its worker's failure domain is evacuated";
        self.cancel_start(id, task, "domain_evacuated", why);
        true
    }
}

impl WorkerState {
    /// Returns whether the worker's capacity can be used for new runs: it is not leaving, and its failure
    /// domain is not evacuated.
    pub(super) fn takes_new_runs(&self) -> bool {
        !self.entry.leaving && !self.domain_evacuated
    }
}
