//! Short outages of the table: which jobs are served, by kind, and what their callers are told.

use std::collections::BTreeMap;
use std::sync::Arc;

use bankvalve_check::site::{job_of, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
use bankvalve_queue::{CallerAnswer, JobId, JobSpec, JobState, OptionalPolicies, PolicySwitch};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{assert_kept, plan_of};

/// Time that callers wait for an answer.
const PATIENCE_MS: u64 = 3_000;
/// Times after which callers come back; they do not follow the time told (docs/QUESTIONS.md, 6).
const OWN_PAUSES_MS: [u64; 4] = [1_100, 700, 500, 400];
/// When the outage begins, and when the last job is first sent, after it.
const OUTAGE_AT_MS: u64 = 4_000;
const SENT_AFTER_MS: u64 = 9_000;

/// Kinds of jobs, with the time between two of them, the time of a task, and the objective.
const KINDS: [(&str, u64, u64, u64); 3] = [
    ("urgent", 60, 300, 2 * 300 + 500),
    ("gangs", 400, 6_200, 2 * 6_200 + 500),
    ("batches", 150, 3_400, 2 * 3_400 + 500),
];
const URGENT: usize = 0;
const GANGS: usize = 1;
const BATCHES: usize = 2;

fn job_of_kind(kind: usize, id: JobId) -> JobSpec {
    let (queue, tasks, gang) = match kind {
        URGENT => (URGENT_QUEUE, 1, false),
        GANGS => (QUEUE, 4, true),
        _ => (QUEUE, 2, false),
    };
    let mut spec = job_of(id, queue, &[tasks], gang);
    spec.steps[0].estimate_ms = KINDS[kind].2;
    spec
}

/// A caller's job.
struct CallerJob {
    kind: usize,
    spec: Arc<JobSpec>,
    first_ms: u64,
    tries: usize,
    /// When to send it, or when it was sent.
    at_ms: u64,
    open: bool,
    accepted: bool,
    /// Whether it was shown as done within its objective, once it was shown.
    in_time: Option<bool>,
}

/// How the jobs of one kind went, of those first sent during the outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct KindFigures {
    sent: usize,
    accepted: usize,
    in_time: usize,
}

#[derive(Debug, Default)]
struct OutageFigures {
    kinds: [KindFigures; 3],
    /// Refusals of 1 s and more after the request, and all.
    late_refusals: usize,
    refusals: usize,
    longest_answer_ms: u64,
}

struct OutagePlay {
    world: SiteWorld,
    rng: Pcg64Mcg,
    jobs: BTreeMap<JobId, CallerJob>,
    figures: OutageFigures,
    seen: usize,
}

impl OutagePlay {
    fn new(seed: u64, without: Option<PolicySwitch>) -> Self {
        let mut world = SiteWorld::with_policies(
            SitePlan {
                without,
                entries: 5,
                ..plan_of(seed, 70)
            },
            OptionalPolicies::ALL,
        );
        world.run_until(2_000);
        Self::in_world(world)
    }

