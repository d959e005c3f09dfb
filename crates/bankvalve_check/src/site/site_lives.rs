//! Instances start, are killed, suspended and asked to stop.

use bankvalve_queue::{CallerAnswer, CoreEvent, EntryCore, EntrySettings, Ticket};

use super::site_bytes::LinkUse;
use super::site_world::{Later, SiteWorld, WALL_START};

impl SiteWorld {
    /// Starts an instance anew.
    pub fn start(&mut self, number: usize) {
        if self.nodes[number].core.is_some() {
            return;
        }
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        node.life += 1;
        node.newest_table = 0;
        node.suspended_ms = 0;
        node.disturbed_until = 0;
        node.started_ms = now;
        let mut settings = EntrySettings::example(node.address);
        settings.life = WALL_START + now + node.life;
        settings.broken = self.plan.broken;
        settings.without = self.plan.without;
        if let Some(strength) = self.plan.strengths.get(number) {
            settings.strength = *strength;
        }
        node.core = Some(EntryCore::new(settings));
        let life = node.life;
        self.after(1, Later::Tick { node: number, life });
    }

    /// Kills an instance; it starts again after a time.
    pub fn kill(&mut self, number: usize, down_ms: u64) {
        self.nodes[number].core = None;
        self.nodes[number].parked.clear();
        self.nodes[number].link_use = LinkUse::default();
        self.nodes[number].processor.clear();
        self.clear_link(number);
        self.end_silence_of(number);
        self.watches.retain(|(node, ..)| *node != number);
        let calls: Vec<(usize, Ticket)> = self.calls.keys().copied().collect();
        for (node, ticket) in calls {
            if node == number {
                self.finish_call(node, ticket, CallerAnswer::Unknown);
            }
        }
        self.after(down_ms, Later::Restart { node: number });
    }

    /// Suspends an instance's machine for a time.
    pub fn suspend(&mut self, number: usize, for_ms: u64) {
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        let before = node.frozen_until.max(now);
        node.frozen_until = before.max(now + for_ms);
        node.suspended_ms += node.frozen_until - before;
    }

    /// Asks an instance to stop as planned.
    pub fn stop(&mut self, number: usize) {
        self.nodes[number].disturbed_until = u64::MAX;
        self.deliver(number, CoreEvent::Stop);
    }
}
