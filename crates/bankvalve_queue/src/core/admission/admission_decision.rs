//! The leader's use of the admission forecast: what it is updated from, and whether a submitted job is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::caller::CallerRequest;
use crate::core::admission::admission_credits::{spread_retry_ms, CreditMeter, CreditRules};
use crate::core::admission::admission_forecast::{
    AdmissionForecast, BacklogView, JobSize, WaitingWork,
};
use crate::core::lead_state::LeadState;
use crate::core::placement::waiting_steps::Lateness;
use crate::core::worker_state::WorkerState;
use crate::core::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::StepKey;
use crate::job::{JobSpec, JobTerms, StepSpec, TaskSize};
use crate::peer::{AdmissionCredits, HeartbeatBody, PeerAddress};
use crate::policy::PolicySwitch;
use crate::queue_table::QueueTable;

/// Minimum time between two updates of the forecast.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Added to [`UPDATE_INTERVAL`] for each worker. An update looks at every run while work waits, which takes about
/// 3 us per worker.
const UPDATE_INTERVAL_PER_WORKER: Duration = Duration::from_micros(100);
/// Time from the beginning of a leadership until the forecast is used: about three polls of each worker, so that
/// the leader knows what is in contact and what runs.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
/// Work that waits, in seconds of all capacity, below which running tasks are not looked at.
const MIN_WAITING_S: f64 = 0.1;

impl EntryCore {
    /// Returns whether the forecast is in effect: the operator has put a queue after the urgent ones and before
    /// another one.
    fn forecast_is_in_effect(&self) -> bool {
        let in_order = self
            .table
            .as_ref()
            .is_some_and(QueueTable::has_intermediate_priority);
        in_order && self.uses(PolicySwitch::AdmissionForecast)
    }

