//! The state of an instance, and how an event passes through it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::call_proxies::ProxyOrigin;
use super::callers::OpenRequest;
use super::customer_limits::CustomerLimits;
use super::election::{LeaderView, PeerView};
use super::follower_reads::FollowerReads;
use super::former_leaders::FormerLeaders;
use super::lead_state::LeadState;
use super::leader_absence::LeaderGap;
use super::ledger_page::LedgerPage;
use super::load_limit::ShareGate;
use super::log_budget::LogBudget;
use super::readiness::UnreadyReason;
use super::stopped_leases::StoppedLeases;
use super::store_link::WatchState;
use super::store_requests::{OpenStoreRequest, StoreTimeouts};
use super::table_watch::{TableSource, TableWatch};
use super::worker_entries::EntryScan;
use crate::caller::{CallerAnswer, DenialReason, ResolvedRequest};
use crate::decision::{DecisionLine, EntryCounters, EntryView};
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, FenceToken, Ticket, WallMillis, WorkerId};
use crate::ledger::JobBook;
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::queue_table::QueueTable;
use crate::store::{StoreOutcome, StoreRequest};
use crate::worker::{AdviceAnswer, AdviceRequest, WorkerAnswer, WorkerCall};

/// Tickets that a life has room for, as a power of two, so that an answer to an earlier life is
/// never taken for one to this; with a life in milliseconds since 1970 they last for centuries.
const TICKETS_OF_LIFE_BITS: u32 = 22;
/// Time between two ticks of a leader that has something to keep or to place.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Time between two ticks of a leader.
const LEAD_TICK: Duration = Duration::from_millis(20);
/// Time between two ticks of an instance that follows.
const FOLLOW_TICK: Duration = Duration::from_millis(50);

/// Reading of the inner clock at the start, so that times before the start can be told.
const TIME_BASE: Duration = Duration::from_secs(3_600);

/// What an instance is told about itself and its cell.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Where it listens for peers.
    pub address: PeerAddress,
    /// Start of its life, milliseconds since 1970.
    pub life: WallMillis,
    /// Processor that it has, in thousandths of a core; the strongest instances lead.
    pub strength: u64,
    /// Longest hold that a worker grants.
    pub hold_limit: Duration,
    /// How much earlier than due a task may start.
    pub early: Duration,
    /// How long an ended job's state is told.
    pub status_time: Duration,
    /// Longest value of a row, in bytes before encoding.
    pub row_bytes: usize,
    /// Time since it was last known that keys still hold, after which no request with a key is
    /// taken up; none if such requests are taken up whatever it is.
    pub key_age_limit: Option<Duration>,
    /// Guard that is taken away; none but in checks.
    pub broken: Option<SiteGuard>,
    /// Policy that is switched off; none but in measurements.
    pub without: Option<PolicySwitch>,
}

