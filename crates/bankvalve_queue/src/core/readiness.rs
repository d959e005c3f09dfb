//! Readiness of the instance for callers, and log texts about requests that timed out.

use super::callers::OpenRequest;
use super::EntryCore;
use crate::caller::CallerRequest;

/// Reason why an instance is not ready for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnreadyReason {
    /// It has no configuration.
    NoTable,
    /// It is stopping.
    Stopping,
    /// It knows no leader.
    NoLeader,
    /// It has had no contact with its leader for too long.
    LeaderContactLost,
}

impl UnreadyReason {
    fn as_str(self) -> &'static str {
        match self {
            UnreadyReason::NoTable => "no configuration",
            UnreadyReason::Stopping => "the instance is stopping",
            UnreadyReason::NoLeader => "no leader is known",
            UnreadyReason::LeaderContactLost => "no contact with the leader",
        }
    }
}

impl EntryCore {
    /// Returns why the instance is not ready for callers, or `None` if it is ready.
    pub(super) fn unready_reason(&self) -> Option<UnreadyReason> {
        if self.table.is_none() {
            Some(UnreadyReason::NoTable)
        } else if self.stopping {
            Some(UnreadyReason::Stopping)
        } else if self.lead.is_some() || self.has_leader_contact() {
            None
        } else if self.leader.is_none() {
            Some(UnreadyReason::NoLeader)
        } else {
            Some(UnreadyReason::LeaderContactLost)
        }
    }

    /// Logs that the instance has become ready, or why it is not, whenever that changes.
    pub(super) fn log_readiness(&mut self) {
        let reason = self.unready_reason();
        if self.logged_readiness == Some(reason) {
            return;
        }
        self.logged_readiness = Some(reason);
        let event = if reason.is_some() {
            "not_ready"
        } else {
            "ready"
        };
        let why = reason.map_or("", UnreadyReason::as_str);
        let detail = format!(
            "{why}, {}, configuration {}",
            self.leader_text(),
            self.table_version()
        );
        let detail = detail.trim_start_matches(", ").to_owned();
        self.log("entry", event, String::new(), detail);
    }

    /// Logs a request that timed out: what it asked for, how long ago, and where it was last sent.
    pub(super) fn log_timed_out(&mut self, open: &OpenRequest) {
        let kind = request_kind(&open.request);
        let sent = match open.sent {
            Some((to, at)) => format!("last sent to {to} {:?} ago", self.age(at)),
            None => "not sent".to_owned(),
        };
        let detail = format!(
            "{kind} after {:?}, {sent}, {} copies unanswered, {}",
            self.age(open.since),
            open.copies,
            self.leader_text()
        );
        self.log("callers", "give_up", job_text(&open.request), detail);
    }

    /// Describes the leader and the age of the last contact with it.
    fn leader_text(&self) -> String {
        match &self.leader {
            None => "no leader".to_owned(),
            Some(leader) => {
                let age = self.age(leader.last_contact);
                let gone = if leader.gone { ", gone" } else { "" };
                format!(
                    "leader {} of epoch {}, last contact {age:?} ago{gone}",
                    leader.address, leader.epoch
                )
            }
        }
    }
}

/// Returns the kind of a request as the log names it.
fn request_kind(request: &CallerRequest) -> &'static str {
    match request {
        CallerRequest::Submit { .. } => "submit",
        CallerRequest::Status { .. } => "status",
        CallerRequest::Cancel { .. } => "cancel",
        CallerRequest::Count { .. } => "count",
    }
}

/// Returns the job that a request is about, as the log names it; empty for a count.
pub(super) fn job_text(request: &CallerRequest) -> String {
    match request {
        CallerRequest::Submit { spec, .. } => format!("{:016x}", spec.id),
        CallerRequest::Status { job } | CallerRequest::Cancel { job } => format!("{job:016x}"),
        CallerRequest::Count { .. } => String::new(),
    }
}
