//! Instances, table, workers, policy and callers in one process, under virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bankvalve_queue::{
    AdviceRule, CallerRequest, CoreEvent, DecisionLine, EntryCore, JobId, JobSpec, JobState,
    OptionalPolicies, PeerAddress, ProcessStart, RunId, SiteGuard, StoreRequest, TaskKey, TaskSize,
    Ticket, WorkerId,
};
use bankvalve_standin::site::{SitePolicy, SiteStore, SiteWorker, MAX_ENDS_PER_REPORT};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::site_calls::OpenCall;
use super::site_config::{QueueAnswer, SiteConfig};
use super::site_costs::{part_of, StepCosts};
use super::site_crashes::TaskCrash;
use super::site_customers::SiteCustomers;
use super::site_evacuations::SiteEvacuations;
use super::site_lasting::LastingCheck;
use super::site_lives::PlannedStop;
use super::site_load_record::LoadRecord;
use super::site_losses::LossStep;
use super::site_restarts::{RestartFigures, WorkerRestart};
use super::site_silence::SilentLane;
use super::site_storm_losses::{StormRecord, StormStep};
use super::site_versions::VersionHistory;
use super::site_workers::{CallRoute, WaitingLook};
use super::{LinkRecord, RuleBook, SiteAnswer, SiteNode, SitePlan, TableUse};

/// Name of the usual queue.
pub const QUEUE: &str = "batch";
/// Name of the queue that comes first.
pub const URGENT_QUEUE: &str = "urgent";
/// Service of all queues.
pub(super) const SERVICE: &str = "service";
/// Time of day at the start, in milliseconds since 1970.
pub(super) const WALL_START: u64 = 1_000_000_000_000;

/// Longest hold that the platform allows if a test says nothing else, in milliseconds: the example
/// settings' one.
pub(super) const HOLD_LIMIT_MS: u64 = 6_000;

/// The process that had received an order, if one listened.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderReceiver(pub(super) Option<ProcessStart>);

/// Something that happens later.
#[derive(Debug)]
pub(super) enum Later {
    Tick {
        node: usize,
        life: u64,
    },
    Event {
        node: usize,
        life: u64,
        event: CoreEvent,
    },
    StoreArrives {
        node: usize,
        life: u64,
        ticket: Ticket,
        request: StoreRequest,
    },
    /// A look has waited for an end for as long as it may.
    LookEnds {
        address: String,
        ticket: Ticket,
    },
    /// An instance's processor goes on.
    Work {
        node: usize,
        life: u64,
    },
    /// The time is over in which an answer about the configuration must begin.
    StoreLimit {
        node: usize,
        life: u64,
        ticket: Ticket,
    },
    WatchEnds {
        node: usize,
        life: u64,
        ticket: Ticket,
    },
    WorkerArrives {
        node: usize,
        life: u64,
        ticket: Ticket,
        worker: WorkerId,
        address: String,
        token: u64,
        call: bankvalve_queue::WorkerCall,
        /// Of an order that is carried out late, who has received it; it is gone with that process.
        receiver: Option<OrderReceiver>,
    },
    WorkerTime {
        address: String,
    },
    Restart {
        node: usize,
    },
    /// A planned stop looks whether its process may end.
    StopCheck {
        node: usize,
        life: u64,
        stop: PlannedStop,
    },
    Submit {
        job: JobId,
        tries: u32,
    },
    Ask {
        job: JobId,
    },
    Cancel {
        job: JobId,
    },
    /// A caller gives up if its submission has had no answer.
    GiveUp {
        job: JobId,
    },
    ReviveWorker {
        address: String,
    },
    /// A worker is cut off from all instances and from the table.
    CutWorker {
        address: String,
        for_ms: u64,
    },
    /// A worker's process ends, to start again under its id.
    ProcessEnds {
        address: String,
        restart: WorkerRestart,
    },
    /// A worker's next process starts under its id.
    ProcessStarts {
        address: String,
        worker: Box<SiteWorker>,
        restart: WorkerRestart,
    },
    /// A task ends the worker that runs it.
    TaskCrash {
        address: String,
        task: TaskKey,
        run: RunId,
    },
    /// The entry of a worker that has ended runs out.
    EntryGone {
        worker: WorkerId,
    },
    /// A worker that was cut off from the table reaches it again, and its entry is back.
    EntryBack {
        address: String,
        worker: WorkerId,
    },
    /// A step of a loss that was laid out before.
    Loss(LossStep),
    /// A part of a series of losses.
    Storm(StormStep),
    ApplyLate {
        request: StoreRequest,
    },
    SendPeer {
        node: usize,
        life: u64,
        to: PeerAddress,
        message: bankvalve_queue::PeerMessage,
    },
}

