//! Checks of histories, counted by name.

use std::collections::BTreeMap;

/// Most findings whose text is kept.
const FINDING_LIMIT: usize = 16;

/// A check that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryFinding {
    /// The check.
    pub check: &'static str,
    /// What was found.
    pub text: String,
}

/// Checks of a history.
#[derive(Clone, Debug, Default)]
pub struct HistoryCheck {
    /// How often each check was made.
    pub made: BTreeMap<&'static str, u64>,
    /// Checks that did not hold.
    pub findings: Vec<HistoryFinding>,
}

impl HistoryCheck {
    /// Makes a check.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_check::history::HistoryCheck;
    ///
    /// let mut checks = HistoryCheck::default();
    /// checks.make("one place", true, || "never built".into());
    /// assert!(checks.findings.is_empty());
    /// ```
    pub fn make(&mut self, check: &'static str, holds: bool, text: impl FnOnce() -> String) {
        *self.made.entry(check).or_default() += 1;
        if !holds && self.findings.len() < FINDING_LIMIT {
            let text = text();
            self.findings.push(HistoryFinding { check, text });
        }
    }
}
