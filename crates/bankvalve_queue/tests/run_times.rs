//! Learned run times and worker speeds.

use std::time::Duration;

use bankvalve_queue::{
    ExpectedSpeed, RunGroup, RunSample, RunTimeModel, SpeedClass, SpeedPreference, StepTiming,
    WorkerEntry, WorkerGroup, WorkerSpeed,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ESTIMATE: Duration = Duration::from_secs(2);

const BATCH: RunGroup<'_> = RunGroup {
    image: "encode",
    queue: "batch",
};

const NO_WORKER_GROUP: WorkerGroup<'_> = WorkerGroup {
    domain: "d0",
    kind: "",
};

/// A site whose tasks have estimates with a known error, on workers of known speed.
struct SimulatedSite {
    rng: Pcg64Mcg,
    model: RunTimeModel,
    /// Domain, speed and own average of each worker.
    workers: Vec<(&'static str, f64, WorkerSpeed)>,
    group: RunGroup<'static>,
    /// Factor of the usual run time over the estimate.
    usual_factor: f64,
    /// Standard deviation of the logarithm of the error of a step's estimate.
    estimate_spread: f64,
    /// Share of tasks that take seven times as long, in percent.
    long_percent: u32,
    /// Number of tasks of a step.
    step_tasks: u32,
}

impl SimulatedSite {
    fn new(seed: u64, workers: Vec<(&'static str, f64)>) -> Self {
        let workers = workers.into_iter();
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            model: RunTimeModel::default(),
            workers: workers
                .map(|(domain, speed)| (domain, speed, WorkerSpeed::default()))
                .collect(),
            group: BATCH,
            usual_factor: 1.0,
            estimate_spread: 0.5,
            long_percent: 3,
            step_tasks: 8,
        }
    }

    /// Draws from the standard normal distribution.
    fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum();
        sum - 6.0
    }

    /// Runs a step, whose tasks share the error of their estimate, on random workers.
    fn run_step(&mut self) {
        let error = (self.normal() * self.estimate_spread).exp() * self.usual_factor;
        for _ in 0..self.step_tasks {
            let index = self.rng.random_range(0..self.workers.len());
            let long = self.rng.random_range(0..100) < self.long_percent;
            let own = (self.normal() * 0.05).exp() * if long { 7.0 } else { 1.0 };
            let (domain, speed, average) = &mut self.workers[index];
            let sample = RunSample {
                group: self.group,
                tasks: self.step_tasks,
                estimate: ESTIMATE,
                ran: ESTIMATE.mul_f64(error * own / *speed),
                worker: WorkerGroup { domain, kind: "" },
            };
            self.model.record(&sample, average);
        }
    }

    fn run_steps(&mut self, steps: usize) {
        for step in 1..=steps {
            self.run_step();
            if step % 50 == 0 || step == steps {
                let workers = self.workers.iter();
                let groups = workers.map(|(domain, ..)| WorkerGroup { domain, kind: "" });
                self.model.speeds_mut().set_usual(groups);
            }
        }
    }

    fn expected_speed(&self, index: usize) -> ExpectedSpeed {
        let (domain, _, average) = &self.workers[index];
        let group = WorkerGroup { domain, kind: "" };
        self.model.speeds().expected(&group, average)
    }

    /// Returns the expected typical and upper run time on the workers of a domain, on average, as factors of
    /// the estimate.
    fn factors_in(&self, domain: &str) -> (f64, f64) {
        let workers = self.workers.iter().enumerate();
        let of_domain = workers.filter(|(_, worker)| worker.0 == domain);
        let speeds: Vec<f64> = of_domain
            .map(|(index, _)| self.expected_speed(index).slowness)
            .collect();
        let slowness = speeds.iter().sum::<f64>() / speeds.len() as f64;
        let expected = self.model.expected(&self.group, ESTIMATE, slowness);
        let factor = |time: Duration| time.as_secs_f64() / ESTIMATE.as_secs_f64();
        (factor(expected.typical), factor(expected.upper))
    }
}

