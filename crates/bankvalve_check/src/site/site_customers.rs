//! Customers of a site: their keys, what callers are told by them, and what they have running.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bankvalve_queue::{
    CallerAnswer, CallerIdentity, CallerRequest, CoreEvent, CustomerName, CustomerRule,
    DenialReason, JobId, KeyDigest, RunLimit, TaskKey, TaskPhase, TaskRecord, TaskSize, Ticket,
};

use super::site_calls::{OpenCall, PATIENCE_MS};
use super::site_world::SiteWorld;

/// What stands for the key of a caller that has none.
const NO_KEY: [u8; 32] = [u8::MAX; 32];
/// Leave above a limit, in percent, besides one task more.
const LEAVE_PERCENT: u64 = 10;
/// Time for which an older configuration may be in force, in milliseconds, at an instance in touch.
pub(super) const APPLY_MS: u64 = 3_000;
/// By how much longer it may be where the table turns the instance away, in milliseconds.
pub(super) const STRETCH_MS: u64 = 6_000;

/// A customer as the operator's next version has it.
#[derive(Clone, Debug, Default)]
struct SiteCustomer {
    keys: Vec<KeyDigest>,
    weight: f64,
    limit: RunLimit,
}

/// A key that a caller used.
#[derive(Clone, Debug)]
pub(super) struct KeyUse {
    key: KeyDigest,
    asked_ms: u64,
    /// The request, while it is asked whether a newer configuration has the key.
    denied: Option<CallerRequest>,
}

/// Customers, and what callers do with their keys.
#[derive(Debug, Default)]
pub(super) struct SiteCustomers {
    next_version: BTreeMap<CustomerName, SiteCustomer>,
    keys_made: u64,
    /// Keys of callers that keep using one, whatever becomes of it.
    stubborn: BTreeMap<JobId, KeyDigest>,
    /// Keys that no configuration ever held.
    forged: BTreeSet<KeyDigest>,
    uses: BTreeMap<(usize, Ticket), KeyUse>,
    /// Most that each customer had running at once.
    peaks: BTreeMap<CustomerName, TaskSize>,
    /// Callers that were told that their key is not known.
    denied: u64,
}

impl SiteCustomers {
    /// The customers of the next version.
    pub(super) fn rules(&self) -> Vec<CustomerRule> {
        let rules = self.next_version.iter();
        let rules = rules.map(|(name, customer)| CustomerRule {
            name: name.clone(),
            keys: customer.keys.clone(),
            weight: customer.weight,
            limit: customer.limit,
        });
        rules.collect()
    }

    /// Whether there are any, so that queues ask for keys.
    pub(super) fn are_any(&self) -> bool {
        !self.next_version.is_empty()
    }

    fn make_key(&mut self) -> KeyDigest {
        self.keys_made += 1;
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&self.keys_made.to_le_bytes());
        KeyDigest::new(bytes)
    }
}

impl SiteWorld {
    /// The operator's next version has a customer; a new one gets a key.
    pub fn set_customer(&mut self, name: &str, weight: f64, limit: RunLimit) {
        let customers = &mut self.customers;
        let known = customers.next_version.contains_key(name);
        let key = (!known).then(|| customers.make_key());
        let customer = customers.next_version.entry(name.into()).or_default();
        customer.keys.extend(key);
        (customer.weight, customer.limit) = (weight, limit);
    }

    /// The operator's next version lacks a customer.
    pub fn drop_customer(&mut self, name: &str) {
        self.customers.next_version.remove(name);
    }

    /// The operator's next version has one more key of a customer.
    pub fn add_key(&mut self, name: &str) {
        let key = self.customers.make_key();
        if let Some(customer) = self.customers.next_version.get_mut(name) {
            customer.keys.push(key);
        }
    }

    /// The operator's next version lacks the oldest key of a customer.
    pub fn drop_key(&mut self, name: &str) {
        let customer = self.customers.next_version.get_mut(name);
        if let Some(customer) = customer.filter(|customer| !customer.keys.is_empty()) {
            customer.keys.remove(0);
        }
    }

    /// The operator's next version has the oldest key of one customer as that of another.
    pub fn move_key(&mut self, from: &str, to: &str) {
        let customers = &mut self.customers.next_version;
        let giver = customers.get_mut(from);
        let Some(giver) = giver.filter(|customer| !customer.keys.is_empty()) else {
            return;
        };
        let key = giver.keys.remove(0);
        if let Some(taker) = customers.get_mut(to) {
            taker.keys.push(key);
        }
    }

