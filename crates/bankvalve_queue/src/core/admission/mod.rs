//! Which jobs are accepted, and within which limits and shares of their customers.

pub(in crate::core) mod admission_credits;
pub(in crate::core) mod admission_decision;
pub(in crate::core) mod admission_forecast;
pub(in crate::core) mod customer_limits;
pub(in crate::core) mod customer_shares;
mod held_requests;
pub(in crate::core) mod load_limit;
pub(in crate::core) mod outage_wait;
mod submissions;
