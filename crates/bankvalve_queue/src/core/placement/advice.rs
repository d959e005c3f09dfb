//! Advice requests to the policy service, spread over the instances.
//!
//! The policy service decides which workers may run a step, and issues a permit for each of them. It answers
//! one request at a time for each calling instance, so the leader has its peers send requests too. An
//! instance that sends advice requests is an adviser; it is idle while it has none in flight. Which workers
//! may run a step does not change and is remembered. Permits expire and are renewed before a start that needs
//! one.
//!
//! A request takes some milliseconds for each worker in it. Gangs have about 40 and up to 200 members, and a
//! third of the workers may run a step. With one request after the other, each about a hundred workers, a
//! gang of 80 members needed five to nine seconds of the ten that it has. So a request about many workers is
//! split into parts that several instances send at once.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::lead_state::LeadState;
use crate::core::placement::step_advice::{InFlightAdvice, StepAdvice};
use crate::core::EntryCore;
use crate::ids::{CoreTime, StepKey, Ticket, WorkerId};
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::queue_table::AdviceRule;
use crate::worker::{AdviceAnswer, AdviceRequest};

/// Maximum number of workers to request advice about for a step at once, over all parts of the request. The
/// policy service accepts a hundred in one request.
pub(in crate::core) const MAX_ADVICE_WORKERS: usize = 300;
/// Minimum number of workers in a part of a request that is split.
const MIN_PART_WORKERS: usize = 40;
/// Maximum number of workers in one request.
const MAX_PART_WORKERS: usize = 100;
/// Number of idle advisers for each part of a request. Splitting costs the service more in total, so requests
/// have fewer parts as advisers become busy. When a request could use a quarter of the idle advisers, batches
/// whose requests wait behind earned 0.80 instead of 1.00 of their value in a backlog.
const IDLE_ADVISERS_PER_PART: usize = 12;
/// Duration above which a request is long. Long requests go to some of the instances only, so that short ones
/// do not wait.
const LONG_REQUEST: Duration = Duration::from_millis(60);
/// Time for the round trip of a request and its answer.
pub(in crate::core) const REQUEST_ROUND_TRIP: Duration = Duration::from_millis(6);
/// Time after the expected time of its answer at which a request is abandoned.
pub(in crate::core) const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between two checks for requests without an answer.
const TIMEOUT_SCAN_INTERVAL: Duration = Duration::from_millis(20);
/// Longest backlog of requests of an instance, in time, to which another request is added. Capacity stays
/// reserved until a request is answered, so a long backlog reserves it for permits that come too late.
const MAX_ADVISER_BACKLOG: Duration = Duration::from_secs(4);

impl EntryCore {
    /// Requests advice about workers for a step, in parts. Each answer causes another placement pass. Returns
    /// when the last answer is expected.
    pub(in crate::core) fn request_advice(
        &mut self,
        step: StepKey,
        rule: AdviceRule,
        workers: &[WorkerId],
    ) -> CoreTime {
        let part = self.part_size(rule, workers.len());
        let parts = workers.chunks(part);
        let expected = parts.map(|part| self.request_part(step, rule, part.to_vec()));
        expected.max().unwrap_or(self.now)
    }

    /// Returns how many workers go into each part of a request. Parts are small if the request would take
    /// long and idle advisers can share it.
    fn part_size(&self, rule: AdviceRule, workers: usize) -> usize {
        if rule.time_for(workers) <= LONG_REQUEST {
            return MAX_PART_WORKERS;
        }
        let parts = (self.idle_advisers() / IDLE_ADVISERS_PER_PART).max(1);
        workers
            .div_ceil(parts)
            .clamp(MIN_PART_WORKERS, MAX_PART_WORKERS)
    }

    /// Returns the number of live peers that are estimated to have no request pending.
    pub(in crate::core) fn idle_advisers(&self) -> usize {
        let now = self.now;
        let busy = self.lead.as_deref().map(|lead| &lead.adviser_busy);
        let is_busy = |address: &PeerAddress| {
            let until = busy.and_then(|busy| busy.get(address));
            until.is_some_and(|until| *until > now)
        };
        let peers = self
            .live_peers()
            .filter(|(_, peer)| !peer.heartbeat.stopping);
        peers.filter(|(address, _)| !is_busy(address)).count()
    }

