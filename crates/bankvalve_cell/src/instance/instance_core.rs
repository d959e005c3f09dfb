//! The state machine of an entry instance.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::bundle::BundleState;
use super::commands::OpenCommand;
use super::group_commit::CommitState;
use super::lease::LeaseState;
use super::peers::PeerState;
use super::store_requests::{ObjectPurpose, StorePurpose};
use super::{CoreAction, CoreEvent, CoreSettings};
use crate::ids::{CellTime, Epoch, Incarnation, PartitionIndex, RowVersion, Ticket, UnixMillis};
use crate::link::{ObjectRequest, PartitionEndpoints, PeerMessage, StoreRequest, TaskId};
use crate::machine::{worker_partition_of, ListedWorker};
use crate::membership::{MemberRoster, PartitionKey, PartitionRow};
use crate::owner::{OwnerAction, OwnerContext, TeamPartition, TeamView, WorkerPartition};
use crate::placement::DigestCache;
use crate::refusal::RefusalReason;
use crate::tally::CellTally;

/// The state machine that makes all decisions of one entry instance.
///
/// [`InstanceCore::step`] takes an event and the time, and returns the actions
/// to perform. It never blocks, sleeps or reads a clock.
#[derive(Debug)]
pub struct InstanceCore {
    pub(super) settings: CoreSettings,
    pub(super) now: CellTime,
    pub(super) wall: UnixMillis,
    pub(super) incarnation: Incarnation,
    /// State of this instance's lease and of its scans.
    pub(super) lease: LeaseState,
    pub(super) roster: MemberRoster,
    pub(super) partition_rows: BTreeMap<PartitionKey, (PartitionRow, RowVersion)>,
    /// Epochs and row versions of the worker partitions, copied from `partition_rows` for fast lookup.
    pub(super) worker_rows: BTreeMap<PartitionIndex, (Epoch, RowVersion)>,
    /// Worker partitions that this instance owns.
    pub(super) workers: BTreeMap<PartitionIndex, WorkerPartition>,
    /// Team partitions that this instance owns.
    pub(super) teams: BTreeMap<PartitionIndex, TeamPartition>,
    /// Partitions that this instance owns and is about to release.
    pub(super) releasing: BTreeSet<PartitionKey>,
    /// Times at which to read the rows of partitions that were taken over.
    pub(super) loads: BTreeMap<PartitionKey, CellTime>,
    pub(super) digest_cache: DigestCache,
    /// Latest list of running service tasks of each worker partition.
    pub(super) service_endpoints: BTreeMap<PartitionIndex, PartitionEndpoints>,
    pub(super) listed: Vec<ListedWorker>,
    pub(super) bundle: BundleState,
    pub(super) commits: CommitState,
    pub(super) peers: PeerState,
    pub(super) open_commands: BTreeMap<Ticket, OpenCommand>,
    pub(super) store_tickets: BTreeMap<Ticket, (StorePurpose, CellTime)>,
    pub(super) object_tickets: BTreeMap<Ticket, ObjectPurpose>,
    pub(super) next_ticket: Ticket,
    /// When the table service last answered a request.
    pub(super) store_answered_at: Option<CellTime>,
    pub(super) stopping: bool,
    pub(super) stopped: bool,
    pub(super) tally: CellTally,
    /// Actions that partition owners have requested and that are not performed yet.
    pub(super) owner_actions: Vec<OwnerAction>,
    /// Actions that the current step will return.
    pub(super) actions: Vec<CoreAction>,
}

