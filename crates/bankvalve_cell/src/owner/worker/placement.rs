//! Placement of queued attempts on workers, and preemption for urgent ones.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::placement_entry::{PlacementEntry, PlacementPhase};
use super::worker_state::WorkerState;
use super::WorkerPartition;
use crate::contract::PlaceRule;
use crate::ids::{RackName, TeamName, WorkerName};
use crate::link::{PlaceGate, TaskId, TaskOutcome};
use crate::machine::TaskSize;
use crate::owner::{GuardName, OwnerContext};
use crate::placement::{choose_victims, ScoreInput, VictimCandidate};
use crate::refusal::{RefusalReason, RetryReason};
use crate::tally::InvariantKind;

/// Time that an attempt must have been known to this owner before a worker is reserved for it. At most one
/// worker is reserved at a time.
const RESERVE_WORKER_AFTER: Duration = Duration::from_secs(3);
/// Time after which tasks are preempted again for an attempt that is still queued.
const PREEMPT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Number of tasks of one job in the partition, by failure domain and rack.
#[derive(Default)]
struct JobSpread {
    domains: BTreeMap<String, u32>,
    racks: BTreeMap<RackName, u32>,
}

impl WorkerPartition {
    /// Places queued attempts, in order, as far as there is free capacity.
    ///
    /// The first attempt that is not urgent, fits nowhere and has waited longer than
    /// `RESERVE_WORKER_AFTER` reserves a worker: smaller attempts behind it would
    /// otherwise take the capacity that it needs.
    pub(super) fn place_waiting(&mut self, ctx: &mut OwnerContext<'_>) {
        let queued_ids = self.queued_in_order();
        if queued_ids.is_empty() {
            return;
        }
        let mut reserved_worker: Option<WorkerName> = None;
        for id in queued_ids {
            if let Some(worker) = self.choose_worker(&id, reserved_worker.as_deref(), ctx) {
                self.assign_worker(&id, &worker, ctx);
                continue;
            }
            let entry = &self.entries[&id];
            if entry.label.urgent {
                self.preempt_for(&id, ctx);
            } else if reserved_worker.is_none()
                && ctx.now > entry.known_since + RESERVE_WORKER_AFTER
            {
                reserved_worker = self.worker_to_reserve(&id);
            }
        }
    }

    /// Returns the queued attempts: urgent first, then by the team's share in use, then by arrival.
    fn queued_in_order(&self) -> Vec<TaskId> {
        let mut queued = self.entries.iter().filter(|(_, entry)| entry.is_queued());
        let first = queued.next();
        if queued.next().is_none() {
            return first.map(|(id, _)| id.clone()).into_iter().collect();
        }
        let usage = self.usage_by_team();
        let total = self.total_size();
        let share = |entry: &PlacementEntry| {
            let used = usage.get(&entry.key.team).copied();
            let weight = entry.need.as_ref().map_or(1, |need| need.weight.max(1));
            let share = used.unwrap_or_default().share_of(total) / f64::from(weight);
            (share * 1_000.0) as u64
        };
        let mut waiting: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_queued())
            .map(|(id, entry)| {
                let rank = (Reverse(entry.label.urgent), share(entry), entry.order);
                (rank, id.clone())
            })
            .collect();
        waiting.sort();
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    fn usage_by_team(&self) -> BTreeMap<TeamName, TaskSize> {
        let mut usage = BTreeMap::<TeamName, TaskSize>::new();
        for entry in self.entries.values().filter(|entry| entry.uses_capacity()) {
            let used = usage.entry(entry.key.team.clone()).or_default();
            *used = used.plus(entry.label.size);
        }
        usage
    }

    fn total_size(&self) -> TaskSize {
        self.worker_states
            .values()
            .fold(TaskSize::default(), |sum, worker_state| {
                sum.plus(worker_state.detail.size)
            })
    }