    /// Names of the customers in the operator's next version.
    pub fn customer_names(&self) -> Vec<CustomerName> {
        self.customers.next_version.keys().cloned().collect()
    }

    /// The caller of a job goes on with the key that its customer has now, whatever becomes of it.
    pub fn keep_key(&mut self, job: JobId) {
        if let Some(key) = self.caller_key(job) {
            self.customers.stubborn.insert(job, key);
        }
    }

    /// The caller of a job uses the key that a customer has now, whatever becomes of it.
    pub fn use_key_of(&mut self, job: JobId, customer: &str) {
        let table = self.table(self.config.newest_at(self.now_ms));
        let keys = table.customer(customer).map(|rule| &rule.keys);
        if let Some(key) = keys.and_then(|keys| keys.last()) {
            self.customers.stubborn.insert(job, *key);
        }
    }

    /// The caller of a job has a key that no configuration ever held.
    pub fn forge_key(&mut self, job: JobId) {
        let key = self.customers.make_key();
        self.customers.forged.insert(key);
        self.customers.stubborn.insert(job, key);
    }

    /// The most that a customer had running at once.
    pub fn peak_of(&self, customer: &str) -> TaskSize {
        let peak = self.customers.peaks.get(customer);
        peak.copied().unwrap_or_default()
    }

    /// Callers that were told that their key is not known.
    pub fn callers_denied(&self) -> u64 {
        self.customers.denied
    }

    /// What a customer has running now.
    pub fn running_of(&self, customer: &str) -> TaskSize {
        let runs = self.workers.values().flatten();
        let runs = runs.flat_map(|worker| worker.runs().keys());
        let sizes = runs.filter_map(|task| {
            let spec = self.specs.get(&task.step.job)?;
            let own = spec.customer.as_deref() == Some(customer);
            own.then(|| spec.steps[usize::from(task.step.step)].size)
        });
        sizes.fold(TaskSize::default(), |sum, size| sum.plus(&size))
    }

    /// The key that the caller of a job uses now: the newest that its customer has.
    fn caller_key(&self, job: JobId) -> Option<KeyDigest> {
        if let Some(key) = self.customers.stubborn.get(&job) {
            return Some(*key);
        }
        let customer = self.specs.get(&job)?.customer.as_ref()?;
        let table = self.table(self.config.newest_at(self.now_ms));
        table.customer(customer)?.keys.last().copied()
    }

    /// The key that goes with a request; none if its queue is public.
    fn key_of(&self, call: &OpenCall, request: &CallerRequest) -> Option<KeyDigest> {
        if !self.customers.are_any() {
            return None;
        }
        let key = match request {
            CallerRequest::Submit { spec, .. } => self.caller_key(spec.id),
            CallerRequest::Status { job } | CallerRequest::Cancel { job } => self.caller_key(*job),
            CallerRequest::Count { queue } => {
                let table = self.table(self.config.newest_at(self.now_ms));
                let keyed = table.queue(queue).is_some_and(|rule| rule.keyed);
                if !keyed || !matches!(call, OpenCall::Count { .. }) {
                    return None;
                }
                let mut customers = table.customers();
                customers.find_map(|rule| rule.keys.last().copied())
            }
        };
        Some(key.unwrap_or(KeyDigest::new(NO_KEY)))
    }

    /// Sends a request to an instance, as a caller with a key; what the instance's configuration
    /// denies is asked about first.
    pub(super) fn call_with_key(&mut self, node: usize, call: OpenCall, request: CallerRequest) {
        let asked_ms = self.now_ms;
        let Some(key) = self.key_of(&call, &request) else {
            self.call_as(node, call, request, CallerIdentity::default(), None);
            return;
        };
        let key_use = KeyUse {
            key,
            asked_ms,
            denied: None,
        };
        self.call_again(node, call, request, &key_use);
    }

