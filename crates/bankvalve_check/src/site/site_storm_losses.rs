//! Series of lost workers: how one is lost, how many at once, and what comes of it in the world.

use std::collections::BTreeMap;

use bankvalve_queue::WorkerId;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_crashes::LONG_ENTRY_MS;
use super::site_world::{Later, SiteWorld};

/// Service of which no queue knows.
const OTHER_SERVICE: &str = "other";
/// Time for which the address of a worker that ended refuses until another life comes there, in
/// milliseconds.
const REBORN_MS: std::ops::Range<u64> = 200..8_000;
/// Time for which a worker is dark or cut off, in milliseconds: up to some more than the longest hold.
const SILENT_MS: std::ops::Range<u64> = 500..13_000;
/// Time from a cut until the worker's life ends behind it, in milliseconds.
const BEHIND_MS: std::ops::Range<u64> = 0..2_000;
/// Notice of a worker that leaves, in milliseconds.
const NOTICE_MS: std::ops::Range<u64> = 500..4_000;
/// Time until a new worker comes for one that is gone, in milliseconds.
const NEW_WORKER_MS: std::ops::Range<u64> = 4_000..14_000;
/// Largest share of the workers that one strike takes, in percent.
const MOST_PERCENT: usize = 40;
/// Workers that are left in reach at least, as a divisor of all that there were.
const LEFT_SHARE: usize = 3;

/// How a worker of a series is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StormLoss {
    /// It ends, its port refuses, and another life comes at its address.
    Reborn,
    /// It ends for good, and its port refuses.
    GoneRefusing,
    /// It ends for good, and its port is silent.
    GoneSilent,
    /// Its machine has no power for a time: it is silent, and back as another life.
    Dark,
    /// No instance reaches it for a time; it runs on.
    Cut,
    /// The same, and it does not reach the table either.
    CutFromAll,
    /// It is cut off, and its life ends behind the cut: it is silent, then another life answers.
    CutAndReborn,
    /// It says that it leaves, and is gone then.
    Leaves,
    /// Its entry is gone for a time, while it runs on and answers.
    EntryGone,
    /// It ends, and a worker of another service comes at its address.
    OtherService,
}

impl StormLoss {
    /// All kinds.
    pub const ALL: [StormLoss; 10] = [
        StormLoss::Reborn,
        StormLoss::GoneRefusing,
        StormLoss::GoneSilent,
        StormLoss::Dark,
        StormLoss::Cut,
        StormLoss::CutFromAll,
        StormLoss::CutAndReborn,
        StormLoss::Leaves,
        StormLoss::EntryGone,
        StormLoss::OtherService,
    ];

    /// Name in tables.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bankvalve_check::site::StormLoss::Dark.as_str(), "dark for a time");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            StormLoss::Reborn => "ended, then reborn",
            StormLoss::GoneRefusing => "gone, port refuses",
            StormLoss::GoneSilent => "gone, port silent",
            StormLoss::Dark => "dark for a time",
            StormLoss::Cut => "cut from instances",
            StormLoss::CutFromAll => "cut from all",
            StormLoss::CutAndReborn => "cut and reborn",
            StormLoss::Leaves => "leaves, then gone",
            StormLoss::EntryGone => "entry gone, serves on",
            StormLoss::OtherService => "address to other service",
        }
    }
}

/// Workers that one strike takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StormWidth {
    /// One.
    One,
    /// All of a failure domain.
    Domain,
    /// Any, up to a large share.
    Share,
}

/// A part of a series that is carried out at its time.
#[derive(Clone, Debug)]
pub(super) enum StormStep {
    /// Workers are lost; which of them, and for how long, goes by a seed.
    Strike {
        how: StormLoss,
        width: StormWidth,
        seed: u64,
    },
    /// A life ends, if it is still there, and another comes after a time; never without one.
    LifeEnds {
        address: String,
        worker: WorkerId,
        reborn_ms: Option<u64>,
    },
    /// A worker of another service comes.
    OtherService { address: String },
    /// The table is away.
    TableAway { for_ms: u64, silent: bool },
}

/// What series took so far.
#[derive(Debug, Default)]
pub(super) struct StormRecord {
    /// Workers lost, by kind.
    pub(super) played: BTreeMap<StormLoss, u64>,
    /// When workers were lost, for any cause, in milliseconds.
    pub(super) lost_at: Vec<u64>,
}

impl SiteWorld {
    /// Spreads all workers over so many failure domains, those that come later as well.
    pub fn spread_over_domains(&mut self, count: u64) {
        self.domains = count;
        let addresses: Vec<String> = self.workers.keys().cloned().collect();
        for address in addresses {
            let domain = self.domain_of(&address);
            if let Some(Some(worker)) = self.workers.get_mut(&address) {
                worker.entry.domain = domain;
            }
            self.write_entry(&address);
        }
    }

    /// Failure domain of an address.
    pub fn domain_of(&self, address: &str) -> String {
        let host = address.split(':').next().unwrap_or_default();
        let number = host.rsplit('.').next().and_then(|last| last.parse().ok());
        let number: u64 = number.unwrap_or(0);
        match number.checked_rem(self.domains) {
            Some(number) => format!("domain-{number}"),
            None => "domain".into(),
        }
    }

