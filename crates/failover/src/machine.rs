//! Vocabulary of the state chart `charts/failover.toml`.

chart::words! {
    /// State of a group.
    pub enum State {
        Reading = "reading",
        Unrecorded = "unrecorded",
        Watching = "watching",
        Waiting = "waiting",
        Claiming = "claiming",
        Fencing = "fencing",
        Promoting = "promoting",
        Recording = "recording",
        Yielding = "yielding",
    }
}

chart::words! {
    /// Event that triggers a transition.
    pub(crate) enum Event {
        Absent = "absent",
        Led = "led",
        Claimed = "claimed",
        Announced = "announced",
        Won = "won",
        Check = "check",
        Due = "due",
    }
}

chart::words! {
    /// Condition of a transition.
    pub(crate) enum Guard {
        OwnClaim = "own-claim",
        PrimaryFound = "primary-found",
        Able = "able",
        Suspected = "suspected",
        HeldOff = "held-off",
        Leaving = "leaving",
        Unrecorded = "unrecorded",
        Needless = "needless",
        MajorityFenced = "majority-fenced",
        Promoted = "promoted",
        Refused = "refused",
        ClaimantWorks = "claimant-works",
    }
}

chart::words! {
    /// Action of a transition.
    pub(crate) enum Action {
        AwaitPrimary = "await-primary",
        AwaitClaimant = "await-claimant",
        AwaitRecord = "await-record",
        AwaitTurn = "await-turn",
        Read = "read",
        Adopt = "adopt",
        Claim = "claim",
        Fence = "fence",
        Promote = "promote",
        Announce = "announce",
        Record = "record",
        StandDown = "stand-down",
    }
}

/// Vocabulary of the failover state machine.
#[derive(Debug)]
pub(crate) struct Machine;

impl chart::Vocabulary for Machine {
    type State = State;
    type Event = Event;
    type Guard = Guard;
    type Action = Action;
}

/// Source of the chart.
const TEXT: &str = include_str!("../charts/failover.toml");

/// Parses the chart.
pub(crate) fn chart() -> Result<chart::Chart<Machine>, chart::Error> {
    chart::Chart::parse(TEXT)
}
