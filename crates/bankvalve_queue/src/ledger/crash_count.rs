//! Workers that ended under a task, and when that is enough to give the task up.
//!
//! The pattern that it answers: a task that ends each worker that starts it, handed to the next one
//! by a retry without a budget, takes a site's workers down one after the other, each with all that
//! runs there. Such a worker cannot tell of the end, so it is counted here, in the ledger, where it
//! outlasts the leader.
//!
//! Workers are lost by themselves as well, one by one or a failure domain at a time, and take along what
//! had just been started there. So an end is proof only by what was seen of it: the worker's port
//! refused soon after the order, and no other run there was new. Even that happens by chance; how
//! seldom is reckoned with each end and kept with it, and a task is given up once chance is no
//! explanation for all of them. An end of which less was seen
//! makes a suspect at most, which is tried where nothing else runs.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{RunId, WorkerId};

/// Workers that ended under a task from which on it is a suspect, however the ends came about. One is
/// too few: of some 170 workers lost in two minutes of an ordinary bad day each took five to
/// thirteen runs along.
const SUSPECT_CRASHES: usize = 2;
/// Least ends that are proof before a task is given up: the users' own figure. A trial takes nobody
/// along, so a second one costs little; a job that is given up wrongly is lost.
const LEAST_PROOFS: usize = 2;
/// Odds that chance ended all workers that are proof, up to which a task is given up, in parts per
/// million.
const CHANCE_LIMIT_PPM: f64 = 50.0;
/// Ends from which on a task starts only where nothing else that is new runs, if one of its workers ended
/// right after its start: each start more is one of the few that the users grant it.
const GRAVE_CRASHES: usize = 2;
/// Ends right after a start after which one proof is enough. The users take five starts after the third
/// worker for too many; this leaves room for an end of which no word came.
const MOST_YOUNG: usize = 4;
/// Ends from which on the starts of a task are counted, runs whose end nobody told among them, and starts that
/// are granted to it then: the users take a third one for too many.
const COUNTED_ENDS: usize = 3;
const MOST_STARTS: u32 = 2;
/// Time for which a trial goes on past the age at which runs ended before, and that age where it is not
/// known, in milliseconds.
const TRIAL_SLACK_MS: u32 = 250;
const UNKNOWN_AGE_MS: u32 = 750;
/// Longest age that a trial waits for, of one end and of ends that were alike, and by how much these may
/// differ; in milliseconds.
const SINGLE_AGE_MS: u32 = 1_500;
const LONGEST_AGE_MS: u32 = 6_000;
const ALIKE_MS: u32 = 500;
/// Time by which a run must have outlived all that ended with their workers before it, to show
/// that its task does not end them, in milliseconds.
const CLEARED_AFTER_MS: u32 = 1_000;

/// What the end of a worker tells against a run that it had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashWeight {
    /// Little: it had run for a while, or it was not seen when and how the worker ended.
    Weak,
    /// The worker ended right after the run was ordered, among other new runs or other workers.
    Young,
    /// The worker ended soon after the run was ordered, the only new one there.
    Proof,
}

impl CrashWeight {
    /// Word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CrashWeight::Weak => "weak",
            CrashWeight::Young => "young",
            CrashWeight::Proof => "proof",
        }
    }
}

/// What was seen of a worker's end under a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredEvidence")]
pub struct CrashEvidence {
    /// What it tells against the task.
    pub weight: CrashWeight,
    /// Whether the worker answered the order, or a list had the run.
    pub confirmed: bool,
    /// Time from the order until a list last had the run, in milliseconds; 0 if none had.
    pub alive_ms: u32,
    /// Time from the order until the worker's port first refused, or another life answered, in
    /// milliseconds; none if neither was seen, or a leader before gave the order.
    pub over_ms: Option<u32>,
    /// Other runs on the worker that were new.
    pub beside: u32,
    /// Other workers that were lost at the same time.
    pub others: u32,
    /// Odds that a worker ends by chance in the time in which this one did, in parts per million.
    pub chance_ppm: u32,
}

