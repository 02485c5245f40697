//! A link between two parties that can be cut: a proxy on loopback that passes bytes on, holds them back, or resets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What a link does with what is sent over it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// Passes it on.
    Open,
    /// Holds it back, and delivers it in order when the link is open again, also if the sender has given up by then.
    Held,
    /// Resets connections.
    Reset,
}

/// Opens and cuts a link. Clones cut the same one.
#[derive(Clone)]
pub struct Gate(watch::Sender<Passage>);

impl Gate {
    /// Sets what the link does from now on.
    pub fn set(&self, passage: Passage) {
        self.0.send_replace(passage);
    }
}

impl Default for Gate {
    fn default() -> Gate {
        Gate(watch::Sender::new(Passage::Open))
    }
}

const BUFFER: usize = 16 * 1024;
/// Held bytes are delivered within this of the link's opening, however late their sender has gone.
const CLOSED_PATIENCE: Duration = Duration::from_secs(120);

/// Begins to pass connections on to an address; says where. It ends when the returned set is dropped.
pub async fn proxy(to: SocketAddr, gate: Gate) -> io::Result<(SocketAddr, JoinSet<()>)> {
    // Taken at once, so any free port will do: one that is looked for first may be another process's by then.
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    connections.spawn(pass_on(stream, to, gate.0.subscribe()));
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => {}
            }
        }
    });
    Ok((address, tasks))
}

async fn pass_on(near: TcpStream, to: SocketAddr, mut passage: watch::Receiver<Passage>) {
    // Waits while the link is held: nothing reaches the other side.
    if *passage.borrow() == Passage::Reset || wait_open(&mut passage).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = passage.clone();
    let mut directions = JoinSet::new();
    directions.spawn(pump(near_read, far_write, passage.clone()));
    directions.spawn(pump(far_read, near_write, passage));
    tokio::select! {
        _ = reset.wait_for(|passage| *passage == Passage::Reset) => {}
        () = async { while directions.join_next().await.is_some() {} } => {}
    }
}

/// One direction: what was read is delivered as soon as the link is open, even if its sender has closed since.
async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut passage: watch::Receiver<Passage>) {
    let mut buffer = vec![0; BUFFER];
    while let Ok(count) = from.read(&mut buffer).await {
        let open = tokio::time::timeout(CLOSED_PATIENCE, wait_open(&mut passage)).await;
        if count == 0 || !matches!(open, Ok(Ok(()))) || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// The link was reset, or is gone.
struct Closed;

async fn wait_open(passage: &mut watch::Receiver<Passage>) -> Result<(), Closed> {
    let passage = passage.wait_for(|passage| *passage != Passage::Held).await.map_err(|_| Closed)?;
    if *passage == Passage::Reset { Err(Closed) } else { Ok(()) }
}
