//! RPC between ingress instances: the messages and the server.

use std::{io, pin::Pin, sync::Arc};

use bytes::BytesMut;
use futures::{TryStreamExt, poll};
use holdpoint_adapter::stages;
use holdpoint_core::{
    admitted_work::StageLoad,
    cold::Share,
    confinement::{Bounds, Confinement},
    directory::TargetId,
    ids::{Millis, Name},
    ingress::Version,
    quarantine::Verdict,
    route::Call,
    spill::Lease,
    stage_graph::NoResult,
    stream_versions::{StreamKey, StreamOrigin, TargetVersion},
    target_limits::{LimitUpdate, Slot},
};
use serde::{Deserialize, Serialize};
use tarpc::{
    ClientMessage, Response, ServerError, context,
    serde_transport::{Transport, new as transport},
    server::{BaseChannel, Channel, InFlightRequest, Serve},
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::net::{TcpListener, TcpStream};
use tokio_serde::{Deserializer, formats::Cbor};

use crate::{
    ingress::{
        batches::StageLoads,
        connections::set_socket_options,
        counted_stream::CountedStream,
        drain_notices::{self, DrainNotice},
        follow::fetch_configuration,
        item_request::{ItemGroup, ItemRequest, ItemResult},
        limits::{self, Assignment},
        quarantine::{self, RunReport},
        relay,
        releases::notify_makers,
        rollouts::{self, DriverAnswer, RolloutReport},
        shared::IngressShared,
        stream_origins,
        unwritten::{AnsweringTransport, Unwritten},
        update_feed::{self, FollowRequest, Update},
    },
    serving::{
        accept_queue::{from_waiting, take_waiting},
        closing::last_requests_read,
        socket_check::{CheckedStream, SocketCheck},
    },
    shared::{InFlightGuard, wait_until_set},
};

/// Largest message between peers.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Protocol version of this instance. [`IngressPeers::check`] needs version 1.
pub(crate) const PROTOCOL: u32 = VERSION_PROTOCOL;
/// First protocol version that keeps confined work within its regions.
pub(crate) const CONFINEMENT_PROTOCOL: u32 = 2;
/// First protocol version with [`IngressPeers::lend`].
pub(crate) const LENDING_PROTOCOL: u32 = 3;
/// First protocol version with [`IngressPeers::report_runs`] and [`IngressPeers::tell_verdicts`].
pub(crate) const QUARANTINE_PROTOCOL: u32 = 4;
/// First protocol version that reads [`update_feed::FollowPosition::sum`].
pub(crate) const TARGET_SUM_PROTOCOL: u32 = 5;
/// First protocol version with [`IngressPeers::take_slot`], [`IngressPeers::hear_limits`] and
/// [`IngressPeers::assign`].
pub(crate) const RATE_LIMIT_PROTOCOL: u32 = 6;
/// First protocol version with [`IngressPeers::make_pieces`] and [`IngressPeers::tell_departures`].
pub(crate) const DRAIN_PROTOCOL: u32 = 7;
/// First protocol version that relays requests to targets, see [`crate::ingress::relay`].
pub(crate) const RELAY_PROTOCOL: u32 = 8;
/// First protocol version with [`IngressPeers::hold_origins`], [`IngressPeers::stream_version`] and
/// [`PromptRequest::version`].
pub(crate) const ORIGIN_PROTOCOL: u32 = 9;
/// First protocol version that takes reports on parts of prompts for such.
pub(crate) const PART_PROTOCOL: u32 = 9;
/// First protocol version with [`IngressPeers::process_group`].
pub(crate) const GROUP_PROTOCOL: u32 = 10;
/// First protocol version with [`IngressPeers::only_version`].
pub(crate) const VERSION_PROTOCOL: u32 = 11;
/// Smallest first byte of an HTTP request. The frames of other messages are shorter than what it would stand for as
/// the first byte of their length.
const FIRST_HTTP_BYTE: u8 = b'A';

/// Results of the work items that an instance has processed for a peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ItemResults {
    /// The results, in the order of the items.
    pub(crate) results: Vec<ItemResult>,
    /// Drain notices of the targets that made the results. The caller receives them with the results, so that
    /// it also knows of them if it then loses its connections to all peers.
    #[serde(default)]
    pub(crate) departures: Vec<DrainNotice>,
}

/// Response to a health check between instances.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PeerStatus {
    /// Version of its active configuration.
    pub(crate) version: Version,
    /// Services that it batches, with the time that a stage takes, in milliseconds.
    #[serde(default)]
    pub(crate) stage_times: Vec<(Name, Millis)>,
    /// Load of these services.
    #[serde(default)]
    pub(crate) stage_loads: Vec<(Name, StageLoad)>,
    /// Services that it does not reach.
    #[serde(default)]
    pub(crate) unreached: Vec<Name>,
}