    fn request_part(
        &mut self,
        step: StepKey,
        rule: AdviceRule,
        workers: Vec<WorkerId>,
    ) -> CoreTime {
        let now = self.now;
        let duration = rule.time_for(workers.len());
        let restarts = |lead: &LeadState| lead.restarting.contains_key(&step);
        let adviser = if self.lead.as_deref().is_some_and(restarts) {
            self.choose_among_all_advisers()
        } else {
            self.choose_adviser(duration)
        };
        let ticket = self.take_ticket();
        let local = self.settings.address;
        let Some(lead) = self.lead.as_deref_mut() else {
            return now;
        };
        let busy = lead.adviser_busy.entry(adviser).or_insert(now);
        *busy = (*busy).max(now) + duration + REQUEST_ROUND_TRIP;
        let until = *busy + LATE_ANSWER_TIMEOUT;
        let expected = *busy;
        let time = until.saturating_sub(now);
        let advice = lead.advice.entry(step).or_default();
        advice.sent += 1;
        advice.changed_at = now;
        advice.in_flight.push(InFlightAdvice {
            ticket,
            adviser,
            workers: workers.clone(),
            expected,
            long: duration > LONG_REQUEST,
            until,
        });
        let ask = AdviceRequest {
            step,
            workers,
            time,
        };
        self.counters.count("calls", "advice");
        if duration > LONG_REQUEST {
            let first = ask.workers.first().map_or("none", AsRef::as_ref);
            let detail = format!(
                "{} workers, first {first}, through {adviser}, answer expected after {:?}",
                ask.workers.len(),
                expected.saturating_sub(now)
            );
            self.log("advice", "ask", step.to_string(), detail);
        }
        if adviser == local {
            self.send_own_advice(ticket, ask);
        } else {
            self.send_via_hub(adviser, PeerMessage::Advise { ticket, ask });
        }
        expected
    }

    /// Returns the instances through which a request may be sent, this one last.
    fn advisers(&self) -> Vec<PeerAddress> {
        let mut advisers: Vec<PeerAddress> = self
            .live_peers()
            .filter(|(_, peer)| !peer.heartbeat.stopping)
            .map(|(address, _)| address)
            .collect();
        advisers.sort_unstable();
        advisers.push(self.settings.address);
        advisers
    }

    /// Returns the instance that is expected to answer first, for a task that is down: also one of those that are
    /// left free for short requests. This leader comes last, since its own requests end with its process.
    fn choose_among_all_advisers(&self) -> PeerAddress {
        let advisers = self.advisers();
        let first = advisers.iter().min_by_key(|address| self.free_at(address));
        first.copied().unwrap_or(self.settings.address)
    }

    /// Returns the instance that is expected to answer first. Long requests leave a third of the instances
    /// free.
    fn choose_adviser(&self, duration: Duration) -> PeerAddress {
        let local = self.settings.address;
        let mut advisers = self.advisers();
        let short_only = advisers.len().div_ceil(3);
        let keeps_some_free = self.uses(PolicySwitch::ShortQuestions);
        if keeps_some_free && duration > LONG_REQUEST && advisers.len() > short_only {
            advisers.truncate(advisers.len() - short_only);
        }
        let is_remote = |address: &PeerAddress| u8::from(*address != local);
        let first = advisers
            .iter()
            .min_by_key(|address| (self.free_at(address), is_remote(address)));
        first.copied().unwrap_or(local)
    }

    /// Returns when an instance is expected to have answered all its advice requests.
    fn free_at(&self, address: &PeerAddress) -> CoreTime {
        let now = self.now;
        let lead = self.lead.as_deref();
        let until = lead.and_then(|lead| lead.adviser_busy.get(address).copied());
        until.unwrap_or(now).max(now) + self.unknown_backlog(address)
    }

    /// Returns for how long an instance that has just started may have to wait for the requests of the process
    /// before, which the policy service still handles.
    fn unknown_backlog(&self, address: &PeerAddress) -> Duration {
        let life = match self.peers.get(address) {
            Some(peer) if *address != self.settings.address => peer.heartbeat.life,
            _ => self.settings.life,
        };
        let uptime = Duration::from_millis(self.wall.saturating_sub(life));
        MAX_ADVISER_BACKLOG.saturating_sub(uptime)
    }

    /// Returns whether the backlog of some instance is short enough for another request.
    pub(in crate::core) fn has_available_adviser(&self, rule: AdviceRule, workers: usize) -> bool {
        let duration = rule.time_for(workers.min(MIN_PART_WORKERS));
        let adviser = self.choose_adviser(duration);
        let busy = self.lead.as_deref().map(|lead| &lead.adviser_busy);
        let until = busy.and_then(|busy| busy.get(&adviser));
        until.is_none_or(|until| *until <= self.now + MAX_ADVISER_BACKLOG)
    }

