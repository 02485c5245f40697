//! A cluster on loopback: controllers as real processes, with stand-ins for all services that they call.
//!
//! A [`Cluster`] owns the controllers' processes, the stand-ins and the proxies between them (`network`). All of them
//! end when it is dropped.

mod network;
mod settings;

pub use network::ControllerNetwork;

use crate::agent::Environment;
use crate::cloud::Cloud;
use crate::history::History;
use crate::store::{KeyValueStore, StoreSizeLimits};
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

/// Configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the controller's executable.
    pub program: PathBuf,
    /// Directory for settings and logs.
    pub directory: PathBuf,
    /// Zone of each controller, in the order of their numbers.
    pub controller_zones: Vec<String>,
    /// All zones.
    pub zones: Vec<String>,
    /// Number of machines that are provisioned in each zone at the start.
    pub machines_per_zone: u32,
    /// Maximum number of machines at a time.
    pub max_machines: usize,
    /// Operators' policy, in JSON.
    pub policy: String,
    /// Duration of an agent's lease.
    pub lease: Duration,
    /// Time within which all tasks of a cancelled job must have ended.
    pub cancel_limit: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Limits of size that the store enforces and the settings state.
    pub store_limits: StoreSizeLimits,
}

/// One controller.
struct Controller {
    zone: String,
    network: ControllerNetwork,
    public: SocketAddr,
    settings: PathBuf,
    /// `None` unless the controller has been started and not killed since.
    process: Option<Child>,
}

/// A running cluster. Dropping it kills its processes.
pub struct Cluster {
    config: ClusterConfig,
    controllers: BTreeMap<String, Controller>,
    /// The store that all controllers use.
    pub store: KeyValueStore,
    /// The cloud, which runs all machines.
    pub cloud: Cloud,
    /// Data and settings that all machines share.
    pub environment: Environment,
    client: Client,
    _network: Network,
}

/// An error that ends a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// An error of files, sockets or processes.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A condition did not hold in time.
    #[error("timed out after {timeout:?} waiting for {condition}")]
    Timeout {
        /// Description of the condition.
        condition: String,
        /// Time for which the condition was awaited.
        timeout: Duration,
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

    /// Starts the stand-ins and the proxies and writes the controllers' settings. Starts no machines or controllers.
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
        let store = KeyValueStore::with_size_limits(config.store_limits);
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

    /// Returns the settings file of one controller, which commands of the controller's executable need, too.
    pub fn settings_path(&self, label: &str) -> Option<&Path> {
        self.controllers.get(label).map(|controller| controller.settings.as_path())
    }

    /// Returns the public addresses of the running controllers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let running = self.controllers.values().filter(|controller| controller.process.is_some());
        running.map(|controller| controller.public).collect()
    }

    /// Returns the labels of all controllers.
    pub fn labels(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// Returns the controls of one controller's network.
    pub fn network(&self, label: &str) -> ControllerNetwork {
        self.controllers.get(label).map(|controller| controller.network.clone()).unwrap_or_default()
    }

    /// Starts a controller unless it is running.
    pub fn restart_controller(&mut self, label: &str) -> io::Result<()> {
        let is_running = self.controllers.get(label).is_none_or(|controller| controller.process.is_some());
        if is_running { Ok(()) } else { self.start_controller(label) }
    }

    /// Returns the labels of the controllers whose processes have exited without having been killed by the testbed.
    pub fn crashed_controllers(&mut self) -> Vec<String> {
        let has_ended = |process: &mut Child| matches!(process.try_wait(), Ok(Some(_)));
        let crashed = self.controllers.iter_mut().filter_map(|(label, controller)| {
            controller.process.as_mut().is_some_and(has_ended).then(|| label.clone())
        });
        crashed.collect()
    }

    /// Suspends the process of a controller, or resumes it.
    pub fn pause_controller(&self, label: &str, pause: bool) {
        if let Some(process) = self.controllers.get(label).and_then(|controller| controller.process.as_ref()) {
            let signal = if pause { "-STOP" } else { "-CONT" };
            // Fails if the process has ended, which is reported by `crashed_controllers`.
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
        Err(ClusterError::Timeout { condition: format!("{label} to become healthy"), timeout: HEALTHY_LIMIT })
    }

    /// Kills the process of one controller.
    pub fn kill_controller(&mut self, label: &str) {
        if let Some(mut process) = self.controllers.get_mut(label).and_then(|controller| controller.process.take()) {
            // Fails only if the process has already ended.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Kills all controllers and terminates all machines of a zone at once.
    pub fn kill_zone(&mut self, zone: &str) {
        self.cloud.kill_zone(zone);
        for label in self.labels_in(zone) {
            self.kill_controller(&label);
        }
    }

    /// Starts the controllers of a zone and lets machines start there again.
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

    /// Waits until a condition holds and returns the time that this took. The error names the condition by its
    /// `description`.
    pub async fn wait_for(
        &self,
        description: &str,
        timeout: Duration,
        mut condition: impl FnMut(&Cluster) -> bool,
    ) -> Result<Duration, ClusterError> {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            if condition(self) {
                return Ok(started_at.elapsed());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(ClusterError::Timeout { condition: description.to_string(), timeout })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for label in self.labels() {
            self.kill_controller(&label);
        }
    }
}
