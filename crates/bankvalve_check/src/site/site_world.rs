//! Instances, table, workers, policy and callers in one process, under virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use bankvalve_queue::{
    AdviceRule, CallerAnswer, CallerRequest, CoreAction, CoreEvent, EndKind, EntryCore,
    EntrySettings, JobId, JobSpec, JobState, JobTerms, PeerAddress, QueueRule, QueueTable,
    ResolvedRequest, StepKey, StepSpec, StoreOutcome, StoreRequest, TaskKey, TaskSize, Ticket,
    WorkerAnswer, WorkerEntry, WorkerId,
};
use bankvalve_standin::site::{SitePolicy, SiteStore, SiteWorker, WorkerNews};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::RuleBook;

/// Name of the usual queue.
pub const QUEUE: &str = "batch";
/// Name of the queue that comes first.
pub const URGENT_QUEUE: &str = "urgent";
/// Service of all queues.
const SERVICE: &str = "service";
/// Time of day at the start, in milliseconds since 1970.
const WALL_START: u64 = 1_000_000_000_000;
/// Time that a gang waits for its members.
const GANG_WAIT_MS: u64 = 3_000;
/// How long callers wait for an answer.
const PATIENCE_MS: u64 = 3_000;

/// What a world consists of.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Entry instances.
    pub entries: usize,
    /// Workers.
    pub workers: usize,
    /// Share of workers that the policy finds good, in percent; none without a policy.
    pub good_percent: Option<u64>,
}

/// An entry instance.
#[derive(Debug)]
pub struct SiteNode {
    /// Its address.
    pub address: PeerAddress,
    core: Option<EntryCore>,
    started_ms: u64,
    life: u64,
    /// Until when it stands still.
    pub frozen_until: u64,
    /// Until when the table does not answer it.
    pub cut_from_store_until: u64,
    /// Until when the table turns it away.
    pub turned_away_until: u64,
    /// Until when peers do not reach it.
    pub cut_from_peers_until: u64,
    parked: Vec<CoreEvent>,
}

impl SiteNode {
    /// Whether it runs.
    pub fn is_up(&self) -> bool {
        self.core.is_some()
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.core.as_ref().is_some_and(|core| core.view().leading)
    }
}

/// Something that happens later.
#[derive(Debug)]
enum Later {
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
    },
    WorkerTime {
        address: String,
    },
    Restart {
        node: usize,
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
    ReviveWorker {
        address: String,
    },
    ApplyLate {
        request: StoreRequest,
    },
}

/// A caller's request on its way.
#[derive(Debug)]
enum OpenCall {
    Submit { job: JobId, tries: u32 },
    Ask { job: JobId },
    Cancel { job: JobId },
}

/// The world.
pub struct SiteWorld {
    plan: SitePlan,
    /// Draws all that is left to chance.
    pub rng: Pcg64Mcg,
    /// Virtual time in milliseconds.
    pub now_ms: u64,
    next_number: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    later: BTreeMap<u64, Later>,
    /// The instances.
    pub nodes: Vec<SiteNode>,
    /// The table.
    pub store: SiteStore,
    watches: Vec<(usize, u64, Ticket, StoreRequest)>,
    /// Workers by address; none while one is down.
    pub workers: BTreeMap<String, Option<SiteWorker>>,
    lives: u64,
    policy: Option<SitePolicy>,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    calls: BTreeMap<(usize, Ticket), OpenCall>,
    /// Jobs whose end was shown, with the state.
    pub shown: BTreeMap<JobId, JobState>,
    /// What workers and callers saw.
    pub rules: RuleBook,
    /// Until when the table is away for all, and whether it refuses or is silent.
    pub store_away_until: u64,
    /// Whether it is silent then; else it refuses.
    pub store_silent: bool,
    /// Share of writes whose answer is lost, in percent.
    pub lost_percent: u32,
    /// Whether such writes are done only later.
    pub lost_late: bool,
    /// Share of orders that have no answer and are carried out late, in percent.
    pub late_orders_percent: u32,
    /// Share of runs that fail, in percent.
    pub fail_percent: u32,
    /// Until when a worker is cut off, by address.
    pub worker_cut_until: BTreeMap<String, u64>,
    /// Events so far.
    pub events: u64,
}