    /// Handles the answer to a request of this leader. Returns whether there was such a request.
    pub(in crate::core) fn finish_advice(&mut self, ticket: Ticket, answer: AdviceAnswer) -> bool {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        let position_of = |advice: &StepAdvice| {
            let mut in_flight = advice.in_flight.iter();
            in_flight.position(|request| request.ticket == ticket)
        };
        let mut all = lead.advice.iter_mut();
        let matching = all.find_map(|(step, advice)| Some((*step, position_of(advice)?, advice)));
        let Some((step, position, advice)) = matching else {
            return false;
        };
        let request = advice.in_flight.swap_remove(position);
        lead.placement_due = true;
        let result = answer.result_text(request.workers.len());
        let late = now.saturating_sub(request.expected);
        match answer {
            AdviceAnswer::Good { .. } => {}
            AdviceAnswer::Busy => self.counters.count("retries", "advice_busy"),
            AdviceAnswer::NoReply => {
                self.counters.count("retries", "advice_unanswered");
                if now >= request.expected {
                    mark_late(&mut lead.adviser_busy, request.adviser, now);
                }
            }
        }
        advice.record_answer(request.workers, answer, now);
        if request.long {
            self.log(
                "advice",
                "answer",
                step.to_string(),
                format!("{result}, {late:?} after the expected time"),
            );
        }
        true
    }

    pub(in crate::core) fn drop_permit(&mut self, step: StepKey, worker: &WorkerId) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if let Some(permit) = lead
            .advice
            .get_mut(&step)
            .and_then(|advice| advice.allowed.get_mut(worker))
        {
            permit.until = CoreTime::ZERO;
        }
    }

    /// Expires the permits for a worker, which were issued for its previous process.
    pub(in crate::core) fn drop_permits_of(&mut self, worker: &WorkerId) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let advices = lead.advice.values_mut();
        for permit in advices.filter_map(|advice| advice.allowed.get_mut(worker)) {
            permit.until = CoreTime::ZERO;
        }
    }

    /// Drops the requests in flight at a peer that does not respond or has restarted, so that other instances get
    /// them. The policy service may still handle them, so the peer stays busy until it would have answered.
    pub(in crate::core) fn reassign_advice(&mut self, peer: PeerAddress) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        for advice in lead.advice.values_mut() {
            let before = advice.in_flight.len();
            advice.in_flight.retain(|request| request.adviser != peer);
            let lost = before - advice.in_flight.len();
            if lost > 0 {
                advice.unanswered += lost as u32;
                advice.changed_at = now;
                lead.placement_due = true;
            }
        }
    }

    /// Abandons requests that have had no answer for too long.
    pub(in crate::core) fn run_advice(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_advice_scan {
            return;
        }
        lead.next_advice_scan = now + TIMEOUT_SCAN_INTERVAL;
        let mut late_advisers = Vec::new();
        for advice in lead.advice.values_mut() {
            let expired = advice
                .in_flight
                .iter()
                .filter(|request| now > request.until);
            late_advisers.extend(expired.map(|request| request.adviser));
            let before = advice.in_flight.len();
            advice.in_flight.retain(|request| now <= request.until);
            let lost = before - advice.in_flight.len();
            if lost > 0 {
                advice.unanswered += lost as u32;
                advice.changed_at = now;
            }
        }
        lead.placement_due |= !late_advisers.is_empty();
        self.counters
            .count_many("retries", "advice_unanswered", late_advisers.len() as u64);
        for adviser in late_advisers {
            mark_late(&mut lead.adviser_busy, adviser, now);
        }
    }
}

/// Marks an instance as busy through which a request had no answer in time.
///
/// Its backlog may be longer than estimated, for example because of requests of a previous leader. It would never
/// shrink if each abandoned request were replaced by a new one there.
pub(super) fn mark_late(
    adviser_busy: &mut BTreeMap<PeerAddress, CoreTime>,
    adviser: PeerAddress,
    now: CoreTime,
) {
    let free_at = now + MAX_ADVISER_BACKLOG + LATE_ANSWER_TIMEOUT;
    let busy = adviser_busy.entry(adviser).or_insert(free_at);
    *busy = (*busy).max(free_at);
}