/// Returns workers of four domains, of which the last has another speed.
fn uneven_workers(of_each: usize) -> Vec<(&'static str, f64)> {
    let domains = [("d1", 1.2), ("d2", 1.2), ("d3", 1.2), ("d4", 0.55)];
    domains
        .into_iter()
        .flat_map(|domain| std::iter::repeat_n(domain, of_each))
        .collect()
}

fn assert_near(found: f64, wanted: f64, percent: f64, what: &str) {
    let off = (found / wanted - 1.0).abs() * 100.0;
    assert!(
        off <= percent,
        "{what}: {found:.3}, expected {wanted:.3} within {percent} percent"
    );
}

#[test]
fn without_measurements_the_estimate_is_expected() {
    // A site that has just begun must not expect anything else than its callers.
    let model = RunTimeModel::default();
    let expected = model.expected(&BATCH, ESTIMATE, 0.0);
    assert_eq!(expected.typical, ESTIMATE);
    assert!(expected.upper > ESTIMATE && expected.upper < ESTIMATE * 3);
    assert_eq!(
        model.expected(&BATCH, Duration::ZERO, 1.0).upper,
        Duration::ZERO
    );
}

#[test]
fn the_usual_error_of_noisy_estimates_is_learned() {
    for seed in 0..5 {
        let mut site = SimulatedSite::new(seed, vec![("d1", 1.0); 40]);
        site.usual_factor = 1.6;
        site.long_percent = 0;
        site.run_steps(400);
        let (typical, upper) = site.factors_in("d1");
        assert_near(typical, 1.6, 15.0, "median");
        assert_near(upper, 1.6 * (1.2816_f64 * 0.5).exp(), 20.0, "0.9 quantile");
    }
}

#[test]
fn few_tasks_that_take_seven_times_as_long_do_not_raise_what_is_typical() {
    // A mean of the logarithm would rise by six percent, and a mean of the run time by 18.
    let mut site = SimulatedSite::new(7, vec![("d1", 1.0); 40]);
    site.estimate_spread = 0.1;
    site.run_steps(600);
    let (typical, upper) = site.factors_in("d1");
    assert_near(typical, 1.0, 4.0, "median");
    assert!(upper < 1.3, "upper {upper}");
    // Of 40 tasks that start together, one takes seven times as long with a probability of 0.7.
    let all = site.model.expected_of_all(&BATCH, ESTIMATE, 0.0, 40);
    assert!(all > ESTIMATE * 5, "time of 40 tasks: {all:?}");
}

#[test]
fn a_run_beyond_its_usual_time_is_expected_to_take_long() {
    // Without the tail, such a run would be expected to end at once, and capacity planned on it.
    let mut site = SimulatedSite::new(8, vec![("d1", 1.0); 40]);
    site.estimate_spread = 0.1;
    site.run_steps(600);
    let remaining = |ran| site.model.remaining(&BATCH, ESTIMATE, 0.0, ran).typical;
    assert_near(
        remaining(Duration::ZERO).as_secs_f64(),
        2.0,
        5.0,
        "of a new run",
    );
    assert!(remaining(ESTIMATE / 2) < ESTIMATE * 6 / 10);
    assert!(remaining(ESTIMATE * 2) > ESTIMATE * 2);
}

#[test]
fn the_speed_of_a_slow_domain_is_separated_from_the_error_of_estimates() {
    for seed in 0..5 {
        let mut site = SimulatedSite::new(seed, uneven_workers(40));
        site.usual_factor = 1.3;
        site.run_steps(600);
        let (fast, _) = site.factors_in("d1");
        let (slow, _) = site.factors_in("d4");
        assert_near(slow / fast, 1.2 / 0.55, 15.0, "difference of the domains");
        assert_near(fast, 1.3 / 1.2, 20.0, "on a fast worker");
        assert_near(slow, 1.3 / 0.55, 20.0, "on a slow worker");
        let classes: Vec<i64> = (0..160)
            .map(|index| site.expected_speed(index).class)
            .collect();
        assert!(
            classes[..120].iter().all(|class| *class == classes[0]),
            "{classes:?}"
        );
        assert!(
            classes[120..].iter().all(|class| *class >= classes[0] + 2),
            "{classes:?}"
        );
    }
}

