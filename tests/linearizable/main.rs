//! Answers of one controller must be linearizable with those of its siblings: none may be older than an answer that
//! another controller has already given.
//!
//! [`controller`] drives one controller call by call. The tests here are minimal sequences that once led to an outdated
//! answer. [`histories`] compares answers with a reference model on random histories.

mod controller;
mod histories;

use burlhatch::coordination::{Input, ReadOutcome, UserAnswer, UserRequest};
use burlhatch::protocol::store::{Changes, Event};
use burlhatch::protocol::user::{JobSpec, JobState};
use burlhatch::storage::schema::{DependencyListParts, JobBatchMember, JobRecord, Key, to_value};
use burlhatch::types::{JobId, Micros};
use controller::{
    ControllerHarness, FIRST_PAGE_REVISION, batch, cancellation_event, first_put_event, id, item, put_event, spec,
};

/// Guards against answering a repeated submission from an outdated commit. The batch of a submission is committed at
/// once, but the response is delayed. Meanwhile the job is cancelled through another controller, and then the
/// submission is repeated here. The commit describes an earlier state and must not answer the repeated submission.
#[test]
fn a_commit_does_not_answer_requests_received_after_it_was_sent() {
    let mut harness = ControllerHarness::started(Vec::new());
    let first = harness.submit(&id(1), spec(&[]));
    let (ticket, _) = harness.take_batch();
    // The batch is committed at revision 11. Another controller cancels the job at 12 and acknowledges that.
    let repeat = harness.submit(&id(1), spec(&[]));
    harness.commit(ticket, 11);
    assert_eq!(harness.answer(first), Some(&UserAnswer::Accepted(id(1))));
    assert_eq!(harness.answer(repeat), None, "answered from the outdated commit");
    harness.answer_changes(|fresh| fresh, 12, vec![cancellation_event(&id(1), 12)]);
    harness.advance_time(500);
    assert_eq!(harness.answered_state(repeat), Some(JobState::Cancelled));
}

/// Guards against answers that contradict each other: the watch returns the cancellation before the response to the
/// commit arrives. A controller that has reported the job as cancelled must not report it as queued afterwards.
#[test]
fn a_late_commit_does_not_revert_a_cancellation_seen_by_the_watch() {
    let mut harness = ControllerHarness::started(Vec::new());
    let first = harness.submit(&id(1), spec(&[]));
    let (ticket, txn) = harness.take_batch();
    harness.answer_changes(|fresh| !fresh, 12, vec![first_put_event(&txn, 11), cancellation_event(&id(1), 12)]);
    let question = harness.request(UserRequest::Get(id(1)));
    harness.advance_time(200);
    harness.commit(ticket, 11);
    harness.advance_time(500);
    assert_eq!(harness.answered_state(question), Some(JobState::Cancelled));
    assert_eq!(harness.answered_state(first), Some(JobState::Cancelled));
}

/// Guards against an answer that ignores a dependency's outcome. A job's dependency was cancelled at a revision that
/// this controller's watch has not reached yet, and another controller has reported both jobs as cancelled. The
/// submission of the dependent job is repeated here: its batch can be committed, as no outcome of that job is recorded,
/// but the commit proves nothing about the dependency.
#[test]
fn a_commit_does_not_prove_the_state_of_a_jobs_dependencies() {
    let known = batch(&[(id(1), spec(&[]))]);
    let mut harness = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), known, 5)]);
    let repeat = harness.submit(&id(2), spec(&[id(1)]));
    let (ticket, txn) = harness.take_batch();
    harness.commit(ticket, 13);
    assert_eq!(harness.answer(repeat), None, "answered from the commit alone");
    harness.answer_changes(|_| true, 13, vec![cancellation_event(&id(1), 11), first_put_event(&txn, 13)]);
    harness.advance_time(500);
    assert_eq!(harness.answered_state(repeat), Some(JobState::Cancelled));
}

/// Guards against evaluating a job by the wrong one of two submissions. Two controllers accept the same ID with
/// different dependencies: the earlier batch is valid, also for the controller that wrote the later one and learns of
/// its own commit first. By the later batch alone the job would be cancelled with its dependency.
#[test]
fn an_own_batch_does_not_take_precedence_over_an_earlier_unread_one() {
    let known = batch(&[(id(1), spec(&[])), (id(2), spec(&[]))]);
    let mut harness = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), known, 5)]);
    let repeat = harness.submit(&id(3), spec(&[id(2)]));
    let (ticket, txn) = harness.take_batch();
    harness.commit(ticket, 13);
    let earlier = put_event(Key::JobBatch("2".into()), batch(&[(id(3), spec(&[id(1)]))]), 11);
    harness.answer_changes(|_| true, 13, vec![earlier, cancellation_event(&id(2), 12), first_put_event(&txn, 13)]);
    harness.advance_time(500);
    assert_eq!(
        harness.answered_state(repeat),
        Some(JobState::Queued),
        "by the earlier batch, none of its dependencies is cancelled"
    );
}

