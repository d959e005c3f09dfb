//! Free capacity of one worker over time, by the expected ends of its runs.

use std::time::Duration;

use crate::job::TaskSize;

/// Free capacity of a worker now, and what becomes free as its runs end.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use bankvalve_queue::{CapacityProfile, TaskSize};
///
/// let cores = |cores: u64| TaskSize { millicores: cores * 1_000, ..TaskSize::default() };
/// let after = Duration::from_millis;
/// let ends = [(after(900), cores(2)), (after(300), cores(4))];
/// let profile = CapacityProfile::new(cores(1), ends);
/// assert_eq!(profile.earliest(&cores(1)), Some(Duration::ZERO));
/// assert_eq!(profile.earliest(&cores(5)), Some(after(300)));
/// assert_eq!(profile.earliest(&cores(6)), Some(after(900)));
/// assert_eq!(profile.earliest(&cores(8)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CapacityProfile {
    free: TaskSize,
    /// Time until each run ends and the resources that it frees, the next one first.
    ends: Vec<(Duration, TaskSize)>,
}

impl CapacityProfile {
    /// Creates a profile from what is free now, and the time until each run ends with the resources it frees.
    pub fn new(free: TaskSize, ends: impl IntoIterator<Item = (Duration, TaskSize)>) -> Self {
        let mut ends: Vec<(Duration, TaskSize)> = ends.into_iter().collect();
        ends.sort_unstable_by_key(|(after, _)| *after);
        Self { free, ends }
    }

    /// Returns the time until resources are free, or `None` if they are not even after all ends.
    pub fn earliest(&self, wanted: &TaskSize) -> Option<Duration> {
        let mut free = self.free;
        let mut after = Duration::ZERO;
        for (end, resources) in &self.ends {
            if wanted.fits(&free) {
                break;
            }
            free = free.plus(resources);
            after = *end;
        }
        wanted.fits(&free).then_some(after)
    }
}

/// Returns the time until all of several profiles have their wanted resources free, or `None` if one never
/// has. A gang starts when the last of its workers has capacity.
pub fn earliest_on_all<'a>(
    profiles: impl IntoIterator<Item = (&'a CapacityProfile, &'a TaskSize)>,
) -> Option<Duration> {
    let mut latest = Duration::ZERO;
    for (profile, wanted) in profiles {
        latest = latest.max(profile.earliest(wanted)?);
    }
    Some(latest)
}
