//! The text table that `docs/CAPACITY.md` quotes.

use std::fmt::Write;

use crate::{Fit, Row, Scenario, fit};

type Column = (&'static str, fn(&Row) -> f64);

const FITTED: [Column; 6] = [
    ("spread p100, ms", |row| row.spread_p100_ms),
    ("bytes/s a node", |row| row.bytes_per_node_s),
    ("messages/s a node", |row| row.messages_per_node_s),
    ("table bytes", |row| row.table_bytes as f64),
    ("store calls/s", |row| row.store_calls_s),
    ("share of a core, millionths", |row| row.cpu_share * 1e6),
];

/// Formats rows and linear fits as text.
pub fn table(rows: &[Row]) -> String {
    let mut buf = String::new();
    let head = "scenario        nodes  loss  p50 ms p100 ms    B/s  max B/s  msg/s  state kB  table kB \
                heap kB store/s watches  core %  suspects violations";
    let _ = writeln!(buf, "{head}");
    for row in rows {
        let _ = writeln!(
            buf,
            "{:<13} {:>7} {:>5} {:>7.0} {:>7.0} {:>6.0} {:>8.0} {:>6.2} {:>9.0} {:>9.1} {:>7.0} {:>7.2} \
             {:>7} {:>7.4} {:>9} {:>10}",
            label(row.scenario),
            row.nodes,
            row.loss,
            row.spread_p50_ms,
            row.spread_p100_ms,
            row.bytes_per_node_s,
            row.bytes_per_node_s_max,
            row.messages_per_node_s,
            row.state_bytes as f64 / 1e3,
            row.table_bytes as f64 / 1e3,
            row.heap_per_node as f64 / 1e3,
            row.store_calls_s,
            row.watches,
            row.cpu_share * 1e2,
            row.wrong_suspects,
            row.violations,
        );
    }
    write_fits(&mut buf, rows);
    buf
}

fn write_fits(buf: &mut String, rows: &[Row]) {
    let _ = writeln!(
        buf,
        "\nfits over sizes, at 1 % loss: value = intercept + slope x nodes"
    );
    for (name, column) in FITTED {
        let points: Vec<_> = rows
            .iter()
            .filter(|row| row.loss == 0.01 && row.scenario == Scenario::Ordinary)
            .map(|row| (row.nodes as f64, column(row)))
            .collect();
        let Some(Fit {
            intercept,
            slope,
            residual,
        }) = fit(&points)
        else {
            continue;
        };
        let _ = writeln!(
            buf,
            "{name:<28} {intercept:>12.3} + {slope:>10.6} x nodes, residual {residual:.3}"
        );
    }
}

fn label(scenario: Scenario) -> &'static str {
    match scenario {
        Scenario::Ordinary => "ordinary",
        Scenario::Killed => "killed",
        Scenario::ZoneLost => "zone-lost",
        Scenario::ZoneStarted => "zone-started",
        Scenario::RegionCut => "region-cut",
        Scenario::RegionHealed => "region-healed",
    }
}