impl InstanceCore {
    /// Makes an instance that is not registered yet and knows no peers.
    pub fn new(settings: CoreSettings) -> Self {
        Self {
            incarnation: settings.min_incarnation,
            settings,
            now: Duration::ZERO,
            wall: 0,
            lease: LeaseState::default(),
            roster: MemberRoster::default(),
            partition_rows: BTreeMap::new(),
            worker_rows: BTreeMap::new(),
            workers: BTreeMap::new(),
            teams: BTreeMap::new(),
            releasing: BTreeSet::new(),
            loads: BTreeMap::new(),
            digest_cache: DigestCache::default(),
            service_endpoints: BTreeMap::new(),
            listed: Vec::new(),
            bundle: BundleState::default(),
            commits: CommitState::default(),
            peers: PeerState::default(),
            open_commands: BTreeMap::new(),
            store_tickets: BTreeMap::new(),
            object_tickets: BTreeMap::new(),
            next_ticket: 1,
            store_answered_at: None,
            stopping: false,
            stopped: false,
            tally: CellTally::default(),
            owner_actions: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform.
    ///
    /// `now` is a reading of the process' monotonic clock; a reading lower than an
    /// earlier one counts as the earlier one. `wall` is written to the ledger, and
    /// no decision depends on it.
    pub fn step(&mut self, now: CellTime, wall: UnixMillis, event: CoreEvent) -> Vec<CoreAction> {
        self.now = self.now.max(now);
        self.wall = wall;
        self.drop_workers_without_store();
        match event {
            CoreEvent::Tick => self.tick(),
            CoreEvent::Peer(batch) => self.handle_batch(batch),
            CoreEvent::Store { ticket, outcome } => self.handle_store_outcome(ticket, outcome),
            CoreEvent::Object { ticket, outcome } => self.handle_object_outcome(ticket, &outcome),
            CoreEvent::Worker {
                partition,
                worker,
                token,
                answer,
            } => self.with_worker_partition(partition, |owner, ctx| {
                owner.handle_answer(&worker, token, answer, ctx);
                owner.run_due(ctx);
            }),
            CoreEvent::List(listed) => self.handle_list(listed),
            CoreEvent::Command { ticket, command } => self.handle_command(ticket, command),
            CoreEvent::Stop => self.begin_stop(),
        }
        self.run_owner_actions();
        self.send_batches();
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters.
    pub fn tally(&self) -> &CellTally {
        &self.tally
    }

    /// Returns the incarnation that this instance runs or registers with.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the instance has registered, knows partition rows and the bundle in force, and is
    /// not stopping.
    pub fn is_ready(&self) -> bool {
        self.lease.is_registered()
            && self.roster_known()
            && self.bundle.is_known()
            && !self.stopping
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns whether a planned stop is complete.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Returns the worker partitions that the instance owns.
    pub fn worker_partitions(&self) -> impl Iterator<Item = &WorkerPartition> {
        self.workers.values()
    }

    /// Returns the team partitions that the instance owns, with their indexes.
    pub fn team_partitions(&self) -> impl Iterator<Item = (PartitionIndex, &TeamPartition)> {
        self.teams.iter().map(|(index, owner)| (*index, owner))
    }

    /// Describes a task as this instance's partitions know it, for diagnosis.
    pub fn describe_task(&self, id: &TaskId) -> Vec<String> {
        let here = &self.settings.detail.name;
        let teams = self.teams.values().filter_map(|owner| owner.describe(id));
        let workers = self.workers.values().filter_map(|owner| owner.describe(id));
        teams
            .chain(workers)
            .map(|text| format!("{here}: {text}"))
            .collect()
    }

    /// Returns whether the table service has answered within the timing `store_silence`.
    pub fn store_available(&self) -> bool {
        let limit = self.settings.timings.store_silence;
        self.store_answered_at
            .is_some_and(|at| self.now.saturating_sub(at) < limit)
    }

    fn roster_known(&self) -> bool {
        !self.partition_rows.is_empty()
    }

    fn tick(&mut self) {
        self.expire_store_tickets();
        self.run_lease();
        self.run_scan();
        self.run_loads();
        self.run_bundle();
        self.expire_commands();
        let worker_indexes: Vec<PartitionIndex> = self.workers.keys().copied().collect();
        for index in worker_indexes {
            self.tick_worker_partition(index);
        }
        self.run_owner_actions();
        let team_indexes: Vec<PartitionIndex> = self.teams.keys().copied().collect();
        for index in team_indexes {
            self.tick_team_partition(index);
        }
        self.run_commit();
        self.run_releases();
        self.run_heartbeats();
    }

    fn tick_worker_partition(&mut self, index: PartitionIndex) {
        let mut updates = Vec::new();
        self.with_worker_partition(index, |owner, ctx| {
            owner.tick(ctx);
            updates = owner.due_updates(ctx);
        });
        if self
            .workers
            .get(&index)
            .is_some_and(WorkerPartition::is_superseded)
        {
            self.workers.remove(&index);
            self.lease.scan_soon();
            return;
        }
        let here = self.settings.detail.name.clone();
        for message in updates {
            self.send_to_all_peers(&message);
            self.handle_message(&here, message);
        }
    }

    fn tick_team_partition(&mut self, index: PartitionIndex) {
        let releasing = self.releasing.contains(&PartitionKey::team(index));
        let mut archive = None;
        self.with_team_partition(index, |owner, view, ctx| {
            if !releasing {
                owner.tick(view, ctx);
            }
            archive = owner.begin_archive(ctx);
        });
        if let Some(request) = archive {
            self.send_object_request(ObjectPurpose::Archive(index), request);
        }
    }

    fn handle_list(&mut self, listed: Vec<ListedWorker>) {
        self.listed = listed;
        let indexes: Vec<PartitionIndex> = self.workers.keys().copied().collect();
        for index in indexes {
            self.update_listed_workers(index);
        }
    }

    /// Passes a worker partition the listed workers that belong to it.
    pub(super) fn update_listed_workers(&mut self, index: PartitionIndex) {
        let plan = &self.settings.plan;
        let part: Vec<ListedWorker> = self
            .listed
            .iter()
            .filter(|worker| worker_partition_of(plan, &worker.detail) == Some(index))
            .cloned()
            .collect();
        if let Some(owner) = self.workers.get_mut(&index) {
            owner.handle_list(&part, self.now);
        }
    }

    /// Runs a step of a worker partition, if the instance owns it.
    pub(super) fn with_worker_partition(
        &mut self,
        index: PartitionIndex,
        step: impl FnOnce(&mut WorkerPartition, &mut OwnerContext<'_>),
    ) {
        let Some(owner) = self.workers.get_mut(&index) else {
            return;
        };
        let mut ctx = OwnerContext {
            now: self.now,
            wall: self.wall,
            timings: &self.settings.timings,
            guards: self.settings.guards,
            bundle: self.bundle.in_force(),
            tally: &mut self.tally,
            actions: &mut self.owner_actions,
        };
        step(owner, &mut ctx);
    }

    /// Runs a step of a team partition, if the instance owns it.
    pub(super) fn with_team_partition(
        &mut self,
        index: PartitionIndex,
        step: impl FnOnce(&mut TeamPartition, &mut TeamView<'_>, &mut OwnerContext<'_>),
    ) {
        let store_available = self.store_available();
        let Some(owner) = self.teams.get_mut(&index) else {
            return;
        };
        let mut ctx = OwnerContext {
            now: self.now,
            wall: self.wall,
            timings: &self.settings.timings,
            guards: self.settings.guards,
            bundle: self.bundle.in_force(),
            tally: &mut self.tally,
            actions: &mut self.owner_actions,
        };
        let mut view = TeamView {
            digest_cache: &mut self.digest_cache,
            worker_rows: &self.worker_rows,
            listed: &self.listed,
            store_available,
        };
        step(owner, &mut view, &mut ctx);
    }

    /// Performs the actions that partition owners requested, and those that these request in turn.
    pub(super) fn run_owner_actions(&mut self) {
        while !self.owner_actions.is_empty() {
            let batch: VecDeque<_> = std::mem::take(&mut self.owner_actions).into();
            for action in batch {
                self.run_owner_action(action);
            }
        }
    }

    fn run_owner_action(&mut self, action: OwnerAction) {
        match action {
            OwnerAction::ToWorkerPartition { partition, message } => {
                self.send_to_owner(PartitionKey::worker(partition), message);
            }
            OwnerAction::ToTeamPartition { partition, message } => {
                self.send_to_owner(PartitionKey::team(partition), message);
            }
            OwnerAction::Exchange {
                partition,
                worker,
                address,
                exchange,
            } => self.actions.push(CoreAction::Worker {
                partition,
                worker,
                address,
                exchange,
            }),
            OwnerAction::Answer {
                origin,
                ticket,
                answer,
            } => self.answer(&origin, ticket, answer),
            OwnerAction::WriteRoster { partition, roster } => {
                self.write_roster(partition, roster);
            }
        }
    }

    /// Sends a message to the owner of a partition; handles it at once if that is this instance.
    fn send_to_owner(&mut self, key: PartitionKey, message: PeerMessage) {
        let owner = self.partition_rows.get(&key).map(|(row, _)| &row.owner);
        match owner {
            Some(owner) if *owner == self.settings.detail.name => {
                let from = owner.clone();
                self.handle_message(&from, message);
            }
            Some(owner) if !owner.is_empty() => {
                let owner = owner.clone();
                self.send_to_peer(&owner, message);
            }
            _ => self.tally.refuse(RefusalReason::NoOwner),
        }
    }

    /// Requests an action that sends a request to the table service.
    pub(super) fn send_store_request(
        &mut self,
        purpose: StorePurpose,
        request: StoreRequest,
    ) -> Ticket {
        let ticket = self.allocate_ticket();
        self.store_tickets.insert(ticket, (purpose, self.now));
        self.actions.push(CoreAction::Store { ticket, request });
        ticket
    }

    /// Requests an action that sends a request to the object store.
    pub(super) fn send_object_request(&mut self, purpose: ObjectPurpose, request: ObjectRequest) {
        let ticket = self.allocate_ticket();
        self.object_tickets.insert(ticket, purpose);
        self.actions.push(CoreAction::Object { ticket, request });
    }

    pub(super) fn allocate_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }
}