    pub(super) fn take_storm(&mut self, step: StormStep) {
        match step {
            StormStep::Strike { how, width, seed } => {
                let mut rng = Pcg64Mcg::seed_from_u64(seed);
                for address in self.storm_targets(width, &mut rng) {
                    *self.storms.played.entry(how).or_default() += 1;
                    self.storms.lost_at.push(self.now_ms);
                    self.lose_in_storm(&address, how, &mut rng);
                }
            }
            StormStep::LifeEnds {
                address,
                worker,
                reborn_ms,
            } => {
                if self.life_at(&address).as_ref() == Some(&worker) {
                    self.end_worker_life(&address, LONG_ENTRY_MS);
                    if let Some(reborn_ms) = reborn_ms {
                        self.after(reborn_ms, Later::ReviveWorker { address });
                    }
                }
            }
            StormStep::OtherService { address } => {
                self.add_worker(address.clone());
                if let Some(Some(worker)) = self.workers.get_mut(&address) {
                    worker.entry.service = OTHER_SERVICE.into();
                }
                self.write_entry(&address);
            }
            StormStep::TableAway { for_ms, silent } => {
                self.store_away_until = self.store_away_until.max(self.now_ms + for_ms);
                self.store_silent = silent;
            }
        }
    }

    fn life_at(&self, address: &str) -> Option<WorkerId> {
        let worker = self.workers.get(address).and_then(Option::as_ref);
        worker.map(|worker| worker.id.clone())
    }

    /// Addresses of workers that are in reach, stay, and are of the service.
    fn sound_workers(&self) -> Vec<String> {
        let now = self.now_ms;
        let reached = |address: &String| {
            let until = self.worker_cut_until.get(address);
            until.is_none_or(|until| *until <= now)
        };
        let workers = self.workers.iter();
        let workers = workers.filter(|(address, worker)| {
            let stays = |worker: &bankvalve_standin::site::SiteWorker| {
                !worker.entry.leaving && worker.entry.service != OTHER_SERVICE
            };
            worker.as_ref().is_some_and(stays) && reached(address)
        });
        workers.map(|(address, _)| address.clone()).collect()
    }

    fn storm_targets(&self, width: StormWidth, rng: &mut Pcg64Mcg) -> Vec<String> {
        let mut sound = self.sound_workers();
        let spare = sound
            .len()
            .saturating_sub(self.plan.workers.div_ceil(LEFT_SHARE));
        let most = (self.plan.workers * MOST_PERCENT / 100).max(1);
        sound.shuffle(rng);
        match width {
            StormWidth::One => sound.truncate(spare.min(1)),
            StormWidth::Share => sound.truncate(spare.min(rng.random_range(1..=most))),
            StormWidth::Domain => {
                let struck = sound.first().map(|address| self.domain_of(address));
                sound.retain(|address| Some(self.domain_of(address)) == struck);
                sound.truncate(spare.min(most));
            }
        }
        sound
    }

    fn lose_in_storm(&mut self, address: &str, how: StormLoss, rng: &mut Pcg64Mcg) {
        let Some(worker) = self.life_at(address) else {
            return;
        };
        let now = self.now_ms;
        let silent_ms = rng.random_range(SILENT_MS);
        let reborn_ms = rng.random_range(REBORN_MS);
        let address = address.to_owned();
        let revive = |address| Later::ReviveWorker { address };
        let mut gone = false;
        match how {
            StormLoss::Reborn => {
                self.end_worker_life(&address, LONG_ENTRY_MS);
                self.after(reborn_ms, revive(address));
            }
            StormLoss::GoneRefusing | StormLoss::GoneSilent => {
                self.lose_worker(&address, how == StormLoss::GoneSilent);
                gone = true;
            }
            StormLoss::Dark => {
                self.end_worker_life(&address, LONG_ENTRY_MS);
                self.worker_cut_until
                    .insert(address.clone(), now + silent_ms);
                self.after(silent_ms, revive(address));
            }
            StormLoss::Cut | StormLoss::CutFromAll => {
                if how == StormLoss::CutFromAll {
                    self.detach_worker(&address, Some(silent_ms));
                }
                self.worker_cut_until.insert(address, now + silent_ms);
            }
            StormLoss::CutAndReborn => {
                self.worker_cut_until
                    .insert(address.clone(), now + silent_ms);
                let behind_ms = rng.random_range(BEHIND_MS).min(silent_ms);
                let reborn_ms = Some(reborn_ms.min(silent_ms - behind_ms));
                let step = StormStep::LifeEnds {
                    address,
                    worker,
                    reborn_ms,
                };
                self.after(behind_ms, Later::Storm(step));
            }
            StormLoss::Leaves => {
                let notice_ms = rng.random_range(NOTICE_MS);
                self.drain_worker(&address, notice_ms);
                let step = StormStep::LifeEnds {
                    address,
                    worker,
                    reborn_ms: None,
                };
                self.after(notice_ms, Later::Storm(step));
                gone = true;
            }
            StormLoss::EntryGone => self.detach_worker(&address, Some(silent_ms)),
            StormLoss::OtherService => {
                self.end_worker_life(&address, LONG_ENTRY_MS);
                let step = StormStep::OtherService { address };
                self.after(reborn_ms, Later::Storm(step));
                gone = true;
            }
        }
        if gone {
            let new_ms = rng.random_range(NEW_WORKER_MS);
            self.after(new_ms, Later::Loss(super::site_losses::LossStep::NewWorker));
        }
    }
}