    /// Updates the forecast after a placement pass, if that is due.
    pub(in crate::core) fn update_forecast(&mut self) {
        let now = self.now;
        let in_effect = self.forecast_is_in_effect();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_forecast {
            return;
        }
        let workers = lead.worker_states.len() as u32;
        lead.next_forecast = now + UPDATE_INTERVAL + UPDATE_INTERVAL_PER_WORKER * workers;
        if !in_effect {
            lead.forecast = AdmissionForecast::default();
            lead.credits = CreditMeter::default();
            return;
        }
        let view = self.backlog_view();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.forecast.update(&view);
            lead.credits.update(now);
        }
    }

    fn backlog_view(&self) -> BacklogView {
        let now = self.now;
        let mut view = BacklogView {
            at: now,
            ..BacklogView::default()
        };
        let Some(lead) = self.lead.as_deref() else {
            return view;
        };
        let in_use = |state: &&WorkerState| {
            let usable = state.listed && state.service_in_use && state.takes_new_runs();
            usable && state.is_responsive(now)
        };
        for state in lead.worker_states.values().filter(in_use) {
            let lasting = state.runs.values().filter(|live| live.lasting);
            let lasting: u64 = lasting.map(|live| live.resources.millicores).sum();
            view.capacity_cores += cores(state.entry.room.millicores.saturating_sub(lasting));
            view.used_cores += cores(state.used.millicores.saturating_sub(lasting));
            view.free.push(state.free_beside(|_| false, now));
        }
        view.waiting = self.waiting_work(lead);
        let waiting: f64 = view.waiting.iter().map(|work| work.core_seconds).sum();
        if waiting > MIN_WAITING_S * view.capacity_cores {
            view.running = self.running_work(lead);
        }
        view
    }

    /// Returns the work of the steps that wait for capacity.
    fn waiting_work(&self, lead: &LeadState) -> Vec<WaitingWork> {
        let mut usage = lead.usage.clone();
        let waiting = lead.waiting.iter().filter_map(|(key, step)| {
            let counts = !step.is_lasting()
                && !step.is_beyond_share(self.now)
                && step.lateness(self.wall) != Lateness::TooLate
                && !lead.waiting_for_limit.contains_key(key);
            if !counts {
                return None;
            }
            let tasks = self.limits.take_startable(step, &mut usage);
            let spec = self.step_spec(*key)?;
            let run_s = self.expected_time(key.task(0)).as_secs_f64();
            Some(WaitingWork {
                priority: step.priority,
                slack_s: step.slack_s(self.wall),
                core_seconds: cores(spec.resources().millicores) * tasks as f64 * run_s,
                run_s,
            })
        });
        waiting.collect()
    }

    /// Returns the remaining work of running tasks by priority.
    fn running_work(&self, lead: &LeadState) -> BTreeMap<u32, f64> {
        let mut running: BTreeMap<u32, f64> = BTreeMap::new();
        let runs = lead.worker_states.values().flat_map(|state| &state.runs);
        for (task, live) in runs.filter(|(_, live)| !live.lasting) {
            let left = self.remaining_time(*task, live).typical.as_secs_f64();
            *running.entry(live.priority).or_default() += cores(live.resources.millicores) * left;
        }
        running
    }

    fn step_spec(&self, key: StepKey) -> Option<&StepSpec> {
        let job = self.book.job(key.job)?;
        job.spec.steps.get(usize::from(key.step))
    }

    /// Returns what the forecast needs to know of a submitted job, or `None` if the job has no end that could be
    /// late, or begins at a later time.
    fn job_size(&self, spec: &JobSpec, terms: &JobTerms) -> Option<JobSize> {
        if spec.repeats > 0 || spec.steps.iter().any(|step| step.lasting) {
            return None;
        }
        let lead = self.lead.as_deref()?;
        let error = lead.estimate_error.get(&spec.queue).copied();
        let factor = error.unwrap_or(0.0).exp();
        let work = spec.steps.iter().map(|step| {
            let each = cores(step.resources().millicores) * step.estimate_ms as f64 / 1_000.0;
            each * f64::from(step.count)
        });
        let chain_ms = spec.chains_ms().into_iter().max().unwrap_or(0);
        let chain = Duration::from_millis(chain_ms);
        let objective = chain.as_secs_f64() * terms.stretch + terms.target_ms as f64 / 1_000.0;
        let objective =
            Duration::try_from_secs_f64(objective.max(0.0)).unwrap_or(Duration::MAX / 8);
        Some(JobSize {
            core_seconds: work.sum::<f64>() * factor,
            chain: chain.mul_f64(factor),
            objective,
            slack: objective.saturating_sub(chain),
        })
    }

    /// Returns the time after which the caller of a job that the forecast refuses may retry, in milliseconds, and
    /// the reason for the log. Returns `None` if the job is not refused.
    pub(in crate::core) fn refuse_by_forecast(
        &mut self,
        spec: &JobSpec,
        terms: &JobTerms,
    ) -> Option<(u64, String)> {
        let now = self.now;
        let lead = self.lead.as_deref()?;
        if self.age(lead.began_at) < SETTLE_TIME || !lead.forecast.is_current(now) {
            return None;
        }
        let size = self.job_size(spec, terms)?;
        let refusal = lead.forecast.refusal(now, terms.priority, &size)?;
        let first_steps = spec.steps.iter().filter(|step| step.after.is_empty());
        let first_steps: Vec<(TaskSize, u32)> = first_steps
            .map(|step| (step.resources(), step.count))
            .collect();
        if lead.forecast.fits_now(&first_steps) {
            self.counters.count("admission", "fits_now");
            return None;
        }
        let outcome = if refusal.useless { "useless" } else { "late" };
        let backlog = lead.forecast.backlog();
        let backlog = backlog
            .iter()
            .map(|(priority, work)| format!(" {work:.0} of priority {priority}"));
        let why = format!(
            ", expected end in {} ms ({outcome}), objective {} ms, core-seconds waiting:{}",
            refusal.end.as_millis(),
            size.objective.as_millis(),
            backlog.collect::<String>()
        );
        self.counters.count("admission", outcome);
        if let Some(lead) = self.lead.as_deref_mut() {
            let longest_ms = refusal.longest_retry_ms();
            lead.credits.record_refused(&spec.queue, longest_ms);
        }
        Some((refusal.retry_ms(spec.id), why))
    }

    /// Records a job that is accepted in the forecast.
    pub(in crate::core) fn record_accepted_work(&mut self, spec: &JobSpec, terms: &JobTerms) {
        let now = self.now;
        let lead = self.lead.as_deref();
        if !lead.is_some_and(|lead| lead.forecast.is_current(now)) {
            return;
        }
        let Some(size) = self.job_size(spec, terms) else {
            return;
        };
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.forecast.record_accepted(now, terms.priority, &size);
            lead.credits.record_accepted(&spec.queue);
        }
    }
}

