//! No instance goes back to an older configuration: which versions an answer shows, in each life of an instance.
//!
//! An answer shows that one of the versions was used that allow it. A request that is sent later than another,
//! by more than a short time, must be answered by a version that is not older than all those which the other's
//! answer shows.

use std::collections::BTreeMap;

use bankvalve_queue::{JobId, QueueTable};

use super::site_config::{QueueAnswer, QueueTold};
use super::site_world::SiteWorld;

/// Time between two requests within which the later one may still be handled by an older version, in
/// milliseconds.
const ROLLBACK_SLACK_MS: u64 = 250;
/// Time for which an answer is compared with others, in milliseconds.
const COMPARED_MS: u64 = 20_000;

/// What an answer shows of the versions in use at an instance.
#[derive(Clone, Debug)]
struct ShownVersions {
    /// When the request was sent, in milliseconds.
    asked_ms: u64,
    /// When it may have taken effect at the earliest: it was sent, and the oldest version was written.
    effect_ms: u64,
    /// Oldest version that allows the answer.
    oldest: u64,
    /// Newest version that allows it.
    newest: u64,
    /// The request, for a report.
    text: String,
}

/// What the answers of each life of each instance have shown.
#[derive(Debug, Default)]
pub(super) struct VersionHistory {
    shown: BTreeMap<(usize, u64), Vec<ShownVersions>>,
}

impl VersionHistory {
    /// Adds what an answer shows, and returns an earlier and a later one that contradict each other, if any.
    fn add(
        &mut self,
        life: (usize, u64),
        now_ms: u64,
        shown: ShownVersions,
    ) -> Option<(ShownVersions, ShownVersions)> {
        let known = self.shown.entry(life).or_default();
        known.retain(|other| other.asked_ms + COMPARED_MS > now_ms);
        let went_back = |first: &ShownVersions, second: &ShownVersions| {
            first.effect_ms + ROLLBACK_SLACK_MS < second.asked_ms && second.newest < first.oldest
        };
        let pair = known.iter().find_map(|other| {
            if went_back(other, &shown) {
                Some((other.clone(), shown.clone()))
            } else if went_back(&shown, other) {
                Some((shown.clone(), other.clone()))
            } else {
                None
            }
        });
        known.push(shown);
        pair
    }
}

impl SiteWorld {
    /// Compares what a caller was told of a queue with what others were told by the same instance.
    pub(super) fn check_told_version(&mut self, answer: &QueueAnswer) {
        let found = match answer.told {
            QueueTold::Found => true,
            QueueTold::NoQueue => false,
            QueueTold::ComeBack => return,
        };
        let queue = &answer.queue;
        let allows = |table: &QueueTable| table.queue(queue).is_some() == found;
        let text = format!("{:?} of {queue}", answer.told);
        self.check_shown_version(answer.node, answer.asked_ms, allows, text);
    }

    /// Compares the terms under which a job was accepted at the first attempt with other answers of the same
    /// instance.
    pub(super) fn check_accepted_version(&mut self, node: usize, job: JobId, asked_ms: u64) {
        let Some(queue) = self.specs.get(&job).map(|spec| spec.queue.clone()) else {
            return;
        };
        let Some(priority) = self.terms_of(job).map(|terms| terms.priority) else {
            return;
        };
        let allows = |table: &QueueTable| {
            let rule = table.queue(&queue);
            rule.is_some_and(|rule| rule.terms.priority == priority)
        };
        let text = format!("job {job:016x} accepted in {queue} with priority {priority}");
        self.check_shown_version(node, asked_ms, allows, text);
    }

    fn check_shown_version(
        &mut self,
        node: usize,
        asked_ms: u64,
        allows: impl Fn(&QueueTable) -> bool,
        text: String,
    ) {
        let now = self.now_ms;
        let versions = self.config.newest_between(0, now);
        let mut versions = versions
            .filter(|table| allows(table))
            .map(|table| table.version);
        let Some(oldest) = versions.next() else {
            return;
        };
        let newest = versions.last().unwrap_or(oldest);
        let shown = ShownVersions {
            asked_ms,
            effect_ms: asked_ms.max(self.config.written_at(oldest)),
            oldest,
            newest,
            text,
        };
        let life = (node, self.nodes[node].life);
        if let Some((first, second)) = self.versions.add(life, now, shown) {
            let text = format!(
                "instance {node} went back from {} or newer ({}, sent at {}) to {} or older ({}, sent at {})",
                first.oldest, first.text, first.asked_ms, second.newest, second.text, second.asked_ms
            );
            self.rules.breach("CONFIG", now, &text);
        }
    }
}
