//! What an instance tells of itself beside its decisions: whether it may be given callers and why
//! not, and which requests it gave up.

use super::callers::OpenRequest;
use super::EntryCore;
use crate::caller::CallerRequest;

/// Why an instance may not be given callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnreadyReason {
    /// It has no configuration.
    NoTable,
    /// It stops.
    Stopping,
    /// It has never heard of a leader.
    NoLeader,
    /// It has not heard its leader for too long.
    SilentLeader,
}

impl UnreadyReason {
    fn as_str(self) -> &'static str {
        match self {
            UnreadyReason::NoTable => "no configuration",
            UnreadyReason::Stopping => "it stops",
            UnreadyReason::NoLeader => "no leader is known",
            UnreadyReason::SilentLeader => "its leader is silent",
        }
    }
}

impl EntryCore {
    /// Why the instance may not be given callers; none if it may.
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
            Some(UnreadyReason::SilentLeader)
        }
    }

    /// Logs that the instance has become ready, or is not and why.
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

    /// Logs a request that is given up: what was asked, how long ago, and where it was last sent.
    pub(super) fn log_given_up(&mut self, ask: &OpenRequest) {
        let kind = request_kind(&ask.request);
        let sent = match ask.sent {
            Some((to, at)) => format!("last sent to {to} {:?} ago", self.age(at)),
            None => "not sent".to_owned(),
        };
        let detail = format!(
            "{kind} after {:?}, {sent}, {} copies unanswered, {}",
            self.age(ask.since),
            ask.copies,
            self.leader_text()
        );
        self.log("callers", "give_up", job_text(&ask.request), detail);
    }

    /// Who leads, and how long ago that was heard.
    fn leader_text(&self) -> String {
        match &self.leader {
            None => "no leader".to_owned(),
            Some(leader) => {
                let age = self.age(leader.last_contact);
                let gone = if leader.gone { ", gone" } else { "" };
                format!(
                    "leader {} of epoch {} heard {age:?} ago{gone}",
                    leader.address, leader.epoch
                )
            }
        }
    }
}

/// What a request asks for.
fn request_kind(request: &CallerRequest) -> &'static str {
    match request {
        CallerRequest::Submit { .. } => "submit",
        CallerRequest::Status { .. } => "status",
        CallerRequest::Cancel { .. } => "cancel",
        CallerRequest::Count { .. } => "count",
    }
}

/// The job that a request is about, as the log names it; nothing for a count.
pub(super) fn job_text(request: &CallerRequest) -> String {
    match request {
        CallerRequest::Submit { spec, .. } => format!("{:016x}", spec.id),
        CallerRequest::Status { job } | CallerRequest::Cancel { job } => format!("{job:016x}"),
        CallerRequest::Count { .. } => String::new(),
    }
}