#[test]
fn a_new_worker_in_a_slow_domain_starts_out_as_slow() {
    let mut site = SimulatedSite::new(3, uneven_workers(40));
    site.run_steps(400);
    let group = WorkerGroup {
        domain: "d4",
        kind: "",
    };
    let expected = site
        .model
        .speeds()
        .expected(&group, &WorkerSpeed::default());
    assert_eq!(expected.class, site.expected_speed(159).class);
    assert!(expected.slowness > 0.4, "{expected:?}");
    // In a domain that is not known yet, it counts as usual.
    let elsewhere = WorkerGroup {
        domain: "d9",
        kind: "",
    };
    let speeds = site.model.speeds();
    let expected = speeds.expected(&elsewhere, &WorkerSpeed::default());
    assert!(expected.slowness.abs() < 1e-9, "{expected:?}");
}

#[test]
fn a_degraded_worker_is_told_from_its_domain() {
    let mut workers = vec![("d1", 1.0); 40];
    workers[0].1 = 1.0 / 3.0;
    let mut site = SimulatedSite::new(4, workers);
    site.run_steps(400);
    assert!(site.expected_speed(0).class >= 3);
    assert!((1..40).all(|index| site.expected_speed(index).class == 0));
}

#[test]
fn workers_of_a_uniform_site_are_all_of_one_class() {
    // If chance put workers into classes, a uniform site would pack its workers worse than without classes.
    for seed in 0..4 {
        for estimate_spread in [0.2, 0.7] {
            for step_tasks in [1, 3, 25, 100] {
                let workers = (0..90).map(|index| (["d1", "d2", "d3"][index / 30], 1.0));
                let mut site = SimulatedSite::new(seed, workers.collect());
                site.estimate_spread = estimate_spread;
                site.step_tasks = step_tasks;
                for _ in 0..8 {
                    site.run_steps(3_000 / step_tasks as usize);
                    let others = (0..90).filter(|index| site.expected_speed(*index).class != 0);
                    let count = others.count();
                    assert!(
                        count == 0,
                        "seed {seed}, spread {estimate_spread}, {step_tasks} tasks: {count} workers"
                    );
                }
            }
        }
    }
}

#[test]
fn an_image_with_few_samples_is_expected_to_behave_like_its_queue() {
    let mut site = SimulatedSite::new(5, vec![("d1", 1.0); 40]);
    site.usual_factor = 2.0;
    site.run_steps(300);
    let other = RunGroup {
        image: "another",
        ..BATCH
    };
    let factor_of = |model: &RunTimeModel| {
        let expected = model.expected(&other, ESTIMATE, 0.0).typical;
        expected.as_secs_f64() / ESTIMATE.as_secs_f64()
    };
    let of_queue = factor_of(&site.model);
    assert_near(of_queue, 2.0, 15.0, "without a sample of the image");
    // A single sample changes little.
    let mut worker = WorkerSpeed::default();
    let sample = RunSample {
        group: other,
        tasks: 1,
        estimate: ESTIMATE,
        ran: ESTIMATE / 4,
        worker: NO_WORKER_GROUP,
    };
    site.model.record(&sample, &mut worker);
    assert_near(factor_of(&site.model), of_queue, 40.0, "after one sample");
    site.group = other;
    site.usual_factor = 0.25;
    site.run_steps(300);
    let learned = factor_of(&site.model);
    assert!(learned < 0.6, "after many samples: {learned}");
}

#[test]
fn the_model_follows_a_change_of_the_estimates() {
    let mut site = SimulatedSite::new(6, vec![("d1", 1.0); 40]);
    site.step_tasks = 1;
    site.run_steps(4_000);
    site.usual_factor = 3.0;
    site.run_steps(4_000);
    let (typical, _) = site.factors_in("d1");
    assert_near(typical, 3.0, 15.0, "after the change");
}