/// The world.
pub struct SiteWorld {
    pub(super) plan: SitePlan,
    /// Longest hold that the platform allows, in milliseconds.
    pub(super) max_lease_ms: u64,
    /// Most ended runs in one answer of a worker.
    pub(super) max_ends_per_report: usize,
    /// Draws all that is left to chance.
    pub rng: Pcg64Mcg,
    /// Virtual time in milliseconds.
    pub now_ms: u64,
    pub(super) next_number: u64,
    pub(super) queue: BinaryHeap<Reverse<(u64, u64)>>,
    pub(super) later: BTreeMap<u64, Later>,
    /// The instances.
    pub nodes: Vec<SiteNode>,
    /// The table.
    pub store: SiteStore,
    /// When answers about the configuration that are on their way begin to arrive.
    pub(super) begins: BTreeMap<(usize, Ticket), u64>,
    pub(super) watches: Vec<(usize, u64, Ticket, StoreRequest)>,
    /// Workers by address; none while one is down.
    pub workers: BTreeMap<String, Option<SiteWorker>>,
    pub(super) lives: u64,
    /// Processes of workers that were started so far.
    pub(super) processes: u64,
    /// What restarts of workers under their ids showed.
    pub restarts: RestartFigures,
    /// The policy service, if there is one.
    pub policy: Option<SitePolicy>,
    /// Queues for whose steps the policy service refuses all workers.
    pub refused_queues: BTreeSet<String>,
    /// What the policy service takes for an answer, one question of an instance at a time; if not
    /// set, some milliseconds whatever it is asked. Holds from the next configuration on.
    pub slow_advice: Option<AdviceRule>,
    /// The same for the queue that comes first, if it differs.
    pub urgent_advice: Option<AdviceRule>,
    /// When it has answered each of the questions of an instance, by instance, in milliseconds. Those of a
    /// process that has ended keep their turn.
    pub(super) advice_turns: BTreeMap<usize, VecDeque<u64>>,
    /// Questions that it turned away because too many of the same instance waited.
    pub advice_refusals: u64,
    pub(super) specs: BTreeMap<JobId, Arc<JobSpec>>,
    pub(super) calls: BTreeMap<(usize, Ticket), OpenCall>,
    /// Jobs whose end was shown, with the state.
    pub shown: BTreeMap<JobId, JobState>,
    /// What workers and callers saw.
    pub rules: RuleBook,
    /// Until when the table is away for all, and whether it refuses or is silent.
    pub store_away_until: u64,
    /// Whether it is silent then; else it refuses.
    pub store_silent: bool,
    pub(super) store_disturbed_until: u64,
    /// Time that the table takes for each request, besides the usual, in milliseconds.
    pub store_delay_ms: u64,
    /// Time for which the table carries out one write, while the others to the same part wait, in milliseconds.
    pub store_turn_ms: u64,
    /// Until when the table carries out writes to a part, in milliseconds.
    pub(super) store_busy_until: BTreeMap<String, u64>,
    /// What passes over the links of instances.
    pub links: LinkRecord,
    /// Share of writes whose answer is lost, in percent.
    pub lost_percent: u32,
    /// Whether such writes are done only later.
    pub lost_late: bool,
    /// Share of orders that have no answer and are carried out late, in percent.
    pub late_orders_percent: u32,
    /// Whether the next process of a worker carries out late what the process before had received.
    pub late_orders_outlive_receivers: bool,
    /// Share of looks whose answer is lost, in percent.
    pub lost_looks_percent: u32,
    /// Share of runs that fail, in percent.
    pub fail_percent: u32,
    /// Failed runs that queues allow; holds from the next configuration on.
    pub attempts: u32,
    /// Workers that fail all that they run, by address.
    pub failing_workers: BTreeSet<String>,
    /// Failure domain whose workers take twice the usual time for tasks that are not in gangs.
    pub slow_domain: Option<String>,
    /// Rooms that workers had before, and until when.
    pub(super) old_rooms: BTreeMap<WorkerId, Vec<(u64, TaskSize)>>,
    /// What each task does that ends the workers that run it.
    pub crashing: BTreeMap<TaskKey, TaskCrash>,
    /// Whether workers that such tasks end start again under their ids.
    pub crashed_keep_ids: bool,
    /// Until when a worker is cut off, by address.
    pub worker_cut_until: BTreeMap<String, u64>,
    /// Time that answers to start orders take in place of the usual time, in milliseconds.
    pub start_answer_ms: Option<u64>,
    /// Addresses at which no start order arrives, while polls are answered.
    pub starts_lost_at: BTreeSet<String>,
    /// Addresses at which no stop order arrives, while polls are answered.
    pub stops_lost_at: BTreeSet<String>,
    /// Whether a worker that is cut off shows as it does over real connections: the first call has no
    /// answer, and those after it need a new connection, which is not made in time, so that they are not
    /// sent. Else no call to it has an answer.
    pub cut_workers_take_no_connection: bool,
    /// Instances whose connections to a worker were given up, with its address.
    pub(super) given_up_workers: BTreeSet<(usize, String)>,
    /// Until when a worker does not reach the table, by address.
    pub(super) worker_off_table_until: BTreeMap<String, u64>,
    /// Failure domains of the workers; none are told apart with 0.
    pub(super) domains: u64,
    pub(super) storms: StormRecord,
    /// The only worker that an instance reaches, by instance.
    pub only_reaches: BTreeMap<usize, String>,
    /// Workers that one instance alone reaches, by address, and which.
    pub worker_reached_by: BTreeMap<String, usize>,
    /// What is seen of tasks that last.
    pub lasting: LastingCheck,
    /// Time for which tasks of some jobs work, in milliseconds; that of the others is drawn.
    pub work_ms: BTreeMap<JobId, u64>,
    /// Whether some callers leave when their job is refused, in place of asking again.
    pub callers_leave: bool,
    /// Callers that cancelled a job whose submission had had no answer.
    pub given_up_unanswered: u64,
    /// Events so far.
    pub events: u64,
    /// Starts that workers turned away since their permit had run out.
    pub permit_refusals: u64,
    /// Configurations that instances passed on to peers.
    pub tables_passed: u64,
    /// Messages that each instance sent to peers.
    pub peer_messages: BTreeMap<usize, u64>,
    /// Bytes of them, while links carry all.
    pub peer_bytes: BTreeMap<usize, u64>,
    /// Whether links carry all bytes of an instance, one after the other, both ways.
    pub links_carry_all: bool,
    pub(super) config: SiteConfig,
    /// Versions that answers have shown to be in use.
    pub(super) versions: VersionHistory,
    pub(super) customers: SiteCustomers,
    pub(super) evacuations: SiteEvacuations,
    /// Use of the table, where that is measured.
    pub table_use: Option<TableUse>,
    /// What callers that asked for queues were told.
    pub told: Vec<QueueAnswer>,
    pub(super) silent_lanes: BTreeMap<(usize, usize), SilentLane>,
    /// Whether a call without an answer gives up all connections to that peer, as `HttpClient`
    /// does; else each is given up by itself.
    pub given_up_together: bool,
    /// Milliseconds until callers were told that their job was refused.
    pub refusal_waits_ms: Vec<u64>,
    /// Whether workers answer a look only at an end, or when its wait is over; else at once.
    pub looks_wait: bool,
    /// Whether an order is taken by whichever process listens at its worker's address under the same id, as on a
    /// link that does not tell processes apart.
    pub orders_reach_any_process: bool,
    /// Looks that wait, by the worker's address.
    pub(super) waiting_looks: BTreeMap<String, Vec<WaitingLook>>,
    /// What the leader's steps cost, where that is measured.
    pub costs: Option<StepCosts>,
    /// What callers were told that asked one instance about one job.
    pub answers: Vec<SiteAnswer>,
    /// Optional policies of the instances.
    pub(super) policies: OptionalPolicies,
    /// What callers were told that handed a job in at one instance, once.
    pub submit_answers: Vec<SiteAnswer>,
    /// Lines that instances logged, with the time in milliseconds and the instance, where they are
    /// kept.
    pub lines: Option<Vec<(u64, usize, DecisionLine)>>,
    /// What is seen of a hard load; queues, times of work and callers are those of its kinds then.
    pub(super) load: Option<Box<LoadRecord>>,
}

