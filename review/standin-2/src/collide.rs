//! Two clients prepare statements of different shapes, whose 64-bit hashes are equal.

use crate::{
    Verdict,
    nodes::{self, Client, Ports, Record},
};

/// Two shapes with the same hash (XXH3, 64 bits), found by a search of 50 s on three cores.
const EQUAL: [&str; 2] = ["hcgdaljhmjjjdini", "mhckmbeffkmlflfe"];

/// Two shapes with different hashes.
const DIFFERENT: [&str; 2] = ["hcgdaljhmjjjdini", "mhckmbeffkmlflff"];

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let (platform, group) = nodes::platform().await;
    let ports = Ports::find(1)?;
    let one = nodes::start(record, 0, &ports, platform).await?;
    let shapes = match trouble {
        true => EQUAL,
        false => DIFFERENT,
    };
    let mut first = Client::start("a", one.front, "now").await?;
    let mut second = Client::start("b", one.front, "now").await?;
    first.execute_until_done(record, "WRITE item1 data").await?;
    let mut asked = Vec::new();
    for _ in 0..3 {
        for (client, shape) in [&mut first, &mut second].into_iter().zip(shapes) {
            let prepared = client
                .execute(record, &format!("PREPARE s READ {shape}"))
                .await;
            let run = client.execute(record, "EXECUTE s item1").await;
            if prepared.is_done() && run.is_done() {
                asked.push((run.id, shape));
            }
        }
    }
    let mut wrong = 0;
    for member in &group.borrow().members {
        for run in &member.runs {
            let Some((_, shape)) = asked.iter().find(|(id, _)| *id == run.id) else {
                continue;
            };
            let is_wrong = run.prepared.as_deref() != Some(*shape);
            wrong += usize::from(is_wrong);
            record.line(&format!(
                "{} ran {}: {:?} with the shape {:?}; its client prepared {shape:?}",
                member.id, run.id, run.text, run.prepared
            ));
        }
    }
    record.line(&format!(
        "{} executed, {wrong} with another shape",
        asked.len()
    ));
    match asked.is_empty() {
        true => Err("nothing was executed".to_owned()),
        false => Ok(wrong == 0),
    }
}
