//! An instance on a runtime of its own, which ends with the stop and closes the instance's sockets as the end of its
//! process would.

use std::thread;

use holdpoint_schema::ingress::Listen;
use holdpointd::{StopOutcome, ingress::Ingress};
use serde_json::Value;
use tokio::sync::oneshot;

use super::{CONDITION_TIMEOUT, until};

/// A running instance.
pub struct Stoppable {
    pub listen: Listen,
    stop: oneshot::Sender<()>,
    ended: oneshot::Receiver<StopOutcome>,
}

/// An instance that has been told to stop.
pub struct Stopping(oneshot::Receiver<StopOutcome>);

impl Stoppable {
    /// Starts an instance, and waits until `is_started`.
    pub async fn start(
        settings: Value,
        is_started: impl Fn(&Ingress) -> bool + Send + 'static,
    ) -> Stoppable {
        let (started, listen) = oneshot::channel();
        let (stop, is_stopping) = oneshot::channel();
        let (ending, ended) = oneshot::channel();
        thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let outcome = runtime.block_on(async {
                let instance = Ingress::start(serde_json::from_value(settings).unwrap()).unwrap();
                until(|| is_started(&instance)).await;
                started.send(instance.listen().clone()).unwrap();
                is_stopping.await.unwrap();
                instance.stop().await
            });
            runtime.shutdown_background();
            // The test may have ended.
            let _ = ending.send(outcome);
        });
        Stoppable { listen: listen.await.unwrap(), stop, ended }
    }

    /// Begins to stop the instance.
    pub fn stop(self) -> Stopping {
        self.stop.send(()).unwrap();
        Stopping(self.ended)
    }
}

impl Stopping {
    /// Whether the instance has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.0.try_recv(), Err(oneshot::error::TryRecvError::Empty))
    }

    /// Waits until the instance has ended.
    pub async fn ended(self) -> StopOutcome {
        tokio::time::timeout(CONDITION_TIMEOUT, self.0)
            .await
            .expect("the instance stops within the timeout")
            .unwrap()
    }
}
