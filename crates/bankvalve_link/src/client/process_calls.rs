//! Calls that only one process at an address may receive.
//!
//! Another process may listen at the address by the time at which a call arrives, and nothing in the call
//! tells the two apart. A connection ends with the process that accepted it. So the process identifies itself in
//! the reply to the first request on each connection, and calls for that process go on that connection.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::http::uri::Authority;
use hyper::{Method, Request};

use super::held_connection::{to_origin_form, HeldConnection};
use super::{
    address_of, build_request, CallEnd, ClientFailure, Exchange, HttpClient, HttpReply,
    CLOSED_AT_ONCE,
};

/// What tells a process from others at its address, such as its start time; `None` if it tells nothing.
pub type ProcessTag = Option<u64>;

/// A POST request.
#[derive(Clone, Copy, Debug)]
pub struct PostCall<'a> {
    /// URL.
    pub url: &'a str,
    /// Headers.
    pub headers: &'a [(&'static str, String)],
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: &'a [u8],
}

impl PostCall<'_> {
    fn request(&self) -> Result<(Authority, Request<Full<Bytes>>), ClientFailure> {
        let body = Bytes::copy_from_slice(self.body);
        let request = build_request(
            Method::POST,
            self.url,
            self.headers,
            self.content_type,
            body,
        )?;
        let address = address_of(&request, self.url)?;
        let request = to_origin_form(request, &address)?;
        Ok((address, request))
    }
}

/// How a new connection shows which process is at its other end.
pub struct ProcessCheck<'a> {
    /// The process that is to receive the call.
    pub expected: ProcessTag,
    /// First request on the connection. It must be harmless to any process.
    pub call: PostCall<'a>,
    /// Reads the process from the reply; `None` if the reply shows none.
    pub read: &'a dyn Fn(&HttpReply) -> Option<ProcessTag>,
    /// Time for opening the connection and for the reply.
    pub time: Duration,
}

/// Result of the first request on a new connection.
enum Identification {
    /// The expected process answered.
    Expected(HeldConnection),
    /// The reply shows no process.
    Unknown(HttpReply),
}

impl HttpClient {
    /// Sends a request to one process at an address, on a connection on which it has answered.
    ///
    /// Returns the reply to the check instead, if that shows no process: the request was not sent then.
    ///
    /// # Errors
    ///
    /// Returns why there is no reply, and whether the request may have been received; `NotSent` if another
    /// process answers, or none in time.
    pub async fn send_to_process(
        &self,
        call: PostCall<'_>,
        check: ProcessCheck<'_>,
        time: Duration,
    ) -> Result<HttpReply, ClientFailure> {
        let (address, request) = call.request()?;
        let (idle, generation) = self.pools.take_identified(&address, check.expected);
        let exchange = self.exchange_identified(&address, idle, request, &check, time);
        let end = exchange.await;
        let (reply, held) = self.record_end(&address, generation, end)?;
        if let Some(held) = held {
            self.pools
                .hold_identified(&address, generation, check.expected, held);
        }
        Ok(reply)
    }

    /// Sends a request on an idle connection to its process if that is still open, otherwise on a new one.
    ///
    /// Returns no connection if the reply is one to the check that shows no process.
    async fn exchange_identified(
        &self,
        address: &Authority,
        idle: Option<HeldConnection>,
        mut request: Request<Full<Bytes>>,
        check: &ProcessCheck<'_>,
        time: Duration,
    ) -> Result<(HttpReply, Option<HeldConnection>), CallEnd> {
        if let Some(mut held) = idle {
            match self.exchange_within(&mut held, request, time).await? {
                Exchange::Replied(reply) => return Ok((reply, Some(held))),
                Exchange::Unsent(unsent) => request = unsent,
            }
        }
        let mut held = match self.identify(address, check).await? {
            Identification::Expected(held) => held,
            Identification::Unknown(reply) => return Ok((reply, None)),
        };
        match self.exchange_within(&mut held, request, time).await? {
            Exchange::Replied(reply) => Ok((reply, Some(held))),
            Exchange::Unsent(_) => Err(CallEnd::not_sent(CLOSED_AT_ONCE)),
        }
    }

    /// Sends a request on a connection and waits for its reply for at most `time`.
    async fn exchange_within(
        &self,
        held: &mut HeldConnection,
        request: Request<Full<Bytes>>,
        time: Duration,
    ) -> Result<Exchange, CallEnd> {
        let exchange = tokio::time::timeout(time, self.exchange_on(held, request));
        exchange.await.unwrap_or(Err(CallEnd::Unanswered))
    }

    /// Opens a connection and finds out which process is at its other end.
    async fn identify(
        &self,
        address: &Authority,
        check: &ProcessCheck<'_>,
    ) -> Result<Identification, CallEnd> {
        let (_, request) = check.call.request().map_err(CallEnd::Failed)?;
        let number = self.pools.next_number();
        let exchange = async {
            let mut held =
                HeldConnection::connect(address, number, &self.limits, self.pools.counts()).await?;
            match self.exchange_on(&mut held, request).await? {
                Exchange::Replied(reply) => Ok((held, reply)),
                Exchange::Unsent(_) => Err(CallEnd::not_sent(CLOSED_AT_ONCE)),
            }
        };
        let exchange = tokio::time::timeout(check.time, exchange).await;
        let (held, reply) = match exchange {
            Ok(Ok(answered)) => answered,
            Ok(Err(CallEnd::Failed(ClientFailure::NoReply(text)))) => {
                return Err(CallEnd::not_sent(text))
            }
            Ok(Err(end @ CallEnd::Failed(_))) => return Err(end),
            Ok(Err(CallEnd::Unanswered)) | Err(_) => {
                return Err(CallEnd::not_sent(
                    "the process did not identify itself in time",
                ))
            }
        };
        match (check.read)(&reply) {
            Some(found) if found == check.expected => Ok(Identification::Expected(held)),
            Some(_) => Err(CallEnd::not_sent("another process answers at this address")),
            None => Ok(Identification::Unknown(reply)),
        }
    }
}
