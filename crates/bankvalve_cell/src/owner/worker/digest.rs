//! Summaries of a worker partition for those who choose among partitions, and for people.

use std::collections::BTreeMap;

use super::placement_entry::PlacementEntry;
use super::worker_seat::WorkerSeat;
use super::WorkerPartition;
use crate::ids::{DomainName, InstanceName};
use crate::instance::OwnWorker;
use crate::link::{
    PartitionDigest, PartitionPoints, PeerMessage, RoomGroup, ServicePoint, WorkerView,
};
use crate::machine::TaskSize;
use crate::owner::OwnerContext;

/// Digests after which what has not changed is told again.
const REPEAT_EVERY: u32 = 10;
/// Workers of a group whose free room is given one by one.
const LARGEST_COUNT: usize = 4;

impl WorkerPartition {
    /// What is due to be told of the partition to all instances.
    ///
    /// What has not changed is told again only now and then, for those who
    /// missed it.
    pub fn due_news(&mut self, ctx: &OwnerContext<'_>) -> Vec<PeerMessage> {
        let mut news = Vec::new();
        if ctx.now < self.digest_due || !self.has_roster() {
            return news;
        }
        self.digest_due = ctx.now + ctx.timings.digest;
        let repeat = ctx.now >= self.news_repeat;
        if repeat {
            self.news_repeat = ctx.now + ctx.timings.digest * REPEAT_EVERY;
        }
        self.digest_sequence += 1;
        let digest = self.digest();
        let told = self.told_groups == digest.groups && self.told_queued == digest.queued;
        if repeat || !told {
            self.told_groups = digest.groups.clone();
            self.told_queued = digest.queued;
            news.push(PeerMessage::Digest(digest));
        }
        let points = self.service_points();
        if repeat || points != self.told_points {
            self.told_points = points.clone();
            news.push(PeerMessage::Points(PartitionPoints {
                partition: self.index,
                epoch: self.epoch,
                sequence: self.digest_sequence,
                region: self.region.clone(),
                points,
            }));
        }
        news
    }

    /// Summary of the partition as it stands.
    pub fn digest(&self) -> PartitionDigest {
        PartitionDigest {
            partition: self.index,
            epoch: self.epoch,
            sequence: self.digest_sequence,
            region: self.region.clone(),
            queued: self.queue_len() as u32,
            groups: self.room_groups(),
        }
    }

    /// How the partition's workers stand.
    pub fn worker_views(&self, owner: &InstanceName) -> Vec<WorkerView> {
        let view = |seat: &WorkerSeat| WorkerView {
            detail: seat.detail.clone(),
            partition: self.index,
            owner: owner.clone(),
            state: seat.state_name().into(),
            reserved: seat.reserved,
            tasks: seat.tasks,
        };
        self.seats.values().map(view).collect()
    }

    /// Workers that requests may be sent to.
    pub fn serving_workers(&self) -> Vec<OwnWorker> {
        let serving = |seat: &&WorkerSeat| seat.fenced && !seat.given_up;
        self.seats
            .values()
            .filter(serving)
            .map(|seat| OwnWorker {
                name: seat.detail.name.clone(),
                address: seat.detail.address.clone(),
                partition: self.index,
                epoch: self.epoch,
                slots: seat.detail.slots,
                connections: seat.detail.connections,
            })
            .collect()
    }

    /// Room reserved and room in all, summed over workers that answer.
    pub fn room_in_use(&self) -> (TaskSize, TaskSize) {
        let zero = (TaskSize::default(), TaskSize::default());
        self.seats
            .values()
            .filter(|seat| seat.fenced && !seat.given_up)
            .fold(zero, |(used, all), seat| {
                (used.plus(seat.reserved), all.plus(seat.detail.size))
            })
    }

    fn room_groups(&self) -> Vec<RoomGroup> {
        let mut groups = BTreeMap::<DomainName, Vec<&WorkerSeat>>::new();
        for seat in self.seats.values().filter(|seat| seat.takes_tasks()) {
            let domain = seat.detail.domain.clone();
            groups.entry(domain).or_default().push(seat);
        }
        let mut waiting = self
            .entries
            .values()
            .filter(|entry| entry.is_queued())
            .fold(TaskSize::default(), |sum, entry| sum.plus(entry.label.size));
        let preemptible = self.preemptible_by_worker();
        groups
            .into_iter()
            .map(|(domain, seats)| {
                let group = room_group(domain, &seats, waiting, &preemptible);
                waiting = TaskSize::default();
                group
            })
            .collect()
    }

    fn preemptible_by_worker(&self) -> BTreeMap<&str, TaskSize> {
        let mut rooms = BTreeMap::<&str, TaskSize>::new();
        for entry in self.entries.values().filter(|entry| entry.is_preemptible()) {
            if let Some(worker) = entry.worker.as_deref() {
                let room = rooms.entry(worker).or_default();
                *room = room.plus(entry.label.size);
            }
        }
        rooms
    }

    fn service_points(&self) -> Vec<ServicePoint> {
        let point = |entry: &PlacementEntry| {
            let service = entry.label.service.clone()?;
            let seat = self.seats.get(entry.worker.as_ref()?)?;
            let serves = entry.phase == super::placement_entry::PlacementPhase::Running;
            if !serves || seat.is_leaving() || seat.given_up {
                return None;
            }
            Some(ServicePoint {
                service,
                key: entry.key.clone(),
                worker: seat.detail.name.clone(),
                domain: seat.detail.domain.clone(),
            })
        };
        self.entries.values().filter_map(point).collect()
    }
}

fn room_group(
    domain: DomainName,
    seats: &[&WorkerSeat],
    waiting: TaskSize,
    preemptible: &BTreeMap<&str, TaskSize>,
) -> RoomGroup {
    let mut rooms: Vec<TaskSize> = seats.iter().map(|seat| seat.free()).collect();
    rooms.sort_by(|a, b| b.cmp(a));
    let free = rooms
        .iter()
        .fold(TaskSize::default(), |sum, room| sum.plus(*room));
    let mut classes: Vec<TaskSize> = seats.iter().map(|seat| seat.detail.size).collect();
    classes.sort();
    classes.dedup();
    let taken = |seat: &&WorkerSeat| preemptible.get(seat.detail.name.as_str()).copied();
    let mut with_preemption: Vec<TaskSize> = seats
        .iter()
        .map(|seat| seat.free().plus(taken(seat).unwrap_or_default()))
        .collect();
    with_preemption.sort_by(|a, b| b.cmp(a));
    with_preemption.truncate(LARGEST_COUNT);
    RoomGroup {
        domain,
        workers: seats.len() as u32,
        free: free.minus(waiting),
        largest: rooms.into_iter().take(LARGEST_COUNT).collect(),
        preemptible: with_preemption,
        classes,
    }
}
