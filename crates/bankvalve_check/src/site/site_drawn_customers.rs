//! Customers, drawn: keys that come and go, limits that bind and change, callers with wrong keys, and
//! one customer that sends many times what the others do.

use bankvalve_queue::{CustomerName, JobSpec, RunLimit, SiteGuard};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_world::SiteWorld;
use super::{run_episode, SiteBurden, SiteFault, SiteReport};

/// Customers.
const CUSTOMERS: usize = 5;
/// Customers that are never dropped together.
const LEAST_CUSTOMERS: usize = 2;
/// Processor that a customer may use, in millicores, of the 48,000 that there are.
const MILLICORES: std::ops::Range<u64> = 5_000..14_000;
/// Memory that it may use, in MiB, of 96,000.
const MEMORY: std::ops::Range<u64> = 6_000..16_000;
/// What it may use once it was lowered far: less than it has running.
const LOWERED: std::ops::Range<u64> = 1_000..4_000;
/// What it may use at the end, so that each job can end.
const AT_THE_END: u64 = 24_000;
/// Of so many moments something changes at one, on the average.
const CHANGE_EVERY: u32 = 8;
/// Of so many changes, others follow at once upon one.
const SERIES_EVERY: u32 = 4;
/// Of so many jobs one is handed in with a key that never was, and with one that is kept.
const FORGED_EVERY: u32 = 40;
const KEPT_EVERY: u32 = 6;
/// Of so many jobs all but one are of the customer that sends the most.
const HOT_SHARE: u32 = 3;

/// What changes of customers.
#[derive(Debug)]
pub(super) struct DrawnCustomers {
    rng: Pcg64Mcg,
    hot: usize,
    series: u32,
}

impl DrawnCustomers {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6375_7374_6f6d_6572);
        let hot = rng.random_range(0..CUSTOMERS);
        Self {
            rng,
            hot,
            series: 0,
        }
    }

    /// Names all customers in the operator's next version.
    pub(super) fn lay(&mut self, world: &mut SiteWorld) {
        for number in 0..CUSTOMERS {
            let limit = self.drawn_limit();
            world.set_customer(&name_of(number), 2.0, limit);
        }
    }

    fn drawn_limit(&mut self) -> RunLimit {
        let rng = &mut self.rng;
        RunLimit {
            millicores: (rng.random_range(0..5) > 0).then(|| rng.random_range(MILLICORES)),
            memory_mib: (rng.random_range(0..3) > 0).then(|| rng.random_range(MEMORY)),
            accelerators: None,
        }
    }

    /// Changes something in the operator's next version or not; tells whether it did.
    pub(super) fn change(&mut self, world: &mut SiteWorld) -> bool {
        if self.series > 0 {
            self.series -= 1;
        } else if self.rng.random_range(0..CHANGE_EVERY) > 0 {
            return false;
        } else if self.rng.random_range(0..SERIES_EVERY) == 0 {
            self.series = self.rng.random_range(1..4);
        }
        let name = name_of(self.rng.random_range(0..CUSTOMERS));
        match self.rng.random_range(0..8) {
            0 | 1 => world.add_key(&name),
            2 | 3 => {
                // The one that callers use is the newest, which goes with the rest at times.
                world.drop_key(&name);
                if self.rng.random_range(0..2) == 0 {
                    world.add_key(&name);
                }
            }
            4 if world.customer_names().len() > LEAST_CUSTOMERS => world.drop_customer(&name),
            5 => {
                let limit = RunLimit {
                    millicores: Some(self.rng.random_range(LOWERED)),
                    ..RunLimit::default()
                };
                world.set_customer(&name, 2.0, limit);
            }
            _ => {
                let limit = self.drawn_limit();
                world.set_customer(&name, 2.0, limit);
            }
        }
        true
    }

    /// Each customer is there again, with a key, and may run all that it sends.
    pub(super) fn calm(world: &mut SiteWorld) {
        for number in 0..CUSTOMERS {
            let limit = RunLimit {
                millicores: Some(AT_THE_END),
                ..RunLimit::default()
            };
            let name = name_of(number);
            world.set_customer(&name, 2.0, limit);
            world.add_key(&name);
        }
        world.take_newest_keys();
    }

    /// Draws the customer of a job.
    pub(super) fn customer(&mut self) -> CustomerName {
        let hot = self.rng.random_range(0..HOT_SHARE) > 0;
        let number = match hot {
            true => self.hot,
            false => self.rng.random_range(0..CUSTOMERS),
        };
        name_of(number).into()
    }

    /// Draws the key with which a job is handed in, if it is not the newest of its customer.
    pub(super) fn draw_key(&mut self, world: &mut SiteWorld, spec: &JobSpec) {
        if self.rng.random_range(0..FORGED_EVERY) == 0 {
            world.forge_key(spec.id);
        } else if self.rng.random_range(0..KEPT_EVERY) == 0 {
            world.keep_key(spec.id);
        }
    }
}

fn name_of(number: usize) -> String {
    format!("customer-{number}")
}

/// Runs one episode of a site with customers, with a guard taken away if asked.
pub fn run_customer_episode(seed: u64, broken: Option<SiteGuard>) -> SiteReport {
    run_episode(seed, &SiteFault::ALL, broken, SiteBurden::Customers)
}
