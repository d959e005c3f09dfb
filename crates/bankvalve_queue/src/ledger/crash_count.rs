//! Workers that ended while running a task, and when this is enough evidence to fail its job.
//!
//! Problem: a task that crashes every worker that starts it, retried without a limit, takes down a site's
//! workers one after the other, each with everything that runs there. Such a worker cannot report the end
//! of the run. So the ends are counted here, in the ledger, where the count survives a change of leader.
//!
//! Workers are also lost for other reasons, one by one or a failure domain at a time, together with the runs
//! that had just started there. So an end is proof (strong evidence) only if enough was seen of it: the
//! worker's port refused connections soon after the start order, and no other run there was new. Even that
//! happens by chance. The probability is estimated for each end and stored with it, and the job fails once
//! chance no longer explains all of the ends. An end of which less was seen makes the task at most a
//! suspect, whose next run is isolated from other runs.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RunId, WorkerId};

/// Number of ends from which a task is a suspect, whatever the evidence. One is too few: workers are also
/// lost for other reasons, for example about 170 within two minutes, each with five to thirteen runs.
const MIN_SUSPECT_ENDS: usize = 2;
/// Minimum number of proofs for which a job fails without further evidence; the users require two. A second
/// trial run costs little because it is isolated, while a job that fails wrongly is lost.
const MIN_PROOFS: usize = 2;
/// Highest probability that all proofs are chance at which [`MIN_PROOFS`] proofs are conclusive, in parts
/// per million.
const MAX_CHANCE_PPM: f64 = 50.0;
/// Number of ends from which a task with an early crash must not start beside other new runs. An end beside
/// other new runs is no proof, and the users allow only a few more starts until the job must have failed (see
/// [`MAX_STARTS`]).
const MIN_ISOLATION_ENDS: usize = 2;
/// Number of workers with an early crash, proofs included, from which one proof is enough. The users consider
/// five starts after the third lost worker too many. Four such ends, and one that nobody reported, make five
/// lost workers: two starts after the third.
const EARLY_CRASH_LIMIT: usize = 4;
/// Number of earlier ends, including unreported ones, from which the further starts of a task are counted.
const ENDS_BEFORE_START_COUNT: usize = 3;
/// Number of counted starts after which the job fails if a proof is consistent with the other ends, or if
/// chance hardly explains the early crashes. The users consider a third one too many.
const MAX_STARTS: u32 = 2;
/// Highest probability that all early crashes without other new runs are chance at which they suffice after
/// [`MAX_STARTS`] counted starts, in parts per million.
const MAX_LAST_CHANCE_PPM: f64 = 1_000.0;
/// Time for which a trial run stays isolated beyond the age at which earlier runs ended, in milliseconds.
const TRIAL_SLACK_MS: u32 = 250;
/// Age at which earlier runs are assumed to have ended if none of the ages is known, in milliseconds.
const DEFAULT_AGE_MS: u32 = 750;
/// Highest age for which a trial run is isolated if only one run ended at about that age, in milliseconds.
const MAX_SINGLE_AGE_MS: u32 = 1_500;
/// Highest age for which a trial run is isolated if several runs ended at about that age, in milliseconds.
const MAX_REPEATED_AGE_MS: u32 = 6_000;
/// Largest difference between two ages that count as the same age, in milliseconds.
const SAME_AGE_TOLERANCE_MS: u32 = 500;
/// The same for ends that are proof, whose ages are known closely, in milliseconds.
const PROOF_AGE_TOLERANCE_MS: u32 = 200;
/// Time by which a run must have outlived all earlier runs that ended with their workers, to show that its
/// task does not crash workers, in milliseconds.
const CLEARED_MARGIN_MS: u32 = 1_000;

/// How strongly the end of a worker counts against a run that it had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashWeight {
    /// Weak evidence: the run had been running for a while, or it was not seen when and how the worker ended.
    Weak,
    /// Early crash, stored under this name: the worker ended right after the run was ordered, but the end is
    /// no proof. Other runs there were new, for example, or other workers were lost as well.
    Young,
    /// Strong evidence: the worker ended soon after the run was ordered, or at the same age of the run as an
    /// earlier one, and no other run there was new.
    Proof,
}

impl CrashWeight {
    /// Returns the word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CrashWeight::Weak => "weak",
            CrashWeight::Young => "young",
            CrashWeight::Proof => "proof",
        }
    }
}

