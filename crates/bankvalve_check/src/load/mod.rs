//! Work that is given to a world.

mod job_load;
mod stream_load;

pub use job_load::{JobLoad, LoadShape, SentJob};
pub use stream_load::{StreamLoad, StreamShape, WorkKind};
