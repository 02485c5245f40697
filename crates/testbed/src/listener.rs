//! The accept loop that all servers of the testbed share, and free ports for processes that bind their own.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// First of the ports that no outgoing connection gets from the system: a port outside them that was free a moment ago
/// could be taken as the local end of some connection before a process listens there.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 10_000;
/// Processes begin their search this far from each other, so that runs side by side don't meet.
const PORTS_BETWEEN_PROCESSES: u32 = 97;

/// An address on loopback at which nobody listens, another one each time.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(PORTS_BETWEEN_PROCESSES);
    for _ in 0..PORT_COUNT {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST_PORT + offset) as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::from(io::ErrorKind::AddrInUse))
}

/// A server on loopback. It ends, with all its connections, when this is dropped.
pub struct Server {
    /// Address at which it listens.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Listens at a free port and handles each connection in a task of its own.
pub(crate) async fn listen<F>(handle: impl Fn(TcpStream) -> F + Send + 'static) -> io::Result<Server>
where
    F: Future<Output = ()> + Send + 'static,
{
    // Bound at once, so any free port will do: one that is looked for first may be another process's by then.
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept_loop(listener, handle));
    Ok(Server { address, _tasks: tasks })
}

async fn accept_loop<F>(listener: TcpListener, handle: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    // Connections end with the server.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(handle(stream));
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}
