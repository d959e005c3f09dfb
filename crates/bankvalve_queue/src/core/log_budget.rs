//! Log lines of decisions, and the limit of lines of one kind per second.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EntryCore;
use crate::core::CoreAction;
use crate::decision::DecisionLine;
use crate::ids::CoreTime;

/// Maximum number of lines of one kind per [`COUNT_INTERVAL`].
const MAX_LINES: u32 = 400;
/// Interval over which lines are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Counts the lines of each kind, so that no text is formatted for lines that are dropped.
#[derive(Debug, Default)]
pub(super) struct LogBudget {
    since: CoreTime,
    counts: BTreeMap<(&'static str, &'static str), u32>,
    dropped: u64,
}

impl LogBudget {
    /// Counts a line of a kind, and returns whether it is logged.
    pub(super) fn may_log(
        &mut self,
        now: CoreTime,
        part: &'static str,
        event: &'static str,
    ) -> bool {
        if now.saturating_sub(self.since) >= COUNT_INTERVAL {
            self.since = now;
            self.counts.clear();
        }
        let count = self.counts.entry((part, event)).or_default();
        *count += 1;
        let logged = *count <= MAX_LINES;
        self.dropped += u64::from(!logged);
        logged
    }

    /// Returns a line with the number of lines that were dropped since the last such line, or `None` if
    /// there were none.
    pub(super) fn take_dropped(&mut self) -> Option<DecisionLine> {
        let count = std::mem::take(&mut self.dropped);
        (count > 0).then(|| DecisionLine {
            part: "log",
            event: "left_out",
            id: String::new(),
            detail: count.to_string(),
        })
    }
}

impl EntryCore {
    /// Logs how many lines were dropped.
    pub(super) fn log_dropped_lines(&mut self) {
        if let Some(line) = self.log_budget.take_dropped() {
            self.actions.push(CoreAction::Log(line));
        }
    }

    /// Logs a line of a frequent kind, unless the limit for this second is reached. The text is formatted
    /// only if it is logged: at 1,500 starts per second, formatting alone takes a hundredth of a core.
    pub(super) fn log_often(
        &mut self,
        part: &'static str,
        event: &'static str,
        line: impl FnOnce() -> (String, String),
    ) {
        if self.log_budget.may_log(self.now, part, event) {
            let (id, detail) = line();
            self.log(part, event, id, detail);
        }
    }

    pub(super) fn log(
        &mut self,
        part: &'static str,
        event: &'static str,
        id: String,
        detail: String,
    ) {
        self.actions.push(CoreAction::Log(DecisionLine {
            part,
            event,
            id,
            detail,
        }));
    }
}
