//! Cancellations, announced to the other controllers over the links between them.
//!
//! The state service may refuse the leader alone while others commit cancellations. What it then
//! doesn't read it hears here, and stops at once. That comes on top of the answer limit (S6), which
//! holds with no other controller in reach.

use crate::environment::Environment;
use crate::leadership::Leadership;
use crate::outbox::CancellationOutbox;
use crate::peer_links::PeerLinks;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use corkfield_wire::{ControllerName, JobId};
use std::rc::Rc;
use std::time::Duration;

/// A user's answer waits this long for the leader's acknowledgement.
const ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(300);

/// Announces cancellations.
pub struct CancellationNotifier {
    /// Surroundings: the settings name the other controllers.
    pub env: Rc<Environment>,
    /// Names the leader.
    pub replica: Rc<StoreReplica>,
    /// Stops the job's tasks if this controller leads.
    pub leadership: Rc<Leadership>,
    /// Say whether they lead.
    pub peers: Rc<Peers>,
    /// The links to the other controllers.
    pub links: Rc<PeerLinks>,
    /// Where the announcements wait for acknowledgement.
    pub outbox: Rc<CancellationOutbox>,
}

impl CancellationNotifier {
    /// Announces to all controllers that the state service holds the job as cancelled, and waits a
    /// moment for whoever leads. Called only for what was committed or read here: a cancellation
    /// whose commit had no answer may never come about, and is not announced.
    pub async fn notify_all(&self, id: &JobId) {
        self.leadership.note_cancelled(id);
        let peers = self.env.settings.platform.peers.iter();
        self.outbox.add_for_all(peers.map(|peer| peer.node.as_str()), id);
        let leaders = self.linked_leaders();
        let acknowledged = self.outbox.wait_until_acknowledged(&leaders, id);
        let _ = tokio::time::timeout(ACKNOWLEDGEMENT_WAIT, acknowledged).await;
    }

    fn linked_leaders(&self) -> Vec<ControllerName> {
        let contents = self.replica.contents.borrow();
        let recorded = contents.leader.as_ref().and_then(|leader| leader.record.node.as_ref());
        self.links.linked_leaders(recorded, &self.peers)
    }
}
