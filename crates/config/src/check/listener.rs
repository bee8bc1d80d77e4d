//! The block `listener`.

use std::net::SocketAddr;

use super::Checker;
use super::block_reader::BlockReader;
use super::values::socket_address;
use crate::keywords::PROTOCOL_VALUES;
use crate::model::{Listener, Protocol};

impl Checker<'_> {
    pub(super) fn listener(&mut self, block: &BlockReader<'_>) -> Option<Listener> {
        // Port 0 stands for any free port, which is logged.
        let read = |text: &str| text.parse::<SocketAddr>().or_else(|_| socket_address(text));
        let address = self.required(block, "address", read);
        let protocol = self.protocol(block)?;
        Some(Listener { name: block.name.clone(), address: address?, protocol, spans: block.spans.clone() })
    }

    /// The protocol of a listener or a pool.
    pub(super) fn protocol(&mut self, block: &BlockReader<'_>) -> Option<Protocol> {
        self.choice_or(block, "protocol", "is not a protocol", &PROTOCOL_VALUES, Protocol::Http)
    }
}
