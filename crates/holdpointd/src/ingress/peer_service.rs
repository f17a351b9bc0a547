//! RPC between ingress instances: its messages, and the side that answers.

use std::{io, pin::Pin, sync::Arc};

use bytes::BytesMut;
use futures::StreamExt;
use holdpoint_adapter::stages;
use holdpoint_core::{
    cold::Share,
    confinement::{Bounds, Confinement},
    directory::TargetId,
    ids::{Millis, Name},
    ingress::Version,
    promises::StageLoad,
    quarantine::Verdict,
    route::Call,
    spill::Lease,
    target_limits::{LimitNews, Slot},
};
use serde::{Deserialize, Serialize};
use tarpc::{
    ClientMessage, Response, context,
    serde_transport::{Transport, new as transport},
    server::{BaseChannel, Channel},
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::net::TcpListener;
use tokio_serde::{Deserializer, formats::Cbor};

use crate::ingress::{
    batches::StageLoads,
    connections::guard,
    departures::{self, Departure},
    follow::catch_up,
    limits::{self, Assignment},
    news::{self, Known, Update},
    piece_ask::{PieceAsk, PieceResult},
    quarantine::{self, RunReport},
    releases::tell_makers,
    rollouts::{self, DriverAnswer, RolloutReport},
    shared::IngressShared,
};

/// Largest message between peers, in bytes.
const MAX_FRAME: usize = 16 << 20;

/// Version of the protocol that this instance speaks: from 1 on, [`IngressPeers::check`] is known.
pub(crate) const PROTOCOL: u32 = DEPARTURES;
/// Version from which on an instance keeps confined work in its regions.
pub(crate) const CONFINES: u32 = 2;
/// Version from which on [`IngressPeers::lend`] is known.
pub(crate) const LENDING: u32 = 3;
/// Version from which on [`IngressPeers::report_runs`] and [`IngressPeers::tell_verdicts`] are known.
pub(crate) const QUARANTINES: u32 = 4;
/// Version from which on [`news::Place::sum`] is read.
pub(crate) const SUMS: u32 = 5;
/// Version from which on [`IngressPeers::take_slot`], [`IngressPeers::hear_limits`] and
/// [`IngressPeers::assign`] are known.
pub(crate) const LIMITS: u32 = 6;
/// Version from which on [`IngressPeers::make_pieces`] and [`IngressPeers::tell_departures`] are known.
pub(crate) const DEPARTURES: u32 = 7;

/// Pieces that an instance has made for a peer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Made {
    /// The results, in the order of the pieces.
    pub(crate) results: Vec<PieceResult>,
    /// Their makers that leave. Whoever passes their results on is bound by that too, also where it then loses
    /// touch with all others.
    #[serde(default)]
    pub(crate) departures: Vec<Departure>,
}

/// What an instance tells of itself whenever it is asked whether it is there.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Standing {
    /// Version of the configuration that it has in force.
    pub(crate) version: Version,
    /// Services that it batches, with the time that a stage takes there, in milliseconds.
    #[serde(default)]
    pub(crate) stage_times: Vec<(Name, Millis)>,
    /// The load of the same services.
    #[serde(default)]
    pub(crate) stage_loads: Vec<(Name, StageLoad)>,
}

/// A prompt for which an instance asks for a target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PromptAsk {
    /// Work, in tokens.
    pub(crate) work: f64,
    /// Part of the work that a cached prefix saves.
    pub(crate) prefix_work: f64,
    /// Hash of the prefix.
    pub(crate) prefix: u64,
    /// Targets that the instance does not want.
    pub(crate) avoided: Vec<TargetId>,
    /// Name of the policy of a trial's arm, if the request falls to one.
    #[serde(default)]
    pub(crate) policy: Option<Name>,
    /// Bytes that the target fetches, by the failure domain that they lie in.
    #[serde(default)]
    pub(crate) inputs: Vec<(Name, u64)>,
    /// Regions that its request is confined to.
    #[serde(default, skip_serializing_if = "Confinement::is_free")]
    pub(crate) confinement: Confinement,
}

