//! The operator's evacuations of failure domains, and what is promised of them.

use std::collections::BTreeMap;

use bankvalve_queue::{SiteGuard, TaskKey, WorkerId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_random::{run_episode, SiteBurden, SiteReport};
use super::{SiteFault, SiteWorld};

/// Time in which an evacuation must be in force, in milliseconds: the users' bound.
const EVACUATE_MS: u64 = 5_000;
/// Failure domains of the workers in drawn worlds.
const DOMAINS: u64 = 3;
/// Longest pause from one act of the drawn operator to the next, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 6_000;

/// What the operator has evacuated, and what started there.
#[derive(Debug, Default)]
pub(super) struct SiteEvacuations {
    /// When each evacuated failure domain was evacuated, in milliseconds.
    since: BTreeMap<String, u64>,
    /// Longest time from an evacuation to a start there, in milliseconds, of orders that were not late.
    latest_start_ms: Option<u64>,
    /// Number of evacuations.
    count: u64,
    /// Instance whose call is being handled by a worker; none for a late one.
    pub(super) sender: Option<usize>,
}

impl SiteWorld {
    /// The operator evacuates a failure domain, if the table takes that. Returns whether it did.
    pub fn evacuate(&mut self, domain: &str) -> bool {
        self.write_evacuation(domain, true)
    }

    /// The operator withdraws an evacuation, if the table takes that. Returns whether it did.
    pub fn withdraw_evacuation(&mut self, domain: &str) -> bool {
        self.write_evacuation(domain, false)
    }

    fn write_evacuation(&mut self, domain: &str, evacuated: bool) -> bool {
        let now = self.now_ms;
        if self.store_away_until > now {
            return false;
        }
        if evacuated {
            self.evacuations
                .since
                .entry(domain.to_owned())
                .or_insert(now);
            self.evacuations.count += 1;
        } else {
            self.evacuations.since.remove(domain);
        }
        self.store.evacuate(domain, evacuated);
        self.answer_watches();
        true
    }

    /// Longest time from an evacuation to a start in its failure domain, in milliseconds; none if nothing
    /// started there.
    pub fn latest_evacuated_start_ms(&self) -> Option<u64> {
        self.evacuations.latest_start_ms
    }

    /// Number of runs on the workers of a failure domain.
    pub fn runs_in(&self, domain: &str) -> usize {
        let workers = self.workers.values().flatten();
        let of_domain = workers.filter(|worker| worker.entry.domain == domain);
        of_domain.map(|worker| worker.runs().len()).sum()
    }

    /// No instance in touch starts a task in a failure domain that was evacuated long enough ago.
    pub(super) fn check_evacuated_start(&mut self, id: &WorkerId, task: TaskKey) {
        let Some(sender) = self.evacuations.sender else {
            return;
        };
        let workers = self.workers.values().flatten();
        let worker = workers.into_iter().find(|worker| worker.id == *id);
        let Some(domain) = worker.map(|worker| worker.entry.domain.clone()) else {
            return;
        };
        let Some(since) = self.evacuations.since.get(&domain).copied() else {
            return;
        };
        let now = self.now_ms;
        let late = now - since;
        let latest = &mut self.evacuations.latest_start_ms;
        *latest = (*latest).max(Some(late));
        self.note_troubles();
        if late > EVACUATE_MS && self.is_in_touch(sender) {
            let text = format!("{task} starts on {id} of {domain}, evacuated {late} ms ago");
            self.rules.breach("EVAC", now, &text);
        }
    }
}

/// An operator that evacuates failure domains; it draws by itself, so that its choices depend on the seed
/// alone.
pub(super) struct DrawnEvacuations {
    rng: Pcg64Mcg,
    next_ms: u64,
}

impl DrawnEvacuations {
    pub(super) fn new(seed: u64, first_ms: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x65_76_61_63),
            next_ms: first_ms,
        }
    }

    /// Gives the workers failure domains. Must come before anything runs on them.
    pub(super) fn lay(world: &mut SiteWorld) {
        world.spread_over_domains(DOMAINS);
    }

    /// Evacuates a failure domain or withdraws that, if it is time. Now and then all are evacuated at once.
    pub(super) fn act(&mut self, world: &mut SiteWorld) {
        if world.now_ms < self.next_ms {
            return;
        }
        self.next_ms = world.now_ms + self.rng.random_range(50..LONGEST_PAUSE_MS);
        if self.rng.random_range(0..8) == 0 {
            for number in 0..DOMAINS {
                world.evacuate(&domain(number));
            }
            return;
        }
        let domain = domain(self.rng.random_range(0..DOMAINS));
        let evacuated = world.evacuations.since.contains_key(&domain);
        let others = world.evacuations.since.len() as u64;
        if evacuated && (others == DOMAINS || self.rng.random_range(0..3) > 0) {
            world.withdraw_evacuation(&domain);
        } else {
            world.evacuate(&domain);
        }
    }

    /// Withdraws all evacuations.
    pub(super) fn calm(world: &mut SiteWorld) {
        for number in 0..DOMAINS {
            world.withdraw_evacuation(&domain(number));
        }
    }
}

fn domain(number: u64) -> String {
    format!("domain-{number}")
}

/// Runs one episode in which the operator evacuates failure domains while troubles of the kinds given strike,
/// with a guard taken away if asked.
pub fn run_evacuation_episode(
    seed: u64,
    kinds: &[SiteFault],
    broken: Option<SiteGuard>,
) -> SiteReport {
    run_episode(seed, kinds, broken, SiteBurden::Evacuations)
}
