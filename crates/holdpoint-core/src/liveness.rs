//! When an instance sends liveness probes to a peer.
//!
//! A peer that serves calls of this instance is probed several times a second, so that its failure is noticed
//! within a request's deadline. In a large fleet hundreds of instances use the same few service owners, and
//! constant probes would load these: each of 985 instances probed an owner four times a second. So a peer is probed only while it is in use; after an idle period, probes
//! resume with the next call.

use crate::ids::Millis;

/// How long a peer is probed after its last use, in milliseconds: within about that time a request calls the
/// same owners again for its next stage or its release.
const PROBE_LINGER_MS: Millis = 1000;
/// How long an idle connection to a peer is kept, in milliseconds.
const CONNECTION_KEEP_MS: Millis = 30_000;

/// How this instance uses a peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerUse {
    /// Calls in flight to it.
    pub calls: usize,
    /// Time of its last use, in milliseconds.
    pub last_use: Millis,
    /// Whether it is needed even without calls, as between service owners, which report their load to each
    /// other.
    pub is_permanent: bool,
}

/// What to do with the connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAction {
    /// Probe it.
    Probe,
    /// Keep it without probes.
    Wait,
    /// Close it.
    Close,
}

/// Decides what to do with the connection to a peer.
pub fn peer_action(now: Millis, peer: PeerUse) -> PeerAction {
    let idle_ms = now.saturating_sub(peer.last_use);
    match () {
        () if peer.is_permanent || peer.calls != 0 || idle_ms <= PROBE_LINGER_MS => {
            PeerAction::Probe
        }
        () if idle_ms < CONNECTION_KEEP_MS => PeerAction::Wait,
        () => PeerAction::Close,
    }
}

/// Whether a peer that was last used at `used` has been idle for so long that its probes stopped.
pub fn was_idle(now: Millis, used: Millis) -> bool {
    PROBE_LINGER_MS < now.saturating_sub(used)
}