/// A prompt for which an instance requests a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PromptRequest {
    /// Work, in tokens.
    pub(crate) work: f64,
    /// Work that a cached prefix saves, in tokens.
    pub(crate) prefix_work: f64,
    /// Hash of the prefix.
    pub(crate) prefix: u64,
    /// Targets that must not be chosen: already tried, ejected, or in a backoff that they requested.
    pub(crate) avoided: Vec<TargetId>,
    /// Name of the policy of the trial's arm that the request is assigned to, if any.
    #[serde(default)]
    pub(crate) policy: Option<Name>,
    /// Bytes that the target fetches, by the failure domain that stores them.
    #[serde(default)]
    pub(crate) inputs: Vec<(Name, u64)>,
    /// Regions that the request is confined to.
    #[serde(default, skip_serializing_if = "Confinement::is_free")]
    pub(crate) confinement: Confinement,
    /// Version that the target must run, since the request continues a stream that this version began. Instances with
    /// an earlier protocol ignore it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<TargetVersion>,
}

impl PromptRequest {
    /// The routing call for this prompt, limited to targets within `within`.
    pub(crate) fn call<'a>(&'a self, within: Option<&'a Bounds>) -> Call<'a> {
        Call {
            work: self.work,
            prefix_work: self.prefix_work,
            prefix: Some(self.prefix),
            tried: &self.avoided,
            cap: u32::MAX,
            share: Share::Whole,
            inputs: &self.inputs,
            is_own: false,
            within,
        }
    }
}

/// Calls between ingress instances.
#[tarpc::service]
pub(crate) trait IngressPeers {
    /// Processes work items of a service's stage.
    async fn make(service: Name, asks: Vec<ItemRequest>) -> Vec<ItemResult>;
    /// Like `make`, and returns drain notices too.
    async fn make_pieces(service: Name, asks: Vec<ItemRequest>) -> ItemResults;
    /// Like `make_pieces`, for items that have all but their indices in common.
    async fn process_group(service: Name, group: ItemGroup) -> ItemResults;
    /// Applies drain notices of targets, and returns those that this instance knows.
    async fn tell_departures(news: Vec<DrainNotice>) -> Vec<DrainNotice>;
    /// Chooses the target of a service for a prompt.
    async fn place(service: Name, prompt: PromptRequest) -> Option<TargetId>;
    /// Releases results of a service's stage.
    async fn give_up(service: Name, handles: Vec<String>);
    /// Returns the version of the active configuration. `known` is the version that the caller has, `address`
    /// the caller's address.
    async fn ping(known: Version, address: String) -> Version;
    /// Like `ping`, and returns the load of the services that the instance batches too.
    async fn check(known: Version, address: String) -> PeerStatus;
    /// Lends capacity slots of a service to its owner in the caller's region, which cannot serve all requests in
    /// time.
    async fn lend(service: Name, wanted: u32) -> Lease;
    /// Takes slots that this instance has borrowed from a service in another region. Returns the time that the
    /// stage takes there, in milliseconds, or `None` if too few slots are left.
    async fn borrow(service: Name, region: Name, places: u32) -> Option<Millis>;
    /// Reports what an instance has observed of a roll-out to its driver, and returns the state of the
    /// roll-out.
    async fn roll_out(service: Name, report: RolloutReport) -> DriverAnswer;
    /// Reports observations of requests that crash their targets to the service's judge, which decides on
    /// quarantines.
    async fn report_runs(reports: Vec<RunReport>);
    /// Sends quarantine verdicts to an instance.
    async fn tell_verdicts(verdicts: Vec<Verdict>);
    /// Asks the owner of a target's rate-limit state to admit a request. `known` is what the caller knows of the
    /// limit.
    async fn take_slot(known: LimitUpdate) -> Slot;
    /// Receives rate limits that targets have reported.
    async fn hear_limits(news: Vec<LimitUpdate>);
    /// Chooses the target for a prompt, and admits the prompt there. `patience_ms` is the longest time that the
    /// request can wait for that.
    async fn assign(service: Name, prompt: PromptRequest, patience_ms: Millis) -> Assignment;
    /// Holds the versions that began streams.
    async fn hold_origins(origins: Vec<StreamOrigin>);
    /// Returns the version that began a stream, if this instance knows it.
    async fn stream_version(key: StreamKey) -> Option<TargetVersion>;
    /// Returns the only version that a service has had for as long as a stream may run, by a list of targets that this
    /// instance reads from the store for the answer; `None` if there were several or the list cannot be read.
    async fn only_version(service: Name) -> Option<TargetVersion>;
    /// Returns what has changed since the state that `known` describes; waits for a while if nothing has.
    async fn follow(known: FollowRequest) -> Update;
}

