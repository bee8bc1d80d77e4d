//! A bare relay that forwards bytes: the least that any proxy costs.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Relays connections to a target, one by one, dealt out among several.
///
/// # Errors
/// Those of the system.
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
