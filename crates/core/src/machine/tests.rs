//! Tests of worker leases, message order, reachability, image cache, health and term exposure.

use super::health::MachineHealth;
use super::image_cache::ImageCache;
use super::lease::WorkerLease;
use super::message_history::MessageHistory;
use super::term_exposure::TermExposure;
use super::{MessageNumber, Reachability};
use corkfield_wire::{AgentEpoch, JobId, Term};
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_secs(10);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn number(agent_epoch: u64, sequence: u64) -> MessageNumber {
    MessageNumber { agent_epoch: AgentEpoch::new(agent_epoch), sequence }
}

#[test]
fn a_worker_lease_expires_only_after_its_full_duration() {
    let now = Instant::now();
    let mut lease = WorkerLease::new(now);
    lease.record_answer(Term::new(1), now + seconds(5));
    assert!(!lease.is_expiry_due(now + seconds(15), LEASE));
    assert!(lease.is_expiry_due(now + seconds(16), LEASE));
    lease.expire();
    assert!(!lease.is_expiry_due(now + seconds(16), LEASE), "a lease expires only once");
    lease.restart_if_expired(now + seconds(20));
    assert!(!lease.is_expired());
    assert!(!lease.is_expiry_due(now + seconds(30), LEASE));
}

#[test]
fn an_answer_that_was_not_received_does_not_renew_the_lease() {
    let now = Instant::now();
    let mut lease = WorkerLease::new(now);
    lease.record_answer(Term::new(3), now + seconds(8));
    // The next heartbeat still reports an earlier term, so the answer was not received.
    lease.record_ordered_heartbeat(Term::new(2));
    assert!(lease.is_expiry_due(now + seconds(11), LEASE));
    lease.record_answer(Term::new(3), now + seconds(8));
    lease.record_ordered_heartbeat(Term::new(3));
    assert!(!lease.is_expiry_due(now + seconds(11), LEASE));
}

#[test]
fn old_messages_and_messages_of_an_ended_agent_epoch_are_outdated() {
    let mut messages = MessageHistory::default();
    messages.accept(number(2, 7), Term::new(4));
    assert!(messages.is_outdated(number(2, 7)));
    assert!(messages.is_outdated(number(1, 99)));
    assert!(!messages.is_outdated(number(2, 8)));
    assert!(!messages.is_outdated(number(3, 1)));
    assert!(messages.has_reported_higher_term(Term::new(3)));
    assert!(!messages.has_reported_higher_term(Term::new(4)));
    messages.end_agent_epoch();
    assert!(messages.is_outdated(number(2, 8)));
    assert!(!messages.is_outdated(number(3, 1)));
}

#[test]
fn a_numbering_restart_is_suspected_only_after_outdated_heartbeats_in_order() {
    let mut messages = MessageHistory::default();
    messages.accept(number(1, 50), Term::new(1));
    messages.record_outdated_heartbeat(number(1, 2));
    messages.record_outdated_heartbeat(number(1, 1));
    assert!(!messages.may_have_restarted_numbering());
    messages.record_outdated_heartbeat(number(1, 3));
    assert!(messages.may_have_restarted_numbering());
    messages.accept(number(1, 51), Term::new(1));
    assert!(!messages.may_have_restarted_numbering());
}

#[test]
fn two_undelivered_starts_in_a_row_make_a_machine_unreachable() {
    let doubtful = Reachability::Reachable.after_delivery(false);
    assert_eq!(doubtful, Reachability::Doubtful(1));
    assert_eq!(doubtful.after_delivery(true), Reachability::Reachable);
    let unreachable = doubtful.after_delivery(false);
    assert_eq!(unreachable, Reachability::Unreachable);
    assert_eq!(unreachable.after_delivery(false), Reachability::Unreachable);
    assert_eq!(unreachable.after_delivery(true), Reachability::Reachable);
}

#[test]
fn the_least_recently_used_images_are_evicted_from_the_cache() {
    let mut images = ImageCache::default();
    for (name, size_gb) in [("a", 4.0), ("b", 4.0), ("a", 4.0), ("c", 4.0)] {
        images.mark_used(name, size_gb, 10.0);
    }
    assert_eq!(images.names().collect::<Vec<_>>(), ["a", "c"]);
    images.mark_used("huge", 20.0, 10.0);
    assert_eq!(images.names().collect::<Vec<_>>(), ["huge"], "the newest image is never evicted");
}

#[test]
fn a_machine_is_faulty_after_failures_of_two_jobs_or_of_one_that_completes_tasks() {
    let job = |id| JobId::parse(id).expect("a valid job id");
    let mut health = MachineHealth::default();
    health.record_failure(&job("j-000001"));
    assert!(health.has_failures() && !health.is_faulty(true));
    health.record_failure(&job("j-000001"));
    assert!(health.is_faulty(true) && !health.is_faulty(false));
    health.record_failure(&job("j-000002"));
    assert!(health.is_faulty(false));
    health.record_completion();
    assert!(!health.has_failures() && !health.is_faulty(true));
}

#[test]
fn a_machine_is_slow_only_after_several_long_run_times() {
    let mut health = MachineHealth::default();
    for _ in 0..3 {
        health.record_run_time(10.0);
        assert!(!health.is_slow());
    }
    health.record_run_time(10.0);
    assert!(health.is_slow());
}

/// Guards against treating a term as known to one process although another may have received it: a
/// term stays with one process if it was sent once before a message reported it, and if the known
/// process answers all later direct orders.
#[test]
fn a_term_that_was_sent_once_is_known_to_one_process() {
    let term = Term::new(3);
    let mut exposure = TermExposure::default();
    exposure.record_answer(term, number(1, 1));
    assert!(!exposure.is_known_to_one_process(term), "no message has reported the term");
    exposure.record_reported(term, number(1, 2));
    exposure.record_answer(term, number(1, 2));
    assert!(exposure.is_known_to_one_process(term));
    assert!(exposure.record_direct_orders(term));
    assert!(!exposure.is_known_to_one_process(term), "direct orders await their answer");
    exposure.end_direct_orders(true);
    assert!(exposure.is_known_to_one_process(term));
    assert!(
        !exposure.is_known_to_one_process(Term::new(4)),
        "a higher term is known to no process"
    );
    exposure.record_direct_orders(term);
    exposure.end_direct_orders(false);
    assert!(!exposure.is_known_to_one_process(term));
}

/// Guards against trusting message numbers when two processes may know the term: two answers were
/// sent before a message reported it, an answer to a heartbeat from before the first report was
/// sent late, or the term was never sent to the worker.
#[test]
fn a_term_that_was_sent_twice_or_never_may_be_known_to_several_processes() {
    let term = Term::new(3);
    let mut twice = TermExposure::default();
    twice.record_answer(term, number(1, 1));
    twice.record_answer(term, number(1, 2));
    twice.record_reported(term, number(1, 3));
    assert!(!twice.is_known_to_one_process(term));
    let mut late = TermExposure::default();
    late.record_answer(term, number(1, 1));
    late.record_reported(term, number(1, 3));
    late.record_answer(term, number(1, 2));
    assert!(!late.is_known_to_one_process(term));
    let mut not_sent = TermExposure::default();
    not_sent.record_reported(term, number(1, 1));
    not_sent.record_answer(term, number(1, 1));
    assert!(!not_sent.is_known_to_one_process(term), "the worker learned the term elsewhere");
}
