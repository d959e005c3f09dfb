//! The operator's configurations, and callers that ask for queues that may not be there.

use std::collections::BTreeMap;

use bankvalve_queue::{
    AdviceRule, CallerAnswer, CallerRequest, CoreAction, CoreEvent, DenialReason, EntryCore, JobId,
    JobTerms, QueueRule, QueueTable,
};

use super::site_calls::{OpenCall, PATIENCE_MS};
use super::site_hard_load::{WorkKind, KINDS};
use super::site_world::{SiteWorld, QUEUE, URGENT_QUEUE};

/// Queues that ask for a key once there are customers.
const KEYED: [&str; 2] = [QUEUE, URGENT_QUEUE];

/// What the operator has written, and what the next version will hold.
#[derive(Debug)]
pub(super) struct SiteConfig {
    /// Queues with their priorities.
    queues: BTreeMap<String, u32>,
    /// Services of queues that need another one than the usual.
    pub(super) services: BTreeMap<String, String>,
    /// Size of a version as it is written, in bytes.
    bytes: usize,
    written: BTreeMap<u64, WrittenTable>,
}

/// A version that the operator has written, and when, in milliseconds.
#[derive(Debug)]
struct WrittenTable {
    table: QueueTable,
    at_ms: u64,
}

impl SiteConfig {
    /// Versions that were the newest at any time of a span, in order.
    pub(super) fn newest_between(
        &self,
        from_ms: u64,
        until_ms: u64,
    ) -> impl Iterator<Item = &QueueTable> {
        let first = self.newest_at(from_ms);
        let written = self.written.range(first..);
        written
            .filter(move |(_, written)| written.at_ms <= until_ms)
            .map(|(_, written)| &written.table)
    }

    /// When a version was written, in milliseconds; 0 if it was not.
    pub(super) fn written_at(&self, version: u64) -> u64 {
        let written = self.written.get(&version);
        written.map_or(0, |written| written.at_ms)
    }

    /// The newest version at a time; 0 for none.
    pub(super) fn newest_at(&self, at_ms: u64) -> u64 {
        let before = self.written.iter().rev();
        let mut before = before.filter(|(_, written)| written.at_ms <= at_ms);
        before.next().map_or(0, |(version, _)| *version)
    }
}

impl Default for SiteConfig {
    fn default() -> Self {
        let queues = [(QUEUE, 1), (URGENT_QUEUE, 0)];
        let named = queues.map(|(name, priority)| (name.to_owned(), priority));
        Self {
            queues: named.into(),
            services: BTreeMap::new(),
            bytes: 0,
            written: BTreeMap::new(),
        }
    }
}

/// What a caller that asked for a queue was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueTold {
    /// How many jobs wait, so that it is there.
    Found,
    /// That there is no such queue.
    NoQueue,
    /// To come back.
    ComeBack,
}

/// An answer to a caller that asked for a queue.
#[derive(Clone, Debug)]
pub struct QueueAnswer {
    /// Instance that answered.
    pub node: usize,
    /// The queue.
    pub queue: String,
    /// When it was asked, in milliseconds.
    pub asked_ms: u64,
    /// When it answered, in milliseconds.
    pub answered_ms: u64,
    /// What it said.
    pub told: QueueTold,
}

impl SiteWorld {
    /// The operator's next version has a queue, with a priority.
    pub fn add_queue(&mut self, name: &str, priority: u32) {
        self.config.queues.insert(name.to_owned(), priority);
    }

    /// The operator's next version lacks a queue.
    pub fn drop_queue(&mut self, name: &str) {
        self.config.queues.remove(name);
    }

    /// The operator's next versions are so large, in bytes.
    pub fn set_config_bytes(&mut self, bytes: usize) {
        self.config.bytes = bytes;
    }

    /// The operator writes a configuration of a version.
    pub fn configure(&mut self, version: u64) {
        let table = self.table(version);
        let written = WrittenTable {
            table: table.clone(),
            at_ms: self.now_ms,
        };
        self.config.written.insert(version, written);
        let raw = self.raw_table(version);
        self.store.configure_raw(table, raw);
        self.answer_watches();
    }

    /// An instance is given a configuration of a version by a peer.
    pub fn give_table(&mut self, node: usize, version: u64) {
        let table = self.table(version);
        let raw = self.raw_table(version);
        self.decoded_table(node, table, raw);
    }

    /// Version of the configuration in force at an instance; 0 for none.
    pub fn table_version(&self, node: usize) -> u64 {
        let core = self.nodes[node].core.as_ref();
        core.map_or(0, EntryCore::table_version)
    }

    /// Terms under which the leader keeps a job; none if it does not know it.
    pub fn terms_of(&self, job: JobId) -> Option<JobTerms> {
        let core = self.nodes[self.leader()?].core.as_ref()?;
        core.book().job(job).map(|record| record.terms.clone())
    }

    /// A configuration as it was written, or as one of that version would be.
    pub(super) fn table(&self, version: u64) -> QueueTable {
        let written = self.config.written.get(&version);
        let written = written.map(|written| written.table.clone());
        written.unwrap_or_else(|| {
            let rules = self.config.queues.iter();
            let rules = rules.map(|(name, priority)| self.rule(name, *priority));
            QueueTable::new(version, rules.collect(), BTreeMap::new())
                .with_customers(self.customers.rules())
        })
    }

    /// Terms of a queue in the configuration that an instance has.
    pub(super) fn terms_at(&self, node: usize, queue: &str) -> JobTerms {
        let table = self.table(self.table_version(node).max(1));
        let rule = table.queue(queue).cloned();
        rule.unwrap_or_else(|| self.rule(queue, 1)).terms
    }

