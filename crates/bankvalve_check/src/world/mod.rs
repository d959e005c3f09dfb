//! A cell under virtual time: entry instances, platform and workers in one process.

mod carrying;
mod cell_world;
mod entry_slot;
mod link_state;
mod platform_state;
mod world_event;
mod world_plan;

pub use cell_world::{CellWorld, ControlCost};
pub use entry_slot::EntrySlot;
pub use link_state::LinkState;
pub use platform_state::{PlatformState, WorkerSlot};
pub use world_event::WorldEvent;
pub use world_plan::WorldPlan;
pub(crate) use world_plan::{team_name, worker_group};
