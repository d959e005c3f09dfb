//! Decisions' log lines, and how many of a kind are logged in a second.

use std::collections::BTreeMap;
use std::time::Duration;

use super::EntryCore;
use crate::core::CoreAction;
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

impl EntryCore {
    /// Logs how many lines were left out.
    pub(super) fn log_dropped_lines(&mut self) {
        if let Some(line) = self.log_budget.take_left_out() {
            self.actions.push(CoreAction::Log(line));
        }
    }

    /// Logs one of many lines of a kind, unless so many were logged in this second that it would
    /// be left out: at 1,500 starts a second their texts alone would take a hundredth of a core.
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
