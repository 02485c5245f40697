//! Controllers as real processes, with everything around them.

use crate::cloud::Cloud;
use crate::history::History;
use crate::http::free_address;
use crate::link::{Gate, proxy};
use crate::store::KeyValueStore;
use crate::worker::Surroundings;
use burlhatch::transport::client::Client;
use hyper::Method;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// How a cluster is set up.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// The built program.
    pub program: PathBuf,
    /// Where settings and logs go.
    pub directory: PathBuf,
    /// The zone of each controller.
    pub sites: Vec<String>,
    /// All zones.
    pub zones: Vec<String>,
    /// Machines up at the start in each zone, and most at a time.
    pub machines_each: u32,
    /// Most machines at a time.
    pub capacity: usize,
    /// The operators' settings.
    pub policy: String,
    /// Without an answered heartbeat for so long a worker ends its tasks.
    pub lease: Duration,
    /// Time in which a cancelled task has to be gone.
    pub cancel: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
}

/// The links of one controller, to be cut one by one.
#[derive(Clone, Default)]
pub struct Links {
    /// To the store.
    pub state: Gate,
    /// While set, the store refuses this controller alone.
    pub refused: Arc<AtomicBool>,
    /// To the cloud.
    pub cloud: Gate,
    /// From all workers.
    pub workers: Gate,
    /// To all siblings.
    pub siblings: Gate,
}

/// One controller.
struct Controller {
    site: String,
    links: Links,
    public: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

/// A running cluster. Its processes end with it.
pub struct Cluster {
    plan: ClusterPlan,
    controllers: BTreeMap<String, Controller>,
    /// The store.
    pub state: KeyValueStore,
    /// The cloud with all machines.
    pub cloud: Cloud,
    /// What all machines share.
    pub around: Surroundings,
    client: Client,
    _servers: Vec<JoinSet<()>>,
}

/// Where one controller listens and what it reaches, the latter through links that can be cut.
struct Addresses {
    public: SocketAddr,
    back: SocketAddr,
    state: SocketAddr,
    cloud: SocketAddr,
    /// Its siblings, by their number.
    siblings: BTreeMap<usize, SocketAddr>,
}

/// Why a scenario can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// Files, sockets or processes.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// Something did not come about in time.
    #[error("{what} did not come about within {limit:?}")]
    NotInTime {
        /// What was waited for.
        what: String,
        /// For how long.
        limit: Duration,
    },
}

/// Time between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(50);

impl Cluster {
    /// Starts all services, the machines and the controllers, and waits until all controllers serve.
    pub async fn start(plan: ClusterPlan) -> Result<Cluster, ClusterError> {
        std::fs::create_dir_all(&plan.directory)?;
        let listening =
            plan.sites.iter().map(|_| Ok((free_address()?, free_address()?))).collect::<io::Result<Vec<_>>>()?;
        let links: Vec<Links> = plan.sites.iter().map(|_| Links::default()).collect();
        let label = |i: usize| format!("node-{i}");
        let mut servers = Vec::new();
        let mut controllers_for_workers = BTreeMap::new();
        for (i, (public, _)) in listening.iter().enumerate() {
            let (address, server) = proxy(*public, links[i].workers.clone()).await?;
            servers.push(server);
            controllers_for_workers.insert(label(i), address);
        }
        let around = Surroundings {
            controllers: controllers_for_workers,
            jobs: Arc::default(),
            history: History::default(),
            heartbeat_interval: plan.heartbeat_interval,
            lease: plan.lease,
        };
        let state = KeyValueStore::default();
        let cloud = Cloud::new(&plan.zones, plan.capacity, around.clone());
        let (cloud_address, cloud_server) = cloud.start().await?;
        servers.push(cloud_server);
        let mut addresses = Vec::new();
        for (i, (public, back)) in listening.iter().copied().enumerate() {
            let (state_address, state_server) = state.start(links[i].refused.clone()).await?;
            let (state, state_link) = proxy(state_address, links[i].state.clone()).await?;
            let (cloud, cloud_link) = proxy(cloud_address, links[i].cloud.clone()).await?;
            servers.extend([state_server, state_link, cloud_link]);
            let mut siblings = BTreeMap::new();
            for (other, (_, back)) in listening.iter().enumerate().filter(|(other, _)| *other != i) {
                let (address, link) = proxy(*back, links[i].siblings.clone()).await?;
                servers.push(link);
                siblings.insert(other, address);
            }
            addresses.push(Addresses { public, back, state, cloud, siblings });
        }
        let policy = plan.directory.join("policy.json");
        std::fs::write(&policy, &plan.policy)?;
        let mut controllers = BTreeMap::new();
        for (i, site) in plan.sites.iter().enumerate() {
            let settings = plan.directory.join(format!("{}.toml", label(i)));
            std::fs::write(&settings, settings_text(&plan, &addresses, i))?;
            let (site, links) = (site.clone(), links[i].clone());
            let controller = Controller { site, links, public: addresses[i].public, settings, process: None };
            controllers.insert(label(i), controller);
        }
        let client = Client::default();
        let mut cluster = Cluster { plan, controllers, state, cloud, around, client, _servers: servers };
        for zone in cluster.plan.zones.clone() {
            cluster.cloud.rent(&zone, false, cluster.plan.machines_each);
        }
        let labels: Vec<String> = cluster.controllers.keys().cloned().collect();
        for label in &labels {
            cluster.start_controller(label)?;
        }
        for label in &labels {
            cluster.wait_healthy(label).await?;
        }
        Ok(cluster)
    }