impl PromptAsk {
    /// The call of the prompt, whose targets are within some bounds, by the instance that places it for all.
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

/// What ingress instances ask of each other.
#[tarpc::service]
pub(crate) trait IngressPeers {
    /// Makes pieces of a service's stage.
    async fn make(service: Name, asks: Vec<PieceAsk>) -> Vec<PieceResult>;
    /// The same, with more in the answer.
    async fn make_pieces(service: Name, asks: Vec<PieceAsk>) -> Made;
    /// Takes in which targets have said that they leave, and tells those that this instance knows.
    async fn tell_departures(news: Vec<Departure>) -> Vec<Departure>;
    /// Chooses the target of a service that reads a prompt.
    async fn place(service: Name, prompt: PromptAsk) -> Option<TargetId>;
    /// Gives up results of a service's stage.
    async fn give_up(service: Name, handles: Vec<String>);
    /// Says that the instance is there, and which configuration it has. The asker at this address
    /// has the configuration of this version.
    async fn ping(known: Version, address: String) -> Version;
    /// The same as `ping`, with more in the answer.
    async fn check(known: Version, address: String) -> Standing;
    /// Lends places of a service, which the asker's region cannot serve in time, to its owner there.
    async fn lend(service: Name, wanted: u32) -> Lease;
    /// Takes places that this instance has borrowed of a service in another region; how long the stage
    /// takes there, in milliseconds.
    async fn borrow(service: Name, region: Name, places: u32) -> Option<Millis>;
    /// Takes in what an instance has seen of a roll-out, and tells where it stands.
    async fn roll_out(service: Name, report: RolloutReport) -> DriverAnswer;
    /// Tells the judge of a service what an instance has seen of requests that end their targets.
    async fn report_runs(reports: Vec<RunReport>);
    /// Tells an instance what was found of such requests.
    async fn tell_verdicts(verdicts: Vec<Verdict>);
    /// Asks whoever keeps the account of a target's limit to let a request through. The asker tells what it
    /// knows of the limit.
    async fn take_slot(known: LimitNews) -> Slot;
    /// Takes in what targets have named as their limits.
    async fn hear_limits(news: Vec<LimitNews>);
    /// Chooses the target that reads a prompt, and lets the prompt through to it; the request can wait so many
    /// milliseconds.
    async fn assign(service: Name, prompt: PromptAsk, patience_ms: Millis) -> Assignment;
    /// Tells what is new to an asker who knows so much; waits for a while until something is.
    async fn follow(known: Known) -> Update;
}

/// What stands in a frame in which a peer asks something; an error tells why it cannot be read.
pub(super) fn read_request(frame: &[u8]) -> io::Result<serde_json::Value> {
    match read(frame)? {
        ClientMessage::Request(it) => Ok(serde_json::to_value::<IngressPeersRequest>(it.message)?),
        _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
    }
}

/// The same for a frame in which a peer answers.
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
pub(crate) async fn serve(shared: Arc<IngressShared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        if guard(&stream).is_err() {
            continue;
        }
        let io: Transport<_, _, _, _> = transport(codec().new_framed(stream), Cbor::default());
        let server = PeerServer { shared: shared.clone() };
        let channel = BaseChannel::with_defaults(io);
        tokio::spawn(channel.execute(server.serve()).for_each(|it| {
            tokio::spawn(it);
            std::future::ready(())
        }));
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
        asks: Vec<PieceAsk>,
    ) -> Vec<PieceResult> {
        self.shared.batches.make(&self.shared, &service, asks).await
    }

    async fn make_pieces(
        self,
        context: context::Context,
        service: Name,
        asks: Vec<PieceAsk>,
    ) -> Made {
        let shared = self.shared.clone();
        let results = self.make(context, service, asks).await;
        let made = results.iter().flatten().filter_map(|it| stages::maker(it));
        let departures = departures::of_makers(&shared, made);
        Made { results, departures }
    }

    async fn tell_departures(self, _: context::Context, news: Vec<Departure>) -> Vec<Departure> {
        departures::take_news(&self.shared, news)
    }

    async fn place(
        self,
        _: context::Context,
        service: Name,
        prompt: PromptAsk,
    ) -> Option<TargetId> {
        // An asker of an earlier build asks nobody else whether the target takes one more.
        match limits::assign(&self.shared, &service, prompt, 0).await {
            Assignment::To { target, .. } => Some(target),
            Assignment::Wait(_) | Assignment::Later { .. } | Assignment::Nowhere => None,
        }
    }

    async fn take_slot(self, _: context::Context, known: LimitNews) -> Slot {
        limits::answer_slot(&self.shared, known)
    }

    async fn hear_limits(self, _: context::Context, news: Vec<LimitNews>) {
        limits::take_news(&self.shared, news);
    }

    async fn assign(
        self,
        _: context::Context,
        service: Name,
        prompt: PromptAsk,
        patience_ms: Millis,
    ) -> Assignment {
        limits::assign(&self.shared, &service, prompt, patience_ms).await
    }

    async fn give_up(self, _: context::Context, service: Name, handles: Vec<String>) {
        tell_makers(&self.shared, &service, handles);
    }

    async fn ping(self, _: context::Context, known: Version, address: String) -> Version {
        let in_force = self.shared.configuration().version;
        if in_force < known {
            tokio::spawn(catch_up(self.shared, address));
        }
        in_force
    }

    async fn check(self, context: context::Context, known: Version, address: String) -> Standing {
        let StageLoads { times, loads } = self.shared.batches.stage_loads();
        let version = self.ping(context, known, address).await;
        Standing { version, stage_times: times, stage_loads: loads }
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
        quarantine::take_reports(&self.shared, reports);
    }

    async fn tell_verdicts(self, _: context::Context, verdicts: Vec<Verdict>) {
        quarantine::take_verdicts(&self.shared, verdicts, "peer");
    }

    async fn follow(self, _: context::Context, known: Known) -> Update {
        news::answer(&self.shared, known).await
    }
}

/// Frames of a connection between peers.
pub(crate) fn codec() -> tarpc::tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME);
    builder
}
