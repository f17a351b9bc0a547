//! A machine's link: the bytes of all its connections share one bandwidth in each direction.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::time::{Instant, sleep_until};

/// Direction of traffic on a machine's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkDirection {
    /// Towards the machine.
    In,
    /// From the machine.
    Out,
}

/// Link of one machine. Proxies that share it pass its bytes one after the other, as fast as the bandwidth allows.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: f64,
    /// When the link has passed all bytes that were given to it, by direction.
    free_at: Arc<Mutex<[Instant; 2]>>,
}

impl Link {
    /// A link with this bandwidth in each direction, in Mbit/s.
    pub fn new(mbps: f64) -> Link {
        let now = Instant::now();
        Link { bytes_per_s: mbps * 125_000.0, free_at: Arc::new(Mutex::new([now, now])) }
    }

    /// Waits until the link has passed these bytes, behind all that were given to it before.
    pub(crate) async fn pass(&self, direction: LinkDirection, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        let passed = {
            let mut free_at = self.free_at.lock();
            let free_at = &mut free_at[direction as usize];
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(passed).await;
    }
}
