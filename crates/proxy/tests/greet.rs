//! Greetings that a starting instance sends.

use std::{net::SocketAddr, time::Duration};

use proxy::{Settings, peers::Peers, settings};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn settings() -> Settings {
    Settings {
        name: "one".to_owned(),
        zone: "zone-1".to_owned(),
        callers: address(1),
        peers: address(2),
        seeds: Vec::new(),
        weight: 12,
        link: None,
        grace: Duration::from_secs(6),
        drain: Duration::from_secs(7),
        proof: settings::PROOF,
        renew: settings::RENEW,
        hold: settings::HOLD,
        revocation: None,
        slack: None,
        switches: Default::default(),
    }
}

/// Guards against a flood of greetings when many instances start at once: an instance that greeted
/// a peer again whenever another one named it would send the most to those that are too busy to
/// answer.
#[test]
fn peer_named_by_many_is_greeted_once() {
    let peers = Peers::new(&settings());
    let addresses: Vec<_> = (10..26).map(address).collect();
    assert_eq!(peers.greet(addresses.clone()), addresses);
    for _ in 0..300 {
        assert_eq!(peers.greet(addresses.clone()), []);
    }
    assert_eq!(peers.greet(vec![address(2)]), [], "its own address");
}
