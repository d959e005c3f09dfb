//! The admission forecast: how long work waits, and which jobs are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_queue::{
    AdmissionForecast, BacklogView, CoreTime, ForecastRefusal, JobSize, TaskSize, WaitingWork,
};

/// Cores of the site in these tests.
const CORES: f64 = 1_000.0;
/// Time between two updates.
const STEP_MS: u64 = 100;

const URGENT: u32 = 0;
const GANGS: u32 = 1;
const BATCHES: u32 = 2;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A job of so many core-seconds whose chain takes six seconds and whose objective is fifteen.
fn gang(core_seconds: f64) -> JobSize {
    JobSize {
        core_seconds,
        chain: secs(6.0),
        objective: secs(15.0),
        slack: secs(9.0),
    }
}

fn urgent_job() -> JobSize {
    JobSize {
        core_seconds: 15.0,
        chain: secs(1.0),
        objective: secs(1.75),
        slack: secs(0.75),
    }
}

fn work(priority: u32, slack_s: f64, core_seconds: f64) -> WaitingWork {
    WaitingWork {
        priority,
        slack_s,
        core_seconds,
        run_s: 4.0,
    }
}

/// A view of a site on which all cores run tasks of the last priority, half done.
fn full_view(at: CoreTime, waiting: Vec<WaitingWork>) -> BacklogView {
    let last = waiting.iter().map(|work| work.priority).max();
    BacklogView {
        at,
        capacity_cores: CORES,
        used_cores: CORES,
        waiting,
        running: BTreeMap::from([(last.unwrap_or(BATCHES), CORES * 2.0)]),
        free: Vec::new(),
    }
}

/// Returns the forecast of a full site with work that waits.
fn forecast_of(waiting: Vec<WaitingWork>) -> AdmissionForecast {
    let mut forecast = AdmissionForecast::default();
    forecast.update(&full_view(secs(10.0), waiting));
    forecast
}

fn now() -> CoreTime {
    secs(10.0)
}

/// A site that is simulated as a fluid: arriving work waits until the cores that are not in use begin it, in the
/// order of the priorities.
struct FluidSite {
    at: CoreTime,
    forecast: AdmissionForecast,
    /// Waiting pieces of work: priority, latest start, core-seconds, and when they arrived.
    waiting: Vec<(u32, f64, f64, f64)>,
    /// Actual waits of pieces that have begun, by priority, with the time of their arrival.
    begun: Vec<(u32, f64, f64)>,
}

impl FluidSite {
    fn new() -> Self {
        Self {
            at: secs(10.0),
            forecast: AdmissionForecast::default(),
            waiting: Vec::new(),
            begun: Vec::new(),
        }
    }

    /// Runs for a time in which work of each priority arrives at a rate in cores, and returns the last forecast
    /// of each priority before the end.
    fn run(&mut self, seconds: f64, rates: [f64; 3]) -> [Duration; 3] {
        let steps = (seconds * 1_000.0) as u64 / STEP_MS;
        let step_s = STEP_MS as f64 / 1_000.0;
        let mut waits = [Duration::ZERO; 3];
        for _ in 0..steps {
            self.at += Duration::from_millis(STEP_MS);
            let at = self.at.as_secs_f64();
            let mut left = CORES * step_s;
            self.waiting
                .sort_by(|a, b| (a.0, a.1).partial_cmp(&(b.0, b.1)).unwrap());
            for piece in &mut self.waiting {
                let taken = piece.2.min(left);
                piece.2 -= taken;
                left -= taken;
                if piece.2 <= 0.0 {
                    self.begun.push((piece.0, piece.3, at - piece.3));
                }
            }
            self.waiting.retain(|piece| piece.2 > 0.0);
            self.forecast.record_ended(CORES * step_s - left);
            let mut view = full_view(self.at, Vec::new());
            view.used_cores = CORES - left / step_s;
            view.running = BTreeMap::from([(BATCHES, view.used_cores * 2.0)]);
            view.waiting = self
                .waiting
                .iter()
                .map(|piece| work(piece.0, piece.1 - at, piece.2))
                .collect();
            self.forecast.update(&view);
            for (priority, rate) in rates.into_iter().enumerate() {
                let priority = priority as u32;
                let job = gang(rate * step_s);
                waits[priority as usize] = self.forecast.wait(self.at, priority, &job);
                if rate > 0.0 {
                    self.forecast.record_accepted(self.at, priority, &job);
                    self.waiting.push((priority, at + 9.0, rate * step_s, at));
                }
            }
        }
        waits
    }
}

