//! A whole system in one process: stand-ins for the log, the instance list and the targets, and
//! instances of the daemon.

use std::{sync::Arc, time::Duration};

use holdpoint_core::ids::sha256_hex;
use holdpoint_platform::{
    Http, OperatorClient,
    operators::{ApiError, ChangeOptions},
};
use holdpoint_schema::{
    caller::{ChangeState, ChangeStatus},
    resources::Resource,
    settings::Settings,
};
use holdpoint_standin::{
    list::ListStandin,
    log::LogStandin,
    relay::Relay,
    tally::Tally,
    target::{TargetFaults, TargetStandin},
};
use holdpointd::{Instance, StopOutcome};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::users::{self, PoolSpec, WINE_DOMAINS};

/// Bearer token of the operator.
pub const OPERATOR_TOKEN: &str = "demo-operator";
/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Configuration of a system.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of instances.
    pub instances: usize,
    /// Pools of targets.
    pub pools: Vec<PoolSpec>,
    /// Resources applied at the start.
    pub resources: Vec<Resource>,
    /// Seed of the stand-ins' faults.
    pub seed: u64,
    /// Settings of all instances, except names and addresses: a JSON object merged over the
    /// defaults.
    pub settings: Value,
    /// Whether instances reach each other through relays, which can drop traffic.
    pub relays: bool,
}

impl Plan {
    /// Configures a system with the pools and resources of both users.
    pub fn new(instances: usize) -> Plan {
        Plan {
            instances,
            pools: users::pools(),
            resources: users::resources(),
            seed: 1,
            settings: json!({}),
            relays: false,
        }
    }

    /// Merges settings over the defaults.
    pub fn with_settings(mut self, settings: Value) -> Plan {
        self.settings = settings;
        self
    }

    /// Puts a relay before each instance's peer address.
    pub fn with_relays(mut self) -> Plan {
        self.relays = true;
        self
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Plan {
        self.seed = seed;
        self
    }
}

/// A running system.
pub struct World {
    /// The log.
    pub log: LogStandin,
    /// The instance list.
    pub list: ListStandin,
    /// Targets of all pools.
    pub targets: Vec<(String, TargetStandin)>,
    /// Calls that the targets ran.
    pub tally: Tally,
    /// HTTP client of callers and operators.
    pub http: Http,
    settings: Value,
    relays: bool,
    slots: Mutex<Vec<Slot>>,
}

struct Slot {
    name: String,
    instance: Option<Instance>,
    callers: String,
    operators: String,
    relay: Option<Arc<Relay>>,
}

impl World {
    /// Starts a system, waits until all instances are ready and applies the resources.
    pub async fn start(plan: &Plan) -> World {
        let (log, list) = (LogStandin::start().await, ListStandin::start().await);
        let tally = Tally::new();
        let mut targets = Vec::new();
        for pool in &plan.pools {
            for index in 0..pool.targets {
                let seed = plan.seed.wrapping_mul(1000) + targets.len() as u64;
                let form = users::target_config(pool, index);
                let target = TargetStandin::start(form, tally.clone(), seed).await;
                list.add_target(target.listed());
                targets.push((pool.name.to_owned(), target));
            }
        }
        let world = World {
            log,
            list,
            targets,
            tally,
            http: Http::new(),
            settings: plan.settings.clone(),
            relays: plan.relays,
            slots: Mutex::new(Vec::new()),
        };
        for index in 0..plan.instances {
            world.start_instance(&format!("entry-{}", index + 1)).await;
        }
        world.wait_until("all instances are ready", |it| it.all_ready()).await;
        if 0 < plan.instances {
            world.apply(&plan.resources).await;
        }
        world
    }

    /// Starts an instance, in place of any of the same name.
    pub async fn start_instance(&self, name: &str) {
        let relay = if self.relays { Some(Arc::new(Relay::start().await)) } else { None };
        let mut slots = self.slots.lock();
        let index = slots.iter().position(|it| it.name == name).unwrap_or(slots.len());
        let domain = WINE_DOMAINS[index % WINE_DOMAINS.len()];
        let mut settings = self.settings_of(name, domain);
        if let Some(it) = &relay {
            settings.listen.advertise = it.address().to_owned();
        }
        let instance = Instance::start(settings).expect("loopback is free");
        let addresses = instance.addresses();
        let peers = addresses.peers.to_string();
        if let Some(it) = &relay {
            it.forward_to(&peers);
        }
        let listed = relay.as_ref().map_or(peers.as_str(), |it| it.address());
        self.list.add_instance(name, listed);
        let slot = Slot {
            relay: relay.clone(),
            name: name.to_owned(),
            instance: Some(instance),
            callers: addresses.callers.to_string(),
            operators: addresses.operators.to_string(),
        };
        if index < slots.len() { slots[index] = slot } else { slots.push(slot) }
    }

    /// Ends an instance at once, as a crash of its process would.
    pub fn kill(&self, index: usize) {
        let instance = self.slots.lock()[index].instance.take();
        if let Some(it) = instance {
            it.kill();
        }
    }

