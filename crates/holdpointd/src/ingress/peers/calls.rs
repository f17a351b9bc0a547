//! What peers are asked and told: pieces, targets, places, whether a target takes one more, news.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{
    confinement::Within,
    directory::TargetId,
    ids::{Millis, Name},
    quarantine::Verdict,
    spill::Lease,
    stage_graph::NoResult,
    target_limits::{LimitNews, Slot},
};
use holdpoint_platform::Instant;
use tarpc::{client::RpcError, context::Context};

use super::{PLACE_LIMIT, Peers};
use crate::ingress::{
    departures::{self, Departure},
    limits::Assignment,
    links::{PeerSilent, context_for},
    news::{Known, Update},
    peer_service::{DEPARTURES, IngressPeersClient, LENDING, PromptAsk},
    piece_ask::{PieceAsk, PieceResult},
    quarantine::RunReport,
    regions::owner_of,
    rollouts::{DriverAnswer, RolloutReport},
    shared::IngressShared,
};

/// An answer that may take so long may be large.
const LARGE_LIMIT: Duration = Duration::from_millis(1000);
/// How long a peer may take to release results.
const RELEASE_LIMIT: Duration = Duration::from_millis(350);
/// How long a peer may take to take in what concerns requests that end their targets.
const VERDICT_LIMIT: Duration = Duration::from_millis(500);
/// How long the driver of a roll-out may take to answer; what it last told holds for longer.
const ROLL_OUT_LIMIT: Duration = Duration::from_millis(300);

