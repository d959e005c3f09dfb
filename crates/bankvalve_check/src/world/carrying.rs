//! How a world carries what its entry instances ask for, with delays and faults.

use std::time::Duration;

use bankvalve_cell::ids::Ticket;
use bankvalve_cell::instance::{CoreAction, CoreEvent, PeerBatch};
use bankvalve_cell::link::{
    LinkFailure, ObjectOutcome, ObjectRequest, StoreOutcome, StoreRequest, WorkerExchange,
};
use rand::Rng;

use super::cell_world::CellWorld;
use super::world_event::WorldEvent;

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

impl CellWorld {
    pub(super) fn act(&mut self, entry: usize, action: CoreAction) {
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

    pub(super) fn count_store(&mut self, request: &StoreRequest) {
        self.cost.store_requests += 1;
        if let StoreRequest::Apply(txn) = request {
            let bytes = |write: &bankvalve_cell::link::RowWrite| {
                write.key.len() + write.value.as_ref().map_or(0, Vec::len)
            };
            self.cost.store_bytes += txn.writes.iter().map(bytes).sum::<usize>() as u64;
        }
    }

    pub(super) fn count_exchange<T: serde::Serialize>(&mut self, message: &T) {
        if self.count_bytes {
            let bytes = rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len());
            self.cost.exchange_bytes += bytes as u64;
        }
    }

    pub(super) fn link_delay(&mut self) -> Duration {
        let base = self.plan.delay.as_micros() as u64;
        Duration::from_micros(base + self.rng.random_range(0..=base / 2))
    }

    /// Delay of a request that was given up on long before it arrives.
    pub(super) fn late_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(2_000..LATE_MS))
    }

    pub(super) fn regions_cut(&self, one: &str, other: &str) -> bool {
        one != other && self.now < self.links.region_cut_until
    }

    pub(super) fn send_batch(&mut self, from: usize, to: &str, batch: &PeerBatch) {
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
    pub(super) fn reaches_store(&self, entry: usize) -> bool {
        let slot = &self.entries[entry];
        let home = &self.plan.partitions.regions[0];
        self.now >= slot.cut_from_store_until && !self.regions_cut(&slot.detail.region, home)
    }

    pub(super) fn reply_later(
        &mut self,
        entry: usize,
        life: u64,
        delay: Duration,
        event: CoreEvent,
    ) {
        let life = Some(life);
        let event = Box::new(event);
        self.after(delay, WorldEvent::Deliver { entry, life, event });
    }

    pub(super) fn store_arrives(
        &mut self,
        entry: usize,
        life: u64,
        ticket: Ticket,
        request: &StoreRequest,
    ) {
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

    pub(super) fn object_arrives(
        &mut self,
        entry: usize,
        life: u64,
        ticket: Ticket,
        request: &ObjectRequest,
    ) {
        let down = self.now < self.links.objects_down_until || !self.reaches_store(entry);
        let (outcome, delay) = if down {
            (ObjectOutcome::Failed, NO_ANSWER)
        } else {
            (self.platform.objects.handle(request), self.link_delay())
        };
        self.reply_later(entry, life, delay, CoreEvent::Object { ticket, outcome });
    }

    pub(super) fn exchange_arrives(
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

    pub(super) fn poll_list(&mut self, entry: usize, life: u64) {
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
