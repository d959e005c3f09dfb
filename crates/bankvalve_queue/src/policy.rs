//! The scheduler's policies. Each can be switched off to measure its benefit.

/// A policy that can be switched off. In production, all are on.
///
/// Unlike with a [`SiteGuard`](crate::SiteGuard), none of the platform's rules depends on a policy. Without
/// it, the site only serves its callers worse or costs more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicySwitch {
    /// An unanswered write is checked by reading the ledger. Without this policy, copies are sent by time
    /// alone.
    ReadBack,
    /// The delay before an unanswered order is repeated depends on how long answers take.
    QuickRepeat,
    /// Polls of workers with urgent runs wait for a shorter time.
    ShortLooks,
    /// Urgent runs that make no progress or are slow are restarted elsewhere.
    OverdueRuns,
    /// Steps that find no capacity preempt runs of lower priority that save their progress.
    Preemption,
    /// Urgent steps prefer fast workers.
    FastWorkers,
    /// Capacity ("room" in the name) is reserved for a step while its permits are renewed.
    PermitRoom,
    /// Workers that fail what they start get no new runs during a back-off.
    FailureRest,
    /// A leader with little CPU hands over leadership to a peer with much more.
    StrongLeader,
    /// A leader that the table does not answer hands over leadership to a peer that it answers.
    TableYield,
    /// Long advice requests leave some instances free for short ones.
    ShortQuestions,
    /// Waiting steps are ordered by the latest start that still meets their job's objective.
    LatestStart,
    /// Uncommitted jobs are refused while the table is unavailable.
    Withdrawal,
    /// Jobs that a customer submits beyond its share come after all others.
    CustomerShares,
    /// Gangs of queues that allow few failed runs prefer workers whose last run did not fail
    /// ("proved" workers).
    ProvedWorkers,
    /// Submits that the table is likely to serve in time wait through the rest of a short outage.
    OutageWait,
    /// Where the configuration has queues of a priority between the first and the last, capacity is planned by
    /// priority.
    CapacityPlan,
    /// Jobs that would end too late, or late at the expense of others, are refused at once.
    AdmissionForecast,
    /// Run times are expected by the measured times of the image and by the speed of the worker. Without this
    /// policy, they are expected by the average error of the queue's estimates.
    RunTimeModel,
    /// Long-running tasks on workers that leave are stopped there once they can start elsewhere.
    EarlyMove,
    /// Standbys know the policy service's answers about long-running tasks, and answers reach a new leader.
    SharedAdvice,
}

impl PolicySwitch {
    /// All policies.
    pub const ALL: [PolicySwitch; 21] = [
        PolicySwitch::ReadBack,
        PolicySwitch::QuickRepeat,
        PolicySwitch::ShortLooks,
        PolicySwitch::OverdueRuns,
        PolicySwitch::Preemption,
        PolicySwitch::FastWorkers,
        PolicySwitch::PermitRoom,
        PolicySwitch::FailureRest,
        PolicySwitch::StrongLeader,
        PolicySwitch::TableYield,
        PolicySwitch::ShortQuestions,
        PolicySwitch::LatestStart,
        PolicySwitch::Withdrawal,
        PolicySwitch::CustomerShares,
        PolicySwitch::ProvedWorkers,
        PolicySwitch::OutageWait,
        PolicySwitch::CapacityPlan,
        PolicySwitch::AdmissionForecast,
        PolicySwitch::RunTimeModel,
        PolicySwitch::EarlyMove,
        PolicySwitch::SharedAdvice,
    ];
}

/// Policies that take effect only where a site's settings call for them. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OptionalPolicies {
    /// [`PolicySwitch::CapacityPlan`].
    pub capacity_plan: bool,
    /// [`PolicySwitch::RunTimeModel`].
    pub run_times: bool,
    /// [`PolicySwitch::AdmissionForecast`].
    pub admission_forecast: bool,
    /// [`PolicySwitch::OutageWait`].
    pub outage_wait: bool,
}

impl OptionalPolicies {
    /// All optional policies.
    pub const ALL: Self = Self {
        capacity_plan: true,
        run_times: true,
        admission_forecast: true,
        outage_wait: true,
    };

    /// Returns whether a policy is called for. Policies that are not optional always are.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::{OptionalPolicies, PolicySwitch};
    ///
    /// let none = OptionalPolicies::default();
    /// assert!(none.includes(PolicySwitch::LatestStart));
    /// assert!(!none.includes(PolicySwitch::CapacityPlan));
    /// ```
    pub fn includes(&self, policy: PolicySwitch) -> bool {
        match policy {
            PolicySwitch::CapacityPlan => self.capacity_plan,
            PolicySwitch::RunTimeModel => self.run_times,
            PolicySwitch::AdmissionForecast => self.admission_forecast,
            PolicySwitch::OutageWait => self.outage_wait,
            _ => true,
        }
    }
}
