//! An operator that changes the configuration, and callers that ask for queues, both drawn.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{SiteWorld, QUEUE};

/// Queues that come and go.
const EXTRA_QUEUES: u32 = 4;
/// Of so many moments the operator writes at one, on the average.
const WRITE_EVERY: u32 = 12;
/// Of so many times that it writes, it goes on in quick succession at one.
const SERIES_EVERY: u32 = 4;
/// Most versions of such a series.
const SERIES_LENGTH: u32 = 6;
/// Of so many moments a caller asks for a queue at one.
const ASK_EVERY: u32 = 3;
/// Size of a large configuration at most, in bytes: what was seen, 1.1 MB.
const LARGE_BYTES: usize = 1_100_000;

/// The operator; it draws by itself, so that its choices depend on the seed alone.
pub(super) struct DrawnOperator {
    rng: Pcg64Mcg,
    /// Newest version.
    version: u64,
    /// Versions written.
    pub(super) written: u64,
    series: u32,
    large: bool,
}

impl DrawnOperator {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(!seed),
            version: 1,
            written: 0,
            series: 0,
            large: false,
        }
    }

    /// Configurations are large, and links carry all, one after the other.
    pub(super) fn write_large(&mut self, world: &mut SiteWorld) {
        self.large = true;
        world.links_carry_all = true;
    }

    /// Writes a version or not; a caller asks for a queue or not.
    pub(super) fn act(&mut self, world: &mut SiteWorld) {
        if self.series > 0 {
            self.series -= 1;
            self.write(world);
        } else if self.rng.random_range(0..WRITE_EVERY) == 0 {
            if self.rng.random_range(0..SERIES_EVERY) == 0 {
                self.series = self.rng.random_range(1..SERIES_LENGTH);
            }
            self.write(world);
        }
        if self.rng.random_range(0..ASK_EVERY) == 0 {
            let queue = match self.rng.random_range(0..EXTRA_QUEUES + 2) {
                0 => QUEUE.to_owned(),
                1 => "none".to_owned(),
                number => extra_queue(number - 2),
            };
            if let Some(node) = world.any_node() {
                world.ask_queue(node, &queue);
            }
        }
    }

    /// Writes what is laid out for the next version.
    pub(super) fn write_now(&mut self, world: &mut SiteWorld) {
        self.version += 1;
        self.written += 1;
        world.configure(self.version);
    }

    fn write(&mut self, world: &mut SiteWorld) {
        self.version += self.rng.random_range(1..4);
        let queue = extra_queue(self.rng.random_range(0..EXTRA_QUEUES));
        if self.rng.random_range(0..3) == 0 {
            world.drop_queue(&queue);
        } else {
            world.add_queue(&queue, 1);
        }
        if self.large {
            world.set_config_bytes(self.rng.random_range(1_000..LARGE_BYTES));
        }
        self.written += 1;
        world.configure(self.version);
    }
}

fn extra_queue(number: u32) -> String {
    format!("added-{number}")
}