impl EntrySettings {
    /// Settings for tests and examples.
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
            broken: None,
            without: None,
        }
    }
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time has passed.
    Tick,
    /// A peer said something.
    Peer {
        /// Who.
        from: PeerAddress,
        /// What.
        message: PeerMessage,
    },
    /// Messages to a peer did not arrive, as far as is known.
    PeerUnreached {
        /// Who.
        peer: PeerAddress,
        /// Whether its port refused the connection.
        refused: bool,
    },
    /// The table answered, or did not.
    Store {
        /// Number of the request.
        ticket: Ticket,
        /// What became of it.
        outcome: StoreOutcome,
    },
    /// The table's answer about the configuration has begun to arrive, and will come whole or be
    /// told as lost.
    StoreBegins {
        /// Number of the request.
        ticket: Ticket,
    },
    /// A worker answered, or did not.
    Worker {
        /// Number of the call.
        ticket: Ticket,
        /// What became of it.
        answer: WorkerAnswer,
    },
    /// The policy service answered, or did not.
    Advice {
        /// Number of the question.
        ticket: Ticket,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// A caller asks.
    Caller {
        /// Number of the request.
        ticket: Ticket,
        /// The request.
        request: ResolvedRequest,
    },
    /// The configuration in force denies a caller's request. The answer is
    /// [`CallerAnswer::TableIsNewest`] once that one is sure to be as new as the request, or a
    /// refusal.
    RequestDenied {
        /// Number of the request.
        ticket: Ticket,
        /// Host and path that the caller named, for the log.
        asked: String,
        /// Why it is denied.
        reason: DenialReason,
        /// Time that the caller waits, in milliseconds.
        patience_ms: u64,
    },
    /// A planned stop begins.
    Stop,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Ask the table.
    Store {
        /// Number of the request.
        ticket: Ticket,
        /// The request.
        request: StoreRequest,
        /// Longest time to wait for the answer; of one about the configuration, which may be
        /// large, for its beginning.
        time: Duration,
    },
    /// Call a worker.
    Worker {
        /// Number of the call.
        ticket: Ticket,
        /// Life of the worker that is meant.
        worker: WorkerId,
        /// Where it listens.
        address: String,
        /// Token that goes with the call.
        token: FenceToken,
        /// The call.
        call: WorkerCall,
        /// Longest time to wait for the answer.
        time: Duration,
    },
    /// Ask the policy service.
    Advice {
        /// Number of the question.
        ticket: Ticket,
        /// The question.
        ask: AdviceRequest,
    },
    /// Say something to a peer.
    Peer {
        /// To whom.
        to: PeerAddress,
        /// What.
        message: PeerMessage,
    },
    /// Answer a caller.
    Answer {
        /// Number of the request.
        ticket: Ticket,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Use a configuration for routing callers.
    UseTable(QueueTable),
    /// Decode a configuration that a peer passed on.
    DecodeTable(Vec<u8>),
    /// Log a decision.
    Log(DecisionLine),
}

/// One entry instance.
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
    pub(super) now: CoreTime,
    pub(super) wall: WallMillis,
    /// Time for which the event that is being taken has waited for its turn.
    pub(super) lag: Duration,
    pub(super) table: Option<QueueTable>,
    pub(super) tables: TableWatch,
    pub(super) limits: CustomerLimits,
    pub(super) peers: BTreeMap<PeerAddress, PeerView>,
    /// The near members, as of the last heartbeat.
    pub(super) preferred: Vec<PeerAddress>,
    pub(super) leader: Option<LeaderView>,
    pub(super) highest_epoch: u64,
    pub(super) registered: bool,
    pub(super) members_known: bool,
    pub(super) claim: Option<super::election::ClaimState>,
    pub(super) claims_unanswered: u32,
    /// Latest epoch that was claimed.
    pub(super) claimed_epoch: u64,
    /// Epoch that was claimed last, and when the first copy of that claim was sent.
    pub(super) claim_sent: (u64, CoreTime),
    pub(super) suspect_since: Option<CoreTime>,
    pub(super) handover_epoch: Option<u64>,
    /// Whether the leader that asked had stopped commanding.
    pub(super) handover_leader_stopped: bool,
    pub(super) former_leaders: FormerLeaders,
    pub(super) stopped_leases: StoppedLeases,
    pub(super) next_heartbeat: CoreTime,
    pub(super) next_other_heartbeat: CoreTime,
    pub(super) next_slow_heartbeat: CoreTime,
    pub(super) book: JobBook,
    pub(super) applied: u64,
    pub(super) catch_up_at: Option<CoreTime>,
    /// When the leader's row, which did not come, is read anew.
    pub(super) leader_row_at: Option<CoreTime>,
    pub(super) ledger_page: LedgerPage,
    /// Whether the ledger is being read on, so that the book surely lacks some of it.
    pub(super) catching_up: bool,
    pub(super) lead: Option<Box<LeadState>>,
    /// What the leader last told of workers' slowness and queues' guesses.
    pub(super) measurements: (BTreeMap<WorkerId, f64>, BTreeMap<String, f64>),
    pub(super) open_requests: BTreeMap<Ticket, OpenRequest>,
    pub(super) follower_reads: FollowerReads,
    pub(super) proxied_advice: BTreeMap<Ticket, (PeerAddress, Ticket)>,
    /// Calls that this instance carries for the leader.
    pub(super) proxied_calls: BTreeMap<Ticket, ProxyOrigin>,
    pub(super) open_store_requests: BTreeMap<Ticket, OpenStoreRequest>,
    pub(super) store_timeouts: StoreTimeouts,
    pub(super) cell_watch: WatchState,
    /// The writing of the own row.
    pub(super) own_row: WatchState,
    pub(super) worker_watch: WatchState,
    pub(super) entry_scan: EntryScan,
    /// When the last question about the workers' entries was sent, and the last that was answered.
    pub(super) worker_list_sent: CoreTime,
    pub(super) worker_list_at: Option<CoreTime>,
    /// Services that a queue or an open job has named: workers of others are not ours to call.
    pub(super) services: BTreeSet<String>,
    pub(super) probe_answered: Option<CoreTime>,
    /// When the table last answered anything.
    pub(super) store_last_contact: Option<CoreTime>,
    pub(super) next_probe: CoreTime,
    /// Since when no leader has worked, as far as is known.
    pub(super) leader_gap: LeaderGap,
    pub(super) next_ticket: Ticket,
    pub(super) stopping: bool,
    /// What was last logged of its readiness: why it was not ready, or that it was.
    pub(super) logged_readiness: Option<Option<UnreadyReason>>,
    pub(super) log_budget: LogBudget,
    /// Lets new jobs pass as the leader takes them on.
    pub(super) gate: ShareGate,
    pub(super) counters: EntryCounters,
    pub(super) actions: Vec<CoreAction>,
}

