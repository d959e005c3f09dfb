//! Queues that need another service than the usual one, and workers that offer it.

use super::site_world::{SiteWorld, SERVICE};

impl SiteWorld {
    /// The operator's next versions say that a queue's steps need workers of a service.
    pub fn set_queue_service(&mut self, queue: &str, service: &str) {
        let services = &mut self.config.services;
        services.insert(queue.to_owned(), service.to_owned());
    }

    /// A worker offers another service from now on, and says so.
    pub fn set_worker_service(&mut self, address: &str, service: &str) {
        if let Some(Some(worker)) = self.workers.get_mut(address) {
            worker.entry.service = service.into();
            self.write_entry(address);
        }
    }

    /// Returns the service that a queue's steps need.
    pub(super) fn service_of(&self, queue: &str) -> &str {
        let service = self.config.services.get(queue);
        service.map_or(SERVICE, String::as_str)
    }
}