    /// Drains and stops an instance, then removes it from the instance list.
    ///
    /// Returns `None` if the instance is not running.
    pub async fn stop(&self, index: usize) -> Option<StopOutcome> {
        let (instance, name) = {
            let mut slots = self.slots.lock();
            (slots[index].instance.take(), slots[index].name.clone())
        };
        let ended = instance?.stop().await;
        self.list.remove_instance(&name);
        Some(ended)
    }

    /// Drops the calls of other instances to this one, its answers to them, or both.
    ///
    /// Does nothing without relays.
    pub fn drop_traffic(&self, index: usize, calls: bool, answers: bool) {
        if let Some(it) = &self.slots.lock()[index].relay {
            it.set_drops(calls, answers);
        }
    }

    /// Number of instances started.
    pub fn len(&self) -> usize {
        self.slots.lock().len()
    }

    /// Whether no instance was started.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Address of an instance for callers, whether it is running or not.
    pub fn callers(&self, index: usize) -> String {
        self.slots.lock()[index].callers.clone()
    }

    /// Address of an instance for operators, whether it is running or not.
    pub fn operators(&self, index: usize) -> String {
        self.slots.lock()[index].operators.clone()
    }

    /// Shared state of the threads of a running instance.
    pub fn shared(&self, index: usize) -> Option<Arc<holdpointd::Shared>> {
        self.slots.lock()[index].instance.as_ref().map(|it| it.shared().clone())
    }

    /// Whether an instance is running and accepts new work.
    pub fn is_ready(&self, index: usize) -> bool {
        self.shared(index).is_some_and(|it| it.is_ready(&it.published()))
    }

    /// Whether every running instance accepts new work and sees the others.
    pub fn all_ready(&self) -> bool {
        let live: Vec<_> = (0..self.len()).filter_map(|it| self.shared(it)).collect();
        live.iter().all(|it| {
            let view = it.published();
            it.is_ready(&view) && live.len() <= view.peers.len() + 1
        })
    }

    /// Client of an instance's operator API.
    pub fn operator(&self, index: usize) -> OperatorClient {
        OperatorClient::new(self.http.clone(), &self.operators(index), OPERATOR_TOKEN)
    }

    /// Targets of a pool.
    pub fn pool(&self, name: &str) -> Vec<&TargetStandin> {
        self.targets.iter().filter(|it| it.0 == name).map(|it| &it.1).collect()
    }

    /// Sets the fault switches of all targets of a pool.
    pub fn set_faults(&self, pool: &str, faults: &TargetFaults) {
        for target in self.pool(pool) {
            *target.faults() = faults.clone();
        }
    }

    /// Applies resources in order through the first running instance.
    ///
    /// # Panics
    ///
    /// Panics if no instance is running or a resource is not accepted.
    pub async fn apply(&self, resources: &[Resource]) {
        let index =
            (0..self.len()).find(|it| self.shared(*it).is_some()).expect("an instance is running");
        let operator = self.operator(index);
        for resource in resources {
            let spec = Value::Object(resource.spec.clone());
            let (kind, name) = (resource.kind.to_string(), resource.name.clone());
            let status = operator.put(&kind, &name, &spec, &ChangeOptions::default()).await;
            let accepted = status.map(|it| it.state) == Ok(ChangeState::Accepted);
            assert!(accepted, "{kind}/{name} is accepted");
        }
    }

    /// Sets one resource through an instance.
    pub async fn put(
        &self,
        index: usize,
        kind: &str,
        name: &str,
        spec: &Value,
        form: &ChangeOptions,
    ) -> Result<ChangeStatus, ApiError> {
        self.operator(index).put(kind, name, spec, form).await
    }

    /// Waits until a condition holds, for about ten seconds.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold in that time.
    pub async fn wait_until(&self, what: &str, is_met: impl Fn(&World) -> bool) {
        for _ in 0..1000 {
            if is_met(self) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out after about 10 s waiting until {what}");
    }

    fn settings_of(&self, name: &str, domain: &str) -> Settings {
        let any = "127.0.0.1:0";
        let mut value = json!({
            "instance": name,
            "domain": domain,
            "listen": { "callers": any, "operators": any, "peers": any },
            "platform": { "log": self.log.address(), "list": self.list.address() },
            "operators": [{ "name": "demo", "token_sha256": sha256_hex(OPERATOR_TOKEN.as_bytes()) }],
            "resume_keys": [{ "id": 1, "secret": "emulator-secret-0001" }],
            "timing": { "heartbeat_ms": 200, "list_poll_ms": 200 },
        });
        overlay(&mut value, &self.settings);
        holdpointd::settings::check(&value).expect("the emulator's settings are valid")
    }
}

/// Merges `over` into `base`: objects member by member, other values are replaced.
fn overlay(base: &mut Value, over: &Value) {
    match (base, over) {
        (Value::Object(base), Value::Object(over)) => {
            for (name, value) in over {
                overlay(base.entry(name.clone()).or_insert(Value::Null), value);
            }
        }
        (base, over) => *base = over.clone(),
    }
}
