//! Instances start, are killed, suspended and asked to stop.

use std::time::Duration;

use bankvalve_queue::{CallerAnswer, CoreEvent, EntryCore, EntrySettings, Ticket};

use super::site_bytes::LinkUse;
use super::site_plan::SiteNode;
use super::site_world::{Later, SiteWorld, WALL_START};

impl SiteWorld {
    /// Starts an instance anew.
    pub fn start(&mut self, number: usize) {
        if self.nodes[number].core.is_some() || self.nodes[number].gone {
            return;
        }
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        self.lasting.trouble(now);
        node.life += 1;
        node.dark = false;
        node.newest_table = 0;
        node.suspended_ms = 0;
        node.disturbed_until = 0;
        node.started_ms = now;
        let mut settings = EntrySettings::example(node.address);
        settings.life = WALL_START + now + node.life;
        settings.hold_limit = Duration::from_millis(self.max_lease_ms);
        settings.broken = self.plan.broken;
        settings.without = self.plan.without;
        settings.policies = self.policies;
        if let Some(strength) = self.plan.strengths.get(number) {
            settings.strength = *strength;
        }
        node.core = Some(EntryCore::new(settings));
        let life = node.life;
        self.after(1, Later::Tick { node: number, life });
    }

    /// Kills an instance; it starts again after a time.
    pub fn kill(&mut self, number: usize, down_ms: u64) {
        self.end_life(number);
        self.after(down_ms, Later::Restart { node: number });
    }

    /// Takes the power from an instance's machine: peers that call it get no answer. It starts again
    /// after a time, or never.
    pub fn darken(&mut self, number: usize, down_ms: Option<u64>) {
        self.end_life(number);
        self.nodes[number].dark = true;
        match down_ms {
            Some(down_ms) => self.after(down_ms, Later::Restart { node: number }),
            None => self.nodes[number].gone = true,
        }
    }

    fn end_life(&mut self, number: usize) {
        self.lasting.trouble(self.now_ms);
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
    }

    /// Freezes an instance for a time, or for as long as it is frozen already: it would be awake without its
    /// timers otherwise.
    pub fn freeze(&mut self, number: usize, for_ms: u64) {
        let until = self.now_ms + for_ms;
        let node = &mut self.nodes[number];
        node.frozen_until = node.frozen_until.max(until);
    }

    /// Suspends an instance's machine for a time.
    pub fn suspend(&mut self, number: usize, for_ms: u64) {
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        let before = node.frozen_until.max(now);
        node.frozen_until = before.max(now + for_ms);
        node.suspended_ms += node.frozen_until - before;
    }

    /// An instance comes at an address that nobody had before.
    pub fn add_instance(&mut self) {
        let number = self.nodes.len();
        if let Some(strength) = self.plan.strengths.last().copied() {
            self.plan.strengths.push(strength);
        }
        self.nodes.push(SiteNode::at(number));
        self.start(number);
    }

    /// Asks an instance to stop as planned.
    pub fn stop(&mut self, number: usize) {
        self.lasting.trouble(self.now_ms);
        self.nodes[number].disturbed_until = u64::MAX;
        self.deliver(number, CoreEvent::Stop);
    }
}
