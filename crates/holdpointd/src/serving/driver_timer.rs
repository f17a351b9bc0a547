//! A timer that ends only after the socket was asked for input.
//!
//! A process that runs late may see that a time is over before it sees what arrived in that time. The HTTP library would then
//! close a connection with a request in its socket.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use hyper::rt::{Sleep, Timer};
use tokio::{task::yield_now, time};

use crate::serving::socket_check::SocketCheck;

/// The timer of a caller's connection.
#[derive(Clone, Debug)]
pub(crate) struct DriverTimer(SocketCheck);

impl DriverTimer {
    /// Creates the timer of a connection that reads before it looks at its timer.
    pub(crate) fn new(check: SocketCheck) -> DriverTimer {
        DriverTimer(check)
    }
}

impl Timer for DriverTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        let time = Box::pin(time::sleep_until(deadline.into()));
        Box::pin(DriverSleep { time, check: self.0.clone() })
    }
}

struct DriverSleep {
    time: Pin<Box<time::Sleep>>,
    check: SocketCheck,
}

impl Future for DriverSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        ready!(self.time.as_mut().poll(cx));
        if self.check.found_nothing() {
            return Poll::Ready(());
        }
        self.check.request();
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl Sleep for DriverSleep {}

impl fmt::Debug for DriverSleep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DriverSleep")
    }
}

/// Sleeps until a time, and until the event loop has looked at the sockets since.
pub(crate) async fn sleep_until(deadline: Instant) {
    time::sleep_until(deadline.into()).await;
    // A task that yields goes on after the event loop has been polled.
    yield_now().await;
}
