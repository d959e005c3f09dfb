//! Workers whose room shrinks and grows while they run.

use bankvalve_queue::{TaskSize, WorkerId};

use super::site_world::SiteWorld;

/// Time for which a room that has shrunk still counts, in milliseconds: that of being in touch, and a
/// heartbeat of the worker.
const SHRUNK_MS: u64 = 3_000 + 1_500;

impl SiteWorld {
    /// A worker has another room from now on, and says so.
    pub fn resize_worker(&mut self, address: &str, room: TaskSize) {
        let now = self.now_ms;
        let Some(Some(worker)) = self.workers.get_mut(address) else {
            return;
        };
        let old = std::mem::replace(&mut worker.entry.room, room);
        let id = worker.id.clone();
        self.old_rooms.entry(id).or_default().push((now, old));
        self.lasting.trouble(now);
        self.write_entry(address);
    }

    /// Tells whether a worker may hold so much: what its room allows, or one that it had lately.
    pub(super) fn may_hold(&self, id: &WorkerId, used: &TaskSize, room: &TaskSize) -> bool {
        let now = self.now_ms;
        let old = self.old_rooms.get(id).into_iter().flatten();
        let mut lately = old.filter(|(until, _)| now < until + SHRUNK_MS);
        used.fits(room) || lately.any(|(_, room)| used.fits(room))
    }
}