/// Decodes the frame of a request to JSON.
pub(super) fn read_request(frame: &[u8]) -> io::Result<serde_json::Value> {
    match read(frame)? {
        ClientMessage::Request(it) => Ok(serde_json::to_value::<IngressPeersRequest>(it.message)?),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// Decodes the frame of a response to JSON.
pub(super) fn read_answer(frame: &[u8]) -> io::Result<serde_json::Value> {
    let answer: Response<IngressPeersResponse> = read(frame)?;
    let message = answer.message.map_err(|it| io::Error::other(it.to_string()))?;
    Ok(serde_json::to_value(message)?)
}

fn read<T: for<'de> Deserialize<'de> + Unpin>(frame: &[u8]) -> io::Result<T> {
    let mut codec: Cbor<T, ()> = Cbor::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(frame))
}

/// Serves peers until the task is dropped.
///
/// Stops accepting once connections are being closed: a peer uses another instance at once if the port is closed, while
/// one whose connection was reset cannot tell whether its request has run.
pub(crate) async fn serve(shared: Arc<IngressShared>, listener: TcpListener) {
    let mut closing = shared.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            it = listener.accept() => it,
            () = wait_until_set(&mut closing) => break,
        };
        if let Ok((stream, _)) = accepted {
            spawn_peer(&shared, stream);
        }
    }
    for it in take_waiting(listener).filter_map(|it| from_waiting(it).ok()) {
        spawn_peer(&shared, it);
    }
}

fn spawn_peer(shared: &Arc<IngressShared>, stream: TcpStream) {
    if set_socket_options(&stream).is_ok() {
        let unread = shared.closing.borrow().then(|| shared.used_connections.start());
        tokio::spawn(serve_peer(shared.clone(), stream, unread));
    }
}

/// `unread` holds the stop until a first request is read, if the connection was accepted when connections were being
/// closed.
async fn serve_peer(shared: Arc<IngressShared>, stream: TcpStream, unread: Option<InFlightGuard>) {
    let mut first = [0];
    let peeked = tokio::select! {
        biased;
        it = stream.peek(&mut first) => it,
        _ = last_requests_read(&shared.closing, &shared.used_connections, None) => return,
    };
    match peeked {
        Ok(0) | Err(_) => return,
        Ok(_) => (),
    }
    let check = SocketCheck::default();
    let stream = CheckedStream::new(stream, check.clone());
    let stream = CountedStream::new(stream, shared.own_load.traffic.served_peers.clone());
    if FIRST_HTTP_BYTE <= first[0] {
        return relay::serve(shared, stream, check, unread).await;
    }
    let io: Transport<_, _, _, _> = transport(codec().new_framed(stream), Cbor::default());
    let unwritten = Unwritten::default();
    let channel = BaseChannel::with_defaults(AnsweringTransport::new(io, unwritten.clone()));
    let serving = channel.requests().try_for_each(|it| {
        spawn_call(&shared, &unwritten, it);
        std::future::ready(Ok(()))
    });
    tokio::pin!(serving);
    let unread = tokio::select! {
        biased;
        // An error ends the connection.
        _ = serving.as_mut() => return,
        it = last_requests_read(&shared.closing, &shared.used_connections, unread) => it,
    };
    check.request();
    if poll!(serving.as_mut()).is_pending() {
        drop(unread);
        drop(serving.await);
    }
}

/// Counts a call from now on, and handles it.
fn spawn_call(
    shared: &Arc<IngressShared>,
    unwritten: &Unwritten,
    request: InFlightRequest<IngressPeersRequest, IngressPeersResponse>,
) {
    // A peer that follows this instance waits for changes, and follows another one when the connection ends.
    let is_counted = !matches!(request.get().message, IngressPeersRequest::Follow { .. });
    let server = CountedCall {
        server: PeerServer { shared: shared.clone() },
        unwritten: unwritten.clone(),
        call: is_counted.then(|| shared.served_calls.start()),
    };
    tokio::spawn(request.execute(server));
}

/// Serves a call, which counts as in flight until its answer is written.
struct CountedCall {
    server: PeerServer,
    unwritten: Unwritten,
    call: Option<InFlightGuard>,
}

impl Serve for CountedCall {
    type Req = IngressPeersRequest;
    type Resp = IngressPeersResponse;

    async fn serve(
        self,
        context: context::Context,
        request: IngressPeersRequest,
    ) -> Result<IngressPeersResponse, ServerError> {
        let answer = self.server.serve().serve(context, request).await;
        self.unwritten.hold(self.call);
        answer
    }
}

