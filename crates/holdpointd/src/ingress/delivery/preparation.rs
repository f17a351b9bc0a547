//! What a send needs before it can begin: a share of the retry budget, the results of the stages, a target.

use std::{sync::Arc, time::Duration};

use holdpoint_core::{directory::TargetId, ids::Name, stage_graph::NoResult};
use parking_lot::Mutex;

use super::Undelivered;
use crate::ingress::{
    attempts::{Attempts, Chosen, StopCause, TargetChoice, likely_domain},
    context::Context,
    pools::RetryShare,
    stage_results::StageResults,
    stages,
};

/// Results of the stages of a request, which its sends share.
pub(super) type SharedResults = Arc<Mutex<StageResults>>;

/// A send that can begin.
pub(super) struct ChosenSend {
    pub(super) chosen: Chosen,
    pub(super) results: SharedResults,
    /// Its share of the retry budget, unless it is the first send.
    pub(super) share: Option<RetryShare>,
}

/// The outcome of a preparation.
pub(super) struct Prepared {
    /// The results of the stages, if these have run.
    pub(super) results: Option<SharedResults>,
    pub(super) chosen: Result<ChosenSend, Undelivered>,
}

/// The preparation of a send.
pub(super) struct Preparation<'a> {
    pub(super) ctx: &'a Context,
    /// Version that the target must run, since it began the stream.
    pub(super) version: Option<&'a str>,
    /// Results of an earlier run of the stages.
    pub(super) results: Option<SharedResults>,
    /// Targets that the request was sent to.
    pub(super) tried: Vec<TargetId>,
    /// Whether the request may be sent to another target.
    pub(super) may_repeat: bool,
    /// Whether the retry budget bounds the send.
    pub(super) is_repeated: bool,
    /// Targets that the request may be sent to again.
    pub(super) again: Vec<TargetId>,
}

impl Preparation<'_> {
    pub(super) async fn run(mut self) -> Prepared {
        let chosen = self.choose().await;
        Prepared { results: self.results, chosen }
    }

    async fn choose(&mut self) -> Result<ChosenSend, Undelivered> {
        Attempts::check(self.ctx).map_err(Undelivered::Stopped)?;
        if !self.may_repeat && self.again.is_empty() {
            return Err(Undelivered::Stopped(StopCause::Attempts));
        }
        // Reserved before the stages run, so that none run for a send that the budget does not allow.
        let share = match self.is_repeated {
            true => Some(reserve_retry(self.ctx).map_err(Undelivered::Stopped)?),
            false => None,
        };
        let results = self.stage_results().await?;
        let inputs = results.lock().domain_bytes.clone();
        let chosen = self.choose_target(&inputs).await.map_err(Undelivered::Stopped)?;
        Ok(ChosenSend { chosen, results, share })
    }

    async fn choose_target(&mut self, inputs: &[(Name, u64)]) -> Result<Chosen, StopCause> {
        let choice =
            |version| TargetChoice { ctx: self.ctx, version, inputs, tried: self.tried.clone() };
        let sent_version = self.ctx.sent_version().filter(|_| self.version.is_none());
        if self.may_repeat && sent_version.is_some() {
            let same = choice(sent_version.as_deref()).choose().await;
            if same.is_ok() {
                return same;
            }
        }
        let mut choice = choice(self.version);
        let untried = match self.may_repeat {
            true => choice.choose().await,
            false => Err(StopCause::Attempts),
        };
        match untried {
            Ok(it) => Ok(it),
            Err(why) => choice.choose_among(&self.again).await.ok_or(why),
        }
    }

    /// The results of an earlier run of the stages if they can still be used, otherwise those of a new one.
    async fn stage_results(&mut self) -> Result<SharedResults, Undelivered> {
        let within = self.ctx.within();
        if let Some(it) = self.results.take_if(|it| it.lock().is_usable(&within)) {
            self.results = Some(it.clone());
            return Ok(it);
        }
        let domain = likely_domain(self.ctx).map_err(Undelivered::Stopped)?;
        let made = stages::run_stages(self.ctx, &domain).await.map_err(|it| match it {
            NoResult::Overload(ms) => Undelivered::Overload(Duration::from_millis(ms)),
            NoResult::Late => Undelivered::NoResults("stages-late"),
            _ => Undelivered::NoResults("stages"),
        })?;
        let made = Arc::new(Mutex::new(made));
        self.results = Some(made.clone());
        Ok(made)
    }
}

fn reserve_retry(ctx: &Context) -> Result<RetryShare, StopCause> {
    let (now, terms) = (ctx.shared.clock.now(), ctx.shared.pools.terms());
    ctx.pool.reserve(now, &terms).ok_or(StopCause::Budget)
}