/// Guards against a new leader that refuses jobs by a backlog that it does not know.
#[test]
fn a_leader_without_a_forecast_accepts() {
    let forecast = AdmissionForecast::default();
    assert_eq!(forecast.refusal(now(), GANGS, &gang(1e9)), None);
}

/// Guards against a leader that refuses jobs by a backlog from before it was paused.
#[test]
fn an_old_forecast_refuses_nothing() {
    let forecast = forecast_of(vec![work(GANGS, 5.0, 100.0 * CORES)]);
    assert!(forecast.refusal(now(), GANGS, &gang(100.0)).is_some());
    let later = now() + secs(2.1);
    assert_eq!(forecast.refusal(later, GANGS, &gang(100.0)), None);
}

/// Guards against a forecast that counts work of larger priority values as ahead.
#[test]
fn work_waits_only_for_the_same_and_smaller_priority_values() {
    let forecast = forecast_of(vec![
        work(URGENT, 0.5, 0.5 * CORES),
        work(GANGS, 5.0, 4.0 * CORES),
        work(BATCHES, 5.0, 8.0 * CORES),
    ]);
    let wait = |priority| forecast.wait(now(), priority, &gang(1.0)).as_secs_f64();
    assert!(wait(URGENT) <= 0.5, "{}", wait(URGENT));
    assert!((2.5..=4.6).contains(&wait(GANGS)), "{}", wait(GANGS));
    assert!((10.5..=14.5).contains(&wait(BATCHES)), "{}", wait(BATCHES));
}

/// Guards against a forecast that counts work with a later latest start as ahead.
#[test]
fn work_with_a_later_latest_start_is_not_ahead() {
    let early = forecast_of(vec![work(GANGS, 8.0, 20.0 * CORES)]);
    let late = forecast_of(vec![work(GANGS, 10.0, 20.0 * CORES)]);
    assert!(early.wait(now(), GANGS, &gang(1.0)) > secs(10.0));
    assert_eq!(late.wait(now(), GANGS, &gang(1.0)), Duration::ZERO);
}

/// Guards against the refusal of a job that would end in time, or late without harm to others.
#[test]
fn a_late_job_is_refused_only_if_it_makes_another_late() {
    let ahead = work(URGENT, 0.5, 14.0 * CORES);
    let late = |refusal: Option<ForecastRefusal>| refusal.is_some_and(|refusal| !refusal.useless);
    let alone = forecast_of(vec![ahead]);
    assert_eq!(alone.refusal(now(), GANGS, &gang(100.0)), None);
    // A batch that starts just in time behind the urgent work.
    let edge = alone.wait(now(), BATCHES, &gang(1.0)).as_secs_f64();
    let at_edge = forecast_of(vec![ahead, work(BATCHES, edge + 0.01, 10.0)]);
    assert!(late(at_edge.refusal(now(), GANGS, &gang(100.0))));
    let with_slack = forecast_of(vec![ahead, work(BATCHES, edge + 3.0, 10.0)]);
    assert_eq!(with_slack.refusal(now(), GANGS, &gang(100.0)), None);
    let of_its_own = forecast_of(vec![ahead, work(GANGS, edge + 3.0, 10.0)]);
    assert!(late(of_its_own.refusal(now(), GANGS, &gang(100.0))));
    // The others are late as well.
    let all_late = forecast_of(vec![
        ahead,
        work(GANGS, -1.0, 10.0),
        work(BATCHES, 2.0, 10.0),
    ]);
    assert_eq!(all_late.refusal(now(), GANGS, &gang(100.0)), None);
}

/// Guards against jobs that are accepted though they end too late to earn anything.
#[test]
fn a_job_that_ends_beyond_three_times_its_objective_is_refused() {
    let refused = |waiting_s: f64| {
        let forecast = forecast_of(vec![work(BATCHES, 5.0, waiting_s * CORES)]);
        let refusal = forecast.refusal(now(), BATCHES, &gang(100.0));
        refusal.is_some_and(|refusal| refusal.useless)
    };
    assert!(!refused(40.0));
    assert!(refused(70.0));
}

/// Guards against the refusal of urgent jobs because of work of other priorities.
#[test]
fn an_urgent_job_is_refused_only_for_urgent_work() {
    let others = forecast_of(vec![
        work(GANGS, 5.0, 100.0 * CORES),
        work(BATCHES, 5.0, 100.0 * CORES),
    ]);
    assert_eq!(others.refusal(now(), URGENT, &urgent_job()), None);
    let urgent = forecast_of(vec![work(URGENT, 0.2, 6.0 * CORES)]);
    assert!(urgent.refusal(now(), URGENT, &urgent_job()).is_some());
}

