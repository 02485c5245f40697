//! The network around the controllers: every connection runs through a fault-injecting proxy.

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

/// The network of one controller, to be cut piece by piece.
#[derive(Clone, Default)]
pub struct ControllerNetwork {
    /// Connections to the store.
    pub store: ProxyControl,
    /// While set, the store refuses this controller.
    pub is_refused_by_store: Arc<AtomicBool>,
    /// Connections to the cloud.
    pub cloud: ProxyControl,
    /// Connections from all agents.
    pub agents: ProxyControl,
    /// Connections to all siblings.
    pub siblings: ProxyControl,
}

/// Addresses at which one controller listens.
#[derive(Clone, Copy)]
pub(super) struct ListenAddresses {
    pub(super) public: SocketAddr,
    pub(super) peer: SocketAddr,
}

/// Proxies between the controllers and everything else. They end when this is dropped.
pub(super) struct Network {
    pub(super) controllers: Vec<ControllerNetwork>,
    pub(super) listen_addresses: Vec<ListenAddresses>,
    servers: Vec<Server>,
}

impl Network {
    /// Chooses addresses for so many controllers.
    pub(super) fn new(controller_count: usize) -> io::Result<Network> {
        let free = |_| Ok(ListenAddresses { public: free_address()?, peer: free_address()? });
        let listen_addresses = (0..controller_count).map(free).collect::<io::Result<Vec<_>>>()?;
        // Not `vec![..; n]`: clones share their controls.
        let controllers = (0..controller_count).map(|_| ControllerNetwork::default()).collect();
        Ok(Network { controllers, listen_addresses, servers: Vec::new() })
    }

    /// Keeps a server for as long as the network.
    pub(super) fn add_server(&mut self, server: Server) -> SocketAddr {
        let address = server.address;
        self.servers.push(server);
        address
    }

    /// Starts the proxies between agents and controllers; addresses of the controllers for agents, by label.
    pub(super) async fn start_agent_proxies(&mut self) -> io::Result<BTreeMap<String, SocketAddr>> {
        let mut addresses = BTreeMap::new();
        for number in 0..self.controllers.len() {
            let proxy = start_proxy(self.listen_addresses[number].public, self.controllers[number].agents.clone());
            let address = self.add_server(proxy.await?);
            addresses.insert(label(number), address);
        }
        Ok(addresses)
    }

    /// Starts a store endpoint and the proxies for what one controller calls.
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
