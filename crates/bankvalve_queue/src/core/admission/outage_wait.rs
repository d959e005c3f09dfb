//! Waiting through short outages of the table: which submits an instance holds, and until when.
//!
//! A submit that the leader has refused because the table is unavailable has no copy anywhere, so the
//! instance that its caller reached can hold it and send it again, or refuse it, with certainty. It is
//! held only if the table is likely to be back before the caller's final answer is due: a request that
//! is held and then refused costs its caller more than one that is refused at once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{CoreTime, Ticket};
use crate::job::{JobSpec, JobTerms};

/// Lengths of outages that are assumed before any was seen, in milliseconds: those at the users' sites
/// are between 3 and 7 s.
const INITIAL_LENGTHS_MS: [u64; 9] = [
    3_000, 3_500, 4_000, 4_500, 5_000, 5_500, 6_000, 6_500, 7_000,
];
/// Number of outages that are remembered besides these.
const MAX_LENGTHS: usize = 16;
/// Likelihood of service from which a request is held, in percent.
const MIN_CHANCE_PERCENT: usize = 50;
/// Resolution and limit of the search for the time when a request would be held.
const SEARCH_STEP: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_millis(5_000);
/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY: Duration = Duration::from_millis(300);
/// Time to retry during an outage that is longer than all known ones.
const LONG_OUTAGE_RETRY: Duration = Duration::from_millis(2_000);
/// Time by which an outage may exceed all known ones before nothing is held any longer: a silent table's
/// return is noticed up to 0.8 s late. It bounds the wait of callers with long timeouts.
const LENGTH_MARGIN: Duration = Duration::from_millis(1_500);
/// Part of the caller's time that is left for sending a held request to the leader and committing its
/// job once the table is back. Otherwise its caller would get "unknown" for a job that is accepted.
pub(in crate::core) const SERVE_TIME: Duration = Duration::from_millis(150);
/// Maximum number of requests that an instance holds: a quarter of those that it keeps open.
const MAX_HELD: usize = 1_000;
/// Maximum size of the held jobs, in bytes. An instance of the smallest kind has some 100 MB.
const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;

/// How likely an outage of the table ends soon, by the lengths of earlier ones.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let forecast = bankvalve_queue::OutageForecast::default();
/// let ms = Duration::from_millis;
/// assert!(!forecast.ends_within(ms(0), ms(2_400)));
/// assert!(forecast.ends_within(ms(4_000), ms(2_400)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutageForecast {
    seen: VecDeque<Duration>,
}

impl OutageForecast {
    /// Records the length of an outage that has ended.
    pub fn record(&mut self, length: Duration) {
        self.seen.push_back(length);
        if self.seen.len() > MAX_LENGTHS {
            self.seen.pop_front();
        }
    }

    /// Returns whether an outage that has lasted for some time is likely to end within a time: of the
    /// known outages that lasted longer, at least half ended by then. An outage longer than all known
    /// ones is not.
    pub fn ends_within(&self, lasted: Duration, time: Duration) -> bool {
        let initial = INITIAL_LENGTHS_MS
            .iter()
            .copied()
            .map(Duration::from_millis);
        let longer = initial
            .chain(self.seen.iter().copied())
            .filter(|length| *length > lasted);
        let (mut all, mut ended) = (0, 0);
        for length in longer {
            all += 1;
            ended += usize::from(length <= lasted + time);
        }
        ended > 0 && ended * 100 >= all * MIN_CHANCE_PERCENT
    }

    /// Returns whether an outage has lasted clearly longer than all known ones.
    pub fn is_exceeded(&self, lasted: Duration) -> bool {
        let initial = INITIAL_LENGTHS_MS
            .iter()
            .copied()
            .map(Duration::from_millis);
        let longest = initial.chain(self.seen.iter().copied()).max();
        lasted > longest.unwrap_or_default() + LENGTH_MARGIN
    }

    /// Returns the time after which a caller that can wait for `time` should retry: when its request
    /// will be held.
    fn retry_after(&self, lasted: Duration, time: Duration) -> Duration {
        let mut after = MIN_RETRY;
        while after < MAX_RETRY {
            if self.ends_within(lasted + after, time) {
                return after;
            }
            after += SEARCH_STEP;
        }
        LONG_OUTAGE_RETRY
    }
}

/// What the wait of a submit depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldTerms {
    /// When the request arrived.
    pub arrived_at: CoreTime,
    /// When its caller gets the final answer.
    pub answer_due: CoreTime,
    /// Latest start with which the job meets its objective; `None` if it has no objective.
    pub latest_start: Option<CoreTime>,
    /// Whether the job's queue has the highest priority.
    pub urgent: bool,
    /// Size of the job, in bytes.
    pub bytes: usize,
}

impl HoldTerms {
    /// Returns the terms of a job that has arrived. Its objective counts from its arrival, or from when
    /// its first repetition is due, which is `due_in` later.
    pub(in crate::core) fn new(
        arrived_at: CoreTime,
        answer_due: CoreTime,
        due_in: Duration,
        spec: &JobSpec,
        terms: &JobTerms,
    ) -> Self {
        let longest = spec.chains_ms().into_iter().max().unwrap_or(0);
        let objective = terms.stretch * longest as f64 + terms.target_ms as f64;
        let endless = spec.steps.iter().any(|step| step.lasting);
        let slack = (objective as u64).saturating_sub(longest);
        let latest_start = arrived_at + due_in + Duration::from_millis(slack);
        Self {
            arrived_at,
            answer_due,
            latest_start: (objective > 0.0 && !endless).then_some(latest_start),
            urgent: terms.priority == 0,
            bytes: spec.ledger_bytes(),
        }
    }

