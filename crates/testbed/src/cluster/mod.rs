//! Controllers as real processes, with everything around them.
//!
//! Owns: the controllers' processes, the stand-ins, and the proxies between them (`network`). All end with it.

mod network;
mod settings;

pub use network::ControllerNetwork;

use crate::agent::Environment;
use crate::cloud::Cloud;
use crate::history::History;
use crate::store::KeyValueStore;
use burlhatch::protocol::HEALTH_PATH;
use burlhatch::transport::client::Client;
use hyper::Method;
use network::Network;
use settings::{label, render_settings};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const HEALTHY_LIMIT: Duration = Duration::from_secs(20);
const POLICY_FILE: &str = "policy.json";

/// How a cluster is set up.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the built program.
    pub program: PathBuf,
    /// Folder of settings and logs.
    pub directory: PathBuf,
    /// Zone of each controller.
    pub controller_zones: Vec<String>,
    /// All zones.
    pub zones: Vec<String>,
    /// Machines that run in each zone at the start.
    pub machines_per_zone: u32,
    /// Most machines at a time.
    pub max_machines: usize,
    /// The operators' policy, in JSON.
    pub policy: String,
    /// Lease of an agent.
    pub lease: Duration,
    /// How soon tasks of a cancelled job must be gone.
    pub cancel_limit: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
}

/// One controller.
struct Controller {
    zone: String,
    network: ControllerNetwork,
    public: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

/// A running cluster. Its processes end with it.
pub struct Cluster {
    config: ClusterConfig,
    controllers: BTreeMap<String, Controller>,
    /// The store.
    pub store: KeyValueStore,
    /// The cloud with all machines.
    pub cloud: Cloud,
    /// What all machines share.
    pub environment: Environment,
    client: Client,
    _network: Network,
}

/// Why a scenario can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// An error of files, sockets or processes.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A condition did not hold in time.
    #[error("{what} did not come about within {limit:?}")]
    NotInTime {
        /// What was waited for.
        what: String,
        /// For how long.
        limit: Duration,
    },
}

impl Cluster {
    /// Starts all services, the machines and the controllers, and waits until all controllers are healthy.
    pub async fn start(config: ClusterConfig) -> Result<Cluster, ClusterError> {
        let mut cluster = Cluster::prepare(config).await?;
        for zone in cluster.config.zones.clone() {
            cluster.cloud.provision(&zone, false, cluster.config.machines_per_zone);
        }
        let labels = cluster.labels();
        for label in &labels {
            cluster.start_controller(label)?;
        }
        for label in &labels {
            cluster.wait_until_healthy(label).await?;
        }
        Ok(cluster)
    }

    /// Starts everything but machines and controllers, and writes the controllers' settings.
    async fn prepare(config: ClusterConfig) -> Result<Cluster, ClusterError> {
        std::fs::create_dir_all(&config.directory)?;
        std::fs::write(config.directory.join(POLICY_FILE), &config.policy)?;
        let mut network = Network::new(config.controller_zones.len())?;
        let environment = Environment {
            controllers: network.start_agent_proxies().await?,
            jobs: Arc::default(),
            history: History::default(),
            heartbeat_interval: config.heartbeat_interval,
            lease: config.lease,
        };
        let store = KeyValueStore::default();
        let cloud = Cloud::new(&config.zones, config.max_machines, environment.clone());
        let cloud_address = network.add_server(cloud.start().await?);
        let mut controllers = BTreeMap::new();
        for (number, zone) in config.controller_zones.iter().enumerate() {
            let addresses = network.start_controller_proxies(number, &store, cloud_address).await?;
            let settings = config.directory.join(format!("{}.toml", label(number)));
            std::fs::write(&settings, render_settings(&config, &addresses, number))?;
            let (zone, network) = (zone.clone(), network.controllers[number].clone());
            let controller = Controller { zone, network, public: addresses.public, settings, process: None };
            controllers.insert(label(number), controller);
        }
        let client = Client::default();
        Ok(Cluster { config, controllers, store, cloud, environment, client, _network: network })
    }

