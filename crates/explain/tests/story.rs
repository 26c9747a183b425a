//! Diagnoses of requests from lines as instances write them.

use explain::{diagnose, parse};

/// Lines of two instances: `a` stops and restarts, `b` stalls.
const LINES: &str = r#"
{"at":10.0,"instance":"a","level":"INFO","message":"started","part":"proxy::serve"}
{"at":10.1,"instance":"b","level":"INFO","message":"started","part":"proxy::serve"}
{"at":20.0,"instance":"a","level":"INFO","message":"stopping","part":"proxy::serve","sessions":3}
{"at":22.0,"instance":"a","level":"INFO","message":"stopped","part":"proxy::serve","cut":0,"ms":2000}
{"at":23.0,"instance":"a","level":"INFO","message":"started","part":"proxy::serve"}
{"at":30.9,"instance":"b","level":"INFO","message":"statement","part":"proxy::session::statement","request":"s1","transaction":"s1","service":"db","cause":"None","code":"None","ms":2900,"refused":0,"phase":"Some(Stable)","upstream":"u1","store_silent_ms":2950}
{"at":31.0,"instance":"b","level":"WARN","message":"stood still","part":"proxy::still","ms":3000}
{"at":35.0,"instance":"a","level":"INFO","message":"replacing the primary","part":"proxy::takeover","service":"db","reason":"Gone","fence":7}
{"at":35.2,"instance":"b","level":"INFO","message":"statement","part":"proxy::session::statement","request":"w1","transaction":"w0 w1","service":"db","cause":"Some(NoProof)","code":"Some(Busy)","ms":300,"phase":"Some(Changing)","statement":"commit","upstream":"u1","store_silent_ms":20}
{"at":36.0,"instance":"a","level":"INFO","message":"replacement over","part":"proxy::takeover","service":"db","ended":"Led"}
{"at":37.0,"instance":"b","level":"INFO","message":"statement","part":"proxy::session::statement","request":"w9","transaction":"w9","service":"db","cause":"Some(NoProof)","code":"Some(Busy)","ms":300,"phase":"Some(Stable)","upstream":"u2","store_silent_ms":1700,"left_out":4}
{"at":41.0,"instance":"a","level":"INFO","message":"peers silent","part":"proxy::roll","names":"c d"}
{"at":41.2,"instance":"b","level":"INFO","message":"peers silent","part":"proxy::roll","names":"c"}
{"at":42.0,"instance":"a","level":"INFO","message":"callers lost","part":"proxy::roll","sessions":5}
{"at":44.0,"instance":"a","level":"INFO","message":"answer lost","part":"proxy::session::statement","request":"w1","transaction":"w0 w1","error":"Broken pipe"}
{"at":44.05,"instance":"a","level":"INFO","message":"statement","part":"proxy::session::statement","request":"r4","transaction":"r4","service":"db","cause":"None","code":"None","ms":700,"refused":6,"unconnected":0,"lost":1,"phase":"Some(Stable)","upstream":"u2","store_silent_ms":20}
{"at":44.1,"instance":"a","level":"INFO","message":"answer lost","part":"proxy::session::statement","request":"r3","transaction":"r3","error":"Broken pipe"}
{"at":50.0,"instance":"b","level":"INFO","message":"started","part":"proxy::serve"}
"#;

/// Guards against a wrong cause: a replacement of the primary that was over before the
/// statement did not affect it.
#[test]
fn only_a_replacement_in_progress_is_named_as_the_cause() {
    let log = parse([LINES]);
    let diagnosis = diagnose(&log, "w1", None);
    assert!(diagnosis.found);
    assert!(diagnosis.cause.contains(
        "a had been replacing the primary since 35.000 because the primary was found gone"
    ));
    let messages: Vec<_> = diagnosis.lines.iter().map(|line| &*line.message).collect();
    assert_eq!(
        messages,
        [
            "stood still",
            "replacing the primary",
            "statement",
            "replacement over",
            "answer lost"
        ]
    );
    let later = diagnose(&log, "w9", None).cause;
    assert!(
        later.contains("b had no answer from the store for 1700 ms"),
        "{later}"
    );
}

/// A successful statement has no line of its own; the failure of its transaction's commit must
/// be found by its id.
#[test]
fn an_answered_statement_leads_to_the_commit_that_failed() {
    let diagnosis = diagnose(&parse([LINES]), "w0", None);
    assert!(diagnosis.found);
    assert!(
        diagnosis
            .cause
            .starts_with("w0: commit of its transaction, w1: Busy: "),
        "{}",
        diagnosis.cause
    );
}

/// A request has no line if its instance exited, was stopping or stalled. The time of the
/// request must select the outage.
#[test]
fn a_request_without_a_line_is_matched_with_outages() {
    let log = parse([LINES]);
    let cause = |at| diagnose(&log, "none", at).cause;
    assert!(cause(Some(20.5)).contains("a was stopping from 20.000"));
    assert!(cause(Some(29.0)).contains("b was stalled from 28.000 to 31.000"));
    assert!(cause(Some(43.0)).contains("b exited without a log line between 41.200 and 50.000"));
    let silent = cause(Some(41.0));
    assert!(
        silent.contains("c was unreachable for 2 others from 40.000 on"),
        "{silent}"
    );
    assert!(!silent.contains("d was"), "{silent}");
    assert!(cause(Some(42.0)).contains("connections of a's callers broke before 42.000"));
    assert!(cause(Some(15.0)).contains("done within its latency objective"));
    assert!(cause(None).contains("was stalled"));
    assert!(cause(None).contains("4 lines were dropped"));
    assert!(!diagnose(&log, "none", None).found);
}

