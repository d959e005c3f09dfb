//! Workers whose room shrinks and grows while they run.

use bankvalve_queue::{TaskSize, WorkerId};

use super::site_world::{Later, SiteWorld};

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

    /// Another program overwrites a worker's entry, which the worker writes again only after a time.
    pub fn overwrite_entry(&mut self, address: &str, for_ms: u64) {
        let Some(Some(worker)) = self.workers.get(address) else {
            return;
        };
        let worker = worker.id.clone();
        let until = self.now_ms + for_ms;
        self.worker_off_table_until
            .insert(address.to_owned(), until);
        self.store.write_unusable_worker(&worker);
        self.answer_watches();
        let address = address.to_owned();
        self.after(for_ms, Later::EntryBack { address, worker });
    }

    /// Tells whether a worker may hold so much: what its room allows, or one that it had lately.
    pub(super) fn may_hold(&self, id: &WorkerId, used: &TaskSize, room: &TaskSize) -> bool {
        let now = self.now_ms;
        let old = self.old_rooms.get(id).into_iter().flatten();
        let mut lately = old.filter(|(until, _)| now < until + SHRUNK_MS);
        used.fits(room) || lately.any(|(_, room)| used.fits(room))
    }
}