    /// Returns when a wait must end.
    fn wait_end(&self) -> CoreTime {
        let end = self.answer_due.saturating_sub(SERVE_TIME);
        self.latest_start.map_or(end, |latest| end.min(latest))
    }

    /// Returns the order in which held requests are sent: urgent first, then by latest start.
    fn rank(&self) -> (bool, CoreTime) {
        let latest = self.latest_start.unwrap_or(CoreTime::MAX);
        (!self.urgent, latest)
    }
}

/// What becomes of a submit that the leader has refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// It is held.
    Hold,
    /// It is refused, and its caller may retry after a time.
    Refuse {
        /// The time.
        retry: Duration,
        /// Whether it would have been held if there were room.
        full: bool,
    },
}

/// What became of the submits during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitTally {
    /// Times that a request was held.
    pub held: u64,
    /// Requests that were refused at the end of their wait.
    pub refused_late: u64,
    /// Requests that were refused at once.
    pub refused_at_once: u64,
    /// Longest wait.
    pub longest: Duration,
}

/// The submits that an instance holds while the table is unavailable.
#[derive(Debug, Default)]
pub struct OutageWait {
    forecast: OutageForecast,
    /// When the present outage began.
    since: Option<CoreTime>,
    held: BTreeMap<Ticket, HoldTerms>,
    bytes: usize,
    tally: WaitTally,
}

impl OutageWait {
    /// Records since when the table is unavailable, or that it is not. Returns the length of the outage
    /// that ends by this.
    pub fn update(&mut self, now: CoreTime, since: Option<CoreTime>) -> Option<Duration> {
        let before = std::mem::replace(&mut self.since, since);
        let ended = before.filter(|_| since.is_none());
        let length = ended.map(|began| now.saturating_sub(began));
        if let Some(length) = length {
            self.forecast.record(length);
        }
        length
    }

    /// Returns what became of the submits since the last call.
    pub fn take_tally(&mut self) -> WaitTally {
        std::mem::take(&mut self.tally)
    }

    /// Returns whether the table is unavailable.
    pub fn is_outage(&self) -> bool {
        self.since.is_some()
    }

    /// Returns for how long the present outage has lasted; zero without one.
    pub fn lasted(&self, now: CoreTime) -> Duration {
        let since = self.since.unwrap_or(now);
        now.saturating_sub(since)
    }

    /// Decides about a submit that the leader has refused, and holds it if it is to wait.
    pub fn consider(&mut self, now: CoreTime, ticket: Ticket, terms: HoldTerms) -> HoldDecision {
        let lasted = self.lasted(now);
        let time = terms.wait_end().saturating_sub(now);
        let worthwhile = self.is_outage() && self.forecast.ends_within(lasted, time);
        let bytes = self.bytes + terms.bytes;
        let full = self.held.len() >= MAX_HELD || bytes > MAX_HELD_BYTES;
        if worthwhile && !full {
            self.bytes = bytes;
            self.held.insert(ticket, terms);
            self.tally.held += 1;
            return HoldDecision::Hold;
        }
        self.tally.refused_at_once += 1;
        HoldDecision::Refuse {
            retry: self.retry_after(now, &terms),
            full: worthwhile,
        }
    }

    /// Returns the time after which the caller of a refused submit may retry.
    pub fn retry_after(&self, now: CoreTime, terms: &HoldTerms) -> Duration {
        let whole = terms.wait_end().saturating_sub(terms.arrived_at);
        self.forecast.retry_after(self.lasted(now), whole)
    }

    /// Returns whether a request is held.
    pub fn holds(&self, ticket: Ticket) -> bool {
        self.held.contains_key(&ticket)
    }

    /// Returns the number of held requests.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns the age of the oldest held request; zero without one.
    pub fn oldest(&self, now: CoreTime) -> Duration {
        let arrivals = self.held.values().map(|terms| terms.arrived_at);
        let oldest = arrivals.min().unwrap_or(now);
        now.saturating_sub(oldest)
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Stops holding a request, and returns its terms if it was held.
    pub fn release(&mut self, now: CoreTime, ticket: Ticket) -> Option<HoldTerms> {
        let terms = self.held.remove(&ticket)?;
        self.bytes -= terms.bytes;
        self.record_wait(now, &terms);
        Some(terms)
    }

    /// Stops holding a request whose wait is over without service.
    pub fn give_up(&mut self, now: CoreTime, ticket: Ticket) -> Option<HoldTerms> {
        let terms = self.release(now, ticket)?;
        self.tally.refused_late += 1;
        Some(terms)
    }

    fn record_wait(&mut self, now: CoreTime, terms: &HoldTerms) {
        let waited = now.saturating_sub(terms.arrived_at);
        self.tally.longest = self.tally.longest.max(waited);
    }

    /// Returns the requests whose wait is over without service.
    pub fn overdue(&self, now: CoreTime) -> Vec<Ticket> {
        let exceeded = self.forecast.is_exceeded(self.lasted(now));
        let over = |(_, terms): &(&Ticket, &HoldTerms)| exceeded || now >= terms.wait_end();
        let overdue = self.held.iter().filter(over);
        overdue.map(|(ticket, _)| *ticket).collect()
    }

    /// Stops holding all requests, and returns them in the order in which they are to be sent.
    pub fn release_all(&mut self, now: CoreTime) -> Vec<Ticket> {
        self.bytes = 0;
        let mut held: Vec<_> = std::mem::take(&mut self.held).into_iter().collect();
        for (_, terms) in &held {
            self.record_wait(now, terms);
        }
        held.sort_by_key(|(_, terms)| terms.rank());
        held.into_iter().map(|(ticket, _)| ticket).collect()
    }
}