    fn in_world(world: SiteWorld) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(world.plan_seed()),
            world,
            jobs: BTreeMap::new(),
            figures: OutageFigures::default(),
            seen: 0,
        }
    }

    /// Runs until a time; callers send jobs of all kinds meanwhile, and send them again.
    fn run_until(&mut self, until_ms: u64, new_jobs: bool) {
        while self.world.now_ms < until_ms {
            let now = self.world.now_ms;
            for (kind, (_, every_ms, time_ms, _)) in KINDS.iter().enumerate() {
                if new_jobs && now % every_ms < 10 {
                    let id = self.jobs.len() as u64 + 1;
                    self.world.work_ms.insert(id, *time_ms);
                    let job = CallerJob {
                        kind,
                        spec: Arc::new(job_of_kind(kind, id)),
                        first_ms: now,
                        tries: 0,
                        at_ms: now,
                        open: false,
                        accepted: false,
                        in_time: None,
                    };
                    self.jobs.insert(id, job);
                }
            }
            self.send_due();
            self.world.run_until(now + 10);
            self.take_answers();
            self.take_ends();
        }
    }

    fn take_ends(&mut self) {
        let now = self.world.now_ms;
        for (id, state) in &self.world.shown {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let in_time = *state == JobState::Succeeded && now - job.first_ms <= KINDS[job.kind].3;
            job.in_time.get_or_insert(in_time);
        }
    }

    /// Requests that were held so far, at all instances.
    fn held(&self) -> u64 {
        let nodes = 0..self.world.nodes.len();
        nodes
            .map(|node| self.world.counter_of(node, "outage_wait", "held"))
            .sum()
    }

    fn send_due(&mut self) {
        let now = self.world.now_ms;
        for job in self.jobs.values_mut() {
            if job.accepted || job.tries > OWN_PAUSES_MS.len() {
                continue;
            }
            if job.open && now < job.at_ms + PATIENCE_MS {
                continue;
            }
            if !job.open && now < job.at_ms {
                continue;
            }
            let up: Vec<usize> = (0..self.world.nodes.len())
                .filter(|node| self.world.nodes[*node].is_up())
                .collect();
            let node = up[self.rng.random_range(0..up.len())];
            job.open = true;
            job.at_ms = now;
            job.tries += 1;
            self.world.submit_at(node, &job.spec);
        }
    }

    fn take_answers(&mut self) {
        let now = self.world.now_ms;
        for told in &self.world.submit_answers[self.seen..] {
            let job = self.jobs.get_mut(&told.job).expect("a job of these");
            let longest = &mut self.figures.longest_answer_ms;
            *longest = told.took_ms.max(*longest);
            if told.answer == CallerAnswer::Accepted {
                job.accepted = true;
                continue;
            }
            let own = OWN_PAUSES_MS.get(job.tries - 1).copied().unwrap_or(0);
            job.open = false;
            job.at_ms = now + own;
            if matches!(told.answer, CallerAnswer::Refused { .. }) {
                self.figures.refusals += 1;
                self.figures.late_refusals += usize::from(told.took_ms >= 1_000);
            }
        }
        self.seen = self.world.submit_answers.len();
    }

    /// Runs until all jobs have ended, and returns how those went that were first sent while the table was away.
    fn end(mut self, away: std::ops::Range<u64>) -> OutageFigures {
        self.run_until(away.end + SENT_AFTER_MS, true);
        let last = self.world.now_ms + 25_000;
        self.run_until(last, false);
        let sent_during = |job: &&CallerJob| away.contains(&job.first_ms);
        for job in self.jobs.values().filter(sent_during) {
            let figures = &mut self.figures.kinds[job.kind];
            figures.sent += 1;
            figures.accepted += usize::from(job.accepted);
            figures.in_time += usize::from(job.in_time == Some(true));
        }
        self.world.rules.check_refused(self.world.now_ms);
        assert_kept(&self.world);
        println!("away {away:?}: {:?}", self.figures);
        self.figures
    }
}

/// Plays an outage of a length in which callers do not follow the time told.
fn play(silent: bool, length_ms: u64, without: Option<PolicySwitch>) -> OutageFigures {
    let mut play = OutagePlay::new(200 + length_ms / 1_000, without);
    play.run_until(OUTAGE_AT_MS, true);
    play.world.store_silent = silent;
    play.world.store_away_until = OUTAGE_AT_MS + length_ms;
    play.end(OUTAGE_AT_MS..OUTAGE_AT_MS + length_ms)
}

/// Plays outages of 3 to 7 s, silent or not, and adds up what became of the jobs sent meanwhile.
fn play_all(without: Option<PolicySwitch>) -> OutageFigures {
    let mut sum = OutageFigures::default();
    let lengths = [3_000, 4_000, 5_000, 6_000, 7_000];
    for (length_ms, silent) in lengths.into_iter().zip([false, true].into_iter().cycle()) {
        let figures = play(silent, length_ms, without);
        for (sum, kind) in sum.kinds.iter_mut().zip(figures.kinds) {
            sum.sent += kind.sent;
            sum.accepted += kind.accepted;
            sum.in_time += kind.in_time;
        }
        sum.late_refusals += figures.late_refusals;
        sum.refusals += figures.refusals;
        sum.longest_answer_ms = sum.longest_answer_ms.max(figures.longest_answer_ms);
    }
    println!("all, without {without:?}: {sum:?}");
    sum
}

const SWITCH: Option<PolicySwitch> = Some(PolicySwitch::OutageWait);

#[test]
fn gangs_and_batches_are_served_through_short_outages() {
    // Callers use up their tries within 2.7 s if each is refused at once.
    let figures = play_all(None);
    let accepted = |figures: &OutageFigures, kind: usize| {
        figures.kinds[kind].accepted * 100 / figures.kinds[kind].sent
    };
    assert!(accepted(&figures, GANGS) >= 90, "{figures:?}");
    assert!(accepted(&figures, BATCHES) >= 95, "{figures:?}");
    // Few of those that are refused have waited for it, and none beyond 85% of its caller's time.
    assert!(
        figures.late_refusals * 100 <= figures.refusals * 10,
        "{figures:?}"
    );
    assert!(
        figures.longest_answer_ms <= PATIENCE_MS * 85 / 100 + 50,
        "{figures:?}"
    );
    let without = play_all(SWITCH);
    assert!(accepted(&without, GANGS) <= 75, "{without:?}");
    assert!(accepted(&without, BATCHES) <= 75, "{without:?}");
    for kind in [URGENT, GANGS, BATCHES] {
        let (with, without) = (figures.kinds[kind], without.kinds[kind]);
        assert!(
            with.in_time >= without.in_time,
            "{kind}: {with:?}, {without:?}"
        );
    }
}