/// Evidence as ledgers have it: a version before this one kept a word alone.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredEvidence {
    Told(CrashWeight, bool, u32, Option<u32>, u32, u32, u32),
    Word(String),
}

impl From<StoredEvidence> for CrashEvidence {
    fn from(stored: StoredEvidence) -> Self {
        match stored {
            StoredEvidence::Told(
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
            // What was seen is not known: it makes a suspect at most.
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
            (false, _) => "the order not answered".to_owned(),
            (true, 0) => "never listed".to_owned(),
            (true, alive) => format!("listed until {alive} ms after the order"),
        };
        let over = match self.over_ms {
            Some(over) => format!("surely ended {over} ms after it"),
            None => "not seen when it ended".to_owned(),
        };
        let weight = self.weight.as_str();
        let (beside, others, chance) = (self.beside, self.others, self.chance_ppm);
        write!(
            into,
            "{answered}, {over}, {beside} new runs beside, {others} other workers lost with it, by chance \
             {chance} in a million: {weight} evidence"
        )
    }
}

/// The end of a worker under a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashEnd {
    /// The worker.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// What was seen of it.
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

/// Workers that ended under one task.
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
    /// Runs since the first end of which nobody told how they ended: their workers may have ended as well.
    untold: usize,
    /// Runs that have ended, and not well, since its starts are counted.
    starts: u32,
}

impl CrashCount {
    /// Notes that a worker ended; once a run, by what was seen when it ended.
    ///
    /// A run that has outlived all that ended with their workers before clears its task of those: what
    /// ends its workers does so again at about the same age.
    pub fn note(&mut self, end: CrashEnd) {
        if let Some(known) = self.ends.iter_mut().find(|known| known.run == end.run) {
            if end.evidence.over_ms.is_some() {
                *known = end;
            }
            return;
        }
        let oldest = self.oldest_age_ms().unwrap_or_default();
        if end.evidence.alive_ms >= oldest + CLEARED_AFTER_MS {
            *self = Self::default();
        }
        self.ends.push(end);
    }

    /// Takes back the end of a worker that has told of the run since: it lives.
    pub fn remove_end(&mut self, run: RunId) {
        self.ends.retain(|end| end.run != run);
    }

    /// Notes that a run has ended, and not well; `told` is whether anybody told how. An end that is noted is
    /// noted first.
    pub fn note_run(&mut self, run: RunId, told: bool) {
        let before = self.ends.iter().filter(|end| end.run != run).count();
        if before + self.untold >= COUNTED_ENDS {
            self.starts += 1;
        } else if !told && before == self.ends.len() {
            self.untold += 1;
        }
    }

    /// The ends, in order.
    pub fn ends(&self) -> &[CrashEnd] {
        &self.ends
    }

    /// Greatest age at which a run ended with its worker, where that is known; in milliseconds.
    fn oldest_age_ms(&self) -> Option<u32> {
        let ages = self.ends.iter().map(|end| end.evidence.over_ms);
        ages.flatten().max()
    }

    /// Time for which a run is kept apart from others, so that an end like those before it shows: one at
    /// a great age only if two of them were alike.
    pub fn trial_time(&self) -> Duration {
        let ages = self.ends.iter().filter_map(|end| end.evidence.over_ms);
        let alike = |age: &u32| {
            let others = self.ends.iter().filter_map(|end| end.evidence.over_ms);
            others
                .filter(|other| other.abs_diff(*age) <= ALIKE_MS)
                .count()
                > 1
        };
        let repeated = ages
            .clone()
            .filter(alike)
            .max()
            .map(|age| age.min(LONGEST_AGE_MS));
        let single = ages.max().unwrap_or(UNKNOWN_AGE_MS).min(SINGLE_AGE_MS);
        let age = repeated.map_or(single, |age| age.max(single));
        Duration::from_millis(u64::from(age + TRIAL_SLACK_MS))
    }

