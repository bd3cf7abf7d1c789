//! Answers to workers' reports.

use crate::node::{error, json, later, now, Node};
use corkfield_core::Verdict;
use corkfield_http::Response;
use corkfield_wire::worker::{Redirect, Report, ReportReply};
use std::time::Duration;

/// A report that comes in the middle of a take-over waits this long for it.
const TAKE_OVER_WAIT: Duration = Duration::from_millis(1500);

pub async fn report(node: &Node, body: &[u8]) -> Response {
    let report: Report = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(reason) => return error(400, &reason.to_string()),
    };
    if node.leader.is_leading() && !node.leader.is_ready() {
        let _ = tokio::time::timeout(TAKE_OVER_WAIT, node.leader.until_ready()).await;
    }
    let Some(planner) = node.leader.planner() else {
        return redirect(node);
    };
    // S6: without fresh state a cancellation may have been missed; the machines' leases have
    // to run out while there is time.
    if node.follower.proof_age() >= node.settings.answer_limit() {
        return later("no fresh state");
    }
    let verdict = planner.borrow_mut().on_report(&report, true, now());
    match verdict {
        Verdict::Accept => {}
        Verdict::Stale => return later("stale report"),
        Verdict::HigherTerm(term) => {
            node.leader.outbid(term);
            return later("a higher term is needed");
        }
    }
    planner.borrow_mut().plan(now());
    node.leader.wake_actions();
    let hold = Duration::from_secs_f64(node.settings.operator.hold_s);
    if !hold.is_zero() && planner.borrow().may_hold(&report.machine) {
        let work = node.leader.work_for(&report.machine);
        let _ = tokio::time::timeout(hold, work.notified()).await;
        node.leader.release(&report.machine, &work);
    }
    // The planner may have changed while the answer was held back.
    let same = node.leader.planner().is_some_and(|p| std::rc::Rc::ptr_eq(&p, &planner));
    if !same || node.follower.proof_age() >= node.settings.answer_limit() {
        return redirect(node);
    }
    let may_start = node.presence.is_valid();
    let mut planner = planner.borrow_mut();
    let (session, seq) = (report.session, report.seq);
    let orders = planner.orders(&report.machine, session, seq, may_start, now());
    json(200, &ReportReply { term: planner.term(), orders })
}

/// Sends the worker to the planner, if that is another controller that is there.
fn redirect(node: &Node) -> Response {
    let cache = node.follower.cache.borrow();
    let report_to = cache.planner.as_ref().and_then(|(record, _)| {
        let name = record.node.clone().filter(|name| *name != node.name)?;
        let (presence, _) = cache.controllers.get(&name)?;
        (presence.incarnation == record.incarnation).then_some(name)
    });
    drop(cache);
    if report_to.is_some() {
        node.leader.knocked(node.follower.planner_known_for());
    }
    json(421, &Redirect { report_to })
}