#[test]
fn the_number_of_groups_is_bounded() {
    // Callers choose the names of images. Each name must not take memory forever.
    let mut model = RunTimeModel::default();
    let mut worker = WorkerSpeed::default();
    for number in 0..2_000 {
        let image = format!("image-{number}");
        let domain = format!("domain-{number}");
        let sample = RunSample {
            group: RunGroup {
                image: &image,
                queue: "batch",
            },
            tasks: 1,
            estimate: ESTIMATE,
            ran: ESTIMATE,
            worker: WorkerGroup {
                domain: &domain,
                kind: "",
            },
        };
        model.record(&sample, &mut worker);
    }
    let measured = model.measured(usize::MAX);
    assert!(measured.runs.len() <= 201, "{}", measured.runs.len());
    assert!(measured.workers.len() <= 128, "{}", measured.workers.len());
}

#[test]
fn the_kind_of_a_worker_is_its_first_label_unless_that_is_its_rack() {
    let mut entry = WorkerEntry {
        domain: "d1".into(),
        labels: vec!["large".into(), "rack-7".into()],
        ..WorkerEntry::default()
    };
    assert_eq!(WorkerGroup::of(&entry).kind, "large");
    entry.labels = vec!["rack-7".into()];
    assert_eq!(WorkerGroup::of(&entry).kind, "");
}

const FAST: SpeedClass = SpeedClass {
    class: -1,
    slowness: -0.2,
};
const SLOW: SpeedClass = SpeedClass {
    class: 2,
    slowness: 0.6,
};

/// Returns the preference of a step whose tasks must end within a multiple of their estimate.
fn preference(
    model: &RunTimeModel,
    classes: &[SpeedClass],
    tasks: usize,
    time: f64,
) -> SpeedPreference {
    let timing = StepTiming {
        group: BATCH,
        estimate: ESTIMATE,
        tasks,
        time: ESTIMATE.mul_f64(time),
    };
    SpeedPreference::of(model, classes, &timing)
}

#[test]
fn a_step_takes_the_slowest_workers_on_which_it_ends_in_time() {
    let mut site = SimulatedSite::new(9, vec![("d1", 1.0); 40]);
    site.estimate_spread = 0.1;
    site.run_steps(600);
    let of = |tasks, time| preference(&site.model, &[FAST, SLOW], tasks, time);
    // With much slack, it leaves the fast workers to others.
    assert_eq!(of(1, 20.0), SpeedPreference::UpTo(SLOW.class));
    // A single task usually ends in time on a slow worker, though not if it takes seven times as long.
    assert_eq!(of(1, 3.0), SpeedPreference::UpTo(SLOW.class));
    // It ends in time only on a fast one.
    assert_eq!(of(1, 1.3), SpeedPreference::UpTo(FAST.class));
    // One of many tasks takes seven times as long, which ends in time only on a fast worker.
    assert_eq!(of(25, 8.0), SpeedPreference::UpTo(FAST.class));
    // It ends in time nowhere.
    assert_eq!(of(1, 0.1), SpeedPreference::UpTo(SLOW.class));
}

#[test]
fn workers_of_one_class_are_not_preferred_to_each_other() {
    let model = RunTimeModel::default();
    let any = preference(&model, &[FAST], 1, 3.0);
    assert_eq!(any, SpeedPreference::Any);
    assert_eq!(any.rank(0), any.rank(3));
    assert_eq!(SpeedPreference::fastest(&[SLOW]), SpeedPreference::Any);
}

#[test]
fn the_wanted_class_comes_first_and_slower_ones_last() {
    let mut classes = [-1, 0, 1, 2, 3];
    classes.sort_by_key(|class| SpeedPreference::UpTo(1).rank(*class));
    assert_eq!(classes, [1, 0, -1, 2, 3]);
}