/// Guards against blaming an upstream for a statement that failed because its instance was
/// stalled.
#[test]
fn a_stall_during_a_statement_is_named() {
    let cause = diagnose(&parse([LINES]), "s1", None).cause;
    assert!(
        cause.contains("b was stalled for 3000 ms meanwhile"),
        "{cause}"
    );
    assert!(
        !diagnose(&parse([LINES]), "w1", None)
            .cause
            .contains("stalled for")
    );
}

/// A late but successful statement must name the failed attempts before it.
#[test]
fn a_slow_statement_names_its_failed_attempts() {
    let slow = diagnose(&parse([LINES]), "r4", None).cause;
    let expected = "later than its latency objective: an upstream refused it 6 times before, \
                    a connection broke 1";
    assert!(slow.contains(expected), "{slow}");
}

/// Guards against a lost answer hiding the failure of the statement itself.
#[test]
fn a_lost_answer_is_the_cause_only_without_another() {
    let log = parse([LINES]);
    let lost = diagnose(&log, "r3", None).cause;
    assert!(
        lost.contains("a answered, but the caller's connection broke"),
        "{lost}"
    );
    assert!(diagnose(&log, "w1", None).cause.contains("replacing"));
}

/// Truncated lines, prefixes of a log collector and lines of other programs must not affect
/// the other lines.
#[test]
fn truncated_and_mixed_files_are_parsed() {
    let mut reversed: Vec<_> = LINES.lines().rev().collect();
    reversed.push("{\"at\":36.5,\"instance\":\"b\",\"mess");
    reversed.push("panicked at nothing");
    reversed.push("{\"at\":\"late\",\"message\":\"no time\"}");
    let (one, two) = reversed.split_at(5);
    let text = |part: &[&str]| {
        part.iter()
            .map(|line| format!("Dec 02 b: {line}\n"))
            .collect::<String>()
    };
    let (one, two) = (text(one), text(two));
    let mixed = parse([&*two, &*one]);
    // The empty lines now consist of the collector's prefix and count as unparsed.
    assert_eq!(mixed.lines, parse([LINES]).lines);
    assert_eq!(mixed.unparsed, 3 + 1);
    assert!(diagnose(&mixed, "w1", None).found);
}

/// Lines of an instance whose upstream is full and whose holder of a session is lost.
const FULL: &str = r#"
{"at":10.0,"instance":"a","level":"INFO","message":"upstream full","part":"proxy::pool","service":"db","upstream":"u1","refused":7,"open":0,"idle":0,"waiting":12,"running":0,"starved":true}
{"at":10.2,"instance":"a","level":"INFO","message":"statement","part":"proxy::session::statement","request":"f1","transaction":"f1","service":"db","cause":"Some(NoConnection)","code":"Some(Busy)","ms":300,"unconnected":2,"phase":"Some(Stable)","upstream":"u1","store_silent_ms":20}
{"at":20.0,"instance":"a","level":"INFO","message":"statement","part":"proxy::session::statement","request":"h1","transaction":"h1","service":"db","cause":"Some(Holder)","code":"Some(InDoubt)","ms":700,"phase":"Some(Stable)","upstream":"u1","store_silent_ms":20}
{"at":21.0,"instance":"a","level":"INFO","message":"statement","part":"proxy::session::statement","request":"q1","transaction":"q1","service":"db","account":"north","cause":"Some(OverQuota { retry_after_ms: 120 })","code":"Some(Busy)","ms":1,"phase":"Some(Stable)","upstream":"u1","store_silent_ms":20}
{"at":22.0,"instance":"a","level":"INFO","message":"statement","part":"proxy::session::statement","request":"q2","transaction":"q2","service":"db","account":"north","cause":"Some(OverQuota)","code":"Some(Busy)","ms":1,"phase":"Some(Stable)","upstream":"u1","store_silent_ms":20}
"#;

/// Without the number of own connections it can't be seen whether this instance or others use
/// up the upstream's limit.
#[test]
fn a_full_upstream_is_named_with_the_instances_own_connections() {
    let cause = diagnose(&parse([FULL]), "f1", None).cause;
    assert!(
        cause.contains(
            "u1 accepted no more connections at 10.000, with 0 connections of this instance open"
        ),
        "{cause}"
    );
    assert!(cause.contains("12 statements waiting"), "{cause}");
}

/// The loss of a holder fails sessions that reached it over another instance.
#[test]
fn a_lost_holder_is_named() {
    let cause = diagnose(&parse([FULL]), "h1", None).cause;
    assert!(
        cause.contains("the instance that served the session for a was lost"),
        "{cause}"
    );
}

/// Guards against a refusal that is not explained because its cause carries a time, or, written by
/// an older version, carries none.
#[test]
fn a_used_up_quota_is_named_with_the_time_to_come_back() {
    let cause = diagnose(&parse([FULL]), "q1", None).cause;
    assert!(
        cause.contains(
            "account north has used up its quota; the caller was told to come back in 120 ms"
        ),
        "{cause}"
    );
    let cause = diagnose(&parse([FULL]), "q2", None).cause;
    assert!(
        cause.ends_with("account north has used up its quota"),
        "{cause}"
    );
}