/// What was seen of the end of a worker that had a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredEvidence")]
pub struct CrashEvidence {
    /// How strongly it counts against the task.
    pub weight: CrashWeight,
    /// Whether the worker answered the start order or reported the run.
    pub confirmed: bool,
    /// Time for which the worker is known to have had the run, by its answer to the order and its reports,
    /// in milliseconds; 0 if it never reported the run.
    pub alive_ms: u32,
    /// Latest age of the run at which its worker ended: time from the order until the worker's port first
    /// refused connections or another process answered, in milliseconds. `None` if neither was seen, or if a
    /// former leader sent the order.
    pub over_ms: Option<u32>,
    /// Number of other runs on the worker that were new.
    pub beside: u32,
    /// Number of other workers that were lost at the same time.
    pub others: u32,
    /// Probability that a worker ends by chance within the time in which this one did, in parts per million.
    pub chance_ppm: u32,
}

impl CrashEvidence {
    /// Returns whether both runs may have been of about the same age when their workers ended. An end at an
    /// unknown age does not contradict it.
    fn may_have_same_age(&self, other: &CrashEvidence) -> bool {
        self.may_be_at_age(other.alive_ms, SAME_AGE_TOLERANCE_MS)
            || other.may_be_at_age(self.alive_ms, SAME_AGE_TOLERANCE_MS)
    }

    /// Returns whether the worker may have ended when its run was of this age, or younger by the tolerance.
    fn may_be_at_age(&self, age_ms: u32, tolerance_ms: u32) -> bool {
        let over_ms = self.over_ms.unwrap_or(u32::MAX);
        self.alive_ms <= age_ms && age_ms <= over_ms.saturating_add(tolerance_ms)
    }
}

/// Evidence as stored in ledgers. An earlier version stored only the word for the weight.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredEvidence {
    /// The fields of [`CrashEvidence`], in their order.
    Fields(CrashWeight, bool, u32, Option<u32>, u32, u32, u32),
    /// The name of the weight.
    Word(String),
}

impl From<StoredEvidence> for CrashEvidence {
    fn from(stored: StoredEvidence) -> Self {
        match stored {
            StoredEvidence::Fields(
                weight,
                confirmed,
                alive_ms,
                over_ms,
                beside,
                others,
                chance_ppm,
            ) => Self {
                weight,
                confirmed,
                alive_ms,
                over_ms,
                beside,
                others,
                chance_ppm,
            },
            // What was seen is unknown, so the evidence makes the task at most a suspect.
            StoredEvidence::Word(word) => Self {
                weight: match word.as_str() {
                    "Weak" => CrashWeight::Weak,
                    _ => CrashWeight::Young,
                },
                confirmed: false,
                alive_ms: 0,
                over_ms: None,
                beside: 0,
                others: 0,
                chance_ppm: 1_000_000,
            },
        }
    }
}

impl fmt::Display for CrashEvidence {
    fn fmt(&self, into: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answered = match (self.confirmed, self.alive_ms) {
            (false, _) => "order not answered".to_owned(),
            (true, 0) => "never reported as running".to_owned(),
            (true, alive) => format!("reported as running for {alive} ms"),
        };
        let over = match self.over_ms {
            Some(over) => format!("known to have ended {over} ms after the order"),
            None => "time of the end unknown".to_owned(),
        };
        let weight = self.weight.as_str();
        let (beside, others, chance) = (self.beside, self.others, self.chance_ppm);
        write!(
            into,
            "{answered}, {over}, {beside} other new runs on the worker, {others} other workers lost at the \
             same time, probability of an end by chance {chance} in a million: {weight} evidence"
        )
    }
}

/// The end of a worker that had a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEnd {
    /// The worker.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// What was seen of the end.
    pub evidence: CrashEvidence,
}

impl fmt::Display for CrashEnd {
    fn fmt(&self, into: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            into,
            "run {} on {}: {}",
            self.run, self.worker, self.evidence
        )
    }
}

/// The ends of workers that had a run of one task.
///
/// # Examples
///
/// ```
/// use bankvalve_queue::{CrashCount, CrashEnd, CrashEvidence, CrashWeight};
///
/// let evidence = CrashEvidence {
///     weight: CrashWeight::Proof,
///     confirmed: true,
///     alive_ms: 0,
///     over_ms: Some(60),
///     beside: 0,
///     others: 0,
///     chance_ppm: 20,
/// };
/// let mut count = CrashCount::default();
/// for (worker, run) in [("w-1", 1), ("w-2", 2)] {
///     assert!(!count.is_conclusive());
///     count.note(CrashEnd { worker: worker.into(), run, evidence });
///     assert!(count.is_suspect());
/// }
/// assert!(count.is_conclusive());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashCount {
    ends: Vec<CrashEnd>,
    /// Number of runs of which nobody reported how they ended, and whose worker has no recorded end. Their
    /// workers may have ended as well.
    unreported: usize,
    /// Number of runs that ended without success after [`ENDS_BEFORE_START_COUNT`] earlier ends.
    counted_starts: u32,
}

