//! A leader at its limit: how much it serves as the load goes on rising.

use bankvalve_queue::JobState;

use super::{job_of, SitePlan, SiteWorld, StepTime, QUEUE, URGENT_QUEUE};

/// Virtual time before the load, in milliseconds.
const START_MS: u64 = 2_000;
/// Virtual time for which the load lasts, in milliseconds.
const LOAD_MS: u64 = 20_000;
/// Virtual time after it in which what was accepted must end, in milliseconds.
const REST_MS: u64 = 40_000;
/// Workers, of four tasks each.
const WORKERS: usize = 60;
/// Jobs a second at one time the load, of two tasks.
const JOBS_PER_S: f64 = 40.0;

/// What is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScarceMeans {
    /// Processor: each event takes this long.
    Processor(StepTime),
    /// Link: bytes a millisecond.
    Link(u64),
}

/// What a site served under a load.
#[derive(Clone, Debug)]
pub struct ServedLoad {
    /// Jobs that were shown as succeeded while the load lasted.
    pub served: u64,
    /// Jobs handed in.
    pub asked: u64,
    /// Milliseconds until each refusal, the longest last.
    pub refusals_ms: Vec<u64>,
    /// Rules that were broken.
    pub breaches: Vec<super::RuleBreach>,
}

/// Plays a load, `times` the usual, on a site whose instances are short of something.
pub fn play_overload(seed: u64, means: ScarceMeans, times: f64) -> ServedLoad {
    let mut world = SiteWorld::new(SitePlan {
        seed,
        entries: 4,
        strengths: Vec::new(),
        workers: WORKERS,
        broken: None,
        without: None,
        good_percent: None,
    });
    world.looks_wait = true;
    world.callers_leave = true;
    match means {
        ScarceMeans::Processor(time) => {
            for node in &mut world.nodes {
                node.processor.step_time = Some(time);
            }
        }
        ScarceMeans::Link(rate) => {
            world.links_carry_all = true;
            for node in &mut world.nodes {
                node.link_bytes_per_ms = Some(rate);
            }
        }
    }
    world.run_until(START_MS);
    let (mut job, mut due) = (0, 0.0);
    while world.now_ms < START_MS + LOAD_MS {
        due += JOBS_PER_S * times / 100.0;
        while due >= 1.0 {
            due -= 1.0;
            job += 1;
            let queue = if job % 3 == 0 { QUEUE } else { URGENT_QUEUE };
            world.submit(job_of(job, queue, &[2], job % 10 == 0));
        }
        let until = world.now_ms + 10;
        world.run_until(until);
    }
    let succeeded = |state: &&JobState| **state == JobState::Succeeded;
    let served = world.shown.values().filter(succeeded).count() as u64;
    let end = world.now_ms + REST_MS;
    world.run_until(end);
    let mut refusals_ms = std::mem::take(&mut world.refusal_waits_ms);
    refusals_ms.sort_unstable();
    ServedLoad {
        served,
        asked: job,
        refusals_ms,
        breaches: std::mem::take(&mut world.rules.breaches),
    }
}