impl std::fmt::Debug for SiteWorld {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SiteWorld at {} ms", self.now_ms)
    }
}

impl SiteWorld {
    /// Makes a world in which all instances start at once.
    pub fn new(plan: SitePlan) -> Self {
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
            watches: Vec::new(),
            workers: BTreeMap::new(),
            lives: 0,
            policy,
            specs: BTreeMap::new(),
            calls: BTreeMap::new(),
            shown: BTreeMap::new(),
            rules: RuleBook::default(),
            store_away_until: 0,
            store_silent: false,
            lost_percent: 0,
            lost_late: false,
            late_orders_percent: 0,
            fail_percent: 0,
            worker_cut_until: BTreeMap::new(),
            events: 0,
            plan,
        };
        world.store.configure(world.table(1));
        for number in 0..world.plan.workers {
            world.add_worker(format!("10.9.0.{number}:80"));
        }
        for number in 0..world.plan.entries {
            world.nodes.push(SiteNode {
                address: PeerAddress::from(([10, 1, 0, number as u8], 7_300)),
                core: None,
                started_ms: 0,
                life: 0,
                frozen_until: 0,
                cut_from_store_until: 0,
                turned_away_until: 0,
                cut_from_peers_until: 0,
                parked: Vec::new(),
            });
            world.start(number);
        }
        world
    }

    fn table(&self, version: u64) -> QueueTable {
        let advice = self.plan.good_percent.map(|_| AdviceRule {
            decide_ms: 10.0,
            each_ms: 0.2,
            valid_ms: 1_500,
        });
        let rule = |name: &str, priority: u32| QueueRule {
            name: name.into(),
            host: "host".into(),
            prefix: format!("/{name}/"),
            terms: JobTerms {
                service: SERVICE.into(),
                priority,
                attempts: 3,
                stretch: 2.0,
                target_ms: 500,
                advice,
            },
        };
        let rules = vec![rule(QUEUE, 1), rule(URGENT_QUEUE, 0)];
        QueueTable::new(version, rules, BTreeMap::new())
    }

    /// Starts an instance anew.
    pub fn start(&mut self, number: usize) {
        if self.nodes[number].core.is_some() {
            return;
        }
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        node.life += 1;
        node.started_ms = now;
        let mut settings = EntrySettings::example(node.address);
        settings.life = WALL_START + now + node.life;
        node.core = Some(EntryCore::new(settings));
        let life = node.life;
        self.after(1, Later::Tick { node: number, life });
    }

    /// Kills an instance; it starts again after a time.
    pub fn kill(&mut self, number: usize, down_ms: u64) {
        self.nodes[number].core = None;
        self.nodes[number].parked.clear();
        self.watches.retain(|(node, ..)| *node != number);
        let calls: Vec<(usize, Ticket)> = self.calls.keys().copied().collect();
        for (node, ticket) in calls {
            if node == number {
                self.finish_call(node, ticket, CallerAnswer::Unknown);
            }
        }
        self.after(down_ms, Later::Restart { node: number });
    }

    /// How a job stands in the leader's book, for diagnosis.
    pub fn describe(&self, job: JobId) -> String {
        let leader = self
            .leader()
            .and_then(|node| self.nodes[node].core.as_ref());
        match leader.map(|core| core.book().job(job)) {
            None => "no leader".into(),
            Some(None) => "not known".into(),
            Some(Some(record)) => format!("{:?} {:?}", record.outcome, record.times),
        }
    }

    /// Workers that run tasks of jobs of both kinds that a test tells apart.
    pub fn workers_shared_by(&self, kind: impl Fn(JobId) -> bool) -> usize {
        let both = |worker: &&SiteWorker| {
            let kinds = worker.runs().keys().map(|task| kind(task.step.job));
            kinds.collect::<std::collections::BTreeSet<bool>>().len() > 1
        };
        self.workers.values().flatten().filter(both).count()
    }

    /// Callers' requests without an answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// The time of day, in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        WALL_START + self.now_ms
    }

    /// The operator writes a configuration of a version.
    pub fn configure(&mut self, version: u64) {
        let table = self.table(version);
        self.store.configure(table);
        self.answer_watches();
    }

    /// An instance is given a configuration of a version by a peer.
    pub fn give_table(&mut self, node: usize, version: u64) {
        let table = self.table(version);
        if let Some(core) = self.nodes[node].core.as_mut() {
            core.give_table(table, Vec::new());
        }
    }

    /// Version of the configuration in force at an instance; 0 for none.
    pub fn table_version(&self, node: usize) -> u64 {
        let core = self.nodes[node].core.as_ref();
        core.map_or(0, EntryCore::table_version)
    }

    /// The instance that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(SiteNode::leads)
    }

    /// Asks an instance to stop as planned.
    pub fn stop(&mut self, number: usize) {
        self.deliver(number, CoreEvent::Stop);
    }

    fn add_worker(&mut self, address: String) {
        self.lives += 1;
        let id: WorkerId = format!("w-{}", self.lives).into();
        let entry = WorkerEntry {
            service: SERVICE.into(),
            address: address.clone(),
            domain: "domain".into(),
            labels: vec!["a".into(), format!("r{}", self.lives % 3)],
            room: TaskSize {
                millicores: 4_000,
                memory_mib: 8_000,
                accelerators: 0,
            },
            leaving: false,
            remaining_ms: None,
        };
        self.store.set_worker(&id, Some(entry.clone()));
        let offset = self.rng.random_range(0..100_000);
        let worker = SiteWorker::new(id, entry, offset);
        self.workers.insert(address, Some(worker));
        self.answer_watches();
    }

    /// A worker dies; another life begins at its address after a time.
    pub fn crash_worker(&mut self, address: &str, down_ms: u64) {
        let Some(worker) = self.workers.get_mut(address).and_then(Option::take) else {
            return;
        };
        for (task, run) in worker.runs() {
            let now = self.now_ms;
            self.rules
                .ended(&worker.id, *task, run.run, EndKind::Lost, now);
        }
        self.store.set_worker(&worker.id, None);
        self.answer_watches();
        let address = address.to_owned();
        self.after(down_ms, Later::ReviveWorker { address });
    }

    /// A worker says that it leaves.
    pub fn drain_worker(&mut self, address: &str, remaining_ms: u64) {
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return;
        };
        worker.entry.leaving = true;
        worker.entry.remaining_ms = Some(remaining_ms);
        let (id, entry) = (worker.id.clone(), worker.entry.clone());
        self.store.set_worker(&id, Some(entry));
        self.answer_watches();
    }

    /// A caller hands a job in, and asks how it stands until it is over.
    pub fn submit(&mut self, spec: JobSpec) {
        let spec = Arc::new(spec);
        self.rules.submit(&spec, 3);
        let job = spec.id;
        self.specs.insert(job, spec);
        self.after(1, Later::Submit { job, tries: 0 });
    }

    /// A caller hands a job in at one instance, once.
    pub fn submit_at(&mut self, node: usize, spec: &Arc<JobSpec>) {
        self.rules.submit(spec, 3);
        self.specs.insert(spec.id, spec.clone());
        let job = spec.id;
        let request = self.submission(spec);
        self.call(
            node,
            OpenCall::Submit {
                job,
                tries: u32::MAX,
            },
            request,
        );
    }

    /// A caller cancels a job.
    pub fn cancel(&mut self, job: JobId) {
        match self.any_node() {
            Some(node) => {
                self.call(
                    node,
                    OpenCall::Cancel { job },
                    CallerRequest::Cancel { job },
                );
            }
            None => self.after(300, Later::Cancel { job }),
        }
    }

    fn submission(&self, spec: &Arc<JobSpec>) -> CallerRequest {
        let table = self.table(1);
        let terms = table.queue(&spec.queue).map(|rule| rule.terms.clone());
        CallerRequest::Submit {
            spec: spec.clone(),
            terms: terms.unwrap_or_default(),
        }
    }

    fn any_node(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|number| self.nodes[*number].is_up())
            .collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn call(&mut self, node: usize, call: OpenCall, request: CallerRequest) {
        let Some(core) = self.nodes[node].core.as_mut() else {
            return;
        };
        let ticket = core.new_ticket();
        self.calls.insert((node, ticket), call);
        let request = ResolvedRequest {
            request,
            patience_ms: PATIENCE_MS,
        };
        self.deliver(node, CoreEvent::Caller { ticket, request });
    }

    fn finish_call(&mut self, node: usize, ticket: Ticket, answer: CallerAnswer) {
        let now = self.now_ms;
        match self.calls.remove(&(node, ticket)) {
            Some(OpenCall::Submit { job, tries }) => {
                let accepted = answer == CallerAnswer::Accepted;
                let refused = matches!(answer, CallerAnswer::Refused { .. });
                self.rules.attempt_ended(job, accepted, refused);
                if accepted {
                    self.after(300, Later::Ask { job });
                } else if tries < 12 {
                    let tries = tries + 1;
                    self.after(500, Later::Submit { job, tries });
                }
            }
            Some(OpenCall::Ask { job }) => {
                let state = match answer {
                    CallerAnswer::State(state) => Some(state),
                    CallerAnswer::NoSuchJob => None,
                    CallerAnswer::Unknown | CallerAnswer::Refused { .. } => {
                        self.after(300, Later::Ask { job });
                        return;
                    }
                    other => {
                        let text = format!("{job:016x}: {other:?} in place of its state");
                        self.rules.breach("ANSWER", now, text);
                        return;
                    }
                };
                self.rules.shown(job, state, now);
                match state {
                    Some(JobState::Pending | JobState::Running) => {
                        self.after(300, Later::Ask { job });
                    }
                    Some(state) => {
                        self.shown.insert(job, state);
                    }
                    None => {}
                }
            }
            Some(OpenCall::Cancel { job }) => match answer {
                CallerAnswer::Cancelled => self.rules.cancel_confirmed(job, now),
                CallerAnswer::NoSuchJob => {}
                _ => self.after(300, Later::Cancel { job }),
            },
            None => {}
        }
    }

    fn after(&mut self, delay_ms: u64, later: Later) {
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
            self.queue.pop();
            self.now_ms = at;
            self.events += 1;
            if let Some(later) = self.later.remove(&number) {
                self.happen(later);
            }
        }
        self.now_ms = until_ms;
    }

    fn is_life(&self, node: usize, life: u64) -> bool {
        self.nodes[node].life == life && self.nodes[node].core.is_some()
    }

    fn happen(&mut self, later: Later) {
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
            Later::WatchEnds { node, life, ticket } => self.end_watch(node, life, ticket),
            Later::WorkerArrives {
                node,
                life,
                ticket,
                worker,
                address,
                token,
                call,
            } => {
                self.worker_arrives((node, life, ticket), &worker, &address, token, &call);
            }
            Later::WorkerTime { address } => self.worker_time(&address),
            Later::Restart { node } => self.start(node),
            Later::Submit { job, tries } => {
                let spec = self.specs[&job].clone();
                let request = self.submission(&spec);
                match self.any_node() {
                    Some(node) => self.call(node, OpenCall::Submit { job, tries }, request),
                    None => self.after(300, Later::Submit { job, tries }),
                }
            }
            Later::Ask { job } => match self.any_node() {
                Some(node) => {
                    self.call(node, OpenCall::Ask { job }, CallerRequest::Status { job });
                }
                None => self.after(300, Later::Ask { job }),
            },
            Later::Cancel { job } => self.cancel(job),
            Later::ReviveWorker { address } => self.add_worker(address),
            Later::ApplyLate { request } => {
                self.store.handle(&request);
                self.answer_watches();
            }
        }
    }

    fn deliver(&mut self, number: usize, event: CoreEvent) {
        let now = self.now_ms;
        let node = &mut self.nodes[number];
        if node.frozen_until > now {
            node.parked.push(event);
            return;
        }
        let Some(core) = node.core.as_mut() else {
            return;
        };
        let since = Duration::from_millis(now - node.started_ms);
        let actions = core.step(since, WALL_START + now, event);
        for action in actions {
            self.act(number, action);
        }
    }

    fn act(&mut self, node: usize, action: CoreAction) {
        let life = self.nodes[node].life;
        match action {
            CoreAction::Store {
                ticket, request, ..
            } => {
                let delay = self.rng.random_range(3..8);
                self.after(
                    delay,
                    Later::StoreArrives {
                        node,
                        life,
                        ticket,
                        request,
                    },
                );
            }
            CoreAction::Worker {
                ticket,
                worker,
                address,
                token,
                call,
                ..
            } => {
                let start = matches!(call, bankvalve_queue::WorkerCall::Start(_));
                let late = start && self.rng.random_range(0..100) < self.late_orders_percent;
                let delay = if late {
                    self.rng.random_range(2_000..12_000)
                } else {
                    self.rng.random_range(1..4)
                };
                if late {
                    let event = CoreEvent::Worker {
                        ticket,
                        answer: WorkerAnswer::NoReply,
                    };
                    self.after(350, Later::Event { node, life, event });
                }
                // A late order's answer finds nobody.
                let life = if late { 0 } else { life };
                self.after(
                    delay,
                    Later::WorkerArrives {
                        node,
                        life,
                        ticket,
                        worker,
                        address,
                        token,
                        call,
                    },
                );
            }
            CoreAction::Advice { ticket, ask } => {
                let answer = match &self.policy {
                    Some(policy) => policy.answer(&ask, self.now_ms + 10),
                    None => bankvalve_queue::AdviceAnswer::NoReply,
                };
                self.after(
                    10,
                    Later::Event {
                        node,
                        life,
                        event: CoreEvent::Advice { ticket, answer },
                    },
                );
            }
            CoreAction::Peer { to, message } => self.send_peer(node, to, message),
            CoreAction::Answer { ticket, answer } => self.finish_call(node, ticket, answer),
            CoreAction::UseTable(_) | CoreAction::DecodeTable(_) | CoreAction::Log(_) => {}
        }
    }

    fn send_peer(&mut self, from: usize, to: PeerAddress, message: bankvalve_queue::PeerMessage) {
        let now = self.now_ms;
        let target = self.nodes.iter().position(|node| node.address == to);
        let cut = |node: &SiteNode| node.cut_from_peers_until > now;
        let life = self.nodes[from].life;
        let unreached = |refused| CoreEvent::PeerUnreached { peer: to, refused };
        match target {
            Some(target) if !cut(&self.nodes[from]) && !cut(&self.nodes[target]) => {
                if self.nodes[target].core.is_none() {
                    let event = unreached(true);
                    self.after(
                        2,
                        Later::Event {
                            node: from,
                            life,
                            event,
                        },
                    );
                    return;
                }
                let event = CoreEvent::Peer {
                    from: self.nodes[from].address,
                    message,
                };
                let target_life = self.nodes[target].life;
                let delay = self.rng.random_range(1..4);
                self.after(
                    delay,
                    Later::Event {
                        node: target,
                        life: target_life,
                        event,
                    },
                );
            }
            _ => {
                let event = unreached(false);
                self.after(
                    700,
                    Later::Event {
                        node: from,
                        life,
                        event,
                    },
                );
            }
        }
    }

    fn store_arrives(&mut self, node: usize, life: u64, ticket: Ticket, request: StoreRequest) {
        let now = self.now_ms;
        let cut = self.nodes[node].cut_from_store_until > now;
        let answer = |outcome| CoreEvent::Store { ticket, outcome };
        if cut || (self.store_away_until > now && self.store_silent) {
            let event = answer(StoreOutcome::Lost);
            self.after(700, Later::Event { node, life, event });
            return;
        }
        let turned_away = self.nodes[node].turned_away_until > now;
        if turned_away || self.store_away_until > now {
            let event = answer(StoreOutcome::Busy);
            self.after(4, Later::Event { node, life, event });
            return;
        }
        let write = matches!(request, StoreRequest::Transact { .. });
        if write && self.rng.random_range(0..100) < self.lost_percent {
            let event = answer(StoreOutcome::Lost);
            self.after(700, Later::Event { node, life, event });
            if self.lost_late {
                let delay = self.rng.random_range(1_000..6_000);
                self.after(delay, Later::ApplyLate { request });
            } else {
                self.store.handle(&request);
                self.answer_watches();
            }
            return;
        }
        match self.store.handle(&request) {
            Some(outcome) => {
                let event = answer(outcome);
                self.after(4, Later::Event { node, life, event });
            }
            None => {
                self.watches.push((node, life, ticket, request));
                self.after(1_000, Later::WatchEnds { node, life, ticket });
            }
        }
        if write {
            self.answer_watches();
        }
    }

    fn answer_watches(&mut self) {
        for (node, life, ticket, request) in std::mem::take(&mut self.watches) {
            match self.store.handle(&request) {
                Some(outcome) => {
                    let event = CoreEvent::Store { ticket, outcome };
                    self.after(4, Later::Event { node, life, event });
                }
                None => self.watches.push((node, life, ticket, request)),
            }
        }
    }

    fn end_watch(&mut self, node: usize, life: u64, ticket: Ticket) {
        let Some(place) = self
            .watches
            .iter()
            .position(|watch| watch.2 == ticket && watch.0 == node)
        else {
            return;
        };
        let (_, _, _, request) = self.watches.remove(place);
        let outcome = self.store.unchanged(&request);
        self.after(
            1,
            Later::Event {
                node,
                life,
                event: CoreEvent::Store { ticket, outcome },
            },
        );
    }

    fn worker_arrives(
        &mut self,
        origin: (usize, u64, Ticket),
        meant: &WorkerId,
        address: &str,
        token: u64,
        call: &bankvalve_queue::WorkerCall,
    ) {
        let (node, life, ticket) = origin;
        let now = self.now_ms;
        let cut = self
            .worker_cut_until
            .get(address)
            .is_some_and(|until| *until > now);
        if cut {
            let event = CoreEvent::Worker {
                ticket,
                answer: WorkerAnswer::NoReply,
            };
            self.after(900, Later::Event { node, life, event });
            return;
        }
        let fails = self.rng.random_range(0..100) < self.fail_percent;
        let time = self.rng.random_range(100..1_500);
        let specs = &self.specs;
        let plan = |task: TaskKey| plan_of(specs, task, time, fails);
        let answer = match self.workers.get_mut(address) {
            Some(Some(worker)) if worker.id == *meant => {
                worker.handle(now, token, call, self.policy.as_ref(), plan)
            }
            Some(Some(_)) => WorkerAnswer::OtherLife,
            _ => WorkerAnswer::NotSent,
        };
        self.worker_time(address);
        let event = CoreEvent::Worker { ticket, answer };
        self.after(2, Later::Event { node, life, event });
    }

    /// Lets a worker's runs go on, and checks what happened.
    fn worker_time(&mut self, address: &str) {
        let now = self.now_ms;
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return;
        };
        worker.run_until(now);
        let news = worker.take_news();
        let id = worker.id.clone();
        if !worker.used().fits(&worker.entry.room) {
            let text = format!("{id} holds {:?}", worker.used());
            self.rules.breach("LIMIT", now, text);
        }
        let offset = worker.clock_offset_ms;
        let next = worker
            .runs()
            .values()
            .filter_map(|run| run.ends)
            .map(|(at, _)| (at - offset).max(now + 1))
            .min()
            .unwrap_or(now + 500)
            .min(now + 500);
        if !worker.runs().is_empty() {
            let address = address.to_owned();
            self.after(next - now, Later::WorkerTime { address });
        }
        for entry in news {
            self.take_news(&id, entry);
        }
    }

    fn take_news(&mut self, id: &WorkerId, news: WorkerNews) {
        let now = self.now_ms;
        match news {
            WorkerNews::Started(task, run) => {
                self.rules.started(id, task, run, now);
                self.check_limit(task.step, id);
                self.gang_news(task.step, run, None);
            }
            WorkerNews::Ended(task, run, how) => {
                self.rules.ended(id, task, run, how, now);
                self.gang_news(task.step, run, Some(how));
            }
            WorkerNews::Kept(task, _, how) => self.rules.kept(task, how, now),
        }
    }

    fn check_limit(&mut self, step: StepKey, id: &WorkerId) {
        let spec = &self.specs[&step.job].steps[usize::from(step.step)];
        let limit = spec.per_worker_limit as usize;
        let held = self
            .workers
            .values()
            .flatten()
            .find(|worker| worker.id == *id)
            .map_or(0, |worker| worker.held_of(step));
        if limit > 0 && held > limit {
            let text = format!("{step} has {held} tasks on {id}");
            self.rules.breach("ROUTE", self.now_ms, text);
        }
    }

    /// Begins a gang's work when all members of a run are there, and breaks it when one ends.
    fn gang_news(&mut self, step: StepKey, run: u64, ended: Option<EndKind>) {
        let spec = self.specs[&step.job].steps[usize::from(step.step)].clone();
        if !spec.gang {
            return;
        }
        let now = self.now_ms;
        let members: Vec<(String, TaskKey, u64)> = self
            .workers
            .iter()
            .filter_map(|(address, worker)| Some((address, worker.as_ref()?)))
            .flat_map(|(address, worker)| {
                let runs = worker.runs().iter();
                runs.filter(|(task, live)| task.step == step && live.run == run)
                    .map(|(task, _)| (address.clone(), *task, worker.clock_offset_ms))
                    .collect::<Vec<_>>()
            })
            .collect();
        let work = match ended {
            Some(EndKind::Done) => Some((0, EndKind::Done)),
            Some(_) => Some((0, EndKind::Broken)),
            None if members.len() == spec.count as usize => {
                Some((self.rng.random_range(200..1_200), EndKind::Done))
            }
            None => None,
        };
        let Some(work) = work else {
            return;
        };
        for (address, task, _) in members {
            if let Some(Some(worker)) = self.workers.get_mut(&address) {
                worker.begin_work(task, now, work);
            }
            self.after(work.0 + 1, Later::WorkerTime { address });
        }
    }
}