/// Returns the probability that chance caused all of these ends, in parts per million.
fn joint_chance_ppm<'a>(ends: impl Iterator<Item = &'a CrashEvidence>) -> f64 {
    let chances = ends.map(|end| f64::from(end.chance_ppm) / 1e6);
    chances.product::<f64>() * 1e6
}

impl CrashCount {
    /// Records the end of a worker. Of several for the same run, the latest with a known time of the end
    /// counts, or else the first.
    ///
    /// If the run has outlived all earlier runs that ended with their workers, the earlier ends are
    /// discarded: a task that crashes workers does so again at about the same age. If none of their ages is
    /// known, it must have outlived the highest age for which a trial is isolated.
    pub fn note(&mut self, end: CrashEnd) {
        if let Some(known) = self.ends.iter_mut().find(|known| known.run == end.run) {
            if end.evidence.over_ms.is_some() {
                *known = end;
            }
            return;
        }
        if self.is_outlived_by(end.evidence.alive_ms) {
            *self = Self::default();
        }
        self.ends.push(end);
    }

    /// Returns whether a run that was known to be running for this long has outlived all recorded ends, which
    /// [`note`](Self::note) then discards.
    pub fn is_outlived_by(&self, alive_ms: u32) -> bool {
        let cleared_ms = self
            .oldest_age_ms()
            .map_or(MAX_REPEATED_AGE_MS, |oldest| oldest + CLEARED_MARGIN_MS);
        alive_ms >= cleared_ms
    }

    /// Removes the end of a worker that has reported the run since, so it had not ended.
    pub fn remove_end(&mut self, run: RunId) {
        self.ends.retain(|end| end.run != run);
    }

    /// Records that a run has ended without success; `reported` is whether it is known how. If its worker
    /// ended, [`note`](Self::note) must be called first.
    pub fn note_run(&mut self, run: RunId, reported: bool) {
        let before = self.ends.iter().filter(|end| end.run != run).count();
        if before + self.unreported >= ENDS_BEFORE_START_COUNT {
            // A reported end shows that the worker survived it.
            let counts = !reported || !self.ends.is_empty();
            self.counted_starts += u32::from(counts);
        } else if !reported && before == self.ends.len() {
            self.unreported += 1;
        }
    }

    /// Returns whether the end of a run's worker is recorded.
    pub fn has_end(&self, run: RunId) -> bool {
        self.ends.iter().any(|end| end.run == run)
    }

    /// Returns the ends, in the order in which they were recorded.
    pub fn ends(&self) -> &[CrashEnd] {
        &self.ends
    }

    /// Returns the worker of the end that was recorded last.
    pub fn last_worker(&self) -> Option<&WorkerId> {
        self.ends.last().map(|end| &end.worker)
    }

    /// Returns the highest known age at which a run ended with its worker, in milliseconds.
    fn oldest_age_ms(&self) -> Option<u32> {
        let ages = self.ends.iter().map(|end| end.evidence.over_ms);
        ages.flatten().max()
    }

    /// Returns how long a trial run is isolated from other runs, to see whether its worker ends at the same
    /// age as before. A high age counts only if two runs ended at about that age.
    pub fn trial_time(&self) -> Duration {
        let ages = self.ends.iter().filter_map(|end| end.evidence.over_ms);
        let same_age = |age: &u32| {
            let others = self.ends.iter().filter_map(|end| end.evidence.over_ms);
            others
                .filter(|other| other.abs_diff(*age) <= SAME_AGE_TOLERANCE_MS)
                .count()
                > 1
        };
        let repeated = ages
            .clone()
            .filter(same_age)
            .max()
            .map(|age| age.min(MAX_REPEATED_AGE_MS));
        let single = ages.max().unwrap_or(DEFAULT_AGE_MS).min(MAX_SINGLE_AGE_MS);
        let age = repeated.map_or(single, |age| age.max(single));
        Duration::from_millis(u64::from(age + TRIAL_SLACK_MS))
    }

    /// Returns the first end of each worker. One cause may end the same worker again and again.
    fn independent(&self) -> impl Iterator<Item = &CrashEnd> {
        let numbered = self.ends.iter().enumerate();
        let first = |(number, end): &(usize, &CrashEnd)| {
            let mut before = self.ends[..*number].iter();
            before.all(|other| other.worker != end.worker)
        };
        numbered.filter(first).map(|(_, end)| end)
    }