impl Peers {
    /// Has a peer make pieces. An error means that the peer is silent.
    pub(crate) async fn make(
        self: &Peers,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        asks: Vec<PieceAsk>,
        limit: Duration,
    ) -> Result<Vec<PieceResult>, PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let call = async {
            let (context, service) = (context_for(limit), service.to_owned());
            if self.protocol_of(address) < DEPARTURES {
                return link.client.make(context, service, asks).await;
            }
            let made = link.client.make_pieces(context, service, asks).await?;
            departures::take_all(shared, made.departures);
            Ok(made.results)
        };
        let answer = tokio::select! {
            it = tokio::time::timeout(limit, call) => it,
            () = link.lost.notified() => return Err(PeerSilent),
        };
        match answer {
            Ok(Ok(it)) => Ok(it),
            Ok(Err(RpcError::DeadlineExceeded)) | Err(_) => Ok(Vec::new()),
            Ok(Err(_)) => {
                self.links.lose(shared, address, &link.lost, "broken");
                Err(PeerSilent)
            }
        }
    }

    /// Asks a peer for the target that reads a prompt; `None` where it does not answer at once.
    pub(crate) async fn place(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        prompt: PromptAsk,
        limit: Duration,
    ) -> Option<TargetId> {
        let asked = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.place(context_for(limit), service.to_owned(), prompt).await.ok()?
        };
        tokio::time::timeout(limit, asked).await.ok()?
    }

    /// Asks a peer for the target that reads a prompt, which is let through to it; `None` where it does not
    /// answer at once.
    pub(crate) async fn assign(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        (prompt, patience_ms): (PromptAsk, Millis),
        limit: Duration,
    ) -> Option<Assignment> {
        let asked = async {
            let link = self.links.get(shared, address).await.ok()?;
            let asked =
                link.client.assign(context_for(limit), service.to_owned(), prompt, patience_ms);
            asked.await.ok()
        };
        tokio::time::timeout(limit, asked).await.ok()?
    }

    /// Asks a peer that keeps the account of a target's limit to let a request through; `None` where it does
    /// not answer at once.
    pub(crate) async fn take_slot(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        known: LimitNews,
    ) -> Option<Slot> {
        let limit = self.links.with_distance(address, PLACE_LIMIT);
        let asked = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.take_slot(context_for(limit), known).await.ok()
        };
        tokio::time::timeout(limit, asked).await.ok()?
    }

    /// Tells a peer what targets have named as their limits.
    pub(crate) async fn hear_limits(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        news: Vec<LimitNews>,
    ) -> Result<(), PeerSilent> {
        let call =
            async |client: &IngressPeersClient, context| client.hear_limits(context, news).await;
        self.tell(shared, address, VERDICT_LIMIT, call).await
    }

    /// Tells a peer which targets have said that they leave; returns those that it knows.
    pub(crate) async fn tell_departures(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        news: Vec<Departure>,
    ) -> Result<Vec<Departure>, PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let limit = self.links.with_distance(address, VERDICT_LIMIT);
        let told = link.client.tell_departures(context_for(limit), news);
        let told = tokio::time::timeout(limit, told).await;
        told.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent)
    }

    /// Asks the owner of a service in another region for places; `None` where it does not answer.
    pub(crate) async fn lend(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        wanted: u32,
        limit: Duration,
    ) -> Option<Lease> {
        if self.protocol_of(address) < LENDING {
            return None;
        }
        let link = self.links.get(shared, address).await.ok()?;
        let asked = link.client.lend(context_for(limit), service.to_owned(), wanted);
        tokio::time::timeout(limit, asked).await.ok()?.ok()
    }

    /// Takes places that a peer has borrowed of a service in another region; `None` where it has none.
    pub(crate) async fn borrow(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        (service, region): (Name, Name),
        places: u32,
        limit: Duration,
    ) -> Option<Millis> {
        if self.protocol_of(address) < LENDING {
            return None;
        }
        let link = self.links.get(shared, address).await.ok()?;
        link.client.borrow(context_for(limit), service, region, places).await.ok()?
    }

    /// Tells the driver of a roll-out what this instance has seen; `None` where it does not answer.
    pub(crate) async fn roll_out(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        service: &str,
        report: RolloutReport,
    ) -> Option<DriverAnswer> {
        let asked = async {
            let link = self.links.get(shared, address).await.ok()?;
            link.client.roll_out(context_for(ROLL_OUT_LIMIT), service.to_owned(), report).await.ok()
        };
        tokio::time::timeout(ROLL_OUT_LIMIT, asked).await.ok()?
    }

    /// Tells the judge of a service what this instance has seen of requests that end their targets.
    pub(crate) async fn report_runs(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        reports: Vec<RunReport>,
    ) -> Result<(), PeerSilent> {
        let call =
            async |client: &IngressPeersClient, context| client.report_runs(context, reports).await;
        self.tell(shared, address, VERDICT_LIMIT, call).await
    }

    /// Tells a peer what was found of such requests.
    pub(crate) async fn tell_verdicts(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        verdicts: Vec<Verdict>,
    ) -> Result<(), PeerSilent> {
        let call = async |client: &IngressPeersClient, context| {
            client.tell_verdicts(context, verdicts).await
        };
        self.tell(shared, address, VERDICT_LIMIT, call).await
    }

    /// Has a peer give up results.
    pub(crate) async fn give_up(
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
        self.tell(shared, address, RELEASE_LIMIT, call).await
    }

    /// Tells a peer something; its distance is added to the time that this may take.
    async fn tell(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        limit: Duration,
        call: impl AsyncFnOnce(&IngressPeersClient, Context) -> Result<(), RpcError>,
    ) -> Result<(), PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let limit = self.links.with_distance(address, limit);
        let told = tokio::time::timeout(limit, call(&link.client, context_for(limit))).await;
        told.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent)
    }

    /// Asks a peer what is new; the answer may take `limit`, its distance left aside.
    pub(crate) async fn follow(
        &self,
        shared: &Arc<IngressShared>,
        address: &str,
        known: Known,
        limit: Duration,
    ) -> Result<Update, PeerSilent> {
        let link = self.links.get(shared, address).await?;
        let _large = (LARGE_LIMIT <= limit).then(|| link.expect_large());
        let limit = self.links.with_distance(address, limit);
        let call = tokio::time::timeout(limit, link.client.follow(context_for(limit), known));
        tokio::select! {
            it = call => it.map_err(|_| PeerSilent)?.map_err(|_| PeerSilent),
            () = link.lost.notified() => Err(PeerSilent),
        }
    }
}

/// Has pieces made by the instance that batches them in a region, or here if none can be reached.
pub(crate) async fn make_anywhere(
    shared: &Arc<IngressShared>,
    region: &str,
    service: &str,
    asks: Vec<PieceAsk>,
    within: &Within,
    limit: Duration,
) -> Vec<PieceResult> {
    let count = asks.len();
    let until = Instant::now() + limit;
    while let Some(address) = owner_of(shared, region, service, within) {
        let left = until.saturating_duration_since(Instant::now());
        let made = shared.peers.make(shared, &address, service, asks.clone(), left).await;
        let Ok(mut results) = made else { continue };
        if results.iter().all(|it| *it == Err(NoResult::Unreachable)) && !results.is_empty() {
            // The peer does not know the service yet.
            break;
        }
        results.resize(count, Err(NoResult::Late));
        return results;
    }
    shared.batches.make(shared, service, asks).await
}
