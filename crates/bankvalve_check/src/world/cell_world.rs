//! The world: a queue of events in virtual time.

use std::collections::BinaryHeap;
use std::time::Duration;

use bankvalve_cell::ids::Ticket;
use bankvalve_cell::instance::{CoreAction, CoreEvent, CoreSettings, InstanceCore, PeerBatch};
use bankvalve_cell::link::{
    CallerAnswer, CallerCommand, LinkFailure, ObjectOutcome, ObjectRequest, StoreOutcome,
    StoreRequest, TableTransaction, WorkerExchange,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::entry_slot::EntrySlot;
use super::link_state::LinkState;
use super::platform_state::{PlatformState, WorkerSlot};
use super::world_event::{QueuedEvent, WorldEvent};
use super::WorldPlan;

/// Wall clock at the beginning of a run, in milliseconds.
pub(crate) const WALL_START: u64 = 1_700_000_000_000;
/// Time between two reads of the instance list.
const LIST_POLL: Duration = Duration::from_secs(1);
/// Time after which an unanswered request counts as lost.
const NO_ANSWER: Duration = Duration::from_secs(2);
/// Longest extra delay of a slow table service, in milliseconds.
const SLOW_MS: u64 = 2_500;
/// Longest extra delay of a message between entry instances, in milliseconds.
const PEER_DELAY_MS: u64 = 1_500;
/// Part of what arrives late while answers are lost.
const LATE: f64 = 0.2;
/// Latest arrival of what was given up on, in milliseconds.
const LATE_MS: u64 = 9_000;
/// Life that nobody has, for answers that nobody waits for.
const NOBODY: u64 = u64::MAX;
/// Part of what is lost while a link loses messages.
const LOSS: f64 = 0.4;

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
            least_incarnation: WALL_START + self.now.as_millis() as u64,
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

    fn is_life(&self, entry: usize, life: u64) -> bool {
        self.entries[entry].life == life && self.entries[entry].core.is_some()
    }

    fn tick(&mut self, entry: usize, life: u64) {
        if !self.is_life(entry, life) {
            return;
        }
        if self.entries[entry].runs() {
            self.step(entry, CoreEvent::Tick);
        }
        self.after(self.plan.tick, WorldEvent::Tick { entry, life });
    }

    fn happen(&mut self, event: WorldEvent) {
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

    fn deliver(&mut self, entry: usize, life: Option<u64>, event: CoreEvent) {
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

    fn resume(&mut self, entry: usize) {
        let slot = &mut self.entries[entry];
        if slot.paused_until.is_none_or(|until| until > self.now) {
            return;
        }
        slot.paused_until = None;
        for event in std::mem::take(&mut slot.inbox) {
            self.step(entry, event);
        }
    }

    fn step(&mut self, entry: usize, event: CoreEvent) {
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

    fn act(&mut self, entry: usize, action: CoreAction) {
        let life = self.entries[entry].life;
        match action {
            CoreAction::Answer { ticket, answer } => self.answers.push((entry, ticket, answer)),
            CoreAction::Peer { to, batch, .. } => self.send_batch(entry, &to, &batch),
            CoreAction::Store { ticket, request } => {
                self.count_store(&request);
                let mut delay = self.link_delay();
                if self.now < self.links.store_slow_until {
                    delay += Duration::from_millis(self.rng.random_range(0..SLOW_MS));
                }
                let request = Box::new(request);
                let late = self.now < self.links.store_lost_until && self.rng.random_bool(LATE);
                if late {
                    delay += self.late_delay();
                    let outcome = StoreOutcome::Lost;
                    let event = CoreEvent::Store { ticket, outcome };
                    self.reply_later(entry, life, NO_ANSWER, event);
                }
                let event = WorldEvent::StoreArrives {
                    entry,
                    life: if late { NOBODY } else { life },
                    ticket,
                    request,
                };
                self.after(delay, event);
            }
            CoreAction::Object { ticket, request } => {
                let delay = self.link_delay();
                let request = Box::new(request);
                let event = WorldEvent::ObjectArrives {
                    entry,
                    life,
                    ticket,
                    request,
                };
                self.after(delay, event);
            }
            CoreAction::Worker {
                partition,
                worker,
                exchange,
                ..
            } => {
                self.cost.exchanges += 1;
                self.count_exchange(&exchange);
                let mut delay = self.link_delay();
                let mute_until = self.platform.workers[&worker].mute_until;
                let late = self.now < mute_until && self.rng.random_bool(LATE);
                if late {
                    delay += self.late_delay();
                    let event = CoreEvent::Worker {
                        partition,
                        worker: worker.clone(),
                        token: exchange.token,
                        answer: Err(LinkFailure::NoAnswer),
                    };
                    self.reply_later(entry, life, NO_ANSWER, event);
                }
                let exchange = Box::new(exchange);
                let event = WorldEvent::ExchangeArrives {
                    entry,
                    life: if late { NOBODY } else { life },
                    partition,
                    worker,
                    exchange,
                };
                self.after(delay, event);
            }
            CoreAction::Stopped => {
                self.kill_entry(entry);
                let time = Duration::from_millis(self.rng.random_range(500..5_000));
                self.after(time, WorldEvent::Start { entry });
            }
        }
    }

    fn count_store(&mut self, request: &StoreRequest) {
        self.cost.store_requests += 1;
        if let StoreRequest::Apply(txn) = request {
            let bytes = |write: &bankvalve_cell::link::RowWrite| {
                write.key.len() + write.value.as_ref().map_or(0, Vec::len)
            };
            self.cost.store_bytes += txn.writes.iter().map(bytes).sum::<usize>() as u64;
        }
    }

    fn count_exchange<T: serde::Serialize>(&mut self, message: &T) {
        if self.count_bytes {
            let bytes = rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len());
            self.cost.exchange_bytes += bytes as u64;
        }
    }

    fn link_delay(&mut self) -> Duration {
        let base = self.plan.delay.as_micros() as u64;
        Duration::from_micros(base + self.rng.random_range(0..=base / 2))
    }

    /// Delay of a request that was given up on long before it arrives.
    fn late_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(2_000..LATE_MS))
    }

    fn regions_cut(&self, one: &str, other: &str) -> bool {
        one != other && self.now < self.links.region_cut_until
    }

    fn send_batch(&mut self, from: usize, to: &str, batch: &PeerBatch) {
        self.cost.peer_batches += 1;
        self.cost.peer_messages += batch.messages.len() as u64;
        if self.count_bytes {
            let bytes = rmp_serde::to_vec(batch).map_or(0, |bytes| bytes.len());
            self.cost.peer_bytes += bytes as u64;
        }
        let Some(entry) = self.entries.iter().position(|slot| slot.detail.name == to) else {
            return;
        };
        let regions = (
            self.entries[from].detail.region.clone(),
            self.entries[entry].detail.region.clone(),
        );
        let lossy = self.now < self.links.peer_loss_until;
        if self.regions_cut(&regions.0, &regions.1) || (lossy && self.rng.random_bool(LOSS)) {
            return;
        }
        let copies = if self.now < self.links.peer_repeat_until {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut delay = self.link_delay();
            if self.now < self.links.peer_delay_until {
                delay += Duration::from_millis(self.rng.random_range(0..PEER_DELAY_MS));
            }
            let event = Box::new(CoreEvent::Peer(batch.clone()));
            let life = None;
            self.after(delay, WorldEvent::Deliver { entry, life, event });
        }
    }

    /// Whether an entry instance reaches the platform's services now.
    fn reaches_store(&self, entry: usize) -> bool {
        let slot = &self.entries[entry];
        let home = &self.plan.partitions.regions[0];
        self.now >= slot.cut_from_store_until && !self.regions_cut(&slot.detail.region, home)
    }

    fn reply_later(&mut self, entry: usize, life: u64, delay: Duration, event: CoreEvent) {
        let life = Some(life);
        let event = Box::new(event);
        self.after(delay, WorldEvent::Deliver { entry, life, event });
    }

    fn store_arrives(&mut self, entry: usize, life: u64, ticket: Ticket, request: &StoreRequest) {
        let lost = |outcome| CoreEvent::Store { ticket, outcome };
        if self.now < self.links.store_down_until || !self.reaches_store(entry) {
            self.reply_later(entry, life, NO_ANSWER, lost(StoreOutcome::Lost));
            return;
        }
        let stale = self.now < self.links.store_stale_until && self.rng.random_bool(LOSS);
        let outcome = if stale {
            self.platform.table.handle_stale(request)
        } else {
            self.platform.table.handle(request)
        };
        let write = matches!(request, StoreRequest::Apply(_));
        if write && self.now < self.links.store_lost_until && self.rng.random_bool(LOSS) {
            self.reply_later(entry, life, NO_ANSWER, lost(StoreOutcome::Lost));
            return;
        }
        let mut delay = self.link_delay();
        if self.now < self.links.store_slow_until {
            delay += Duration::from_millis(self.rng.random_range(0..SLOW_MS));
        }
        self.reply_later(entry, life, delay, CoreEvent::Store { ticket, outcome });
    }

    fn object_arrives(&mut self, entry: usize, life: u64, ticket: Ticket, request: &ObjectRequest) {
        let down = self.now < self.links.objects_down_until || !self.reaches_store(entry);
        let (outcome, delay) = if down {
            (ObjectOutcome::Failed, NO_ANSWER)
        } else {
            (self.platform.objects.handle(request), self.link_delay())
        };
        self.reply_later(entry, life, delay, CoreEvent::Object { ticket, outcome });
    }

    fn exchange_arrives(
        &mut self,
        entry: usize,
        life: u64,
        partition: u32,
        worker: String,
        exchange: &WorkerExchange,
    ) {
        let now = self.now;
        let region = self.entries[entry].detail.region.clone();
        let cut = self.regions_cut(&region, &self.platform.workers[&worker].model.detail.region);
        let delay = self.link_delay();
        let slot = self.platform.workers.get_mut(&worker).expect("known");
        let token = exchange.token;
        let reached = !slot.dead && now >= slot.cut_until && !cut;
        let mut answer = Err(LinkFailure::NoAnswer);
        if reached {
            slot.model.fails_all = now < slot.fails_until;
            slot.model.slowness = if now < slot.slow_until { 3.0 } else { 1.0 };
            let clock = slot.clock(now);
            let report = slot.model.exchange(clock, exchange);
            if now >= slot.mute_until || !self.rng.random_bool(LOSS) {
                answer = Ok(report);
            }
        }
        if let Ok(report) = &answer {
            self.count_exchange(report);
        }
        let delay = if answer.is_ok() { delay } else { NO_ANSWER };
        let event = CoreEvent::Worker {
            partition,
            worker,
            token,
            answer,
        };
        self.reply_later(entry, life, delay, event);
    }

    fn poll_list(&mut self, entry: usize, life: u64) {
        if !self.is_life(entry, life) {
            return;
        }
        let frozen = self.now < self.links.list_frozen_until;
        if self.reaches_store(entry) {
            let listed = self.platform.list(self.now, frozen);
            let delay = self.link_delay();
            self.reply_later(entry, life, delay, CoreEvent::List(listed));
        }
        self.after(LIST_POLL, WorldEvent::ListPoll { entry, life });
    }
}
