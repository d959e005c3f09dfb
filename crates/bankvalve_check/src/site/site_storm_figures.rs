//! What series of lost workers cost: jobs given up, workers ended, time that healthy tasks lose.

use std::collections::BTreeMap;

use super::{SiteWorld, StormLoss};

/// Time before and after a run's loss in which losses of workers are counted, in milliseconds.
const NEAR_MS: u64 = 3_000;
/// Workers lost in that time from which on the rate is of a higher class: half a worker and two
/// workers a second.
const HIGHER: [usize; 2] = [3, 12];
/// Names of the classes.
const CLASSES: [&str; 3] = ["under 0.5", "0.5 to 2", "over 2"];

/// What was seen in one run or in several.
#[derive(Clone, Debug, Default)]
pub struct StormFigures {
    /// Workers lost, by kind.
    pub played: BTreeMap<StormLoss, u64>,
    /// How often a task that lasts was away so long that its rule had something to judge.
    pub judged: u64,
    /// Jobs without a guilty task that were given up.
    pub bystanders: u64,
    /// Jobs with a guilty task that were given up before it had ended two workers.
    pub early: u64,
    /// Workers that each guilty task ended that ended any.
    pub ended: Vec<u64>,
    /// Time from the loss of a healthy task's run to its next start, in milliseconds, by class of the
    /// rate at which workers are lost, for its first loss and for later ones.
    pub lost_ms: BTreeMap<(usize, bool), Vec<u64>>,
}

impl StormFigures {
    /// What a world shows.
    pub(super) fn of(world: &SiteWorld) -> Self {
        let guilty = |job: u64| world.crashing.keys().any(|task| task.step.job == job);
        let given_up = world.rules.without_cause.iter();
        let (early, bystanders): (Vec<u64>, Vec<u64>) =
            given_up.copied().partition(|job| guilty(*job));
        let ended = world.crashing.keys();
        let ended = ended.map(|task| u64::from(world.rules.crashes_by(*task)));
        let mut figures = Self {
            played: world.storms.played.clone(),
            judged: world.lasting.judged,
            bystanders: bystanders.len() as u64,
            early: early.len() as u64,
            ended: ended.filter(|ended| *ended > 0).collect(),
            lost_ms: BTreeMap::new(),
        };
        for gap in &world.rules.run_gaps {
            if world.crashing.contains_key(&gap.task) {
                continue;
            }
            let near = |at: &&u64| at.abs_diff(gap.from_ms) <= NEAR_MS;
            let near = world.storms.lost_at.iter().filter(near).count();
            let class = HIGHER.iter().filter(|higher| near >= **higher).count();
            let times = figures.lost_ms.entry((class, gap.losses > 1)).or_default();
            times.push(gap.until_ms - gap.from_ms);
        }
        figures
    }

    /// Adds what another run showed.
    pub(super) fn add(&mut self, other: StormFigures) {
        for (kind, count) in other.played {
            *self.played.entry(kind).or_default() += count;
        }
        self.judged += other.judged;
        self.bystanders += other.bystanders;
        self.early += other.early;
        self.ended.extend(other.ended);
        for (class, times) in other.lost_ms {
            self.lost_ms.entry(class).or_default().extend(times);
        }
    }

    /// Prints all; nothing where no series was played.
    pub(super) fn print(&mut self) {
        if self.played.is_empty() {
            return;
        }
        for (kind, count) in &self.played {
            println!("{:<29}{count}", kind.as_str());
        }
        println!("tasks that last judged {} times", self.judged);
        println!(
            "given up without cause: {} bystanders, {} guilty ones too early",
            self.bystanders, self.early
        );
        let (count, sum) = (self.ended.len(), self.ended.iter().sum::<u64>());
        let mean = sum as f64 / count.max(1) as f64;
        let most = self.ended.iter().max().unwrap_or(&0);
        println!("{count} guilty tasks ended {sum} workers, mean {mean:.2}, most {most}");
        println!("workers lost a second, loss of a healthy task: until its next start");
        for ((class, later), times) in &mut self.lost_ms {
            times.sort_unstable();
            let part = |percent: usize| times[(times.len() - 1) * percent / 100] as f64 / 1_000.0;
            let mean = times.iter().sum::<u64>() as f64 / times.len() as f64 / 1_000.0;
            println!(
                "{:<10}{:<6}{:>6} times, mean {mean:.2} s, median {:.2} s, 95 % {:.2} s, most {:.2} s",
                CLASSES[*class],
                if *later { "later" } else { "first" },
                times.len(),
                part(50),
                part(95),
                part(100),
            );
        }
    }
}
