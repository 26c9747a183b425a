//! Conversion of failover evidence to and from its wire form.

use failover::{Evidence, View};
use wire::Verdict;

/// Converts a candidate's evidence to its wire form.
pub(super) fn to_wire(evidence: &Evidence) -> wire::Evidence {
    let verdict = match evidence.view {
        View::Unsure => Verdict::Unsure,
        View::Alive => Verdict::Alive,
        View::Silent => Verdict::Silent,
        View::Refused => Verdict::Refused,
    };
    wire::Evidence {
        database: evidence.database.clone(),
        term: evidence.term,
        verdict,
        place: evidence.place,
        claim: evidence.claim,
    }
}

/// Converts received evidence to the form of the failover state machine.
pub(super) fn from_wire(evidence: &wire::Evidence) -> Evidence {
    let view = match evidence.verdict {
        Verdict::Unsure => View::Unsure,
        Verdict::Alive => View::Alive,
        Verdict::Silent => View::Silent,
        Verdict::Refused => View::Refused,
    };
    Evidence {
        database: evidence.database.clone(),
        term: evidence.term,
        view,
        place: evidence.place,
        claim: evidence.claim,
    }
}
