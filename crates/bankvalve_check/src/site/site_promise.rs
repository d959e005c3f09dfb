//! What is promised of configurations, checked on instances and on what callers are told.

use super::site_config::{QueueAnswer, QueueTold};
use super::site_plan::SiteNode;
use super::site_world::SiteWorld;

/// Time in which a configuration must be in force, in milliseconds: that of the large sites.
const APPLY_MS: u64 = 3_000;
/// Time without trouble after which an instance and the table count as in touch, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Bytes that wait on a link for longer disturb its instance, in milliseconds.
const CHOKED_MS: u64 = 500;

impl SiteNode {
    /// Until when trouble that is on its way disturbs it.
    pub(super) fn troubled_until(&self) -> u64 {
        let troubles = [
            self.frozen_until,
            self.cut_from_store_until,
            self.turned_away_until,
            self.cut_from_peers_until,
            self.cut_from_workers_until,
        ];
        troubles.into_iter().max().unwrap_or(0)
    }
}

impl SiteWorld {
    /// Notes troubles that are on their way.
    pub(super) fn note_troubles(&mut self) {
        let now = self.now_ms;
        for node in &mut self.nodes {
            let until = node.troubled_until();
            if until > now {
                node.disturbed_until = node.disturbed_until.max(until);
            }
        }
        for number in 0..self.nodes.len() {
            let wait = self.link_wait(number);
            let node = &mut self.nodes[number];
            if wait > CHOKED_MS {
                node.disturbed_until = node.disturbed_until.max(now + wait);
            }
        }
        // One that loses answers of reads is not held to a time either.
        let lossy = self.links.lost_answers_percent > 0;
        let troubled = self.store_delay_ms > 0 || lossy;
        let until = self.store_away_until.max(if troubled { now } else { 0 });
        if until >= now {
            self.store_disturbed_until = self.store_disturbed_until.max(until);
        }
    }

    /// All troubles end now.
    pub(super) fn note_calm(&mut self) {
        self.note_troubles();
        let now = self.now_ms;
        for node in &mut self.nodes {
            node.disturbed_until = node.disturbed_until.min(now);
        }
        self.store_disturbed_until = self.store_disturbed_until.min(now);
    }

    /// Tells whether an instance is in touch: it has been up, undisturbed, and reached the table,
    /// which was undisturbed as well, for long enough.
    pub(super) fn is_in_touch(&self, number: usize) -> bool {
        let node = &self.nodes[number];
        // A pause may outlast the calm that ends the other troubles.
        let disturbed_until = node.disturbed_until.max(node.frozen_until);
        let since = node.started_ms.max(disturbed_until);
        let since = since.max(self.store_disturbed_until);
        node.is_up() && since.saturating_add(CONTACT_MS) <= self.now_ms
    }

    /// Each instance in touch has in force what was written long enough ago.
    pub fn check_versions(&mut self) {
        self.note_troubles();
        let now = self.now_ms;
        let due = self.config.newest_at(now.saturating_sub(APPLY_MS));
        for number in 0..self.nodes.len() {
            let version = self.table_version(number);
            if version < due && self.is_in_touch(number) {
                let text = format!("instance {number} has {version} in force, {due} is due");
                self.rules.breach("CONFIG", now, &text);
            }
        }
    }

    /// A queue is denied only if a version that may have been the newest lacks it, and served by an
    /// instance in touch only if one that may have been in force has it.
    pub(super) fn check_answer(&mut self, answer: &QueueAnswer) {
        let QueueAnswer {
            node,
            queue,
            asked_ms,
            answered_ms,
            told,
        } = answer;
        let from = match told {
            QueueTold::NoQueue => *asked_ms,
            QueueTold::Found => asked_ms.saturating_sub(APPLY_MS),
            QueueTold::ComeBack => return,
        };
        let has = self.config.newest_between(from, *answered_ms);
        let has: Vec<bool> = has.map(|table| table.queue(queue).is_some()).collect();
        let wrong = match told {
            QueueTold::NoQueue => has.iter().all(|has| *has),
            _ => !has.contains(&true) && self.is_in_touch(*node),
        };
        if wrong {
            let now = self.now_ms;
            let text = format!("instance {node} says {told:?} of {queue}, asked at {asked_ms}");
            self.rules.breach("CONFIG", now, &text);
        }
    }
}
