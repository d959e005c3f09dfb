//! Instances start, are killed, suspended and asked to stop.

use std::time::Duration;

use bankvalve_queue::{CallerAnswer, CoreEvent, EntryCore, EntrySettings, Ticket};

use super::site_bytes::LinkUse;
use super::site_plan::SiteNode;
use super::site_world::{Later, SiteWorld, WALL_START};

/// Time for which a process that is asked to stop serves on, in milliseconds, as in the program.
const BALANCER_MS: u64 = 2_300;
/// Time from one look to the next whether it may end, in milliseconds.
const STOP_LOOK_MS: u64 = 20;
/// Time after which it is killed, in milliseconds: the users' sheets name six seconds.
const GRACE_MS: u64 = 6_000;

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedStop {
    /// When it began, in milliseconds.
    began_ms: u64,
    /// When the next process starts, in milliseconds, or once this one has ended.
    back_at_ms: u64,
}

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

    /// Stops an instance as planned and has it start again a time after the request to stop. As in the program,
    /// its process ends once the leadership is handed over and callers have their answers.
    pub fn roll(&mut self, number: usize, back_ms: u64) {
        self.stop(number);
        let life = self.nodes[number].life;
        let stop = PlannedStop {
            began_ms: self.now_ms,
            back_at_ms: self.now_ms + back_ms,
        };
        let node = number;
        self.after(BALANCER_MS, Later::StopCheck { node, life, stop });
    }

    pub(super) fn check_stop(&mut self, node: usize, life: u64, stop: PlannedStop) {
        if !self.is_life(node, life) {
            return;
        }
        let now = self.now_ms;
        let core = self.nodes[node].core.as_ref();
        let stopped = core.is_some_and(|core| core.view().stopped);
        if stopped || now >= stop.began_ms + GRACE_MS {
            self.kill(node, stop.back_at_ms.saturating_sub(now));
        } else {
            self.after(STOP_LOOK_MS, Later::StopCheck { node, life, stop });
        }
    }
}
