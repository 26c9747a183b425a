//! A client sets a value inside a transaction, before it commits.

use std::collections::BTreeMap;

use crate::{
    Verdict,
    nodes::{self, Client, Ports, Record},
};

/// Number of transactions.
const TRANSACTIONS: usize = 5;

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let (platform, group) = nodes::platform().await;
    let ports = Ports::find(1)?;
    let one = nodes::start(record, 0, &ports, platform).await?;
    let mut client = Client::start("c", one.front, "now").await?;
    client.execute_until_done(record, "SET mode first").await?;
    // Each statement with the values that were acknowledged before it was sent.
    let mut asked: Vec<(String, BTreeMap<String, String>)> = Vec::new();
    let mut values = BTreeMap::from([("mode".to_owned(), "first".to_owned())]);
    for number in 0..TRANSACTIONS {
        let set = format!("SET mode strict{number}");
        let write = format!("WRITE item{number} data{number}");
        let texts = match trouble {
            true => ["BEGIN", &write, &set, "COMMIT"],
            false => [&*set, "BEGIN", &write, "COMMIT"],
        };
        for text in texts {
            let before = values.clone();
            let answer = client.execute(record, text).await;
            if !answer.is_done() {
                return Err(format!("{text} was refused: {}", answer.status));
            }
            match text.strip_prefix("SET mode ") {
                Some(value) => {
                    values.insert("mode".to_owned(), value.to_owned());
                }
                None => asked.push((answer.id, before)),
            }
        }
    }
    let (mut found, mut wrong) = (0, 0);
    for member in &group.borrow().members {
        for run in &member.runs {
            let Some((_, values)) = asked.iter().find(|(id, _)| *id == run.id) else {
                continue;
            };
            let verb = run.text.split(' ').next().unwrap_or_default();
            let is_judged = verb == "WRITE" || verb == "COMMIT";
            found += usize::from(is_judged);
            let is_wrong = is_judged && run.values != *values;
            wrong += usize::from(is_wrong);
            let mark = if is_wrong { "WRONG" } else { "" };
            record.line(&format!(
                "{} ran {} {:?} with the values {:?}; acknowledged to its client: {values:?} {mark}",
                member.id, run.id, run.text, run.values
            ));
        }
    }
    record.line(&format!(
        "{found} writes and commits ran, {wrong} with values that differ"
    ));
    match found {
        0 => Err("nothing ran".to_owned()),
        _ => Ok(wrong == 0),
    }
}