    /// Returns the evidence of the ends that are proof.
    fn proofs(&self) -> impl Iterator<Item = &CrashEvidence> {
        let evidence = self.independent().map(|end| &end.evidence);
        evidence.filter(|evidence| evidence.weight == CrashWeight::Proof)
    }

    /// Returns whether one of the ends is proof.
    pub fn has_proof(&self) -> bool {
        self.proofs().next().is_some()
    }

    /// Returns whether the task is a suspect, which starts on a worker where nothing else runs, if possible.
    pub fn is_suspect(&self) -> bool {
        self.has_early_crash() || self.ends.len() >= MIN_SUSPECT_ENDS
    }

    /// Returns whether a worker ended right after the task was started there.
    pub fn has_early_crash(&self) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|end| end.evidence.weight > CrashWeight::Weak)
    }

    /// Returns whether the task must not start beside other new runs.
    pub fn must_be_isolated(&self) -> bool {
        self.has_early_crash() && self.ends.len() >= MIN_ISOLATION_ENDS
    }

    /// Returns the shortest span of ages that covers both the end of a run and one of the recorded ends of
    /// other runs, in milliseconds. Each end lies between the age at which the run was last reported as
    /// running and the age at which the worker is known to have ended.
    pub fn common_age_ms(&self, run: RunId, alive_ms: u32, over_ms: u32) -> Option<u32> {
        let others = self.ends.iter().filter(|end| end.run != run);
        let ages = others.filter_map(|end| {
            let over = end.evidence.over_ms?;
            Some((end.evidence.alive_ms, over))
        });
        ages.map(|(alive, over)| over.max(over_ms) - alive.min(alive_ms))
            .min()
    }

    /// Returns the evidence of the ends that are proof, without the first end. The first end only makes the
    /// task worth examining: any task may have one by chance. So it does not count when the probability of
    /// chance is calculated.
    fn later_proofs(&self) -> impl Iterator<Item = &CrashEvidence> {
        let later = self.independent().skip(1).map(|end| &end.evidence);
        later.filter(|evidence| evidence.weight == CrashWeight::Proof)
    }

    /// Returns whether the task may have ended all recorded workers at the same age of its runs as in a
    /// proof. An end at an unknown age does not contradict it.
    fn is_consistent_with(&self, proof: &CrashEvidence) -> bool {
        self.ends
            .iter()
            .all(|end| end.evidence.may_have_same_age(proof))
    }

    /// Returns whether enough ends that are proof may have come at one age of the runs, and chance does not
    /// explain them. A task that crashes its workers does so at about the same age, while ends by chance come
    /// at any age.
    fn is_proven(&self) -> bool {
        self.proofs().any(|proof| {
            let at_age =
                |end: &&CrashEvidence| end.may_be_at_age(proof.alive_ms, PROOF_AGE_TOLERANCE_MS);
            let count = self.proofs().filter(at_age).count();
            let chance_ppm = joint_chance_ppm(self.later_proofs().filter(at_age));
            count >= MIN_PROOFS && chance_ppm <= MAX_CHANCE_PPM
        })
    }

    /// Returns the probability that chance ended all workers whose ends are proof, in parts per million. The
    /// first end is excluded.
    pub fn chance_ppm(&self) -> f64 {
        joint_chance_ppm(self.later_proofs())
    }

    /// Returns whether the early crashes on workers without other new runs make it likely that the task
    /// caused all ends: chance hardly explains them, and all ends may have come at the same age. The first
    /// end is excluded.
    fn is_likely_cause(&self) -> bool {
        let later = self.independent().skip(1).map(|end| &end.evidence);
        let early = later.filter(|evidence| {
            evidence.confirmed && evidence.beside == 0 && evidence.weight > CrashWeight::Weak
        });
        let early: Vec<&CrashEvidence> = early.collect();
        let chance_ppm = joint_chance_ppm(early.iter().copied());
        chance_ppm <= MAX_LAST_CHANCE_PPM && early.iter().all(|end| self.is_consistent_with(end))
    }

    /// Returns whether the evidence is sufficient to fail the task's job.
    pub fn is_conclusive(&self) -> bool {
        let early =
            |end: &&CrashEnd| end.evidence.confirmed && end.evidence.weight > CrashWeight::Weak;
        let many = self.independent().filter(early).count() >= EARLY_CRASH_LIMIT;
        let consistent = || {
            self.later_proofs()
                .any(|proof| self.is_consistent_with(proof))
        };
        let started = self.counted_starts >= MAX_STARTS && (consistent() || self.is_likely_cause());
        self.is_proven() || started || (self.has_proof() && many)
    }
}