    fn choose_worker(
        &self,
        id: &TaskId,
        reserved_worker: Option<&str>,
        ctx: &OwnerContext<'_>,
    ) -> Option<WorkerName> {
        let entry = &self.entries[id];
        let spread = self.spread_of(id);
        let mut best: Option<(f64, &WorkerState)> = None;
        for worker_state in self.worker_states.values() {
            // Checks can disable a guard, to show that its absence is detected.
            let fits = !ctx.guards.enforces(GuardName::OwnerCapacity)
                || entry.label.size.fits_in(worker_state.free());
            let is_reserved = Some(worker_state.detail.name.as_str()) == reserved_worker;
            if is_reserved
                || !fits
                || !worker_state.accepts_tasks()
                || !rules_admit(entry, worker_state)
            {
                continue;
            }
            let score = self.score_of(entry, worker_state, &spread);
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, worker_state));
            }
        }
        best.map(|(_, worker_state)| worker_state.detail.name.clone())
    }

    fn spread_of(&self, id: &TaskId) -> JobSpread {
        let mut spread = JobSpread::default();
        if self.entries[id].label.service.is_none() {
            return spread;
        }
        let same_job = self
            .entries
            .values()
            .filter(|entry| entry.uses_capacity())
            .filter(|entry| entry.key.job == id.job && entry.key.team == id.team);
        for entry in same_job {
            let worker_state = entry
                .worker
                .as_ref()
                .and_then(|name| self.worker_states.get(name));
            if let Some(worker_state) = worker_state {
                let detail = &worker_state.detail;
                *spread.domains.entry(detail.domain.clone()).or_default() += 1;
                *spread.racks.entry(detail.rack.clone()).or_default() += 1;
            }
        }
        spread
    }

    fn score_of(
        &self,
        entry: &PlacementEntry,
        worker_state: &WorkerState,
        spread: &JobSpread,
    ) -> f64 {
        let detail = &worker_state.detail;
        let preferred = entry
            .need
            .as_ref()
            .and_then(|need| need.prefer_domain.as_ref())
            .is_none_or(|domain| *domain == detail.domain);
        let here = spread.domains.get(&detail.domain).copied().unwrap_or(0);
        let service = entry.label.service.is_some();
        let view = ScoreInput {
            total: detail.size,
            free: worker_state.free(),
            need: entry.label.size,
            // A domain other than the preferred one counts as if one more task of the job ran there.
            same_domain: here + u32::from(service && !preferred),
            same_rack: spread.racks.get(&detail.rack).copied().unwrap_or(0),
            service,
            random_unit: random_unit_for(entry, &detail.name),
        };
        self.policy.score_worker(&view)
    }

    fn assign_worker(&mut self, id: &TaskId, worker: &str, ctx: &mut OwnerContext<'_>) {
        let entry = self.entries.get_mut(id).expect("waiting");
        entry.worker = Some(worker.to_owned());
        let gate = entry
            .need
            .as_ref()
            .map_or(PlaceGate::Start, |need| need.gate);
        let held = gate == PlaceGate::Hold && ctx.guards.enforces(GuardName::GangCommit);
        let phase = if held {
            let until = ctx.now + ctx.timings.reservation_timeout;
            PlacementPhase::Held { until }
        } else {
            ctx.tally.assert(
                InvariantKind::GangTogether,
                gate == PlaceGate::Start,
                || {
                    format!(
                        "{} starts before all of its gang has reserved capacity",
                        entry.key
                    )
                },
            );
            PlacementPhase::Starting { sent: false }
        };
        ctx.tally.placed += 1;
        self.set_phase(id, phase);
        if held {
            self.send_status(id, ctx);
        } else {
            self.make_exchange_due(Some(worker), ctx.now);
        }
    }

    /// Stops the batch tasks of one worker that lose the least work, to free capacity for an urgent attempt.
    fn preempt_for(&mut self, id: &TaskId, ctx: &mut OwnerContext<'_>) {
        let entry = &self.entries[id];
        if entry
            .preempted_at
            .is_some_and(|since| ctx.now < since + PREEMPT_RETRY_AFTER)
        {
            return;
        }
        let needed_size = entry.label.size;
        let mut best: Option<(f64, WorkerName, Vec<TaskId>)> = None;
        for worker_state in self.worker_states.values() {
            if !worker_state.accepts_tasks() || !rules_admit(entry, worker_state) {
                continue;
            }
            let victims = self.victims_on(&worker_state.detail.name);
            let Some((chosen, cost)) = choose_victims(needed_size, worker_state.free(), victims)
            else {
                continue;
            };
            if best.as_ref().is_none_or(|(other, _, _)| cost < *other) {
                best = Some((cost, worker_state.detail.name.clone(), chosen));
            }
        }
        let Some((_, worker, victims)) = best else {
            ctx.tally.refuse(RefusalReason::NoRoom);
            return;
        };
        self.entries.get_mut(id).expect("waiting").preempted_at = Some(ctx.now);
        for victim in victims {
            let outcome = TaskOutcome::Preempted;
            self.set_phase(&victim, PlacementPhase::Stopping { outcome });
            ctx.tally.preempted += 1;
            ctx.tally.retry(RetryReason::TaskPreempted);
        }
        self.make_exchange_due(Some(&worker), ctx.now);
    }

    fn victims_on(&self, worker: &str) -> Vec<VictimCandidate> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.worker.as_deref() == Some(worker))
            .filter(|(_, entry)| entry.is_preemptible())
            .map(|(id, entry)| VictimCandidate {
                id: id.clone(),
                size: entry.label.size,
                cost: entry.ran_ms as f64 * f64::from(entry.label.size.millicores) / 1_000.0,
            })
            .collect()
    }

    /// Returns the worker that lacks the least capacity, relative to its size, for a queued attempt.
    fn worker_to_reserve(&self, id: &TaskId) -> Option<WorkerName> {
        let entry = &self.entries[id];
        let needed_size = entry.label.size;
        let missing_share = |worker_state: &WorkerState| {
            needed_size
                .minus(worker_state.free())
                .share_of(worker_state.detail.size)
        };
        self.worker_states
            .values()
            .filter(|worker_state| worker_state.accepts_tasks() && rules_admit(entry, worker_state))
            .filter(|worker_state| needed_size.fits_in(worker_state.detail.size))
            .min_by(|a, b| missing_share(a).total_cmp(&missing_share(b)))
            .map(|worker_state| worker_state.detail.name.clone())
    }
}

fn rules_admit(entry: &PlacementEntry, worker_state: &WorkerState) -> bool {
    let rules: &[PlaceRule] = entry.need.as_ref().map_or(&[], |need| &need.rules);
    rules
        .iter()
        .all(|rule| rule.admits_worker(&worker_state.detail))
}

/// Returns a number in `0..1` that is always the same for the same attempt and worker.
fn random_unit_for(entry: &PlacementEntry, worker: &str) -> f64 {
    (xxh3_64_with_seed(worker.as_bytes(), entry.order) >> 11) as f64 / (1_u64 << 53) as f64
}
