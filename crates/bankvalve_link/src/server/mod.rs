//! HTTP servers with limits on connections and on the size and time of requests.

mod http_server;
mod listen;
mod server_limits;
mod server_tls;

pub use http_server::{AnswerBody, HttpAnswer, HttpRequest, HttpServer};
pub use listen::listen;
pub use server_limits::{ServerCounters, ServerLimits};
pub use server_tls::ServerTls;
