//! Calls to peers: work items, choice of targets, capacity leases, rate limits, notices and updates.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{
    confinement::Within,
    directory::TargetId,
    ids::{Millis, Name},
    quarantine::Verdict,
    spill::Lease,
    stage_graph::NoResult,
    stream_versions::{StreamKey, StreamOrigin, TargetVersion},
    target_limits::{LimitUpdate, Slot},
};
use holdpoint_platform::Instant;
use tarpc::{client::RpcError, context::Context};

use super::{Peers, TARGET_CHOICE_TIMEOUT};
use crate::ingress::{
    drain_notices::{self, DrainNotice},
    item_request::{ItemGroup, ItemResult},
    limits::Assignment,
    links::{PeerSilent, context_for},
    peer_service::{
        DRAIN_PROTOCOL, GROUP_PROTOCOL, IngressPeersClient, LENDING_PROTOCOL, PromptRequest,
        VERSION_PROTOCOL,
    },
    quarantine::RunReport,
    regions::owner_of,
    rollouts::{DriverAnswer, RolloutReport},
    shared::IngressShared,
    update_feed::{FollowRequest, Update},
};

/// Time limit of a call from which on its response may be large, so that its connection is given more time
/// before it counts as lost.
const LARGE_RESPONSE_LIMIT: Duration = Duration::from_millis(1000);
/// Time limit for a peer to accept a release of results.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time limit for a peer to accept reports, verdicts and notices.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the driver of a roll-out to answer. Its previous answer stays valid for longer.
const ROLLOUT_TIMEOUT: Duration = Duration::from_millis(300);

