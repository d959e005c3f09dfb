//! How many lines of a kind are logged in a second.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decision::DecisionLine;
use crate::ids::CoreTime;

/// Lines of one kind in a span.
const LINES: u32 = 400;
/// The span.
const SPAN: Duration = Duration::from_secs(1);

/// Counts lines, so that those that would be left out cost nothing.
#[derive(Debug, Default)]
pub(super) struct LogBudget {
    since: CoreTime,
    counts: BTreeMap<(&'static str, &'static str), u32>,
    left_out: u64,
}

impl LogBudget {
    /// Tells whether a line of a kind is logged now.
    pub(super) fn may_log(
        &mut self,
        now: CoreTime,
        part: &'static str,
        event: &'static str,
    ) -> bool {
        if now.saturating_sub(self.since) >= SPAN {
            self.since = now;
            self.counts.clear();
        }
        let count = self.counts.entry((part, event)).or_default();
        *count += 1;
        let logged = *count <= LINES;
        self.left_out += u64::from(!logged);
        logged
    }

    /// A line that tells how many were left out since the last such line; none if none were.
    pub(super) fn take_left_out(&mut self) -> Option<DecisionLine> {
        let count = std::mem::take(&mut self.left_out);
        (count > 0).then(|| DecisionLine {
            part: "log",
            event: "left_out",
            id: String::new(),
            detail: count.to_string(),
        })
    }
}
