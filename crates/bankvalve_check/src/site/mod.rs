//! Entry instances on the users' platform under virtual time, with faults and rules.

mod site_answers;
mod site_bytes;
mod site_calls;
mod site_config;
mod site_costs;
mod site_crashes;
mod site_customers;
mod site_drawn_customers;
mod site_drawn_losses;
mod site_evacuations;
mod site_faults;
mod site_fleet;
mod site_hard_load;
mod site_inversions;
mod site_jobs;
mod site_lasting;
mod site_links;
mod site_lives;
mod site_load_record;
mod site_loss_table;
mod site_losses;
mod site_operator;
mod site_overload;
mod site_plan;
mod site_processor;
mod site_promise;
mod site_random;
mod site_recovery;
mod site_restart_cuts;
mod site_restarts;
mod site_return;
mod site_rooms;
mod site_rules;
mod site_services;
mod site_silence;
mod site_storm_figures;
mod site_storm_losses;
mod site_storms;
mod site_versions;
mod site_view;
mod site_workers;
mod site_world;

pub use site_answers::SiteAnswer;
pub use site_config::{QueueAnswer, QueueTold};
pub use site_costs::{run_site_costs, StepCosts};
pub use site_crashes::TaskCrash;
pub use site_drawn_customers::run_customer_episode;
pub use site_evacuations::run_evacuation_episode;
pub use site_faults::SiteFault;
pub use site_fleet::{play_fleet, run_fleet, FleetFigures, TableUse};
pub use site_hard_load::{
    play_disturbed_load, play_hard_load, run_hard_load, HardLoadFigures, HardLoadPlan, KindFigures,
    ServedKind,
};
pub use site_inversions::Inversions;
pub use site_jobs::job_of;
pub use site_lasting::{AwaySpan, LastingCheck};
pub use site_loss_table::run_lasting;
pub use site_losses::{play_losses, LeaderLoss, LossJob, LossPlan, LossReport, WorkerLoss};
pub use site_overload::{play_overload, ScarceMeans, ServedLoad};
pub use site_plan::{SiteNode, SitePlan};
pub use site_processor::{NodeProcessor, StepTime};
use site_random::run_episode;
pub use site_random::{
    print_site_log, run_broken_episode, run_crash_episode, run_drawn_episode, run_loss_episode,
    run_short_episode, run_site_episode, run_site_random, SiteBurden, SiteReport,
};
pub use site_recovery::LinkRecord;
pub use site_restart_cuts::{LossMoment, RestartCut};
pub use site_restarts::{run_restart_episode, RestartFigures, WorkerRestart};
pub use site_rules::{RuleBook, RuleBreach, RunGap};
pub use site_storm_figures::StormFigures;
pub use site_storm_losses::StormLoss;
pub use site_storms::run_storm_episode;
pub use site_world::{SiteWorld, QUEUE, URGENT_QUEUE};