#[test]
fn a_gang_takes_workers_of_one_speed_if_they_have_room_for_all_its_members() {
    // A gang of some fast and some slow workers would keep the fast ones busy until the slow ones end.
    let fastest = SpeedPreference::UpTo(-1);
    let of = |rooms: &[(i64, usize)]| fastest.for_gang(20, rooms.iter().copied());
    assert_eq!(
        of(&[(2, 30), (-1, 10), (-1, 10)]),
        SpeedPreference::UpTo(-1)
    );
    // The fast ones have not enough room, so that it takes the slow ones first.
    assert_eq!(of(&[(2, 30), (-1, 10), (-1, 9)]), SpeedPreference::UpTo(2));
    // Nor have all.
    assert_eq!(of(&[(2, 3), (-1, 10)]), fastest);
    // With slack, it does not take faster ones than it needs.
    let slow = SpeedPreference::UpTo(2).for_gang(20, [(-1, 40), (2, 40)].into_iter());
    assert_eq!(slow, SpeedPreference::UpTo(2));
}

#[test]
fn a_new_leader_continues_with_the_measurements_of_the_one_before() {
    let mut site = SimulatedSite::new(11, uneven_workers(40));
    site.usual_factor = 1.5;
    site.run_steps(600);
    let bytes = rmp_serde::to_vec(&site.model.measured(8_192)).expect("it can be encoded");
    let measured = rmp_serde::from_slice(&bytes).expect("it can be read");
    let model = RunTimeModel::inherited(&measured);
    let before = site.model.expected(&BATCH, ESTIMATE, 0.0);
    let after = model.expected(&BATCH, ESTIMATE, 0.0);
    let factor = |time: Duration| time.as_secs_f64() / ESTIMATE.as_secs_f64();
    assert_near(
        factor(after.typical),
        factor(before.typical),
        10.0,
        "median",
    );
    assert_near(
        factor(after.upper),
        factor(before.upper),
        15.0,
        "0.9 quantile",
    );
    let group = WorkerGroup {
        domain: "d4",
        kind: "",
    };
    let slowness = model.speeds().slowness(&group, &WorkerSpeed::default());
    assert!(slowness > 0.3, "of a worker in the slow domain: {slowness}");
}

#[test]
fn what_is_sent_to_standbys_is_bounded_in_bytes() {
    // Callers choose the names of images. Long ones must not fill the links of small instances.
    let mut model = RunTimeModel::default();
    let mut worker = WorkerSpeed::default();
    for number in 0..150 {
        for _ in 0..=number {
            let image = format!("{number}-{}", "x".repeat(number));
            let sample = RunSample {
                group: RunGroup {
                    image: &image,
                    queue: "batch",
                },
                tasks: 1,
                estimate: ESTIMATE,
                ran: ESTIMATE,
                worker: WorkerGroup {
                    domain: &image,
                    kind: &image,
                },
            };
            model.record(&sample, &mut worker);
        }
    }
    for max_bytes in [0, 500, 8_192] {
        let measured = model.measured(max_bytes);
        let bytes = rmp_serde::to_vec(&measured).expect("it can be encoded");
        // The lists themselves take a few bytes besides their entries.
        assert!(bytes.len() <= max_bytes + 16, "{} bytes", bytes.len());
    }
    // The groups with the most measurements come first.
    let sent = model.measured(8_192);
    assert_eq!(sent.runs[0].name, "batch");
    assert!(sent.runs[1].name.starts_with("149-"));
}

#[test]
fn measurements_that_make_no_sense_are_not_taken_over() {
    // A peer of another version may keep another number of quantiles.
    let mut site = SimulatedSite::new(12, vec![("d1", 1.0); 4]);
    site.run_steps(50);
    let mut measured = site.model.measured(8_192);
    for group in &mut measured.runs {
        group.quantiles.truncate(3);
    }
    for group in &mut measured.workers {
        group.slowness = f64::NAN;
    }
    let model = RunTimeModel::inherited(&measured);
    assert_eq!(model.expected(&BATCH, ESTIMATE, 0.0).typical, ESTIMATE);
    let group = WorkerGroup {
        domain: "d1",
        kind: "",
    };
    assert_eq!(
        model.speeds().slowness(&group, &WorkerSpeed::default()),
        0.0
    );
}
