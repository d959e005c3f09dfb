//! The world: a queue of events in virtual time.

use std::collections::BinaryHeap;
use std::time::Duration;

use bankvalve_cell::ids::Ticket;
use bankvalve_cell::instance::{CoreEvent, CoreSettings, InstanceCore};
use bankvalve_cell::link::{CallerAnswer, CallerCommand, StoreRequest, TableTransaction};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::entry_slot::EntrySlot;
use super::link_state::LinkState;
use super::platform_state::{PlatformState, WorkerSlot};
use super::world_event::{QueuedEvent, WorldEvent};
use super::WorldPlan;

/// Wall clock at the beginning of a run, in milliseconds.
pub(crate) const WALL_START: u64 = 1_700_000_000_000;
/// Control cost of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCost {
    /// Batches between entry instances.
    pub peer_batches: u64,
    /// Messages in them.
    pub peer_messages: u64,
    /// Bytes of them, encoded.
    pub peer_bytes: u64,
    /// Exchanges with workers.
    pub exchanges: u64,
    /// Bytes of them, both ways, encoded.
    pub exchange_bytes: u64,
    /// Requests to the table service.
    pub store_requests: u64,
    /// Bytes written to the table service.
    pub store_bytes: u64,
    /// Time spent in the decisions of all entry instances.
    pub step_time: Duration,
    /// Steps made.
    pub steps: u64,
}

/// A cell under virtual time.
#[derive(Debug)]
pub struct CellWorld {
    /// What it consists of.
    pub plan: WorldPlan,
    /// The time.
    pub now: Duration,
    /// The entry instances.
    pub entries: Vec<EntrySlot>,
    /// The platform and the workers.
    pub platform: PlatformState,
    /// How the links behave.
    pub links: LinkState,
    /// Randomness of links and faults.
    pub rng: Pcg64Mcg,
    /// Events that happened, ticks not counted.
    pub events: u64,
    /// Control cost.
    pub cost: ControlCost,
    /// Whether encoded sizes are counted, which takes time.
    pub count_bytes: bool,
    /// Answers to commands, with the entry instance that gave them.
    pub answers: Vec<(usize, Ticket, CallerAnswer)>,
    queue: BinaryHeap<QueuedEvent>,
    numbered: u64,
    next_ticket: Ticket,
}

impl CellWorld {
    /// Makes a world and starts all its entry instances.
    pub fn new(plan: WorldPlan, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut platform = PlatformState::default();
        for detail in &plan.workers {
            let offset = rng.random_range(0..1_000_000);
            let rate = rng.random_range(0.996..1.004);
            let slot = WorkerSlot::new(detail.clone(), offset, rate);
            platform.workers.insert(detail.name.clone(), slot);
        }
        let mut txn = TableTransaction::default();
        let bundle = rmp_serde::to_vec_named(&plan.bundle).expect("a bundle can be encoded");
        txn.require("bundle", 0).put("bundle", bundle);
        platform.table.handle(&StoreRequest::Apply(txn));
        let entries = plan.entries.iter().cloned().map(EntrySlot::new).collect();
        let mut world = Self {
            plan,
            now: Duration::ZERO,
            entries,
            platform,
            links: LinkState::default(),
            rng,
            events: 0,
            cost: ControlCost::default(),
            count_bytes: false,
            answers: Vec::new(),
            queue: BinaryHeap::new(),
            numbered: 0,
            next_ticket: 1,
        };
        for entry in 0..world.entries.len() {
            world.start_entry(entry);
        }
        world
    }

    /// Puts an event in the queue, to happen after a delay.
    pub fn after(&mut self, delay: Duration, event: WorldEvent) {
        self.numbered += 1;
        self.queue.push(QueuedEvent {
            at: self.now + delay,
            number: self.numbered,
            event,
        });
    }

    /// Lets the next event happen; returns true if it was a wake-up of the driver.
    pub fn advance(&mut self) -> bool {
        let Some(queued) = self.queue.pop() else {
            return true;
        };
        self.now = self.now.max(queued.at);
        match queued.event {
            WorldEvent::Wake => return true,
            WorldEvent::Tick { entry, life } => self.tick(entry, life),
            event => {
                self.events += 1;
                self.happen(event);
            }
        }
        false
    }

