//! The accept loop that all servers of the testbed share, and free addresses for processes that bind their own ports.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// First port of a range that the system does not use as ephemeral ports. An ephemeral port that was free when it was
/// chosen could become the local port of an outgoing connection before the process listens on it.
const FIRST_PORT: u32 = 20_000;
const PORT_COUNT: u32 = 10_000;
/// Distance between the ports at which two processes with consecutive ids begin their search, so that parallel runs
/// rarely try the same ports.
const PORTS_BETWEEN_PROCESSES: u32 = 97;

/// Returns a loopback address whose port is free. Successive calls return different addresses.
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

/// A server on loopback. Dropping it closes the listener and all connections.
pub struct Server {
    /// Address on which the server listens.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

/// Listens on a free port and handles each connection in its own task.
pub(crate) async fn listen<F>(handle: impl Fn(TcpStream) -> F + Send + 'static) -> io::Result<Server>
where
    F: Future<Output = ()> + Send + 'static,
{
    // The system chooses a port and binds it in one step. A port chosen first and bound later could be taken by another
    // process in between.
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
    // Owned by this task, so that all connections end when the server is dropped.
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
