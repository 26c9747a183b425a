//! The words of `charts/failover.toml`.

chart::words! {
    /// Where a group stands.
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
    /// What moves it.
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
    /// What is asked before it moves.
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
    /// What it does on the way.
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

/// The failover's vocabulary.
#[derive(Debug)]
pub(crate) struct Machine;

impl chart::Vocabulary for Machine {
    type State = State;
    type Event = Event;
    type Guard = Guard;
    type Action = Action;
}

/// The chart's text.
const TEXT: &str = include_str!("../charts/failover.toml");

/// Reads the chart.
pub(crate) fn chart() -> Result<chart::Chart<Machine>, chart::Error> {
    chart::Chart::parse(TEXT)
}
