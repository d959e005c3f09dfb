//! The platform's services as state machines without I/O.

mod object_model;
mod table_model;
mod task_script;
mod worker_model;

pub use object_model::ObjectModel;
pub use table_model::TableModel;
pub use task_script::TaskScript;
pub use worker_model::{RequestRefusal, RunRecord, WorkerModel};
