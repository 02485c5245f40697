//! The network between controllers, agents, store and cloud. Connections to controllers and from them to the services
//! run through fault-injecting proxies.

use super::ClusterError;
use super::settings::{ControllerAddresses, label};
use crate::listener::{Server, free_address};
use crate::network_proxy::{ProxyControl, start_proxy};
use crate::store::KeyValueStore;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Controls of one controller's network, one for each kind of connection. Clones share the controls.
#[derive(Clone, Default)]
pub struct ControllerNetwork {
    /// Connections from the controller to the store.
    pub store: ProxyControl,
    /// Whether the store refuses all requests of this controller.
    pub is_refused_by_store: Arc<AtomicBool>,
    /// Connections from the controller to the cloud.
    pub cloud: ProxyControl,
    /// Connections from all agents to the controller.
    pub agents: ProxyControl,
    /// Connections from the controller to all siblings.
    pub siblings: ProxyControl,
}

/// Addresses on which one controller listens.
#[derive(Clone, Copy)]
pub(super) struct ListenAddresses {
    pub(super) public: SocketAddr,
    pub(super) peer: SocketAddr,
}

/// Proxies for the connections of all controllers, and the servers behind them. They end when this is dropped.
pub(super) struct Network {
    pub(super) controllers: Vec<ControllerNetwork>,
    pub(super) listen_addresses: Vec<ListenAddresses>,
    servers: Vec<Server>,
}

impl Network {
    /// Chooses listen addresses for `controller_count` controllers.
    pub(super) fn new(controller_count: usize) -> io::Result<Network> {
        let free = |_| Ok(ListenAddresses { public: free_address()?, peer: free_address()? });
        let listen_addresses = (0..controller_count).map(free).collect::<io::Result<Vec<_>>>()?;
        // Not `vec![..; n]`: clones would share their controls.
        let controllers = (0..controller_count).map(|_| ControllerNetwork::default()).collect();
        Ok(Network { controllers, listen_addresses, servers: Vec::new() })
    }

    /// Keeps a server running until the network is dropped. Returns its address.
    pub(super) fn add_server(&mut self, server: Server) -> SocketAddr {
        let address = server.address;
        self.servers.push(server);
        address
    }

    /// Starts the proxies from agents to controllers. Returns the proxies' addresses by the label of the controller.
    pub(super) async fn start_agent_proxies(&mut self) -> io::Result<BTreeMap<String, SocketAddr>> {
        let mut addresses = BTreeMap::new();
        for number in 0..self.controllers.len() {
            let proxy = start_proxy(self.listen_addresses[number].public, self.controllers[number].agents.clone());
            let address = self.add_server(proxy.await?);
            addresses.insert(label(number), address);
        }
        Ok(addresses)
    }

    /// Starts the store endpoint of one controller and the proxies to the services and siblings that it calls. Returns
    /// the addresses for its settings.
    pub(super) async fn start_controller_proxies(
        &mut self,
        number: usize,
        store: &KeyValueStore,
        cloud: SocketAddr,
    ) -> Result<ControllerAddresses, ClusterError> {
        let network = self.controllers[number].clone();
        let store = self.add_server(store.start(network.is_refused_by_store).await?);
        let store = self.add_server(start_proxy(store, network.store).await?);
        let cloud = self.add_server(start_proxy(cloud, network.cloud).await?);
        let mut siblings = BTreeMap::new();
        for other in (0..self.controllers.len()).filter(|other| *other != number) {
            let proxy = start_proxy(self.listen_addresses[other].peer, network.siblings.clone());
            let address = self.add_server(proxy.await?);
            siblings.insert(other, address);
        }
        let ListenAddresses { public, peer } = self.listen_addresses[number];
        Ok(ControllerAddresses { public, peer, store, cloud, siblings })
    }
}
