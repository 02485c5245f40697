//! Settings files of controllers.

use super::ClusterConfig;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Addresses on which one controller listens, and addresses of the proxies through which it calls others.
pub(super) struct ControllerAddresses {
    pub(super) public: SocketAddr,
    pub(super) peer: SocketAddr,
    pub(super) store: SocketAddr,
    pub(super) cloud: SocketAddr,
    /// Proxies to the siblings, by the sibling's number.
    pub(super) siblings: BTreeMap<usize, SocketAddr>,
}

/// Returns the label of the controller with this number.
pub(super) fn label(number: usize) -> String {
    format!("node-{number}")
}

/// Renders the settings of one controller as TOML.
pub(super) fn render_settings(config: &ClusterConfig, addresses: &ControllerAddresses, number: usize) -> String {
    let ControllerAddresses { public, peer, store, cloud, siblings } = addresses;
    let zones = &config.controller_zones;
    let mut text = format!("label = \"{}\"\nsite = \"{}\"\n", label(number), zones[number]);
    text += &format!("public_addr = \"{public}\"\nback = \"{peer}\"\n");
    for (other, address) in siblings {
        let (label, zone) = (label(*other), &zones[*other]);
        text += &format!("[[siblings]]\nlabel = \"{label}\"\nsite = \"{zone}\"\naddress = \"{address}\"\n");
    }
    text += &format!("[external]\ncloud = \"{cloud}\"\nstate = \"{store}\"\n");
    text + &render_deployment(config)
}

fn render_deployment(config: &ClusterConfig) -> String {
    let mut text = format!("[deployment]\nnodes = {}\nzones = {:?}\n", config.controller_zones.len(), config.zones);
    for team in ["auction", "invoices"] {
        text += &format!("[[deployment.teams]]\nname = \"{team}\"\n");
    }
    let [heartbeat_s, lease_s, cancel_s] =
        [config.heartbeat_interval, config.lease, config.cancel_limit].map(|duration| duration.as_secs_f64());
    text += &format!("[deployment.workers]\nreport_s = {heartbeat_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 20.0\n");
    text += &format!("gang_peer_s = 5.0\ncancel_s = {cancel_s:?}\n");
    let (value_kb, txn_ops) = (config.store_limits.value_kb(), config.store_limits.txn_writes);
    text += "[deployment.state]\nrps = 1000.0\nwrite_rps = 200.0\n";
    text += &format!("value_kb = {value_kb:?}\ntxn_ops = {txn_ops}\n");
    text + "[deployment.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n[deployment.quota]\nfd_limit = 1000\n"
}
