//! How the links of a world behave.

use std::time::Duration;

/// How the links behave; all times are until when.
#[derive(Clone, Debug, Default)]
pub struct LinkState {
    /// Messages between entry instances are lost.
    pub peer_loss_until: Duration,
    /// Messages between entry instances are delayed at random.
    pub peer_delay_until: Duration,
    /// Messages between entry instances arrive twice.
    pub peer_repeat_until: Duration,
    /// Regions cannot reach each other.
    pub region_cut_until: Duration,
    /// The table service is down.
    pub store_down_until: Duration,
    /// The table service is slow.
    pub store_slow_until: Duration,
    /// Answers of the table service are lost.
    pub store_lost_until: Duration,
    /// Reads of single rows answer from before.
    pub store_stale_until: Duration,
    /// The object store is down.
    pub objects_down_until: Duration,
    /// The instance list does not change.
    pub list_frozen_until: Duration,
}