impl std::fmt::Debug for SiteWorld {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SiteWorld at {} ms", self.now_ms)
    }
}

impl SiteWorld {
    /// Makes a world in which all instances start at once.
    pub fn new(plan: SitePlan) -> Self {
        Self::with_hold_limit(plan, HOLD_LIMIT_MS)
    }

    /// Makes a world whose instances have some of the optional policies. In all others they have none, as the
    /// deploy template calls for none.
    pub fn with_policies(plan: SitePlan, policies: OptionalPolicies) -> Self {
        Self::with_all(plan, HOLD_LIMIT_MS, policies)
    }

    /// The same, with another longest hold than the usual one, in milliseconds.
    pub fn with_hold_limit(plan: SitePlan, max_lease_ms: u64) -> Self {
        Self::with_all(plan, max_lease_ms, OptionalPolicies::default())
    }

    fn with_all(plan: SitePlan, max_lease_ms: u64, policies: OptionalPolicies) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let policy = plan.good_percent.map(|good_percent| SitePolicy {
            good_percent,
            valid_ms: 1_500,
        });
        let mut world = Self {
            rng,
            now_ms: 0,
            next_number: 0,
            queue: BinaryHeap::new(),
            later: BTreeMap::new(),
            nodes: Vec::new(),
            store: SiteStore::default(),
            begins: BTreeMap::new(),
            watches: Vec::new(),
            workers: BTreeMap::new(),
            lives: 0,
            processes: 0,
            restarts: RestartFigures::default(),
            policy,
            refused_queues: BTreeSet::new(),
            slow_advice: None,
            urgent_advice: None,
            advice_turns: BTreeMap::new(),
            advice_refusals: 0,
            specs: BTreeMap::new(),
            calls: BTreeMap::new(),
            shown: BTreeMap::new(),
            rules: RuleBook::default(),
            store_away_until: 0,
            store_silent: false,
            store_disturbed_until: 0,
            store_delay_ms: 0,
            store_turn_ms: 0,
            store_busy_until: BTreeMap::new(),
            links: LinkRecord::default(),
            lost_percent: 0,
            lost_late: false,
            late_orders_percent: 0,
            late_orders_outlive_receivers: false,
            lost_looks_percent: 0,
            fail_percent: 0,
            attempts: 3,
            failing_workers: BTreeSet::new(),
            old_rooms: BTreeMap::new(),
            crashing: BTreeMap::new(),
            crashed_keep_ids: false,
            worker_cut_until: BTreeMap::new(),
            start_answer_ms: None,
            starts_lost_at: BTreeSet::new(),
            stops_lost_at: BTreeSet::new(),
            cut_workers_take_no_connection: false,
            given_up_workers: BTreeSet::new(),
            worker_off_table_until: BTreeMap::new(),
            worker_reached_by: BTreeMap::new(),
            domains: 0,
            storms: StormRecord::default(),
            only_reaches: BTreeMap::new(),
            lasting: LastingCheck::default(),
            work_ms: BTreeMap::new(),
            callers_leave: false,
            given_up_unanswered: 0,
            events: 0,
            permit_refusals: 0,
            tables_passed: 0,
            peer_messages: BTreeMap::new(),
            peer_bytes: BTreeMap::new(),
            links_carry_all: false,
            config: SiteConfig::default(),
            versions: VersionHistory::default(),
            customers: SiteCustomers::default(),
            evacuations: SiteEvacuations::default(),
            table_use: None,
            told: Vec::new(),
            silent_lanes: BTreeMap::new(),
            given_up_together: true,
            refusal_waits_ms: Vec::new(),
            looks_wait: false,
            orders_reach_any_process: false,
            waiting_looks: BTreeMap::new(),
            costs: None,
            answers: Vec::new(),
            policies,
            submit_answers: Vec::new(),
            max_lease_ms,
            max_ends_per_report: MAX_ENDS_PER_REPORT,
            lines: None,
            load: None,
            slow_domain: None,
            plan,
        };
        world.configure(1);
        for number in 0..world.plan.workers {
            world.add_worker(format!("10.9.0.{number}:80"));
        }
        for number in 0..world.plan.entries {
            world.nodes.push(SiteNode::at(number));
            world.start(number);
        }
        world
    }

    /// The time of day, in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        WALL_START + self.now_ms
    }

    pub(super) fn after(&mut self, delay_ms: u64, later: Later) {
        self.next_number += 1;
        let number = self.next_number;
        self.queue.push(Reverse((self.now_ms + delay_ms, number)));
        self.later.insert(number, later);
    }

    /// Runs until a time.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until_ms {
                break;
            }
            self.look_at_lasting(at);
            self.queue.pop();
            self.now_ms = at;
            self.events += 1;
            if let Some(later) = self.later.remove(&number) {
                self.happen(later);
            }
        }
        self.look_at_lasting(until_ms);
        self.now_ms = until_ms;
    }

    pub(super) fn is_life(&self, node: usize, life: u64) -> bool {
        self.nodes[node].life == life && self.nodes[node].core.is_some()
    }

    pub(super) fn happen(&mut self, later: Later) {
        match later {
            Later::Tick { node, life } => {
                if !self.is_life(node, life) {
                    return;
                }
                let wait = self.nodes[node].frozen_until.saturating_sub(self.now_ms);
                if wait > 0 {
                    self.after(wait, Later::Tick { node, life });
                    return;
                }
                for event in std::mem::take(&mut self.nodes[node].parked) {
                    self.deliver(node, event);
                }
                self.deliver(node, CoreEvent::Tick);
                let core = self.nodes[node].core.as_ref();
                let pause = core.map_or(Duration::ZERO, EntryCore::wake_after);
                self.after(pause.as_millis() as u64, Later::Tick { node, life });
            }
            Later::Event { node, life, event } => {
                if self.is_life(node, life) {
                    self.deliver(node, event);
                }
            }
            Later::StoreArrives {
                node,
                life,
                ticket,
                request,
            } => {
                self.store_arrives(node, life, ticket, request);
            }
            Later::LookEnds { address, ticket } => self.end_waiting_looks(&address, Some(ticket)),
            Later::Work { node, life } => self.work(node, life),
            Later::StoreLimit { node, life, ticket } => self.store_limit((node, life, ticket)),
            Later::WatchEnds { node, life, ticket } => self.end_watch(node, life, ticket),
            Later::WorkerArrives {
                node,
                life,
                ticket,
                worker,
                address,
                token,
                call,
                receiver,
            } => {
                let process = self.process_at(&address);
                let outlives = self.late_orders_outlive_receivers;
                let is_gone = receiver.is_some_and(|receiver| {
                    receiver.0 != process && !(outlives && receiver.0.is_some())
                });
                let worker = if is_gone { WorkerId::from("") } else { worker };
                self.evacuations.sender = receiver.is_none().then_some(node);
                let route = match receiver {
                    Some(_) => CallRoute::Received,
                    None => CallRoute::Link,
                };
                let origin = (node, life, ticket);
                self.worker_arrives(origin, &worker, &address, token, &call, route);
                self.evacuations.sender = None;
            }
            Later::WorkerTime { address } => self.worker_time(&address),
            Later::Restart { node } => self.start(node),
            Later::StopCheck { node, life, stop } => self.check_stop(node, life, stop),
            Later::Submit { job, tries } => {
                let spec = self.specs[&job].clone();
                match self.any_node() {
                    Some(node) => {
                        let request = self.submission(node, &spec);
                        let asked_ms = self.now_ms;
                        let call = OpenCall::Submit {
                            job,
                            tries,
                            asked_ms,
                        };
                        self.call(node, call, request);
                    }
                    None => self.after(300, Later::Submit { job, tries }),
                }
            }
            Later::Ask { job } => match self.any_node() {
                Some(node) => {
                    let after_cancel = self.rules.is_cancelled(job);
                    let call = OpenCall::Ask { job, after_cancel };
                    self.call(node, call, CallerRequest::Status { job });
                }
                None => self.after(300, Later::Ask { job }),
            },
            Later::Cancel { job } => self.cancel(job),
            Later::GiveUp { job } => self.give_up_unanswered(job),
            Later::ReviveWorker { address } => self.add_worker(address),
            Later::CutWorker { address, for_ms } => self.cut_worker(&address, for_ms),
            Later::ProcessEnds { address, restart } => self.restart_worker(&address, restart),
            Later::ProcessStarts {
                address,
                worker,
                restart,
            } => self.process_starts(address, &worker, restart),
            Later::TaskCrash { address, task, run } => self.task_crashes(&address, task, run),
            Later::EntryGone { worker } if self.writes_entry(&worker) => {}
            Later::EntryGone { worker } => {
                self.store.set_worker(&worker, None);
                self.answer_watches();
            }
            Later::EntryBack { address, worker } => self.entry_back(&address, &worker),
            Later::Loss(step) => self.take_loss(step),
            Later::Storm(step) => self.take_storm(step),
            Later::ApplyLate { request } => {
                self.store.handle(&request);
                self.answer_watches();
            }
            Later::SendPeer {
                node,
                life,
                to,
                message,
            } => {
                if self.is_life(node, life) {
                    self.send_peer(node, to, message);
                }
            }
        }
    }

    pub(super) fn deliver(&mut self, number: usize, event: CoreEvent) {
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        if node.frozen_until > now {
            node.parked.push(event);
            return;
        }
        if node.processor.step_time.is_some() && node.core.is_some() {
            self.wait_for_processor(number, event);
            return;
        }
        let Some(core) = node.core.as_mut() else {
            return;
        };
        let asleep = match self.plan.broken {
            Some(SiteGuard::BootTime) => node.suspended_ms,
            _ => 0,
        };
        let since = Duration::from_millis(now - node.started_ms - asleep);
        let measured = self.costs.is_some() && core.leads();
        let begun = measured.then(|| (part_of(&event), Instant::now()));
        let actions = core.step(since, WALL_START + now, event);
        if let (Some((part, begun)), Some(costs)) = (begun, self.costs.as_mut()) {
            costs.note(part, begun.elapsed());
        }
        for action in actions {
            self.act(number, action);
        }
    }
}
