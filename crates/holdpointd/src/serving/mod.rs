//! Parts of servers: what waits to be accepted, and how connections are closed without losing requests or answers.

pub(crate) mod accept_queue;
pub(crate) mod closing;
pub(crate) mod driver_timer;
pub(crate) mod http_server;
pub(crate) mod lingering_stream;
pub(crate) mod socket_check;