    /// Reads a request by the configuration that an instance has now.
    fn call_again(
        &mut self,
        node: usize,
        call: OpenCall,
        request: CallerRequest,
        key_use: &KeyUse,
    ) {
        let table = self.table(self.table_version(node));
        let key = key_use.key;
        match table.customer_of(&key).cloned() {
            Some(customer) => {
                let caller = CallerIdentity {
                    customer: Some(customer),
                    key: Some(key),
                };
                let denied = None;
                self.call_as(
                    node,
                    call,
                    request,
                    caller,
                    Some(KeyUse { denied, ..*key_use }),
                );
            }
            None => {
                let denied = Some(request);
                self.ask_denied(node, call, KeyUse { denied, ..*key_use });
            }
        }
    }

    pub(super) fn note_key_use(&mut self, node: usize, ticket: Ticket, key_use: KeyUse) {
        self.customers.uses.insert((node, ticket), key_use);
    }

    /// A caller whose key was denied takes the newest one of its customer, if it has not made its own up.
    pub(super) fn take_newest_key(&mut self, job: JobId) {
        let customers = &mut self.customers;
        let key = customers.stubborn.get(&job);
        if key.is_some_and(|key| !customers.forged.contains(key)) {
            customers.stubborn.remove(&job);
        }
    }

    /// All callers but those with keys that never were take the newest one of their customers.
    pub(super) fn take_newest_keys(&mut self) {
        let customers = &mut self.customers;
        let forged = &customers.forged;
        customers.stubborn.retain(|_, key| forged.contains(key));
    }

    /// An instance that does not know a key asks whether a newer configuration does.
    fn ask_denied(&mut self, node: usize, call: OpenCall, key_use: KeyUse) {
        let Some(core) = self.nodes[node].core.as_mut() else {
            return;
        };
        let ticket = core.new_ticket();
        self.calls.insert((node, ticket), call);
        self.customers.uses.insert((node, ticket), key_use);
        let event = CoreEvent::RequestDenied {
            ticket,
            asked: String::new(),
            reason: DenialReason::UnknownKey,
            patience_ms: PATIENCE_MS,
        };
        self.deliver(node, event);
    }

    /// Sends a request on whose key was not known, if the instance's configuration has it by now.
    pub(super) fn resend_denied(
        &mut self,
        node: usize,
        ticket: Ticket,
        answer: &CallerAnswer,
    ) -> bool {
        let uses = &mut self.customers.uses;
        let Some(key_use) = uses
            .get(&(node, ticket))
            .filter(|known| known.denied.is_some())
        else {
            return false;
        };
        let key = key_use.key;
        if !self.knows_key(node, &key) || *answer != CallerAnswer::TableIsNewest {
            return false;
        }
        let key_use = self.customers.uses.remove(&(node, ticket));
        let call = self.calls.remove(&(node, ticket));
        if let (Some(key_use), Some(call)) = (key_use, call) {
            if let Some(request) = key_use.denied.clone() {
                self.call_again(node, call, request, &key_use);
            }
        }
        true
    }

    /// Whether the configuration in force at an instance has a key.
    fn knows_key(&self, node: usize, key: &KeyDigest) -> bool {
        let version = self.table_version(node);
        version > 0 && self.table(version).customer_of(key).is_some()
    }

    /// Checks what a caller with a key was told; tells whether it was that its key is not known.
    pub(super) fn check_key_use(
        &mut self,
        node: usize,
        ticket: Ticket,
        answer: &CallerAnswer,
    ) -> bool {
        let Some(key_use) = self.customers.uses.remove(&(node, ticket)) else {
            return false;
        };
        let denied = answer.proves_denial() && !self.knows_key(node, &key_use.key);
        let served = matches!(
            answer,
            CallerAnswer::Accepted
                | CallerAnswer::Cancelled
                | CallerAnswer::State(_)
                | CallerAnswer::Waiting(_)
        );
        let now = self.now_ms;
        let KeyUse { key, asked_ms, .. } = key_use;
        if denied {
            self.customers.denied += 1;
            let held = self.held_between(&key, asked_ms, now);
            if held.iter().all(|held| *held) {
                let text = format!("instance {node} denies a key that is there");
                self.rules.breach("CONFIG", now, &text);
            }
        }
        if served && self.customers.forged.contains(&key) {
            let text = format!("instance {node} serves a key that never was");
            self.rules.breach("ROUTE", now, &text);
        }
        let from = asked_ms.saturating_sub(APPLY_MS);
        if served && self.is_in_touch(node) && !self.held_between(&key, from, now).contains(&true) {
            let text =
                format!("instance {node} serves a key that was dropped, asked at {asked_ms}");
            self.rules.breach("CONFIG", now, &text);
        }
        denied
    }

