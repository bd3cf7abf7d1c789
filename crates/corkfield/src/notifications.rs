//! Notifies the other controllers of cancellations over the links between controllers.
//!
//! The state service may be unreachable for the leader while other controllers commit
//! cancellations. The notification tells the leader of a cancellation that it can't read, and the
//! leader stops the job at once. The notifications only shorten the time until the tasks stop: the
//! answer limit (S6) bounds that time even if the leader reaches no other controller.

use crate::environment::Environment;
use crate::leadership::Leadership;
use crate::outbox::CancellationOutbox;
use crate::peer_links::PeerLinks;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use corkfield_wire::{ControllerName, JobId};
use std::rc::Rc;
use std::time::Duration;

/// Maximum time that the answer to a user waits for the leader's acknowledgement.
const MAX_ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(300);

/// Notifies all controllers of cancellations.
pub struct CancellationNotifier {
    /// Settings, which name the other controllers.
    pub env: Rc<Environment>,
    /// The replica, whose leader record names the leader.
    pub replica: Rc<StoreReplica>,
    /// Stops the job's tasks if this controller leads.
    pub leadership: Rc<Leadership>,
    /// The latest heartbeats of the other controllers, which state whether they lead.
    pub peers: Rc<Peers>,
    /// The links to the other controllers.
    pub links: Rc<PeerLinks>,
    /// Holds the notifications until they are acknowledged.
    pub cancellation_outbox: Rc<CancellationOutbox>,
}

impl CancellationNotifier {
    /// Notifies all controllers that the state service holds the job as cancelled, and waits up to
    /// [`MAX_ACKNOWLEDGEMENT_WAIT`] for the leader's acknowledgement. Must be called only for a
    /// cancellation that this controller committed or read: a commit without an answer may never
    /// have been executed, so its cancellation must not be announced.
    pub async fn notify_all(&self, id: &JobId) {
        self.leadership.record_cancelled(id);
        let peers = self.env.settings.platform.peers.iter();
        self.cancellation_outbox.add_for_all(peers.map(|peer| peer.node.as_str()), id);
        let leaders = self.linked_leaders();
        let acknowledged = self.cancellation_outbox.wait_until_acknowledged(&leaders, id);
        let _ = tokio::time::timeout(MAX_ACKNOWLEDGEMENT_WAIT, acknowledged).await;
    }

    /// Returns the controllers that may lead and that this controller has a link to.
    fn linked_leaders(&self) -> Vec<ControllerName> {
        let contents = self.replica.contents.borrow();
        let recorded = contents.leader.as_ref().and_then(|leader| leader.record.node.as_ref());
        self.links.linked_leaders(recorded, &self.peers)
    }
}