    /// Gives a command to an entry instance; returns its ticket if the instance runs.
    pub fn command(&mut self, entry: usize, command: CallerCommand) -> Option<Ticket> {
        if !self.entries[entry].runs() {
            return None;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.step(entry, CoreEvent::Command { ticket, command });
        Some(ticket)
    }

    /// Begins a planned stop of an entry instance.
    pub fn stop_entry(&mut self, entry: usize) {
        if self.entries[entry].runs() {
            self.step(entry, CoreEvent::Stop);
        }
    }

    /// Kills an entry instance.
    pub fn kill_entry(&mut self, entry: usize) {
        self.entries[entry].end_life();
        self.entries[entry].life += 1;
    }

    /// Pauses an entry instance.
    pub fn pause_entry(&mut self, entry: usize, time: Duration) {
        if !self.entries[entry].runs() {
            return;
        }
        self.entries[entry].paused_until = Some(self.now + time);
        self.after(time, WorldEvent::Resume { entry });
    }

    /// Kills a worker; it starts a new life after a while.
    pub fn kill_worker(&mut self, worker: &str, time: Duration) {
        let now = self.now;
        let Some(slot) = self.platform.workers.get_mut(worker) else {
            return;
        };
        if slot.dead {
            return;
        }
        let clock = slot.clock(now);
        slot.model.restart(clock);
        slot.dead = true;
        let worker = worker.to_owned();
        self.after(time, WorldEvent::WorkerBack { worker });
    }

    /// Starts a new life of an entry instance.
    pub fn start_entry(&mut self, entry: usize) {
        if self.entries[entry].core.is_some() {
            return;
        }
        let settings = CoreSettings {
            detail: self.entries[entry].detail.clone(),
            plan: self.plan.partitions.clone(),
            timings: self.plan.timings,
            guards: self.plan.guards,
            policy: self.plan.policy.clone(),
            min_incarnation: WALL_START + self.now.as_millis() as u64,
        };
        let slot = &mut self.entries[entry];
        slot.life += 1;
        slot.core = Some(InstanceCore::new(settings));
        let life = slot.life;
        let jitter = Duration::from_micros(self.rng.random_range(0..50_000));
        self.after(jitter, WorldEvent::Tick { entry, life });
        self.after(jitter, WorldEvent::ListPoll { entry, life });
    }

    /// The wall clock, in milliseconds.
    pub fn wall(&self) -> u64 {
        WALL_START + self.now.as_millis() as u64
    }

    pub(super) fn is_life(&self, entry: usize, life: u64) -> bool {
        self.entries[entry].life == life && self.entries[entry].core.is_some()
    }

    pub(super) fn tick(&mut self, entry: usize, life: u64) {
        if !self.is_life(entry, life) {
            return;
        }
        if self.entries[entry].runs() {
            self.step(entry, CoreEvent::Tick);
        }
        self.after(self.plan.tick, WorldEvent::Tick { entry, life });
    }

    pub(super) fn happen(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick { .. } | WorldEvent::Wake => {}
            WorldEvent::Deliver { entry, life, event } => self.deliver(entry, life, *event),
            WorldEvent::StoreArrives {
                entry,
                life,
                ticket,
                request,
            } => self.store_arrives(entry, life, ticket, &request),
            WorldEvent::ObjectArrives {
                entry,
                life,
                ticket,
                request,
            } => self.object_arrives(entry, life, ticket, &request),
            WorldEvent::ExchangeArrives {
                entry,
                life,
                partition,
                worker,
                exchange,
            } => self.exchange_arrives(entry, life, partition, worker, &exchange),
            WorldEvent::ListPoll { entry, life } => self.poll_list(entry, life),
            WorldEvent::Resume { entry } => self.resume(entry),
            WorldEvent::Start { entry } => self.start_entry(entry),
            WorldEvent::WorkerBack { worker } => {
                if let Some(slot) = self.platform.workers.get_mut(&worker) {
                    slot.dead = false;
                }
            }
        }
    }

    pub(super) fn deliver(&mut self, entry: usize, life: Option<u64>, event: CoreEvent) {
        if life.is_some_and(|life| !self.is_life(entry, life)) {
            return;
        }
        let slot = &mut self.entries[entry];
        if slot.core.is_none() {
            return;
        }
        if slot.paused_until.is_some() {
            slot.inbox.push(event);
            return;
        }
        self.step(entry, event);
    }

    pub(super) fn resume(&mut self, entry: usize) {
        let slot = &mut self.entries[entry];
        if slot.paused_until.is_none_or(|until| until > self.now) {
            return;
        }
        slot.paused_until = None;
        for event in std::mem::take(&mut slot.inbox) {
            self.step(entry, event);
        }
    }

    pub(super) fn step(&mut self, entry: usize, event: CoreEvent) {
        let now = self.now;
        let wall = self.wall();
        let Some(core) = &mut self.entries[entry].core else {
            return;
        };
        let begun = std::time::Instant::now();
        let actions = core.step(now, wall, event);
        self.cost.step_time += begun.elapsed();
        self.cost.steps += 1;
        for action in actions {
            self.act(entry, action);
        }
    }
}
