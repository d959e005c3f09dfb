//! Status reads that a follower answers from its own book, with everything that was committed when the
//! read arrived.
//!
//! Problem: callers poll the state of their open jobs, at any instance. If the leader answers all polls,
//! they take most of its time when it is overloaded: with steps of 2 ms and twice the load that it can
//! handle, 630 jobs were served in 20 s that way, and 880 with reads from followers. A follower's book
//! may lack the latest commits, so a caller whose cancel has been answered could get "running". So a
//! follower collects reads, requests one read index from the leader for all of them, which is the last
//! committed batch, and answers once its book has reached it (as in Raft's ReadIndex).

use std::time::Duration;

use super::commit::Origin;
use super::EntryCore;
use crate::caller::CallerAnswer;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, JobId};
use crate::peer::{PeerAddress, PeerMessage};

/// Timeout of a read round, in addition to the round trip to the leader: the read index and the batches
/// up to it must have arrived. The reads then go to the leader, in what is left of a caller's 3 s.
const ROUND_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which the read index is requested again, in addition to the round trip to the leader.
const INDEX_RESEND_AFTER: Duration = Duration::from_millis(300);
/// Maximum number of reads that wait for the next round.
const MAX_COLLECTED_READS: usize = 4_000;

/// A request for the state of a job.
#[derive(Clone, Copy, Debug)]
struct FollowerRead {
    origin: Origin,
    job: JobId,
}

/// Reads that wait for one read index.
#[derive(Debug)]
struct ReadRound {
    number: u64,
    leader: PeerAddress,
    begun_at: CoreTime,
    sent_at: CoreTime,
    /// The read index: the last committed batch, once the leader has sent it.
    index: Option<u64>,
    reads: Vec<FollowerRead>,
}

/// Reads that are answered from the local book.
#[derive(Debug, Default)]
pub(super) struct FollowerReads {
    collected: Vec<FollowerRead>,
    round: Option<ReadRound>,
    rounds: u64,
}

impl EntryCore {
    /// Accepts a read of a job that is in the local book, if this instance is an up-to-date follower.
    /// Returns the leader that confirms the read, or `None` if the leader must answer it.
    pub(super) fn read_local_book(
        &mut self,
        origin: Origin,
        job: JobId,
        caller: &CallerIdentity,
    ) -> Option<PeerAddress> {
        let leader = self.followed_leader()?;
        let record = self.book.job(job)?;
        // The leader decides how to answer a caller without access.
        if !self.may_access(record, caller) {
            return None;
        }
        if self.follower_reads.collected.len() >= MAX_COLLECTED_READS {
            return None;
        }
        let read = FollowerRead { origin, job };
        if self.enforces(SiteGuard::ReadMark) {
            self.follower_reads.collected.push(read);
            self.begin_read_round();
        } else {
            self.answer_read(read);
        }
        Some(leader)
    }

    /// Returns the leader, if this instance is in contact with it and its book has no gap before the
    /// batches that the leader sends.
    fn followed_leader(&self) -> Option<PeerAddress> {
        let leader = self.leader.as_ref().filter(|_| self.lead.is_none())?;
        let in_contact = self.has_leader_contact() && !leader.loading;
        let complete = self.applied > 0 && !self.catching_up && self.catch_up_at.is_none();
        (in_contact && complete && leader.address != self.settings.address)
            .then_some(leader.address)
    }

    fn begin_read_round(&mut self) {
        let Some(leader) = self.followed_leader() else {
            return;
        };
        let reads = &mut self.follower_reads;
        if reads.round.is_some() || reads.collected.is_empty() {
            return;
        }
        reads.rounds += 1;
        let number = reads.rounds;
        reads.round = Some(ReadRound {
            number,
            leader,
            begun_at: self.now,
            sent_at: self.now,
            index: None,
            reads: std::mem::take(&mut reads.collected),
        });
        self.send_message(leader, PeerMessage::MarkWanted { round: number });
    }

    /// Sends a follower the read index: the last committed batch.
    pub(super) fn send_read_index(&mut self, to: PeerAddress, round: u64) {
        let Some(lead) = self.lead.as_deref().filter(|lead| lead.loaded) else {
            return;
        };
        let sequence = lead.sequence;
        self.send_message(to, PeerMessage::Mark { round, sequence });
    }

    /// Handles the read index from the leader.
    pub(super) fn handle_read_index(&mut self, from: PeerAddress, number: u64, sequence: u64) {
        let round = self.follower_reads.round.as_mut();
        let is_current = |round: &&mut ReadRound| round.number == number && round.leader == from;
        if let Some(round) = round.filter(is_current) {
            round.index = Some(sequence);
        }
        self.end_read_round();
    }

    /// Answers the reads of a round once the local book has reached the read index, and begins the next
    /// round.
    pub(super) fn end_read_round(&mut self) {
        let reached =
            |round: &mut ReadRound| round.index.is_some_and(|index| self.applied >= index);
        if let Some(round) = self.follower_reads.round.take_if(reached) {
            for read in round.reads {
                self.answer_read(read);
            }
        }
        self.begin_read_round();
    }

    /// Requests a missing read index again, and abandons a round that has timed out or lost its leader.
    pub(super) fn run_follower_reads(&mut self) {
        let now = self.now;
        let followed = self.followed_leader();
        let round_trip = self.round_trip_to_leader();
        let ended = |round: &mut ReadRound| {
            let late = now.saturating_sub(round.begun_at) >= ROUND_TIMEOUT + round_trip;
            late || followed != Some(round.leader)
        };
        let round = self.follower_reads.round.take_if(ended);
        if round.is_some() || followed.is_none() {
            let collected = std::mem::take(&mut self.follower_reads.collected);
            let reads = round.into_iter().flat_map(|round| round.reads);
            self.abandon_reads(reads.chain(collected).collect());
        }
        let pause = INDEX_RESEND_AFTER + round_trip;
        let unanswered = |round: &&mut ReadRound| {
            round.index.is_none() && now.saturating_sub(round.sent_at) >= pause
        };
        if let Some(round) = self.follower_reads.round.as_mut().filter(unanswered) {
            round.sent_at = now;
            let (leader, number) = (round.leader, round.number);
            self.send_message(leader, PeerMessage::MarkWanted { round: number });
        }
        self.end_read_round();
    }

    /// Abandons reads: those of this instance's callers go to the leader. A peer repeats its own requests.
    fn abandon_reads(&mut self, reads: Vec<FollowerRead>) {
        for read in reads {
            self.counters.count("retries", "book_read");
            if let Origin::Local(ticket) = read.origin {
                self.request_leader_instead(ticket);
            }
        }
    }

    fn answer_read(&mut self, read: FollowerRead) {
        // The book of an instance that has become the leader contains uncommitted events.
        let record = self.book.job(read.job).filter(|_| self.lead.is_none());
        if let Some(record) = record {
            self.answer(read.origin, CallerAnswer::State(record.state()));
        }
    }
}
