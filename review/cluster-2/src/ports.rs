//! Free loopback ports, below the range from which the system takes ports of outgoing connections.
//! Each run has a loopback address of its own, so that runs at the same time don't meet.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 30_000;

/// Hands out free ports of one loopback address.
pub struct Ports {
    ip: Ipv4Addr,
    next: Cell<u16>,
}

impl Default for Ports {
    fn default() -> Self {
        let nanos =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.subsec_nanos());
        let [_, a, b, c] = (nanos ^ std::process::id().wrapping_mul(0x9E37_79B1)).to_be_bytes();
        let ip = Ipv4Addr::new(127, 20 + a % 200, b, 1 + c % 250);
        Self { ip, next: Cell::new(FIRST_PORT) }
    }
}

impl Ports {
    /// Returns a free address.
    pub fn free_addr(&self) -> SocketAddr {
        while self.next.get() < LAST_PORT {
            let addr = SocketAddr::from((self.ip, self.next.get()));
            self.next.set(self.next.get() + 1);
            if TcpListener::bind(addr).is_ok() {
                return addr;
            }
        }
        panic!("no free port");
    }
}
