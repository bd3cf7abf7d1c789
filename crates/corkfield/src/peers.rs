//! The link between controllers.

use crate::node::{now, Node};
use corkfield_http::{Listener, Stream};
use corkfield_wire::peer::{Frame, Hello, MAX_FRAME};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

const INTERVAL: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_secs(4);
const MAX_LINKS: usize = 32;

#[derive(Default)]
pub struct Peers {
    heard: RefCell<BTreeMap<String, (Hello, Instant)>>,
}

impl Peers {
    fn hear(&self, hello: Hello) {
        let mut heard = self.heard.borrow_mut();
        if heard.len() < MAX_LINKS || heard.contains_key(&hello.node) {
            heard.insert(hello.node.clone(), (hello, now()));
        }
    }

    /// Whether another controller has answers from the state service.
    pub fn somebody_has_store(&self) -> bool {
        let recent = |at: &Instant| now().saturating_duration_since(*at) < SILENCE;
        self.heard.borrow().values().any(|(hello, at)| hello.store_ok && recent(at))
    }
}

pub async fn listen(node: Rc<Node>, listener: Box<dyn Listener>) {
    let links = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(stream) if Rc::strong_count(&links) <= MAX_LINKS => {
                let (node, link) = (node.clone(), links.clone());
                tokio::task::spawn_local(async move {
                    let _link = link;
                    hear(&node, stream).await;
                });
            }
            Ok(stream) => drop(stream),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn hear(node: &Node, mut stream: Stream) {
    while let Ok(Ok(frame)) = timeout(SILENCE * 2, read_frame(&mut stream)).await {
        match frame {
            Some(Frame::Hello(hello)) => node.peers.hear(hello),
            None => return,
        }
    }
}

async fn read_frame(stream: &mut Stream) -> std::io::Result<Option<Frame>> {
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME {
        tracing::debug!(length, "oversized frame from a peer");
        return Ok(None);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    match Frame::decode(&bytes) {
        Ok(frame) => Ok(Some(frame)),
        Err(error) => {
            tracing::debug!(%error, "nonsense from a peer");
            Ok(None)
        }
    }
}

/// Tells a peer how we are, again and again.
pub async fn talk(node: Rc<Node>, addr: SocketAddr) {
    loop {
        if let Ok(Ok(mut stream)) = timeout(INTERVAL * 2, node.network.connect(addr)).await {
            loop {
                let bytes = Frame::Hello(hello(&node)).encode();
                match timeout(INTERVAL * 2, stream.write_all(&bytes)).await {
                    Ok(Ok(())) => tokio::time::sleep(INTERVAL).await,
                    _ => break,
                }
            }
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn hello(node: &Node) -> Hello {
    let cache = node.follower.cache.borrow();
    let planner = cache.planner.as_ref().map(|(record, _)| record);
    Hello {
        node: node.name.clone(),
        incarnation: node.presence.current().map(|c| c.incarnation).unwrap_or_default(),
        store_ok: node.follower.proof_age() < SILENCE,
        planner: planner.and_then(|p| p.node.clone()),
        term: planner.map_or(0, |p| p.term),
    }
}
