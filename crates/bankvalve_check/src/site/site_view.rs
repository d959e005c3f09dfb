//! What a world shows of its instances: who leads, what they count, how a job stands.

use bankvalve_queue::{EntryCore, JobId, TaskKey, TaskPhase, TaskWaits};

use super::{SiteNode, SiteWorld};

impl SiteWorld {
    /// Tells whether all instances that are up know that a task has no run.
    pub fn is_waiting(&self, task: TaskKey) -> bool {
        let waits = |core: &EntryCore| {
            let record = core.book().job(task.step.job)?.task(task)?;
            Some(record.phase == TaskPhase::Waiting)
        };
        let mut cores = self.nodes.iter().filter_map(|node| node.core.as_ref());
        cores.all(|core| waits(core) == Some(true))
    }

    /// How a job stands in the leader's book, for diagnosis.
    pub fn describe(&self, job: JobId) -> String {
        let leader = self
            .leader()
            .and_then(|node| self.nodes[node].core.as_ref());
        match leader.map(|core| core.book().job(job)) {
            None => "no leader".into(),
            Some(None) => "not known".into(),
            Some(Some(record)) => format!("{:?} {:?}", record.outcome, record.times),
        }
    }

    /// Callers' requests without an answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// The instance that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(SiteNode::leads)
    }

    /// Tasks that do not run though they did, as the leader sees them; none without one.
    pub fn task_waits(&self) -> TaskWaits {
        let leader = self
            .leader()
            .and_then(|node| self.nodes[node].core.as_ref());
        leader.map_or_else(TaskWaits::default, |core| core.view().task_waits)
    }

    /// Expected wait of work of a priority, in milliseconds, as the leader shows it; none without a forecast.
    pub fn forecast_wait_ms(&self, priority: u32) -> Option<u64> {
        let leader = self.nodes[self.leader()?].core.as_ref()?;
        let waits = leader.view().forecast_waits;
        let wait = waits.iter().find(|(of, _)| *of == priority);
        wait.map(|(_, wait)| wait.as_millis() as u64)
    }

    /// A counter of the leader; 0 without one.
    pub fn counter(&self, family: &'static str, kind: &'static str) -> u64 {
        let leader = self
            .leader()
            .and_then(|node| self.nodes[node].core.as_ref());
        leader.map_or(0, |core| core.view().counters.of(family, kind))
    }

    /// A counter of an instance; 0 while it is down.
    pub fn counter_of(&self, node: usize, family: &'static str, kind: &'static str) -> u64 {
        let core = self.nodes[node].core.as_ref();
        core.map_or(0, |core| core.view().counters.of(family, kind))
    }
}
