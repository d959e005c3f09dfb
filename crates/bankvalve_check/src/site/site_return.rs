//! The end of a randomised run: all instances may be lost once more, and service must be back.

use rand::Rng;

use bankvalve_queue::JobSpec;

use super::{job_of, SiteWorld, QUEUE};

/// Time after the return in which service must be back, in milliseconds.
const RECOVERY_MS: u64 = 15_000;
/// Time that a caller waits for its job's acceptance, in milliseconds.
const PATIENCE_MS: u64 = 3_000;
/// Jobs that show whether service is back.
const JOBS: u64 = 8;
/// Time between two returns where instances come back one by one, in milliseconds.
const RETURN_PACE_MS: u64 = 300;
/// Time for which the strong instances are away longer than the others, in milliseconds: beyond the
/// promise, so that a weak one must lead.
const STRONG_AWAY_MS: u64 = 30_000;
/// Bytes of a job's text in the ledger that a large site begins with: near the longest.
const LONG_PAYLOAD: usize = 3_900;
/// Batches of that ledger: 1.3 MB on their way, 5 s on the thinnest link.
const LONG_BATCHES: u64 = 120;
/// Bytes that the thinnest link carries in a millisecond: 2 Mbit/s.
const THINNEST_LINK: u64 = 250;
/// Bytes of a large configuration on its way.
const LARGE_CONFIG: u64 = 1_500_000;

impl SiteWorld {
    /// Makes links and ledger of a large site those of a troubled one: either a large configuration
    /// on thin links, or the thinnest links.
    pub(super) fn burden(&mut self, seed: u64) {
        self.limit_links();
        self.fill_ledger(LONG_BATCHES, LONG_PAYLOAD);
        if seed % 8 == 3 {
            self.links.config_bytes = LARGE_CONFIG;
            return;
        }
        for node in 0..self.nodes.len() {
            if !self.is_strong(node) {
                self.nodes[node].link_bytes_per_ms = Some(THINNEST_LINK);
            }
        }
    }

    /// Loses all instances, in one of several manners; they come back.
    pub(super) fn lose_all_at_the_end(&mut self, seed: u64) {
        let down_ms = self.rng.random_range(300..2_500);
        // Half of the sites on the thinnest links must do without the strong ones for a while.
        let manner = match seed % 16 {
            7 => 1,
            _ => self.rng.random_range(0..4),
        };
        if manner == 3 {
            // Power fails twice, the second time while the ledger is read.
            self.kill_each(|_, _| down_ms);
            let until = self.now_ms + down_ms + self.rng.random_range(50..1_500);
            self.run_until(until);
        }
        self.kill_each(|world, node| match manner {
            1 if world.is_strong(node) => down_ms + STRONG_AWAY_MS,
            2 => down_ms + RETURN_PACE_MS * node as u64,
            _ => down_ms,
        });
        let last = match manner {
            2 => RETURN_PACE_MS * (self.nodes.len() as u64 - 1),
            _ => 0,
        };
        let until = self.now_ms + down_ms + last;
        self.run_until(until);
    }

    fn kill_each(&mut self, down_ms: impl Fn(&SiteWorld, usize) -> u64) {
        for node in 0..self.nodes.len() {
            let down_ms = down_ms(self, node);
            self.kill(node, down_ms);
        }
    }

    /// Checks the promise, all troubles being over now: jobs handed in when the time for recovery
    /// has passed are accepted in time, and each instance has a configuration.
    pub(super) fn check_return(&mut self, first_job: u64) {
        let until = self.now_ms + RECOVERY_MS;
        self.run_until(until);
        self.callers_leave = false;
        let up = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up());
        let bare = up.filter(|node| self.table_version(*node) == 0).count();
        for job in first_job..first_job + JOBS {
            let spec = JobSpec {
                customer: self.customer_names().first().cloned(),
                ..job_of(job, QUEUE, &[2], false)
            };
            self.submit(spec);
        }
        let until = self.now_ms + PATIENCE_MS;
        self.run_until(until);
        let accepted = self.rules.accepted();
        let jobs = first_job..first_job + JOBS;
        let served = jobs.filter(|job| accepted.contains(job)).count();
        let now = self.now_ms;
        if served < JOBS as usize {
            let leader = self.leader();
            let text = format!("{served} of {JOBS} jobs accepted, leader {leader:?}");
            self.rules.breach("RECOVER", now, &text);
        }
        if bare > 0 {
            let text = format!("{bare} instances have no configuration");
            self.rules.breach("RECOVER", now, &text);
        }
    }
}
