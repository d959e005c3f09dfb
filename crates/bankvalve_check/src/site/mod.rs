//! Entry instances on the users' platform under virtual time, with faults and rules.

mod site_answers;
mod site_bytes;
mod site_calls;
mod site_config;
mod site_faults;
mod site_jobs;
mod site_links;
mod site_operator;
mod site_promise;
mod site_random;
mod site_recovery;
mod site_return;
mod site_rules;
mod site_silence;
mod site_workers;
mod site_world;

pub use site_answers::SiteAnswer;
pub use site_config::{QueueAnswer, QueueTold};
pub use site_faults::SiteFault;
pub use site_jobs::job_of;
pub use site_random::{run_broken_episode, run_site_episode, run_site_random, SiteReport};
pub use site_recovery::LinkRecord;
pub use site_rules::{RuleBook, RuleBreach};
pub use site_world::{SiteNode, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
