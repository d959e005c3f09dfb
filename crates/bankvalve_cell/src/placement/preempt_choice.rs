//! Choice of the tasks to preempt on one worker.

use crate::link::TaskId;
use crate::machine::TaskSize;

/// A task that may be preempted.
#[derive(Clone, Debug, PartialEq)]
pub struct VictimCandidate {
    /// The task.
    pub id: TaskId,
    /// Resources reserved for the task.
    pub size: TaskSize,
    /// Work lost if the task is stopped, in core milliseconds.
    pub cost: f64,
}

/// Chooses tasks to stop so that `need` fits into their resources and `free` together.
///
/// Adds tasks in ascending order of cost until `need` fits. Then removes each
/// task that is not needed after all, in descending order of cost. Returns the
/// tasks and their total cost, or `None` if stopping all of them is not enough.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::link::TaskId;
/// use bankvalve_cell::machine::TaskSize;
/// use bankvalve_cell::placement::{choose_victims, VictimCandidate};
///
/// let size = |millicores| TaskSize { millicores, memory_mib: 1, accelerators: 0 };
/// let candidate = |task, millicores, cost| VictimCandidate {
///     id: TaskId { team: "leakage".into(), job: "nightly".into(), task },
///     size: size(millicores),
///     cost,
/// };
/// let candidates = vec![candidate(0, 500, 1.0), candidate(1, 4_000, 2.0)];
/// let (victims, cost) = choose_victims(size(3_000), size(0), candidates).unwrap();
/// assert_eq!(victims[0].task, 1);
/// assert_eq!((victims.len(), cost), (1, 2.0));
/// ```
pub fn choose_victims(
    need: TaskSize,
    free: TaskSize,
    mut candidates: Vec<VictimCandidate>,
) -> Option<(Vec<TaskId>, f64)> {
    candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost).then_with(|| a.id.cmp(&b.id)));
    let mut available = free;
    let mut chosen = Vec::new();
    for candidate in candidates {
        if need.fits_in(available) {
            break;
        }
        available = available.plus(candidate.size);
        chosen.push(candidate);
    }
    if !need.fits_in(available) {
        return None;
    }
    for index in (0..chosen.len()).rev() {
        let without = available.minus(chosen[index].size);
        if need.fits_in(without) {
            available = without;
            chosen.remove(index);
        }
    }
    let cost = chosen.iter().map(|victim| victim.cost).sum();
    Some((chosen.into_iter().map(|victim| victim.id).collect(), cost))
}
