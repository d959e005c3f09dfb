//! Processors of instances: each step takes time, and events wait for their turn in a ring.

use std::collections::VecDeque;
use std::time::Duration;

use bankvalve_queue::CoreEvent;

use super::site_world::{Later, SiteWorld, WALL_START};

/// Events that wait at most, as in the program's ring; more are refused and counted.
const RING: usize = 8_192;
/// Span in which steps are taken before others have their turn, in microseconds.
const SPAN_US: u64 = 1_000;

/// What an instance's steps take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepTime {
    /// Time for an event, in microseconds.
    pub event_us: u64,
    /// Time for each action that follows, in microseconds.
    pub action_us: u64,
}

/// A processor and what waits for it.
#[derive(Debug, Default)]
pub struct NodeProcessor {
    /// What steps take; nothing if not set.
    pub step_time: Option<StepTime>,
    /// Events that found the ring full.
    pub refused: u64,
    ring: VecDeque<(u64, CoreEvent)>,
    /// Whether it is at work, and will look at the ring again.
    at_work: bool,
    tick_waits: bool,
    /// Time that it has taken beyond whole milliseconds, in microseconds.
    debt_us: u64,
}

impl NodeProcessor {
    /// Forgets what waits, as a process that ends does.
    pub(super) fn clear(&mut self) {
        self.ring.clear();
        self.at_work = false;
        self.tick_waits = false;
        self.debt_us = 0;
    }

    /// Has an event wait for its turn; tells whether the processor must be started.
    fn put(&mut self, now: u64, event: CoreEvent) -> bool {
        let tick = matches!(event, CoreEvent::Tick);
        if tick && std::mem::replace(&mut self.tick_waits, true) {
            return false;
        }
        if self.ring.len() >= RING && !tick {
            self.refused += 1;
            return false;
        }
        self.ring.push_back((now, event));
        !std::mem::replace(&mut self.at_work, true)
    }

    fn take(&mut self) -> Option<(u64, CoreEvent)> {
        let next = self.ring.pop_front();
        if next
            .as_ref()
            .is_some_and(|(_, event)| matches!(event, CoreEvent::Tick))
        {
            self.tick_waits = false;
        }
        next
    }
}

impl SiteWorld {
    /// Has an event wait for an instance's processor.
    pub(super) fn wait_for_processor(&mut self, node: usize, event: CoreEvent) {
        let now = self.now_ms;
        let life = self.nodes[node].life;
        if self.nodes[node].processor.put(now, event) {
            self.after(0, Later::Work { node, life });
        }
    }

    /// An instance takes steps for a while, and goes on after the time that they took.
    pub(super) fn work(&mut self, number: usize, life: u64) {
        if !self.is_life(number, life) {
            return;
        }
        let now = self.now_ms;
        let frozen = self.nodes[number].frozen_until.saturating_sub(now);
        if frozen > 0 {
            self.after(frozen, Later::Work { node: number, life });
            return;
        }
        let mut took = self.nodes[number].processor.debt_us;
        while took < SPAN_US {
            let node = &mut self.nodes[number];
            let Some(time) = node.processor.step_time else {
                break;
            };
            let (Some((came, event)), Some(core)) = (node.processor.take(), node.core.as_mut())
            else {
                break;
            };
            core.note_lag(Duration::from_millis(now - came));
            let since = Duration::from_millis(now - node.started_ms);
            let actions = core.step(since, WALL_START + now, event);
            took += time.event_us + time.action_us * actions.len() as u64;
            for action in actions {
                self.act(number, action);
            }
        }
        let processor = &mut self.nodes[number].processor;
        processor.debt_us = took % SPAN_US;
        let pause = took / SPAN_US;
        if pause == 0 && processor.ring.is_empty() {
            processor.at_work = false;
            return;
        }
        self.after(pause.max(1), Later::Work { node: number, life });
    }
}