/// Guards against a refusal while workers are free that could run the job.
#[test]
fn tasks_fit_only_if_free_workers_can_run_all_of_them() {
    let size = |cores: u64| TaskSize {
        millicores: cores * 1_000,
        memory_mib: 1_000,
        accelerators: 0,
    };
    let free = |cores: u64| TaskSize {
        memory_mib: 64_000,
        ..size(cores)
    };
    let mut forecast = AdmissionForecast::default();
    forecast.update(&BacklogView {
        free: vec![free(4), free(9)],
        ..full_view(now(), Vec::new())
    });
    assert!(forecast.fits_now(&[(size(4), 3)]));
    assert!(!forecast.fits_now(&[(size(4), 4)]));
    assert!(forecast.fits_now(&[(size(4), 1), (size(9), 1)]));
    assert!(!forecast.fits_now(&[(size(4), 2), (size(9), 1)]));
}

/// Guards against retries that all come at once, or only when the capacity has been taken again.
#[test]
fn retries_are_spread_over_the_time_in_which_the_backlog_drains() {
    let forecast = forecast_of(vec![work(GANGS, 5.0, 80.0 * CORES)]);
    let refusal = forecast.refusal(now(), GANGS, &gang(100.0));
    let refusal = refusal.expect("the job is refused");
    let mut retries: Vec<u64> = (0..1_000).map(|job| refusal.retry_ms(job * 7)).collect();
    retries.sort_unstable();
    assert!(retries[0] >= 300 && retries[999] <= 5_000, "{retries:?}");
    assert!(retries[999] - retries[0] > 2_000, "{retries:?}");
}

/// Guards against refusals after a pause of the leader, whose workers are out of contact until they have answered
/// a poll.
#[test]
fn a_moment_without_contact_does_not_lengthen_waits() {
    let waiting = vec![work(GANGS, 5.0, 4.0 * CORES)];
    let mut forecast = forecast_of(waiting.clone());
    let usual = forecast.wait(now(), GANGS, &gang(1.0));
    for step in 1..=4 {
        let at = now() + Duration::from_millis(STEP_MS * step);
        forecast.update(&BacklogView {
            capacity_cores: 0.0,
            used_cores: 0.0,
            ..full_view(at, waiting.clone())
        });
    }
    let after = forecast.wait(now() + secs(0.4), GANGS, &gang(1.0));
    assert!(after < usual.mul_f64(1.3), "{after:?} after {usual:?}");
}

/// Guards against a forecast that refuses at the onset of a burst, when nothing waits yet.
#[test]
fn the_onset_of_a_burst_has_no_wait() {
    let mut site = FluidSite::new();
    site.run(30.0, [100.0, 350.0, 350.0]);
    let waits = site.run(0.5, [200.0, 700.0, 700.0]);
    assert!(waits.iter().all(|wait| *wait < secs(1.0)), "{waits:?}");
}

/// Guards against a forecast that is off while a backlog builds up and while it drains.
#[test]
fn the_forecast_matches_the_waits_of_a_burst_and_after_it() {
    let mut site = FluidSite::new();
    site.run(60.0, [100.0, 350.0, 350.0]);
    for (seconds, rates) in [(8.0, [190.0, 650.0, 650.0]), (4.0, [100.0, 350.0, 350.0])] {
        let waits = site.run(seconds, rates);
        let arrived = site.at.as_secs_f64();
        let mut after = FluidSite {
            forecast: site.forecast.clone(),
            waiting: site.waiting.clone(),
            ..FluidSite::new()
        };
        after.at = site.at;
        after.run(60.0, [100.0, 350.0, 350.0]);
        let begun = after.begun.iter().rev();
        let mut begun =
            begun.filter(|(priority, at, _)| *priority == BATCHES && (*at - arrived).abs() < 0.05);
        let (_, _, actual) = begun.next().expect("the last batch begins");
        let forecast = waits[BATCHES as usize].as_secs_f64();
        assert!(*actual > 2.0, "the batch waits {actual} s");
        assert!(
            (0.5..=1.3).contains(&(forecast / actual)),
            "forecast {forecast} s, actual {actual} s"
        );
    }
}

/// Guards against a forecast that keeps refusing once the backlog has drained.
#[test]
fn a_drained_backlog_has_no_wait() {
    let mut site = FluidSite::new();
    site.run(30.0, [100.0, 350.0, 350.0]);
    site.run(8.0, [190.0, 650.0, 650.0]);
    site.run(60.0, [100.0, 350.0, 350.0]);
    let waits = site.run(0.1, [100.0, 350.0, 350.0]);
    assert!(waits.iter().all(|wait| *wait < secs(0.5)), "{waits:?}");
}