impl EntryCore {
    /// Returns the admission credits in force at this instance, with their age: those of its own forecast if it leads,
    /// or those that the leader or a hub last sent. Returns `None` if all jobs of all queues are passed on.
    pub(in crate::core) fn credits_in_force(&self) -> Option<AdmissionCredits> {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref() {
            let age = lead.forecast.age(now)?;
            let queues = lead.credits.credits();
            let is_limited = lead.forecast.is_current(now) && !queues.is_empty();
            return is_limited.then_some(AdmissionCredits {
                epoch: lead.epoch,
                age_ms: age.as_millis() as u64,
                queues,
            });
        }
        let leader = self.leader.as_ref()?;
        self.credit_gate
            .table(leader.epoch, now, self.credit_rules())
    }

    /// Returns the expected wait of work that arrives now, by priority, on a leader with a recent forecast.
    pub(in crate::core) fn forecast_waits(&self) -> Vec<(u32, Duration)> {
        let forecast = self.lead.as_deref().map(|lead| &lead.forecast);
        let current = forecast.filter(|forecast| forecast.is_current(self.now));
        let waits = current.map(|forecast| forecast.waits(self.now));
        waits.into_iter().flatten().collect()
    }

    fn credit_rules(&self) -> CreditRules {
        CreditRules {
            age: self.enforces(SiteGuard::CreditAge),
            epoch: self.enforces(SiteGuard::CreditEpoch),
        }
    }

    /// Takes over the admission credits of a heartbeat, if it is from the leader or from a hub that follows it.
    pub(in crate::core) fn receive_credits(
        &mut self,
        from: PeerAddress,
        heartbeat: &HeartbeatBody,
    ) {
        let Some(leader) = self.leader.as_ref().filter(|_| self.lead.is_none()) else {
            return;
        };
        let from_leader = heartbeat.leading && leader.address == from;
        let from_hub = !heartbeat.leading
            && heartbeat.leader == Some(leader.address)
            && self.is_behind_hubs()
            && self.preferred.contains(&from);
        if heartbeat.epoch == leader.epoch && (from_leader || from_hub) {
            let now = self.now;
            self.credit_gate.receive(heartbeat.credits.as_ref(), now);
        }
    }

    /// Returns the time after which the caller of a job may retry that is refused by the leader's credits, in
    /// milliseconds. Returns `None` if the request is passed on.
    ///
    /// The leader decides about the jobs that reach it by itself. A job in the book was accepted before.
    pub(in crate::core) fn refuse_by_credits(&mut self, request: &CallerRequest) -> Option<u64> {
        let CallerRequest::Submit { spec, .. } = request else {
            return None;
        };
        let epoch = self.leader.as_ref()?.epoch;
        let is_known = self.lead.is_some() || self.book.job(spec.id).is_some();
        if is_known || !self.uses(PolicySwitch::AdmissionForecast) {
            return None;
        }
        let (now, rules) = (self.now, self.credit_rules());
        let refused = self.credit_gate.pass(&spec.queue, epoch, now, rules).err();
        refused.map(|longest_ms| {
            self.counters.count("admission", "by_credits");
            spread_retry_ms(longest_ms, spec.id)
        })
    }
}

fn cores(millicores: u64) -> f64 {
    millicores as f64 / 1_000.0
}
