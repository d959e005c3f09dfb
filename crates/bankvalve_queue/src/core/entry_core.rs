//! The state of an entry instance, and the dispatch of events to it.
//!
//! An entry instance is a process of bankvalve: it accepts callers' requests, and one of the instances leads.
//! A worker's entry is something else: the worker's record in the table.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::admission::admission_credits::CreditGate;
use super::admission::customer_limits::CustomerLimits;
use super::admission::load_limit::ShareGate;
use super::admission::outage_wait::OutageWait;
use super::advice_calls::AdviceCalls;
use super::call_proxies::ProxyOrigin;
use super::callers::OpenRequest;
use super::election::{LeaderView, PeerView};
use super::evacuations::EvacuatedDomains;
use super::follower::LeaderMeasurements;
use super::follower_reads::FollowerReads;
use super::former_leaders::FormerLeaders;
use super::lead_state::LeadState;
use super::leader_absence::LeaderGap;
use super::ledger_page::LedgerPage;
use super::log_budget::LogBudget;
use super::member_rows::MemberRows;
use super::placement::shared_advice::KnownAdvice;
use super::readiness::UnreadyReason;
use super::stopped_leases::StoppedLeases;
use super::store_link::WatchState;
use super::store_requests::{OpenStoreRequest, StoreTimeouts};
use super::table_watch::{TableSource, TableWatch};
use super::unlisted_workers::ToldWorkers;
use super::worker_entries::EntryScan;
use crate::caller::{CallerAnswer, DenialReason, ResolvedRequest};
use crate::decision::{DecisionLine, EntryCounters, EntryView};
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, FenceToken, Ticket, WallMillis, WorkerId};
use crate::ledger::JobBook;
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::{OptionalPolicies, PolicySwitch};
use crate::queue_table::QueueTable;
use crate::store::{RowKey, StoreOutcome, StoreRequest};
use crate::worker::{AdviceAnswer, AdviceRequest, WorkerAnswer, WorkerCall};

/// Bits of a ticket that number the tickets of one process. The upper bits hold the start time of the
/// process, so that an answer to an earlier process is never taken for one to this process. With a
/// start time in milliseconds since 1970, tickets do not run out for centuries.
const TICKET_NUMBER_BITS: u32 = 22;
/// Interval of ticks on a leader that has events to commit or tasks to place.
const BUSY_LEADER_TICK: Duration = Duration::from_millis(5);
/// Interval of ticks on a leader that is not busy.
const LEADER_TICK: Duration = Duration::from_millis(20);
/// Interval of ticks on a follower.
const FOLLOWER_TICK: Duration = Duration::from_millis(50);

/// Reading of the internal clock at the start of the process. It is not zero, so that earlier points in
/// time can be represented.
const CLOCK_BASE: Duration = Duration::from_secs(3_600);

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Address at which it listens for peers.
    pub address: PeerAddress,
    /// Start time of this process, in milliseconds since 1970.
    pub life: WallMillis,
    /// CPU capacity of the instance, in millicores. Instances with the most CPU are preferred as
    /// leaders.
    pub strength: u64,
    /// Longest lease that a worker accepts.
    pub hold_limit: Duration,
    /// How long before its due time a task may start.
    pub early: Duration,
    /// How long the state of an ended job can be queried.
    pub status_time: Duration,
    /// Longest value of a row, in bytes before encoding.
    pub row_bytes: usize,
    /// Maximum age of the last confirmation that the local configuration is the newest. Requests with a
    /// key are refused once it is older; `None` if they are always accepted.
    pub key_age_limit: Option<Duration>,
    /// Optional policies that the site's settings call for.
    pub policies: OptionalPolicies,
    /// Guard to disable; `None` except in checks.
    pub broken: Option<SiteGuard>,
    /// Policy to switch off; `None` except in measurements.
    pub without: Option<PolicySwitch>,
}

impl EntrySettings {
    /// Returns settings for tests and examples.
    pub fn example(address: PeerAddress) -> Self {
        Self {
            address,
            life: 1,
            strength: 1_000,
            hold_limit: Duration::from_secs(6),
            early: Duration::from_millis(250),
            status_time: Duration::from_secs(120),
            row_bytes: 65_536,
            key_age_limit: None,
            policies: OptionalPolicies::ALL,
            broken: None,
            without: None,
        }
    }
}