impl Peers {
    /// Has a peer process work items. Returns no results if it does not answer within `limit`, and an error if
    /// there is no connection to it.
    pub(crate) async fn process_items(
        self: &Peers,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        group: ItemGroup,
        limit: Duration,
    ) -> Result<Vec<ItemResult>, PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let call = async {
            let (context, service) = (context_for(limit), service.to_owned());
            let (client, protocol) = (&link.client, self.protocol_of(address));
            if protocol < DRAIN_PROTOCOL {
                return client.make(context, service, group.into_items()).await;
            }
            let response = if protocol < GROUP_PROTOCOL {
                client.make_pieces(context, service, group.into_items()).await?
            } else {
                client.process_group(context, service, group).await?
            };
            drain_notices::apply_notices(shared, response.departures);
            Ok(response.results)
        };
        let answer = tokio::select! {
            it = tokio::time::timeout(limit, call) => it,
            () = link.lost.notified() => return Err(PeerSilent),
        };
        match answer {
            Ok(Ok(it)) => Ok(it),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => Ok(Vec::new()),
            Ok(Err(_)) => {
                self.links.mark_silent(shared, address, &link.lost, "broken");
                Err(PeerSilent)
            }
        }
    }

    /// Asks a peer to choose the target for a prompt; `None` if it has none or does not answer within `limit`.
    pub(crate) async fn place(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        prompt: PromptRequest,
        limit: Duration,
    ) -> Option<TargetId> {
        let call = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.place(context_for(limit), service.to_owned(), prompt).await.ok()?
        };
        tokio::time::timeout(limit, call).await.ok()?
    }

    /// Asks a peer to choose the target for a prompt and to admit the prompt there; `None` if it does not answer
    /// within `limit`.
    pub(crate) async fn assign(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        (prompt, patience_ms): (PromptRequest, Millis),
        limit: Duration,
    ) -> Option<Assignment> {
        let call = async {
            let link = self.links.get(shared, address).await.ok()?;
            let call =
                link.client.assign(context_for(limit), service.to_owned(), prompt, patience_ms);
            call.await.ok()
        };
        tokio::time::timeout(limit, call).await.ok()?
    }

    /// Asks a peer that owns the rate-limit state of a target to admit a request; `None` if it does not answer
    /// in time.
    pub(crate) async fn take_slot(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        known: LimitUpdate,
    ) -> Option<Slot> {
        let limit = self.links.with_round_trips(address, TARGET_CHOICE_TIMEOUT);
        let call = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.take_slot(context_for(limit), known).await.ok()
        };
        tokio::time::timeout(limit, call).await.ok()?
    }

    /// Sends a peer the rate limits that targets have reported.
    pub(crate) async fn send_limits(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        limits: Vec<LimitUpdate>,
    ) -> Result<(), PeerSilent> {
        let call =
            async |client: &IngressPeersClient, context| client.hear_limits(context, limits).await;
        self.notify(shared, address, NOTIFY_TIMEOUT, call).await
    }

    /// Sends drain notices of targets to a peer; returns those that the peer knows.
    pub(crate) async fn send_drain_notices(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        notices: Vec<DrainNotice>,
    ) -> Result<Vec<DrainNotice>, PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let limit = self.links.with_round_trips(address, NOTIFY_TIMEOUT);
        let sent = link.client.tell_departures(context_for(limit), notices);
        let sent = tokio::time::timeout(limit, sent).await;
        sent.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent)
    }

    /// Asks the owner of a service in another region for capacity slots; `None` if it does not answer or does not
    /// support leases.
    pub(crate) async fn lend(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        wanted: u32,
        limit: Duration,
    ) -> Option<Lease> {
        if self.protocol_of(address) < LENDING_PROTOCOL {
            return None;
        }
        let link = self.links.get(shared, address).await.ok()?;
        let call = link.client.lend(context_for(limit), service.to_owned(), wanted);
        tokio::time::timeout(limit, call).await.ok()?.ok()
    }

    /// Takes slots that a peer has borrowed from a service in another region. Returns the time that the stage takes
    /// there, in milliseconds; `None` if the peer has too few slots or does not answer.
    pub(crate) async fn borrow(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        (service, region): (Name, Name),
        places: u32,
        limit: Duration,
    ) -> Option<Millis> {
        if self.protocol_of(address) < LENDING_PROTOCOL {
            return None;
        }
        let link = self.links.get(shared, address).await.ok()?;
        link.client.borrow(context_for(limit), service, region, places).await.ok()?
    }

    /// Sends the driver of a roll-out the observations of this instance; `None` if it does not answer.
    pub(crate) async fn roll_out(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        report: RolloutReport,
    ) -> Option<DriverAnswer> {
        let call = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client
                .roll_out(context_for(ROLLOUT_TIMEOUT), service.to_owned(), report)
                .await
                .ok()
        };
        tokio::time::timeout(ROLLOUT_TIMEOUT, call).await.ok()?
    }

    /// Sends observations of requests that crash their targets to the service's judge, which decides on
    /// quarantines.
    pub(crate) async fn report_runs(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        reports: Vec<RunReport>,
    ) -> Result<(), PeerSilent> {
        let call =
            async |client: &IngressPeersClient, context| client.report_runs(context, reports).await;
        self.notify(shared, address, NOTIFY_TIMEOUT, call).await
    }

    /// Sends quarantine verdicts to a peer.
    pub(crate) async fn send_verdicts(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        verdicts: Vec<Verdict>,
    ) -> Result<(), PeerSilent> {
        let call = async |client: &IngressPeersClient, context| {
            client.tell_verdicts(context, verdicts).await
        };
        self.notify(shared, address, NOTIFY_TIMEOUT, call).await
    }

    /// Sends a holder the versions that began streams.
    pub(crate) async fn send_origins(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        origins: Vec<StreamOrigin>,
    ) -> Result<(), PeerSilent> {
        let call = async |client: &IngressPeersClient, context| {
            client.hold_origins(context, origins).await
        };
        self.notify(shared, address, NOTIFY_TIMEOUT, call).await
    }

    /// Asks a holder for the version that began a stream; `None` if it does not know or does not answer in time. An
    /// allowance for the peer's round-trip time is added to `limit`.
    pub(crate) async fn stream_version(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        key: StreamKey,
        limit: Duration,
    ) -> Option<TargetVersion> {
        let limit = self.links.with_round_trips(address, limit);
        let call = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.stream_version(context_for(limit), key).await.ok()?
        };
        tokio::time::timeout(limit, call).await.ok()?
    }

    /// Asks a peer that reads the store for the only version that a service has had; `None` if there were several, or if
    /// it does not answer in time. An allowance for the peer's round-trip time is added to `limit`.
    pub(crate) async fn only_version(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        limit: Duration,
    ) -> Option<TargetVersion> {
        if self.protocol_of(address) < VERSION_PROTOCOL {
            return None;
        }
        let limit = self.links.with_round_trips(address, limit);
        let call = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.only_version(context_for(limit), service.to_owned()).await.ok()?
        };
        tokio::time::timeout(limit, call).await.ok()?
    }

    /// Has a peer release results.
    pub(crate) async fn release_results(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        handles: Vec<String>,
    ) -> Result<(), PeerSilent> {
        let service = service.to_owned();
        let call = async |client: &IngressPeersClient, context| {
            client.give_up(context, service, handles).await
        };
        self.notify(shared, address, RELEASE_TIMEOUT, call).await
    }

    /// Makes a call without a result; an allowance for the peer's round-trip time is added to `limit`.
    async fn notify(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        limit: Duration,
        call: impl AsyncFnOnce(&IngressPeersClient, Context) -> Result<(), RpcError>,
    ) -> Result<(), PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let limit = self.links.with_round_trips(address, limit);
        let sent = tokio::time::timeout(limit, call(&link.client, context_for(limit))).await;
        sent.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent)
    }

    /// Asks a peer for updates; an allowance for its round-trip time is added to `limit`.
    pub(crate) async fn follow(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        known: FollowRequest,
        limit: Duration,
    ) -> Result<Update, PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let _large = (LARGE_RESPONSE_LIMIT <= limit).then(|| link.expect_large());
        let limit = self.links.with_round_trips(address, limit);
        let call = tokio::time::timeout(limit, link.client.follow(context_for(limit), known));
        tokio::select! {
            it = call => it.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent),
            () = link.lost.notified() => Err(PeerSilent),
        }
    }
}

/// Has work items processed by the instance that batches them in a region, or by this instance if none can be
/// reached. Items without a result from a peer in time get [`NoResult::Late`].
pub(crate) async fn process_anywhere(
    shared: &Arc<IngressShared>,
    region: &str,
    service: &str,
    group: ItemGroup,
    within: &Within,
    limit: Duration,
) -> Vec<ItemResult> {
    let count = group.len();
    let until = Instant::now() + limit;
    while let Some(address) = owner_of(shared, region, service, within) {
        let left = until.saturating_duration_since(Instant::now());
        let res = shared.peers.process_items(shared, &address, service, group.clone(), left).await;
        let Ok(mut results) = res else { continue };
        if results.iter().all(|it| *it == Err(NoResult::Unreachable)) && !results.is_empty() {
            // The peer does not know the service yet.
            break;
        }
        results.resize(count, Err(NoResult::Late));
        return results;
    }
    shared.batches.process(shared, service, group.into_items()).await
}
