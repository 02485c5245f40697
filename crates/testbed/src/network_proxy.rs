//! A fault-injecting TCP proxy on loopback, which forwards data, holds it back, or resets connections.

use crate::listener::{Server, listen};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum time for which data is held back. If the proxy forwards again within it, the data is delivered even if the
/// sender has closed the connection; otherwise it is dropped.
const MAX_HOLD_TIME: Duration = Duration::from_secs(120);

/// Treatment of connections and their data by a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Data is forwarded.
    Forward,
    /// Data is held back, and delivered in order when the proxy forwards again, even if the sender has closed the
    /// connection by then.
    Hold,
    /// Open and new connections are closed at once.
    Reset,
}

/// Controls the mode of one or more proxies. Clones control the same proxies.
#[derive(Clone)]
pub struct ProxyControl(watch::Sender<ProxyMode>);

impl ProxyControl {
    /// Sets the mode, also for open connections.
    pub fn set(&self, mode: ProxyMode) {
        self.0.send_replace(mode);
    }
}

impl Default for ProxyControl {
    fn default() -> ProxyControl {
        ProxyControl(watch::Sender::new(ProxyMode::Forward))
    }
}

/// Starts a proxy to an address.
pub async fn start_proxy(target: SocketAddr, control: ProxyControl) -> io::Result<Server> {
    listen(move |stream| forward_connection(stream, target, control.0.subscribe())).await
}

async fn forward_connection(client: TcpStream, target: SocketAddr, mut mode: watch::Receiver<ProxyMode>) {
    // In hold mode nothing reaches the target, not even a new connection.
    if *mode.borrow() == ProxyMode::Reset || wait_while_held(&mut mode).await.is_err() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    // TCP_NODELAY only reduces latency; the connections work without it.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut reset = mode.clone();
    let mut directions = JoinSet::new();
    directions.spawn(forward_direction(client_read, server_write, mode.clone()));
    directions.spawn(forward_direction(server_read, client_write, mode));
    tokio::select! {
        _ = reset.wait_for(|mode| *mode == ProxyMode::Reset) => {}
        () = async { while directions.join_next().await.is_some() {} } => {}
    }
}

/// Forwards the data of one direction. Data that has been read is delivered as soon as the proxy forwards, even if the
/// sender has closed the connection in the meantime.
async fn forward_direction(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<ProxyMode>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        let may_forward = tokio::time::timeout(MAX_HOLD_TIME, wait_while_held(&mut mode)).await;
        if count == 0 || !matches!(may_forward, Ok(Ok(()))) || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Error of a connection whose proxy resets connections or whose control has been dropped.
struct ConnectionReset;

/// Waits until the proxy leaves hold mode.
async fn wait_while_held(mode: &mut watch::Receiver<ProxyMode>) -> Result<(), ConnectionReset> {
    let mode = mode.wait_for(|mode| *mode != ProxyMode::Hold).await.map_err(|_| ConnectionReset)?;
    if *mode == ProxyMode::Reset { Err(ConnectionReset) } else { Ok(()) }
}
