//! A plain TCP relay that forwards bytes, as a baseline for the minimal cost of a proxy.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Accepts connections on `address` and relays each to one of `targets`, in turn.
///
/// # Errors
/// If the listener can't be bound.
pub async fn serve(
    address: SocketAddr,
    targets: Vec<SocketAddr>,
    bound: impl FnOnce(SocketAddr),
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    bound(listener.local_addr()?);
    let mut next = 0;
    loop {
        let Ok((mut client, _)) = listener.accept().await else { continue };
        let target = targets[next % targets.len()];
        next += 1;
        spawn_local(async move {
            let Ok(mut server) = TcpStream::connect(target).await else { return };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
        });
    }
}