/// Plays an outage of 5.5 s in which the leader is lost while requests wait.
fn play_leader_loss(without: Option<PolicySwitch>) -> (OutageFigures, u64) {
    let mut play = OutagePlay::new(211, without);
    play.run_until(OUTAGE_AT_MS, true);
    play.world.store_away_until = OUTAGE_AT_MS + 5_500;
    play.run_until(OUTAGE_AT_MS + 3_600, true);
    let held = play.held();
    let leader = play.world.leader().expect("an instance leads");
    play.world.kill(leader, 20_000);
    (play.end(OUTAGE_AT_MS..OUTAGE_AT_MS + 5_500), held)
}

#[test]
fn requests_that_wait_outlast_the_loss_of_the_leader() {
    let (figures, held) = play_leader_loss(None);
    assert!(held > 0, "no request was held when the leader was lost");
    let (without, _) = play_leader_loss(SWITCH);
    let gangs =
        |figures: &OutageFigures| figures.kinds[GANGS].accepted + figures.kinds[BATCHES].accepted;
    assert!(
        gangs(&figures) > gangs(&without),
        "{figures:?}, {without:?}"
    );
    assert!(
        figures.longest_answer_ms <= PATIENCE_MS * 85 / 100 + 50,
        "{figures:?}"
    );
}

/// Plays a table that is away, is back for 150 ms, and is away again, several times.
fn play_short_returns(without: Option<PolicySwitch>) -> OutageFigures {
    let mut play = OutagePlay::new(212, without);
    let mut until = OUTAGE_AT_MS;
    play.run_until(until, true);
    for (length_ms, silent) in [
        (4_200, false),
        (2_000, false),
        (3_500, true),
        (1_500, false),
    ] {
        play.world.store_silent = silent;
        play.world.store_away_until = until + length_ms;
        until += length_ms + 150;
        play.run_until(until, true);
    }
    play.end(OUTAGE_AT_MS..until)
}

#[test]
fn a_table_that_goes_again_leaves_no_request_without_a_true_answer() {
    // Requests are sent at each return, and their jobs withdrawn again before they are written.
    let figures = play_short_returns(None);
    let without = play_short_returns(SWITCH);
    let accepted =
        |figures: &OutageFigures| figures.kinds[GANGS].accepted + figures.kinds[BATCHES].accepted;
    assert!(
        accepted(&figures) > accepted(&without),
        "{figures:?}, {without:?}"
    );
    assert!(
        figures.longest_answer_ms <= PATIENCE_MS * 85 / 100 + 50,
        "{figures:?}"
    );
}

/// Plays the return of all instances, whose leader reads a ledger for two seconds. Returns how many submits
/// were refused, and the longest time to an answer in milliseconds.
fn play_loss_of_all(without: Option<PolicySwitch>) -> (usize, u64) {
    let mut plan = SitePlan::of_unlike(304, 24);
    plan.without = without;
    let mut play = OutagePlay::in_world(SiteWorld::with_policies(plan, OptionalPolicies::ALL));
    play.world.limit_links();
    play.world.fill_ledger(30_000, 120);
    play.world.run_until(8_000);
    for node in 0..play.world.nodes.len() {
        play.world.kill(node, 1_400);
    }
    play.world.run_until(9_400);
    play.run_until(13_000, true);
    assert_kept(&play.world);
    let answers = play.world.submit_answers.iter();
    let refused = answers.filter(|told| told.answer != CallerAnswer::Accepted);
    (refused.count(), play.figures.longest_answer_ms)
}

#[test]
fn submits_wait_for_a_leader_that_reads_the_ledger_after_a_loss_of_all() {
    // They were refused after 1.8 s, just before the leader had its book.
    let (refused, longest_ms) = play_loss_of_all(None);
    assert_eq!(refused, 0);
    assert!(longest_ms <= PATIENCE_MS * 85 / 100 + 50, "{longest_ms} ms");
    let (refused, _) = play_loss_of_all(SWITCH);
    assert!(refused > 0, "none is refused without the wait");
}
