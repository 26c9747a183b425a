//! This instance's own heartbeat.

use std::{collections::HashMap, time::Duration};

use admit::relays::FREQUENT_INTERVAL;
use clock::Boot;
use tokio::net::UdpSocket;

use super::{
    heartbeat::{self, Extension, FORMAT, Heartbeat, LoadReport, Observation, ReplyRequest},
    peer::Outgoing,
};
use crate::{edge::Edge, node::Node, work::Kind};

/// This instance's heartbeat, encoded once for all peers that get the same extension.
pub(super) struct Encoder {
    heartbeat: Heartbeat,
    extension: Extension,
    /// Number of the load report, if load reports are in force.
    report: Option<u16>,
    encoded: HashMap<(Duration, ReplyRequest), Vec<u8>>,
}

impl Encoder {
    /// Takes this instance's state.
    pub(super) fn new<E: Edge>(node: &Node<E>) -> Self {
        let extension = Extension {
            format: FORMAT,
            next: FREQUENT_INTERVAL,
            store: node.store_contact(),
            is_relay: node.peers.role.get().is_relay,
            reply_request: ReplyRequest::None,
            unreachable_zones: node.peers.silent_zones(),
            introduced: Vec::new(),
        };
        let is_reporting = node.features.get().load_reports;
        Self {
            heartbeat: own_heartbeat(node),
            extension,
            report: is_reporting.then(|| node.peers.loads.next_number()),
            encoded: HashMap::new(),
        }
    }

    /// Sends the heartbeat as `message` says.
    pub(super) fn send<E: Edge>(&mut self, node: &Node<E>, socket: &UdpSocket, message: Outgoing) {
        let kind = match message.next <= FREQUENT_INTERVAL {
            true => Kind::FrequentHeartbeat,
            false => Kind::InfrequentHeartbeat,
        };
        node.work.add(kind, 1);
        let extension = Extension {
            next: message.next,
            reply_request: message.reply_request,
            introduced: message.introduced,
            ..self.extension.clone()
        };
        let heartbeat = &self.heartbeat;
        let encode = || heartbeat::encode(heartbeat, &extension).unwrap_or_default();
        let mut bytes = match extension.introduced.is_empty() {
            true => {
                let kind = (message.next, message.reply_request);
                self.encoded.entry(kind).or_insert_with(encode).clone()
            }
            false => encode(),
        };
        if let (Some(number), Some(loads)) = (self.report, message.loads) {
            LoadReport { number, loads }.append_to(&mut bytes);
        }
        node.work.add(Kind::HeartbeatByte, bytes.len());
        let _ = socket.try_send_to(&bytes, message.address);
    }
}

fn own_heartbeat<E: Edge>(node: &Node<E>) -> Heartbeat {
    let now = Boot.now();
    let mut observations = Vec::new();
    let mut locked_out = Vec::new();
    for group in node.active() {
        for member in group.members() {
            if member.pool.is_locked_out(now) {
                locked_out.push(member.upstream.id.to_string());
            }
        }
        let Some((primary, term)) = group.primary() else {
            continue;
        };
        // A group that isn't in use has no current verdict, and would add to every heartbeat.
        if !group.is_proof_wanted(now) {
            continue;
        }
        observations.push(Observation {
            service: group.service.to_string(),
            term,
            verdict: primary.verdict(now),
        });
    }
    Heartbeat {
        name: node.settings.name.clone(),
        address: node.settings.peers,
        version: node.catalog().version,
        observations,
        locked_out,
        zone: node.settings.zone.clone(),
        weight: node.settings.weight,
        service: node.service(),
        leaving: node.is_stopping(),
    }
}
