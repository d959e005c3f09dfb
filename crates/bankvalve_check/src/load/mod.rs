//! Work that is given to a world.

mod job_load;

pub use job_load::{JobLoad, LoadShape, SentJob};