#[derive(Clone)]
struct PeerServer {
    shared: Arc<IngressShared>,
}

impl IngressPeers for PeerServer {
    async fn make(
        self,
        _: context::Context,
        service: Name,
        asks: Vec<ItemRequest>,
    ) -> Vec<ItemResult> {
        if *self.shared.closing.borrow() {
            // The peer processes them itself. A peer that does not know of the stop would hold it.
            return vec![Err(NoResult::Unreachable); asks.len()];
        }
        self.shared.batches.process(&self.shared, &service, asks).await
    }

    async fn make_pieces(
        self,
        context: context::Context,
        service: Name,
        asks: Vec<ItemRequest>,
    ) -> ItemResults {
        let shared = self.shared.clone();
        let results = self.make(context, service, asks).await;
        let makers = results.iter().flatten().filter_map(|it| stages::producer(it));
        let departures = drain_notices::notices_for(&shared, makers);
        ItemResults { results, departures }
    }

    async fn process_group(
        self,
        context: context::Context,
        service: Name,
        group: ItemGroup,
    ) -> ItemResults {
        self.make_pieces(context, service, group.into_items()).await
    }

    async fn tell_departures(
        self,
        _: context::Context,
        news: Vec<DrainNotice>,
    ) -> Vec<DrainNotice> {
        drain_notices::exchange_notices(&self.shared, news)
    }

    async fn place(
        self,
        _: context::Context,
        service: Name,
        prompt: PromptRequest,
    ) -> Option<TargetId> {
        // A caller that uses `place` checks no rate limits, so the prompt is admitted here.
        match limits::assign(&self.shared, &service, prompt, 0).await {
            Assignment::To { target, .. } => Some(target),
            Assignment::Wait(_) | Assignment::Later { .. } | Assignment::Nowhere => None,
        }
    }

    async fn take_slot(self, _: context::Context, known: LimitUpdate) -> Slot {
        limits::serve_permit(&self.shared, known)
    }

    async fn hear_limits(self, _: context::Context, news: Vec<LimitUpdate>) {
        limits::apply_updates(&self.shared, news);
    }

    async fn assign(
        self,
        _: context::Context,
        service: Name,
        prompt: PromptRequest,
        patience_ms: Millis,
    ) -> Assignment {
        limits::assign(&self.shared, &service, prompt, patience_ms).await
    }

    async fn give_up(self, _: context::Context, service: Name, handles: Vec<String>) {
        notify_makers(&self.shared, &service, handles);
    }

    async fn ping(self, _: context::Context, known: Version, address: String) -> Version {
        let active = self.shared.configuration().version;
        if active < known {
            tokio::spawn(fetch_configuration(self.shared, address));
        }
        active
    }

    async fn check(self, context: context::Context, known: Version, address: String) -> PeerStatus {
        let StageLoads { times, loads } = self.shared.batches.stage_loads();
        let unreached = self.shared.peers.own_unreached();
        let version = self.ping(context, known, address).await;
        PeerStatus { version, stage_times: times, stage_loads: loads, unreached }
    }

    async fn lend(self, _: context::Context, service: Name, wanted: u32) -> Lease {
        self.shared.regions.spill.lend(&self.shared, &service, wanted)
    }

    async fn borrow(
        self,
        _: context::Context,
        service: Name,
        region: Name,
        places: u32,
    ) -> Option<Millis> {
        let now = self.shared.clock.now();
        self.shared.regions.spill.take(now, (service, region), places)
    }

    async fn roll_out(
        self,
        _: context::Context,
        service: Name,
        report: RolloutReport,
    ) -> DriverAnswer {
        rollouts::answer(&self.shared, &service, report)
    }

    async fn report_runs(self, _: context::Context, reports: Vec<RunReport>) {
        quarantine::apply_reports(&self.shared, reports);
    }

    async fn tell_verdicts(self, _: context::Context, verdicts: Vec<Verdict>) {
        quarantine::apply_verdicts(&self.shared, verdicts, "peer");
    }

    async fn hold_origins(self, _: context::Context, origins: Vec<StreamOrigin>) {
        self.shared.origins.hold(self.shared.clock.now(), origins);
    }

    async fn stream_version(self, _: context::Context, key: StreamKey) -> Option<TargetVersion> {
        self.shared.origins.version_of(self.shared.clock.now(), key)
    }

    async fn only_version(self, _: context::Context, service: Name) -> Option<TargetVersion> {
        stream_origins::only_version(&self.shared, &service).await
    }

    async fn follow(self, _: context::Context, known: FollowRequest) -> Update {
        update_feed::respond(&self.shared, known).await
    }
}

/// Codec for the length-delimited frames of a connection between peers.
pub(crate) fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