/// An event that the instance handles.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time has passed.
    Tick,
    /// A message arrived from a peer.
    Peer {
        /// Sender.
        from: PeerAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Messages to a peer were probably not delivered.
    PeerUnreached {
        /// The peer.
        peer: PeerAddress,
        /// Whether its port refused the connection.
        refused: bool,
    },
    /// A request to the platform's table has ended, with or without an answer.
    Store {
        /// Ticket of the request.
        ticket: Ticket,
        /// Outcome of the request.
        outcome: StoreOutcome,
    },
    /// The table's answer to a configuration request has begun to arrive. A [`CoreEvent::Store`]
    /// follows when it is complete or lost.
    StoreBegins {
        /// Ticket of the request.
        ticket: Ticket,
    },
    /// A call to a worker has ended, with or without an answer.
    Worker {
        /// Ticket of the call.
        ticket: Ticket,
        /// Outcome of the call.
        answer: WorkerAnswer,
    },
    /// A request to the policy service has ended, with or without an answer.
    Advice {
        /// Ticket of the request.
        ticket: Ticket,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// A caller's request arrived.
    Caller {
        /// Ticket of the request.
        ticket: Ticket,
        /// The request.
        request: ResolvedRequest,
    },
    /// The configuration in force denies a caller's request. The instance answers with
    /// [`CallerAnswer::TableIsNewest`] or [`CallerAnswer::TableChanged`] once that configuration is known to
    /// be at least as new as the request, or with a refusal.
    RequestDenied {
        /// Ticket of the request.
        ticket: Ticket,
        /// Host and path in the caller's request, for the log.
        asked: String,
        /// Why the request is denied.
        reason: DenialReason,
        /// How long the caller waits, in milliseconds.
        patience_ms: u64,
    },
    /// A planned stop begins.
    Stop,
}

/// An action that the program around the core must carry out.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a request to the platform's table.
    Store {
        /// Ticket of the request.
        ticket: Ticket,
        /// The request.
        request: StoreRequest,
        /// Timeout for the answer. For a configuration, which may be large, it is the timeout for the
        /// beginning of the answer.
        time: Duration,
    },
    /// Call a worker.
    Worker {
        /// Ticket of the call.
        ticket: Ticket,
        /// Id of the worker.
        worker: WorkerId,
        /// Address at which the worker listens.
        address: String,
        /// Fencing token that is sent with the call.
        token: FenceToken,
        /// The call.
        call: WorkerCall,
        /// Timeout for the answer.
        time: Duration,
    },
    /// Send a request to the policy service.
    Advice {
        /// Ticket of the request.
        ticket: Ticket,
        /// The request.
        ask: AdviceRequest,
    },
    /// Send a message to a peer.
    Peer {
        /// The receiver.
        to: PeerAddress,
        /// The message.
        message: PeerMessage,
    },
    /// Answer a caller.
    Answer {
        /// Ticket of the caller's request.
        ticket: Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Use this configuration to route callers' requests.
    UseTable(QueueTable),
    /// Decode a configuration that a peer sent.
    DecodeTable(Vec<u8>),
    /// Log a decision.
    Log(DecisionLine),
}

/// The state machine of one entry instance.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use bankvalve_queue::{CoreAction, CoreEvent, EntryCore, EntrySettings};
///
/// let mut core = EntryCore::new(EntrySettings::example("127.0.0.1:7300".parse().unwrap()));
/// let actions = core.step(Duration::ZERO, 1, CoreEvent::Tick);
/// assert!(actions.iter().any(|action| matches!(action, CoreAction::Store { .. })));
/// ```
#[derive(Debug)]
pub struct EntryCore {
    pub(super) settings: EntrySettings,
    /// Internal clock: the monotonic clock plus [`CLOCK_BASE`].
    pub(super) now: CoreTime,
    /// Time of day.
    pub(super) wall: WallMillis,
    /// How long the current event waited before it was handled.
    pub(super) lag: Duration,
    /// The configuration in force.
    pub(super) table: Option<QueueTable>,
    /// How newer configurations are found and read.
    pub(super) tables: TableWatch,
    pub(super) evacuations: EvacuatedDomains,
    pub(super) limits: CustomerLimits,
    pub(super) peers: BTreeMap<PeerAddress, PeerView>,
    /// The preferred members, as of the last heartbeat.
    pub(super) preferred: Vec<PeerAddress>,
    pub(super) leader: Option<LeaderView>,
    /// Latest epoch that is known.
    pub(super) highest_epoch: u64,
    /// Whether this instance's member row is in place.
    pub(super) registered: bool,
    /// Whether all members' rows have been read.
    pub(super) members_known: bool,
    pub(super) claim: Option<super::election::ClaimState>,
    /// Number of consecutive claims that the table did not answer.
    pub(super) claims_unanswered: u32,
    /// Latest epoch that this instance claimed.
    pub(super) claimed_epoch: u64,
    /// Epoch of the last claim, and when its first copy was sent.
    pub(super) claim_sent: (u64, CoreTime),
    /// Since when the leader has been suspected.
    pub(super) suspect_since: Option<CoreTime>,
    /// Epoch of a leader that has asked this instance to take over.
    pub(super) handover_epoch: Option<u64>,
    /// Whether the leader that requested the handover has already stopped commanding workers.
    pub(super) handover_leader_stopped: bool,
    pub(super) former_leaders: FormerLeaders,
    pub(super) stopped_leases: StoppedLeases,
    pub(super) told_workers: ToldWorkers,
    pub(super) next_heartbeat: CoreTime,
    pub(super) next_other_heartbeat: CoreTime,
    pub(super) next_slow_heartbeat: CoreTime,
    pub(super) book: JobBook,
    /// Number of the last ledger batch that the book contains.
    pub(super) applied: u64,
    /// When a follower reads the batches that it lacks.
    pub(super) catch_up_at: Option<CoreTime>,
    /// When to retry reading the leader's row after a failed read.
    pub(super) leader_row_at: Option<CoreTime>,
    pub(super) ledger_page: LedgerPage,
    /// Whether the ledger is being read, which means that the book is incomplete.
    pub(super) catching_up: bool,
    /// State of this instance as the leader; `None` on a follower.
    pub(super) lead: Option<Box<LeadState>>,
    /// What the leader has measured, as it last sent it.
    pub(super) measurements: LeaderMeasurements,
    pub(super) open_requests: BTreeMap<Ticket, OpenRequest>,
    pub(super) follower_reads: FollowerReads,
    /// Requests that this instance sends to the policy service.
    pub(super) advice_calls: AdviceCalls,
    /// What the leader knows from the policy service, as it last told this standby.
    pub(super) known_advice: KnownAdvice,
    /// Calls that this instance sends for the leader.
    pub(super) proxied_calls: BTreeMap<Ticket, ProxyOrigin>,
    pub(super) open_store_requests: BTreeMap<Ticket, OpenStoreRequest>,
    pub(super) store_timeouts: StoreTimeouts,
    /// Watch on the leader's row.
    pub(super) cell_watch: WatchState,
    pub(super) member_rows: MemberRows,
    /// State of the write of this instance's member row.
    pub(super) own_row: WatchState,
    /// Whether this instance has looked for its own row, which the rows of the first ranks do not include.
    pub(super) own_row_read: bool,
    /// A row that an earlier process of this instance wrote under another rank.
    pub(super) outdated_row: Option<RowKey>,
    pub(super) worker_watch: WatchState,
    pub(super) entry_scan: EntryScan,
    /// When the last request for the workers' entries was sent.
    pub(super) worker_list_sent: CoreTime,
    /// When the last answered request for the workers' entries was sent.
    pub(super) worker_list_at: Option<CoreTime>,
    /// Services named by a queue or an open job. Workers of other services are not called.
    pub(super) services: BTreeSet<String>,
    /// When the table last answered a probe of this instance.
    pub(super) probe_answered: Option<CoreTime>,
    /// When the table last answered any request.
    pub(super) store_last_contact: Option<CoreTime>,
    pub(super) next_probe: CoreTime,
    /// How long there has been no working leader, to the knowledge of this instance.
    pub(super) leader_gap: LeaderGap,
    pub(super) next_ticket: Ticket,
    pub(super) stopping: bool,
    /// The readiness that was last logged: the reason for not being ready, or `Some(None)` for ready.
    pub(super) logged_readiness: Option<Option<UnreadyReason>>,
    pub(super) log_budget: LogBudget,
    /// Admits the share of new jobs that the leader accepts.
    pub(super) gate: ShareGate,
    /// Submits that are held while the table is unavailable.
    pub(super) outage_wait: OutageWait,
    /// Admits the share of each queue's new jobs that the leader wants to see.
    pub(super) credit_gate: CreditGate,
    pub(super) counters: EntryCounters,
    pub(super) actions: Vec<CoreAction>,
}

impl EntryCore {
    /// Creates an instance with an empty state.
    pub fn new(settings: EntrySettings) -> Self {
        let next_ticket = settings.life << TICKET_NUMBER_BITS;
        Self {
            settings,
            now: CLOCK_BASE,
            wall: 0,
            lag: Duration::ZERO,
            table: None,
            tables: TableWatch::default(),
            evacuations: EvacuatedDomains::default(),
            limits: CustomerLimits::default(),
            peers: BTreeMap::new(),
            preferred: Vec::new(),
            leader: None,
            highest_epoch: 0,
            registered: false,
            members_known: false,
            claim: None,
            claims_unanswered: 0,
            claimed_epoch: 0,
            claim_sent: (0, Duration::ZERO),
            suspect_since: None,
            handover_epoch: None,
            handover_leader_stopped: false,
            former_leaders: FormerLeaders::default(),
            stopped_leases: StoppedLeases::default(),
            told_workers: ToldWorkers::default(),
            next_heartbeat: Duration::ZERO,
            next_other_heartbeat: Duration::ZERO,
            next_slow_heartbeat: Duration::ZERO,
            book: JobBook::default(),
            applied: 0,
            catch_up_at: None,
            leader_row_at: None,
            ledger_page: LedgerPage::default(),
            catching_up: false,
            lead: None,
            measurements: Default::default(),
            open_requests: BTreeMap::new(),
            follower_reads: FollowerReads::default(),
            advice_calls: AdviceCalls::default(),
            known_advice: KnownAdvice::default(),
            proxied_calls: BTreeMap::new(),
            open_store_requests: BTreeMap::new(),
            store_timeouts: StoreTimeouts::default(),
            cell_watch: WatchState::default(),
            member_rows: MemberRows::default(),
            own_row: WatchState::default(),
            own_row_read: false,
            outdated_row: None,
            worker_watch: WatchState::default(),
            entry_scan: EntryScan::default(),
            worker_list_sent: Duration::ZERO,
            worker_list_at: None,
            services: BTreeSet::new(),
            probe_answered: None,
            store_last_contact: None,
            next_probe: Duration::ZERO,
            leader_gap: LeaderGap::default(),
            next_ticket,
            stopping: false,
            logged_readiness: None,
            log_budget: LogBudget::default(),
            gate: ShareGate::default(),
            outage_wait: OutageWait::default(),
            credit_gate: CreditGate::default(),
            counters: EntryCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting actions.
    ///
    /// `now` is the instance's monotonic clock and must not go back. `wall` is the time of day.
    pub fn step(&mut self, now: CoreTime, wall: WallMillis, event: CoreEvent) -> Vec<CoreAction> {
        let pause = (now + CLOCK_BASE).saturating_sub(self.now);
        self.now += pause;
        self.wall = wall;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.record_pause(pause, self.now);
        }
        match event {
            CoreEvent::Tick => self.tick(),
            CoreEvent::Peer { from, message } => self.handle_message(from, message),
            CoreEvent::PeerUnreached { peer, refused } => self.peer_unreached(peer, refused),
            CoreEvent::Store { ticket, outcome } => self.handle_store_answer(ticket, outcome),
            CoreEvent::StoreBegins { ticket } => self.store_begins(ticket),
            CoreEvent::Worker { ticket, answer } => self.handle_worker_answer(ticket, answer),
            CoreEvent::Advice { ticket, answer } => self.handle_advice(ticket, answer),
            CoreEvent::Caller { ticket, request } => self.handle_request(ticket, request),
            CoreEvent::RequestDenied {
                ticket,
                asked,
                reason,
                patience_ms,
            } => self.handle_denial(ticket, asked, reason, patience_ms),
            CoreEvent::Stop => self.begin_stop(),
        }
        self.run_lead();
        std::mem::take(&mut self.actions)
    }

    /// Records how long the next event has waited in the queue, which shows how far behind the instance
    /// is.
    pub fn note_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the status of the instance, for readiness and metrics.
    pub fn view(&self) -> EntryView {
        let lead = self.lead.as_deref();
        let plans = lead.map(|lead| lead.plans.reserved_and_idle());
        let (reserved_millicores, idle_reserved_millicores) = plans.unwrap_or_default();
        EntryView {
            ready: self.is_ready(),
            leading: lead.is_some(),
            loading: lead.is_some_and(|lead| !lead.loaded),
            stopped: self.may_end(),
            jobs: self.book.len() as u64,
            waiting_tasks: lead.map_or(0, LeadState::waiting_tasks),
            live_runs: lead.map_or(0, LeadState::live_runs),
            reserved_millicores,
            idle_reserved_millicores,
            task_waits: self.task_waits(),
            table_version: self.table_version(),
            table_age: self.tables.confirmed.map(|at| self.age(at)),
            leader_age: match &self.leader {
                _ if lead.is_some() => Some(Duration::ZERO),
                Some(leader) => Some(self.age(leader.last_contact)),
                None => None,
            },
            ledger_batches: self.applied,
            leaderless_ms: self.leaderless_ms(),
            customers: self.customer_views(),
            forecast_waits: self.forecast_waits(),
            credits: self.credits_in_force(),
            evacuations: self.evacuation_views(),
            worker_groups: self.worker_group_views(),
            counters: self.counters.clone(),
        }
    }

    /// Returns whether a stopping instance has handed over its leadership and finished its requests: those of
    /// callers, and those that it sends to the policy service for a leader.
    fn may_end(&self) -> bool {
        let finished = self.open_requests.is_empty() && self.advice_calls.are_finished();
        self.stopping && self.lead.is_none() && finished
    }

    /// Returns whether this instance leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// Returns whether the instance receives so many events that they are better handled in batches.
    pub fn prefers_batches(&self) -> bool {
        let lead = self.lead.as_deref();
        lead.is_some_and(|lead| lead.proxies.are_used())
    }

    /// Returns the version of the configuration in force; 0 if there is none yet.
    pub fn table_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// Returns the state of all jobs as this instance knows it.
    pub fn book(&self) -> &JobBook {
        &self.book
    }

    /// Puts a decoded configuration from a peer into force, unless it is older.
    pub fn install_table(&mut self, table: QueueTable, raw: Vec<u8>) -> Vec<CoreAction> {
        self.use_table(table, raw, TableSource::Peer);
        std::mem::take(&mut self.actions)
    }

    /// Returns the time until the next tick, if no other event comes first.
    pub fn wake_after(&self) -> Duration {
        match self.lead.as_deref() {
            Some(lead) if lead.is_busy() => BUSY_LEADER_TICK,
            Some(_) => LEADER_TICK,
            None => FOLLOWER_TICK,
        }
    }

    /// Returns a ticket for a caller's request that neither this process nor an earlier one of this
    /// instance has used.
    pub fn new_ticket(&mut self) -> Ticket {
        self.take_ticket()
    }

    fn tick(&mut self) {
        self.expire_store_requests();
        self.run_watches();
        self.run_membership();
        self.run_election();
        self.run_outage_wait();
        self.run_heartbeats();
        self.run_open_requests();
        self.run_follower_reads();
        self.run_follower();
        self.expire_proxied_calls();
        self.run_leader_row();
        self.log_leader_gap();
        self.log_readiness();
    }

    fn begin_stop(&mut self) {
        self.stopping = true;
        self.log("entry", "stop", String::new(), String::new());
        self.next_heartbeat = self.now;
    }

    pub(super) fn take_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    pub(super) fn send_message(&mut self, to: PeerAddress, message: PeerMessage) {
        self.actions.push(CoreAction::Peer { to, message });
    }

    /// Returns whether a guard is enforced.
    pub(super) fn enforces(&self, guard: SiteGuard) -> bool {
        self.settings.broken != Some(guard)
    }

    /// Returns whether a policy is switched on.
    pub(super) fn uses(&self, policy: PolicySwitch) -> bool {
        self.settings.policies.includes(policy) && self.settings.without != Some(policy)
    }

    /// Returns the time since the instance started.
    pub(super) fn uptime(&self) -> Duration {
        self.now.saturating_sub(CLOCK_BASE)
    }

    pub(super) fn age(&self, at: CoreTime) -> Duration {
        self.now.saturating_sub(at)
    }
}