    /// Whether versions that were the newest in a span hold a key.
    fn held_between(&self, key: &KeyDigest, from_ms: u64, until_ms: u64) -> Vec<bool> {
        let tables = self.config.newest_between(from_ms, until_ms);
        tables
            .map(|table| table.customer_of(key).is_some())
            .collect()
    }

    /// A start takes no customer over its limit, but for the leave: the highest limit counts among the
    /// configurations that may be in force.
    pub(super) fn check_customer_limit(&mut self, task: TaskKey) {
        let Some(spec) = self.specs.get(&task.step.job).cloned() else {
            return;
        };
        let Some(customer) = &spec.customer else {
            return;
        };
        let now = self.now_ms;
        let size = spec.steps[usize::from(task.step.step)].size;
        let running = self.running_of(customer);
        let peak = self.customers.peaks.entry(customer.clone()).or_default();
        *peak = TaskSize {
            millicores: peak.millicores.max(running.millicores),
            memory_mib: peak.memory_mib.max(running.memory_mib),
            accelerators: peak.accelerators.max(running.accelerators),
        };
        let from = now.saturating_sub(APPLY_MS + STRETCH_MS);
        let tables = self.config.newest_between(from, now);
        let rules = tables.map(|table| table.customer(customer).map(|rule| rule.limit));
        let limits: Vec<Option<RunLimit>> = rules.collect();
        let within = limits.iter().any(|limit| match limit {
            Some(limit) => with_leave(limit, &size).admits(&running),
            // A customer that is not there has no limit by the configuration.
            None => true,
        });
        if !within {
            let text = format!("{customer} has {running:?} running with {task}, limits {limits:?}");
            self.rules.breach("QUOTA", now, &text);
        }
    }

    /// What the leader counts against a customer's limit is no less than what its book has running.
    pub fn check_usage(&mut self) {
        let leader = self
            .leader()
            .and_then(|node| self.nodes[node].core.as_ref());
        let Some(core) = leader.filter(|core| !core.view().loading) else {
            return;
        };
        let mut booked: BTreeMap<CustomerName, TaskSize> = BTreeMap::new();
        for job in core.book().jobs() {
            let Some(customer) = &job.spec.customer else {
                continue;
            };
            let steps = job.times.values().flat_map(|time| &time.steps);
            // Of each time, the steps in order.
            let numbered = steps.enumerate();
            for (number, step) in numbered {
                let size = job.spec.steps[number % job.spec.steps.len()].size;
                let is_placed = |task: &&TaskRecord| matches!(task.phase, TaskPhase::Placed { .. });
                let placed = step.tasks.iter().filter(is_placed).count();
                let sum = booked.entry(customer.clone()).or_default();
                *sum = sum.plus(&size.times(placed as u64));
            }
        }
        let views = core.view().customers;
        let counted = |name: &CustomerName| {
            let view = views.iter().find(|view| view.name == *name);
            view.map_or(TaskSize::default(), |view| view.running)
        };
        let missing = booked
            .iter()
            .find(|(name, size)| !size.fits(&counted(name)));
        if let Some((name, size)) = missing {
            let text = format!(
                "{name}: the book has {size:?} placed, counted {:?}",
                counted(name)
            );
            let now = self.now_ms;
            self.rules.breach("QUOTA", now, &text);
        }
    }

    /// A job as the instance reads it: its customer is the one that the key belongs to.
    pub(super) fn submitted_as(request: CallerRequest, caller: &CallerIdentity) -> CallerRequest {
        match request {
            CallerRequest::Submit { spec, terms } if spec.customer != caller.customer => {
                let mut spec = (*spec).clone();
                spec.customer.clone_from(&caller.customer);
                let spec = Arc::new(spec);
                CallerRequest::Submit { spec, terms }
            }
            request => request,
        }
    }
}

fn with_leave(limit: &RunLimit, task: &TaskSize) -> RunLimit {
    let leave =
        |most: Option<u64>, task: u64| most.map(|most| most + most * LEAVE_PERCENT / 100 + task);
    RunLimit {
        millicores: leave(limit.millicores, task.millicores),
        memory_mib: leave(limit.memory_mib, task.memory_mib),
        accelerators: leave(limit.accelerators, task.accelerators),
    }
}