    /// Settings of one controller, for commands of the program.
    pub fn settings_of(&self, label: &str) -> Option<&Path> {
        self.controllers.get(label).map(|controller| controller.settings.as_path())
    }

    /// Where the controllers that run listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.controllers.values().filter(|c| c.process.is_some()).map(|c| c.public).collect()
    }

    /// All controllers' labels.
    pub fn labels(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// The links of one controller.
    pub fn links(&self, label: &str) -> Links {
        self.controllers.get(label).map(|controller| controller.links.clone()).unwrap_or_default()
    }

    /// Starts a controller that does not run.
    pub fn revive_controller(&mut self, label: &str) -> io::Result<()> {
        let running = self.controllers.get(label).is_none_or(|controller| controller.process.is_some());
        if running { Ok(()) } else { self.start_controller(label) }
    }

    /// Controllers whose processes ended by themselves since they were started.
    pub fn ended_by_themselves(&mut self) -> Vec<String> {
        let ended = |c: &mut Controller| c.process.as_mut().is_some_and(|p| matches!(p.try_wait(), Ok(Some(_))));
        self.controllers.iter_mut().filter_map(|(label, c)| ended(c).then(|| label.clone())).collect()
    }

    /// Lets a controller's process stand still, or go on.
    pub fn pause_controller(&self, label: &str, pause: bool) {
        if let Some(process) = self.controllers.get(label).and_then(|controller| controller.process.as_ref()) {
            let signal = if pause { "-STOP" } else { "-CONT" };
            let _ = Command::new("kill").arg(signal).arg(process.id().to_string()).status();
        }
    }

    fn start_controller(&mut self, label: &str) -> io::Result<()> {
        let Some(controller) = self.controllers.get_mut(label) else { return Ok(()) };
        let log = File::options().append(true).create(true).open(controller.settings.with_extension("log"))?;
        let process = Command::new(&self.plan.program)
            .arg("--config")
            .arg(&controller.settings)
            .arg("--policy")
            .arg(self.plan.directory.join("policy.json"))
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        controller.process = Some(process);
        Ok(())
    }

    async fn wait_healthy(&self, label: &str) -> Result<(), ClusterError> {
        let Some(controller) = self.controllers.get(label) else { return Ok(()) };
        let limit = Duration::from_secs(20);
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let call = self.client.call(controller.public, Method::GET, "/healthz", Vec::new(), Duration::from_secs(1));
            if call.await.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Err(ClusterError::NotInTime { what: format!("{label} serving"), limit })
    }

    /// Ends one controller's process at once.
    pub fn kill_controller(&mut self, label: &str) {
        if let Some(mut process) = self.controllers.get_mut(label).and_then(|controller| controller.process.take()) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// A zone is gone at once: its controllers, its machines and all connections to them.
    pub fn kill_zone(&mut self, zone: &str) {
        self.cloud.kill_zone(zone);
        for label in self.labels_in(zone) {
            self.kill_controller(&label);
        }
    }

    /// The zone is there again: machines can be rented, and its controllers start.
    pub fn revive_zone(&mut self, zone: &str) -> io::Result<()> {
        self.cloud.revive_zone(zone);
        for label in self.labels_in(zone) {
            self.start_controller(&label)?;
        }
        Ok(())
    }

    fn labels_in(&self, zone: &str) -> Vec<String> {
        self.controllers.iter().filter(|(_, c)| c.site == zone).map(|(label, _)| label.clone()).collect()
    }

    /// Waits until something holds; says how long that took.
    pub async fn wait_for(
        &self,
        what: &str,
        limit: Duration,
        mut holds: impl FnMut(&Cluster) -> bool,
    ) -> Result<Duration, ClusterError> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if holds(self) {
                return Ok(began.elapsed());
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Err(ClusterError::NotInTime { what: what.to_string(), limit })
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let labels: Vec<String> = self.controllers.keys().cloned().collect();
        labels.iter().for_each(|label| self.kill_controller(label));
    }
}

fn settings_text(plan: &ClusterPlan, addresses: &[Addresses], own: usize) -> String {
    let Addresses { public, back, state, cloud, siblings, .. } = &addresses[own];
    let mut text = format!(
        "label = \"node-{own}\"\nsite = \"{}\"\npublic_addr = \"{public}\"\nback = \"{back}\"\n",
        plan.sites[own]
    );
    for (i, sibling) in siblings {
        text +=
            &format!("[[siblings]]\nlabel = \"node-{i}\"\nsite = \"{}\"\naddress = \"{sibling}\"\n", plan.sites[*i]);
    }
    text += &format!("[external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
    text += &format!("[deployment]\nnodes = {}\nzones = {:?}\n", addresses.len(), plan.zones);
    for team in ["auction", "invoices"] {
        text += &format!("[[deployment.teams]]\nname = \"{team}\"\n");
    }
    let [heartbeat_s, lease_s, cancel_s] =
        [plan.heartbeat_interval, plan.lease, plan.cancel].map(|span| span.as_secs_f64());
    text += &format!("[deployment.workers]\nreport_s = {heartbeat_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 20.0\n");
    text += &format!("gang_peer_s = 5.0\ncancel_s = {cancel_s:?}\n");
    text += "[deployment.state]\nrps = 1000.0\nwrite_rps = 200.0\nvalue_kb = 8.0\ntxn_ops = 12\n";
    text += "[deployment.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[deployment.quota]\nfd_limit = 1000\n";
    text
}