fn plan_of(
    specs: &BTreeMap<JobId, Arc<JobSpec>>,
    task: TaskKey,
    time: u64,
    fails: bool,
) -> (TaskSize, Option<(u64, EndKind)>) {
    let Some(spec) = specs.get(&task.step.job) else {
        return (TaskSize::default(), Some((time, EndKind::Done)));
    };
    let step = &spec.steps[usize::from(task.step.step)];
    let work = if step.gang {
        // It waits for the others, and gives up.
        (GANG_WAIT_MS, EndKind::Alone)
    } else if fails {
        (time / 2, EndKind::Failed)
    } else {
        (time, EndKind::Done)
    };
    (step.room(), Some(work))
}

/// A job of steps for tests: a count of tasks for each, a gang if asked.
pub fn job_of(id: JobId, queue: &str, counts: &[u32], gang: bool) -> JobSpec {
    let steps = counts.iter().enumerate().map(|(number, count)| StepSpec {
        count: *count,
        size: TaskSize {
            millicores: 1_000,
            memory_mib: 1_000,
            accelerators: 0,
        },
        estimate_ms: 800,
        after: (0..number as u16).collect(),
        gang,
        ..StepSpec::default()
    });
    JobSpec {
        id,
        queue: queue.into(),
        payload: "work".into(),
        steps: steps.collect(),
        ..JobSpec::default()
    }
}