    /// The ends of workers of which none had ended under the task before: one cause may end the same worker
    /// again and again.
    fn independent(&self) -> impl Iterator<Item = &CrashEnd> {
        let numbered = self.ends.iter().enumerate();
        let first = |(number, end): &(usize, &CrashEnd)| {
            let mut before = self.ends[..*number].iter();
            before.all(|other| other.worker != end.worker)
        };
        numbered.filter(first).map(|(_, end)| end)
    }

    /// The ends that are proof.
    fn proofs(&self) -> impl Iterator<Item = &CrashEvidence> {
        let evidence = self.independent().map(|end| &end.evidence);
        evidence.filter(|evidence| evidence.weight == CrashWeight::Proof)
    }

    /// Whether one of the ends is proof.
    pub fn has_proof(&self) -> bool {
        self.proofs().next().is_some()
    }

    /// Whether the task is started only where nothing else runs, if that can be had.
    pub fn is_suspect(&self) -> bool {
        self.has_early_crash() || self.ends.len() >= SUSPECT_CRASHES
    }

    /// Whether one of its workers ended right after it was started there.
    pub fn has_early_crash(&self) -> bool {
        let mut ends = self.ends.iter();
        ends.any(|end| end.evidence.weight > CrashWeight::Weak)
    }

    /// Whether the task is never started beside others that are new.
    pub fn must_be_isolated(&self) -> bool {
        self.has_early_crash() && self.ends.len() >= GRAVE_CRASHES
    }

    /// Shortest span of ages in which this end of a run, seen alive at one age and over at another, and
    /// one before it lie; in milliseconds.
    pub fn common_age_ms(&self, alive_ms: u32, over_ms: u32) -> Option<u32> {
        let ages = self.ends.iter().filter_map(|end| {
            let over = end.evidence.over_ms?;
            Some((end.evidence.alive_ms, over))
        });
        ages.map(|(alive, over)| over.max(over_ms) - alive.min(alive_ms))
            .min()
    }

    /// The ends that are proof but for the first end: of all tasks those are looked at under which a worker ended.
    fn later_proofs(&self) -> impl Iterator<Item = &CrashEvidence> {
        let later = self.independent().skip(1).map(|end| &end.evidence);
        later.filter(|evidence| evidence.weight == CrashWeight::Proof)
    }

    /// Whether all workers may have ended at the age that a proof tells, as far as their ages are known.
    fn agree_with(&self, proof: &CrashEvidence) -> bool {
        let last = proof.over_ms.unwrap_or(u32::MAX).saturating_add(ALIKE_MS);
        let mut ends = self.ends.iter().map(|end| &end.evidence);
        ends.all(|end| {
            let over = end.over_ms.unwrap_or(u32::MAX).saturating_add(ALIKE_MS);
            end.alive_ms <= last && proof.alive_ms <= over
        })
    }

    /// Odds that chance ended all workers that are proof, in parts per million; the first end has no part in them.
    pub fn chance_ppm(&self) -> f64 {
        let proofs = self.later_proofs();
        let chances = proofs.map(|evidence| f64::from(evidence.chance_ppm) / 1e6);
        chances.product::<f64>() * 1e6
    }

    /// Whether the task is given up.
    pub fn is_conclusive(&self) -> bool {
        let proofs = self.proofs().count();
        let proven = proofs >= LEAST_PROOFS && self.chance_ppm() <= CHANCE_LIMIT_PPM;
        let young =
            |end: &&CrashEnd| end.evidence.confirmed && end.evidence.weight > CrashWeight::Weak;
        let many = self.independent().filter(young).count() >= MOST_YOUNG;
        let alike = || self.later_proofs().any(|proof| self.agree_with(proof));
        let started = self.starts >= MOST_STARTS && alike();
        proven || started || (proofs > 0 && many)
    }
}