    /// Settings file of one controller, for commands of the program.
    pub fn settings_of(&self, label: &str) -> Option<&Path> {
        self.controllers.get(label).map(|controller| controller.settings.as_path())
    }

    /// Public addresses of the controllers that run.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let running = self.controllers.values().filter(|controller| controller.process.is_some());
        running.map(|controller| controller.public).collect()
    }

    /// Labels of all controllers.
    pub fn labels(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// The network of one controller.
    pub fn network(&self, label: &str) -> ControllerNetwork {
        self.controllers.get(label).map(|controller| controller.network.clone()).unwrap_or_default()
    }

    /// Starts a controller that does not run.
    pub fn restart_controller(&mut self, label: &str) -> io::Result<()> {
        let is_running = self.controllers.get(label).is_none_or(|controller| controller.process.is_some());
        if is_running { Ok(()) } else { self.start_controller(label) }
    }

    /// Controllers whose processes ended by themselves since they were started.
    pub fn crashed_controllers(&mut self) -> Vec<String> {
        let has_ended = |process: &mut Child| matches!(process.try_wait(), Ok(Some(_)));
        let crashed = self.controllers.iter_mut().filter_map(|(label, controller)| {
            controller.process.as_mut().is_some_and(has_ended).then(|| label.clone())
        });
        crashed.collect()
    }

    /// Stops a controller's process without ending it, or lets it go on.
    pub fn pause_controller(&self, label: &str, pause: bool) {
        if let Some(process) = self.controllers.get(label).and_then(|controller| controller.process.as_ref()) {
            let signal = if pause { "-STOP" } else { "-CONT" };
            // A process that has ended gets none.
            let _ = Command::new("kill").arg(signal).arg(process.id().to_string()).status();
        }
    }

    fn start_controller(&mut self, label: &str) -> io::Result<()> {
        let Some(controller) = self.controllers.get_mut(label) else { return Ok(()) };
        let log = File::options().append(true).create(true).open(controller.settings.with_extension("log"))?;
        let process = Command::new(&self.config.program)
            .arg("--config")
            .arg(&controller.settings)
            .arg("--policy")
            .arg(self.config.directory.join(POLICY_FILE))
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        controller.process = Some(process);
        Ok(())
    }

    async fn wait_until_healthy(&self, label: &str) -> Result<(), ClusterError> {
        let Some(controller) = self.controllers.get(label) else { return Ok(()) };
        let deadline = Instant::now() + HEALTHY_LIMIT;
        while Instant::now() < deadline {
            let call = self.client.call(controller.public, Method::GET, HEALTH_PATH, Vec::new(), HEALTH_CHECK_TIMEOUT);
            if call.await.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ClusterError::NotInTime { what: format!("{label} serving"), limit: HEALTHY_LIMIT })
    }

    /// Kills one controller's process.
    pub fn kill_controller(&mut self, label: &str) {
        if let Some(mut process) = self.controllers.get_mut(label).and_then(|controller| controller.process.take()) {
            // Fails only for a process that has ended.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Loses a zone at once: its controllers, its machines and all connections to them.
    pub fn kill_zone(&mut self, zone: &str) {
        self.cloud.kill_zone(zone);
        for label in self.labels_in(zone) {
            self.kill_controller(&label);
        }
    }

    /// Brings a zone back: machines can be provisioned, and its controllers start.
    pub fn restore_zone(&mut self, zone: &str) -> io::Result<()> {
        self.cloud.restore_zone(zone);
        for label in self.labels_in(zone) {
            self.start_controller(&label)?;
        }
        Ok(())
    }

    fn labels_in(&self, zone: &str) -> Vec<String> {
        let in_zone = self.controllers.iter().filter(|(_, controller)| controller.zone == zone);
        in_zone.map(|(label, _)| label.clone()).collect()
    }

    /// Waits until a condition holds; how long that took.
    pub async fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        mut condition: impl FnMut(&Cluster) -> bool,
    ) -> Result<Duration, ClusterError> {
        let started_at = Instant::now();
        while started_at.elapsed() < limit {
            if condition(self) {
                return Ok(started_at.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ClusterError::NotInTime { what: what.to_string(), limit })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for label in self.labels() {
            self.kill_controller(&label);
        }
    }
}