/// Guards against rejecting a repeated submission as malformed: it is larger than a value of the store may be, but its
/// ID is that of a job that another controller has accepted, so it is answered with that job's state.
#[test]
fn an_oversized_submission_with_the_id_of_a_known_job_gets_the_jobs_state() {
    let mut harness = ControllerHarness::started(Vec::new());
    let mut large = spec(&[]);
    large.image = "x".repeat(5000);
    let repeat = harness.submit(&id(1), large);
    harness.answer_changes(
        |fresh| fresh,
        11,
        vec![put_event(Key::JobBatch("1".into()), batch(&[(id(1), spec(&[]))]), 11)],
    );
    assert_eq!(harness.answered_state(repeat), Some(JobState::Queued));
}

/// Guards against an outdated answer after a resync. The store has discarded the revision that the watch asks for, and
/// the controller reads all records again while a fresh read is in flight. The response to that read must not answer
/// requests that were received after it was sent.
#[test]
fn a_read_sent_before_a_resync_does_not_answer_later_requests() {
    let known = batch(&[(id(1), spec(&[]))]);
    let mut harness = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), known.clone(), 5)]);
    harness.request(UserRequest::Get(id(1)));
    let early = harness.take_changes(|fresh| fresh);
    let watch = harness.take_changes(|fresh| !fresh);
    harness.feed(Input::Changes { ticket: watch, outcome: ReadOutcome::Compacted });
    harness.advance_time(100);
    harness.answer_page(vec![item(Key::JobBatch("1".into()), known, 5)], false);
    harness.answer_changes(|_| true, FIRST_PAGE_REVISION, Vec::new());
    harness.settle();
    // Another controller cancels the job at revision 12 and acknowledges that.
    let question = harness.request(UserRequest::Get(id(1)));
    harness.advance_time(300);
    harness.feed(Input::Changes {
        ticket: early,
        outcome: ReadOutcome::Fetched(Changes { revision: 11, events: Vec::new() }),
    });
    harness.advance_time(100);
    assert_eq!(harness.answer(question), None, "answered by a read that was sent before the request");
    harness.answer_changes(|fresh| fresh, 12, vec![cancellation_event(&id(1), 12)]);
    harness.advance_time(300);
    assert_eq!(harness.answered_state(question), Some(JobState::Cancelled));
}

/// Guards against answers from an incomplete sync. Pages are read at different revisions. The page that would hold a
/// job's list of dependencies is read before the list is written, and the page with the job after that: the replica
/// holds the job without its list until the changes since the first page are read.
#[test]
fn the_controller_is_not_ready_before_it_has_read_the_changes_since_the_first_page() {
    let mut harness = ControllerHarness::new();
    let mut record = JobRecord {
        accepted_at: Micros(1),
        dependency_list_parts: Some(DependencyListParts { name: "7".into(), count: 1 }),
        spec: spec(&[]),
    };
    record.spec.depends_on.clear();
    let member = JobBatchMember { id: id(2), record };
    harness.answer_page(vec![item(Key::JobBatch("1".into()), batch(&[(id(1), spec(&[]))]), 5)], true);
    harness.answer_page(vec![item(Key::JobBatch("2".into()), to_value(&vec![member]), 12)], false);
    assert!(!harness.controller.is_ready(), "ready with pages of different revisions");
    let list = put_event(Key::DependencyListPart("7".into(), 0), to_value(&vec![id(1)]), 11);
    harness.answer_changes(|_| true, 13, vec![list, cancellation_event(&id(1), 13)]);
    assert!(harness.controller.is_ready());
    harness.settle();
    let question = harness.request(UserRequest::Get(id(2)));
    harness.advance_time(300);
    assert_eq!(harness.answered_state(question), Some(JobState::Cancelled), "a cancelled dependency cancels the job");
}

/// Guards against restoring a record from a late response. The response to a controller's own commit arrives after the
/// watch has shown the deletion of the record that it wrote. The record is part of the dependency list of a submission
/// that depends on more jobs than fit into one value.
#[test]
fn a_late_commit_does_not_restore_a_deleted_record() {
    let dependencies: Vec<JobId> = (1..=400).map(id).collect();
    let jobs: Vec<(JobId, JobSpec)> = dependencies.iter().map(|id| (id.clone(), spec(&[]))).collect();
    let mut harness = ControllerHarness::started(vec![item(Key::JobBatch("1".into()), batch(&jobs), 5)]);
    harness.submit(&id(500), spec(&dependencies));
    let (ticket, txn) = harness.take_txn("/awaits/");
    let put = first_put_event(&txn, 11);
    let deletion = Event { put: None, delete: put.put.clone(), value: None, version: 13 };
    harness.answer_changes(|fresh| !fresh, 13, vec![put, deletion]);
    harness.commit(ticket, 11);
    assert!(
        harness.controller.replica().dependency_list_parts.is_empty(),
        "the deleted record is in the replica again"
    );
}