impl EntryCore {
    /// Makes an instance that knows nothing yet.
    pub fn new(settings: EntrySettings) -> Self {
        let next_ticket = settings.life << TICKETS_OF_LIFE_BITS;
        Self {
            settings,
            now: TIME_BASE,
            wall: 0,
            lag: Duration::ZERO,
            table: None,
            tables: TableWatch::default(),
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
            proxied_advice: BTreeMap::new(),
            proxied_calls: BTreeMap::new(),
            open_store_requests: BTreeMap::new(),
            store_timeouts: StoreTimeouts::default(),
            cell_watch: WatchState::default(),
            own_row: WatchState::default(),
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
            counters: EntryCounters::default(),
            actions: Vec::new(),
        }
    }

    /// Takes an event at a time and returns what is to be done.
    ///
    /// `now` is the instance's steady clock and must not fall; `wall` is the
    /// time of day.
    pub fn step(&mut self, now: CoreTime, wall: WallMillis, event: CoreEvent) -> Vec<CoreAction> {
        let pause = (now + TIME_BASE).saturating_sub(self.now);
        self.now += pause;
        self.wall = wall;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.note_pause(pause, self.now);
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

    /// Tells for how long the next event has waited for its turn: how far behind the instance is.
    pub fn note_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// How the instance stands.
    pub fn view(&self) -> EntryView {
        let lead = self.lead.as_deref();
        EntryView {
            ready: self.is_ready(),
            leading: lead.is_some(),
            loading: lead.is_some_and(|lead| !lead.loaded),
            stopped: self.stopping && lead.is_none() && self.open_requests.is_empty(),
            jobs: self.book.len() as u64,
            waiting_tasks: lead.map_or(0, LeadState::waiting_tasks),
            live_runs: lead.map_or(0, LeadState::live_runs),
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
            counters: self.counters.clone(),
        }
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.lead.is_some()
    }

    /// Whether so many events come to it that they had better be taken together.
    pub fn prefers_batches(&self) -> bool {
        let lead = self.lead.as_deref();
        lead.is_some_and(|lead| lead.proxies.are_used())
    }

    /// Version of the configuration in force; 0 before the first.
    pub fn table_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }

    /// The jobs as this instance knows them.
    pub fn book(&self) -> &JobBook {
        &self.book
    }

    /// Gives the instance a configuration that was decoded for it.
    pub fn install_table(&mut self, table: QueueTable, raw: Vec<u8>) -> Vec<CoreAction> {
        self.use_table(table, raw, TableSource::Peer);
        std::mem::take(&mut self.actions)
    }

    /// Time until the next tick is due, if nothing else happens.
    pub fn wake_after(&self) -> Duration {
        match self.lead.as_deref() {
            Some(lead) if lead.is_busy() => BUSY_TICK,
            Some(_) => LEAD_TICK,
            None => FOLLOW_TICK,
        }
    }

    /// A number for a caller's request, unlike all others of this instance and its earlier lives.
    pub fn new_ticket(&mut self) -> Ticket {
        self.take_ticket()
    }

    fn tick(&mut self) {
        self.expire_store_requests();
        self.run_watches();
        self.run_membership();
        self.run_election();
        self.run_heartbeats();
        self.run_open_requests();
        self.run_follower_reads();
        self.run_following();
        self.expire_proxied_calls();
        self.run_leader_row();
        self.watch_leader();
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

    /// Tells whether a guard stands.
    pub(super) fn enforces(&self, guard: SiteGuard) -> bool {
        self.settings.broken != Some(guard)
    }

    /// Tells whether a policy is on.
    pub(super) fn uses(&self, policy: PolicySwitch) -> bool {
        self.settings.without != Some(policy)
    }

    /// Time since the instance started.
    pub(super) fn uptime(&self) -> Duration {
        self.now.saturating_sub(TIME_BASE)
    }

    pub(super) fn age(&self, at: CoreTime) -> Duration {
        self.now.saturating_sub(at)
    }
}
