//! Entry instances on the users' platform under virtual time, with faults and rules.

mod site_faults;
mod site_random;
mod site_rules;
mod site_world;

pub use site_faults::SiteFault;
pub use site_random::{run_site_episode, run_site_random, SiteReport};
pub use site_rules::{RuleBook, RuleBreach};
pub use site_world::{job_of, SiteNode, SitePlan, SiteWorld, QUEUE, URGENT_QUEUE};
