//! Workers' leases, the order of their messages, reachability, images and health.

use super::health::MachineHealth;
use super::image_cache::ImageCache;
use super::lease::WorkerLease;
use super::messages::MessageHistory;
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
fn a_worker_lease_is_over_only_after_its_whole_length() {
    let now = Instant::now();
    let mut lease = WorkerLease::new(now);
    lease.note_answer(Term::new(1), now + seconds(5));
    assert!(!lease.is_over(now + seconds(15), LEASE));
    assert!(lease.is_over(now + seconds(16), LEASE));
    lease.expire();
    assert!(!lease.is_over(now + seconds(16), LEASE), "it expires once");
    lease.resume(now + seconds(20));
    assert!(!lease.is_expired());
    assert!(!lease.is_over(now + seconds(30), LEASE));
}

#[test]
fn an_answer_that_was_not_taken_renews_no_lease() {
    let now = Instant::now();
    let mut lease = WorkerLease::new(now);
    lease.note_answer(Term::new(3), now + seconds(8));
    // The worker still shows an earlier term in its next heartbeat.
    lease.note_heartbeat(Term::new(2));
    assert!(lease.is_over(now + seconds(11), LEASE));
    lease.note_answer(Term::new(3), now + seconds(8));
    lease.note_heartbeat(Term::new(3));
    assert!(!lease.is_over(now + seconds(11), LEASE));
}

#[test]
fn messages_count_in_order_and_never_from_an_ended_agent_epoch() {
    let mut messages = MessageHistory::default();
    messages.accept(number(2, 7), Term::new(4));
    assert!(messages.is_outdated(number(2, 7)));
    assert!(messages.is_outdated(number(1, 99)));
    assert!(!messages.is_outdated(number(2, 8)));
    assert!(!messages.is_outdated(number(3, 1)));
    assert!(messages.has_shown_higher_term(Term::new(3)));
    assert!(!messages.has_shown_higher_term(Term::new(4)));
    messages.end_agent_epoch();
    assert!(messages.is_outdated(number(2, 8)));
    assert!(!messages.is_outdated(number(3, 1)));
}

#[test]
fn only_outdated_heartbeats_in_order_hint_at_a_restarted_numbering() {
    let mut messages = MessageHistory::default();
    messages.accept(number(1, 50), Term::new(1));
    messages.note_outdated_heartbeat(number(1, 2));
    messages.note_outdated_heartbeat(number(1, 1));
    assert!(!messages.numbering_may_have_restarted());
    messages.note_outdated_heartbeat(number(1, 3));
    assert!(messages.numbering_may_have_restarted());
    messages.accept(number(1, 51), Term::new(1));
    assert!(!messages.numbering_may_have_restarted());
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
fn the_least_recently_used_images_fall_out_of_the_cache() {
    let mut images = ImageCache::default();
    for (name, size_gb) in [("a", 4.0), ("b", 4.0), ("a", 4.0), ("c", 4.0)] {
        images.touch(name, size_gb, 10.0);
    }
    assert_eq!(images.names().collect::<Vec<_>>(), ["a", "c"]);
    images.touch("huge", 20.0, 10.0);
    assert_eq!(images.names().collect::<Vec<_>>(), ["huge"], "the newest always stays");
}

#[test]
fn failures_of_two_jobs_or_of_one_that_completes_elsewhere_prove_a_fault() {
    let job = |id| JobId::parse(id).expect("an id");
    let mut health = MachineHealth::default();
    health.note_failure(&job("j-000001"));
    assert!(health.has_failures() && !health.is_faulty(true));
    health.note_failure(&job("j-000001"));
    assert!(health.is_faulty(true) && !health.is_faulty(false));
    health.note_failure(&job("j-000002"));
    assert!(health.is_faulty(false));
    health.note_completion();
    assert!(!health.has_failures() && !health.is_faulty(true));
}

#[test]
fn a_machine_is_slow_only_after_several_long_run_times() {
    let mut health = MachineHealth::default();
    for _ in 0..3 {
        health.note_run_time(10.0);
        assert!(!health.is_slow());
    }
    health.note_run_time(10.0);
    assert!(health.is_slow());
}

/// The states of `TermExposure`: only a single offer, and direct orders that the known process
/// answered, leave the term with one process.
#[test]
fn a_term_is_known_to_one_process_only_after_a_single_offer() {
    let term = Term::new(3);
    let mut exposure = TermExposure::default();
    exposure.note_answer(term, number(1, 1));
    assert!(!exposure.is_single(term), "nothing has shown it");
    exposure.note_shown(term, number(1, 2));
    exposure.note_answer(term, number(1, 2));
    assert!(exposure.is_single(term));
    assert!(exposure.note_direct_orders(term));
    assert!(!exposure.is_single(term), "on their way");
    exposure.end_direct_orders(true);
    assert!(exposure.is_single(term));
    assert!(!exposure.is_single(Term::new(4)), "a higher term is known to nobody");
    exposure.note_direct_orders(term);
    exposure.end_direct_orders(false);
    assert!(!exposure.is_single(term));
}

/// Two answers before the term is shown, or a late answer to a heartbeat that did not show it, may
/// have told it to two processes.
#[test]
fn a_term_that_was_offered_twice_may_be_known_to_several_processes() {
    let term = Term::new(3);
    let mut twice = TermExposure::default();
    twice.note_answer(term, number(1, 1));
    twice.note_answer(term, number(1, 2));
    twice.note_shown(term, number(1, 3));
    assert!(!twice.is_single(term));
    let mut late = TermExposure::default();
    late.note_answer(term, number(1, 1));
    late.note_shown(term, number(1, 3));
    late.note_answer(term, number(1, 2));
    assert!(!late.is_single(term));
    let mut unoffered = TermExposure::default();
    unoffered.note_shown(term, number(1, 1));
    unoffered.note_answer(term, number(1, 1));
    assert!(!unoffered.is_single(term), "it came from elsewhere");
}