    /// What the policy service takes for a queue's steps, where that is not the usual.
    pub(super) fn advice_of(&self, queue: &str) -> Option<AdviceRule> {
        if let Some(kind) = self.work_kind(queue) {
            return Some(kind.advice);
        }
        let urgent = self.urgent_advice.filter(|_| queue == URGENT_QUEUE);
        urgent.or(self.slow_advice)
    }

    /// The kind of work of a queue, under a hard load.
    pub(super) fn work_kind(&self, queue: &str) -> Option<&'static WorkKind> {
        const ALL: &[WorkKind] = &KINDS;
        let kinds = self.load.as_ref().map(|_| ALL)?;
        kinds.iter().find(|kind| kind.queue == queue)
    }

    fn rule(&self, name: &str, priority: u32) -> QueueRule {
        let usual = AdviceRule {
            decide_ms: 10.0,
            each_ms: 0.2,
            valid_ms: 1_500,
        };
        let advice = self
            .plan
            .good_percent
            .map(|_| self.advice_of(name).unwrap_or(usual));
        let kind = self.work_kind(name);
        QueueRule {
            name: name.into(),
            host: "host".into(),
            prefix: format!("/{name}/"),
            keyed: KEYED.contains(&name) && self.customers.are_any(),
            terms: JobTerms {
                service: self.service_of(name).into(),
                priority,
                attempts: self.attempts,
                stretch: kind.map_or(2.0, |kind| kind.stretch),
                target_ms: kind.map_or(500, |kind| kind.target_ms),
                advice,
                ..JobTerms::default()
            },
        }
    }

    /// A version as the operator writes it: its number, and bytes for the rest.
    fn raw_table(&self, version: u64) -> Vec<u8> {
        let mut raw = version.to_le_bytes().to_vec();
        raw.resize(self.config.bytes.max(raw.len()), 0);
        raw
    }

    /// An instance reads a configuration that a peer gave it.
    pub(super) fn decode_table(&mut self, node: usize, raw: Vec<u8>) {
        let version = raw.first_chunk().map(|bytes| u64::from_le_bytes(*bytes));
        if let Some(version) = version {
            let table = self.table(version);
            self.decoded_table(node, table, raw);
        }
    }

    fn decoded_table(&mut self, node: usize, table: QueueTable, raw: Vec<u8>) {
        let Some(core) = self.nodes[node].core.as_mut() else {
            return;
        };
        let actions: Vec<CoreAction> = core.install_table(table, raw);
        for action in actions {
            self.act(node, action);
        }
    }

    /// An instance puts a configuration in force; within a life it never goes back.
    pub(super) fn note_table(&mut self, node: usize, version: u64) {
        let newest = &mut self.nodes[node].newest_table;
        let before = std::mem::replace(newest, version.max(*newest));
        if version < before {
            let now = self.now_ms;
            let text = format!("instance {node} has {version} in force after {before}");
            self.rules.breach("CONFIG", now, &text);
        }
    }

    /// A caller asks an instance how many jobs of a queue wait; the answer is among `told`.
    pub fn ask_queue(&mut self, node: usize, queue: &str) {
        let call = OpenCall::Count {
            queue: queue.to_owned(),
            asked_ms: self.now_ms,
        };
        self.resolve_queue(node, call);
    }

    /// Does what an instance's listener does with a request that names a queue.
    fn resolve_queue(&mut self, node: usize, call: OpenCall) {
        let OpenCall::Count { queue, .. } = &call else {
            return;
        };
        let version = self.table_version(node);
        let queue = queue.clone();
        if version == 0 {
            self.end_count(node, call, QueueTold::ComeBack);
        } else if self.table(version).queue(&queue).is_some() {
            self.call(node, call, CallerRequest::Count { queue });
        } else {
            self.ask_newest(node, call);
        }
    }

    /// Asks whether the configuration in force is the newest, since it does not have the queue.
    fn ask_newest(&mut self, node: usize, call: OpenCall) {
        let OpenCall::Count { queue, asked_ms } = call else {
            return;
        };
        let Some(core) = self.nodes[node].core.as_mut() else {
            return;
        };
        let ticket = core.new_ticket();
        let asked = queue.clone();
        let call = OpenCall::Newest { queue, asked_ms };
        self.calls.insert((node, ticket), call);
        let patience_ms = PATIENCE_MS;
        self.deliver(
            node,
            CoreEvent::RequestDenied {
                ticket,
                asked,
                reason: DenialReason::NoQueue,
                patience_ms,
            },
        );
    }

    /// A caller that asked for a queue has its answer.
    pub(super) fn finish_count(&mut self, node: usize, call: OpenCall, answer: &CallerAnswer) {
        let OpenCall::Newest { queue, asked_ms } = call else {
            let told = match answer {
                CallerAnswer::Waiting(_) => QueueTold::Found,
                _ => QueueTold::ComeBack,
            };
            self.end_count(node, call, told);
            return;
        };
        let known = self.table(self.table_version(node)).queue(&queue).is_some();
        let call = OpenCall::Count { queue, asked_ms };
        if known && *answer == CallerAnswer::TableIsNewest {
            self.resolve_queue(node, call);
        } else if !known && answer.proves_denial() {
            self.end_count(node, call, QueueTold::NoQueue);
        } else {
            self.end_count(node, call, QueueTold::ComeBack);
        }
    }

    fn end_count(&mut self, node: usize, call: OpenCall, told: QueueTold) {
        let OpenCall::Count { queue, asked_ms } = call else {
            return;
        };
        let answer = QueueAnswer {
            node,
            queue,
            asked_ms,
            answered_ms: self.now_ms,
            told,
        };
        self.check_answer(&answer);
        self.check_told_version(&answer);
        self.told.push(answer);
    }
}
