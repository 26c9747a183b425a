//! Parses the statements that the fake upstream supports, with `sqlparser`.

use sqlparser::{
    ast::{
        Assignment, AssignmentTarget, BinaryOperator, Delete, Expr, FromTable, Insert,
        OnConflictAction, OnInsert, Query, SelectItem, SetExpr, Statement, TableFactor,
        TableObject, UnaryOperator, Value,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};

use crate::table::TABLES;

/// A refusal: SQLSTATE and message.
pub(crate) type Refusal = (&'static str, String);

/// An operand: a value in the statement's text, or a parameter by index from 0.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Operand {
    Text(String),
    Parameter(usize),
    /// `EXCLUDED`: the value that the conflicting insert would have written.
    Excluded,
}

/// A column of a result.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Column {
    Key,
    Value,
    Count,
    Constant(Literal),
}

/// A constant with its type.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Literal {
    Int(i32),
    Text(String),
    Parameter(usize),
}

/// Action of an insert whose key exists already.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Conflict {
    Refuse,
    Nothing,
    Update(Operand),
}

/// The parsed form of a statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Plan {
    Empty,
    Begin,
    Commit,
    Rollback,
    Probe,
    /// `ALTER SYSTEM SET name = 'value'`.
    Alter {
        name: String,
        value: String,
    },
    Reload,
    Promote,
    Set {
        name: String,
        value: String,
    },
    Show {
        name: String,
    },
    /// `RESET name`, or `RESET ALL` without a name.
    Reset {
        name: Option<String>,
    },
    /// `DEALLOCATE ALL`.
    Deallocate,
    Select {
        table: Option<usize>,
        columns: Vec<(String, Column)>,
        key: Option<Operand>,
        lock: bool,
    },
    Insert {
        table: usize,
        rows: Vec<(Operand, Operand)>,
        conflict: Conflict,
    },
    Update {
        table: usize,
        key: Option<Operand>,
        value: Operand,
    },
    Delete {
        table: usize,
        key: Option<Operand>,
    },
    /// Deletes up to `limit` rows of `dandelionlink_request` with ids below `below`.
    Clean {
        below: String,
        limit: usize,
    },
}

fn unsupported(what: &str) -> Refusal {
    (
        "0A000",
        format!("the fake upstream does not support {what}"),
    )
}

/// Parses a text of one or more statements.
pub(crate) fn parse(text: &str) -> Result<Vec<Plan>, Refusal> {
    if let Some(plan) = parse_admin(text) {
        return Ok(vec![plan]);
    }
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, text);
    let statements = statements.map_err(|error| ("42601", error.to_string()))?;
    statements.iter().map(plan).collect()
}

/// First words of the statement that deletes old rows of `dandelionlink_request`.
const CLEAN_PREFIX: &str = "DELETE FROM dandelionlink_request WHERE id IN (\
    SELECT id FROM dandelionlink_request WHERE id < '";

/// Parses health checks, orders and settings by their first words, without
/// `sqlparser`.
fn parse_admin(text: &str) -> Option<Plan> {
    let text = text.trim().trim_end_matches(';');
    if text.is_empty() {
        return Some(Plan::Empty);
    }
    if text.starts_with("SELECT pg_is_in_recovery(), coalesce(") {
        return Some(Plan::Probe);
    }
    if text == "SELECT pg_reload_conf()" {
        return Some(Plan::Reload);
    }
    if let Some(rest) = text.strip_prefix("SELECT set_config(") {
        let (name, value) = rest.strip_prefix('\'')?.split_once("', '")?;
        let value = value.strip_suffix("', false)")?;
        return Some(Plan::Set {
            name: name.to_owned(),
            value: value.replace("''", "'"),
        });
    }
    if text == "SELECT pg_promote()" {
        return Some(Plan::Promote);
    }
    if let Some(rest) = text.strip_prefix(CLEAN_PREFIX) {
        let (below, rest) = rest.split_once('\'')?;
        let limit = rest
            .strip_prefix(" ORDER BY id LIMIT ")?
            .split(' ')
            .next()?;
        return Some(Plan::Clean {
            below: below.to_owned(),
            limit: limit.parse().ok()?,
        });
    }
    if let Some(rest) = text.strip_prefix("ALTER SYSTEM SET ") {
        let (name, value) = rest.split_once(" = ")?;
        return Some(Plan::Alter {
            name: name.to_owned(),
            value: unquoted(value),
        });
    }
    let (word, rest) = text.split_once(' ')?;
    if text.eq_ignore_ascii_case("deallocate all") {
        return Some(Plan::Deallocate);
    }
    if word.eq_ignore_ascii_case("reset") {
        let name = rest.trim();
        let all = name.eq_ignore_ascii_case("all");
        return Some(Plan::Reset {
            name: (!all).then(|| name.to_ascii_lowercase()),
        });
    }
    if word.eq_ignore_ascii_case("set") {
        if rest.starts_with("SESSION CHARACTERISTICS") {
            return Some(Plan::Set {
                name: "characteristics".to_owned(),
                value: rest.to_owned(),
            });
        }
        if let Some(value) = rest.strip_prefix("TIME ZONE ") {
            return Some(Plan::Set {
                name: "timezone".to_owned(),
                value: unquoted(value),
            });
        }
        let (name, value) = rest.split_once('=').or_else(|| rest.split_once(" TO "))?;
        return Some(Plan::Set {
            name: name.trim().to_ascii_lowercase(),
            value: unquoted(value),
        });
    }
    if word.eq_ignore_ascii_case("show") {
        return Some(Plan::Show {
            name: rest.trim().to_ascii_lowercase(),
        });
    }
    None
}

fn unquoted(text: &str) -> String {
    text.trim().trim_matches('\'').to_owned()
}

fn plan(statement: &Statement) -> Result<Plan, Refusal> {
    match statement {
        Statement::StartTransaction { .. } => Ok(Plan::Begin),
        Statement::Commit { .. } => Ok(Plan::Commit),
        Statement::Rollback { .. } => Ok(Plan::Rollback),
        Statement::Query(query) => select(query),
        Statement::Insert(insert) => insert_plan(insert),
        Statement::Update {
            table,
            assignments,
            selection,
            ..
        } => update(&table.relation, assignments, selection.as_ref()),
        Statement::Delete(delete) => delete_plan(delete),
        _ => Err(unsupported("this statement")),
    }
}

fn table(name: &str) -> Result<usize, Refusal> {
    let name = name.trim_matches('"');
    let found = TABLES.iter().position(|(known, _)| *known == name);
    found.ok_or(("42P01", format!("relation \"{name}\" does not exist")))
}

fn table_of(factor: &TableFactor) -> Result<usize, Refusal> {
    match factor {
        TableFactor::Table { name, .. } => table(&name.to_string()),
        _ => Err(unsupported("this FROM")),
    }
}

fn select(query: &Query) -> Result<Plan, Refusal> {
    let SetExpr::Select(select) = &*query.body else {
        return Err(unsupported("this query"));
    };
    let from = match select.from.as_slice() {
        [] => None,
        [one] if one.joins.is_empty() => Some(table_of(&one.relation)?),
        _ => return Err(unsupported("a join")),
    };
    let mut columns = Vec::new();
    for item in &select.projection {
        column(item, from, &mut columns)?;
    }
    let key = select
        .selection
        .as_ref()
        .map(|it| key(it, from.unwrap_or(0)))
        .transpose()?;
    Ok(Plan::Select {
        table: from,
        columns,
        key,
        lock: !query.locks.is_empty(),
    })
}

fn column(
    item: &SelectItem,
    from: Option<usize>,
    columns: &mut Vec<(String, Column)>,
) -> Result<(), Refusal> {
    let (expr, alias) = match item {
        SelectItem::Wildcard(_) => {
            let names = TABLES[from.unwrap_or(0)].1;
            columns.push((names[0].to_owned(), Column::Key));
            columns.push((names[1].to_owned(), Column::Value));
            return Ok(());
        }
        SelectItem::UnnamedExpr(expr) => (expr, None),
        SelectItem::ExprWithAlias { expr, alias } => (expr, Some(alias.value.clone())),
        SelectItem::QualifiedWildcard(..) => return Err(unsupported("this column")),
    };
    let (name, column) = match expr {
        Expr::Identifier(name) => column_by_name(&name.value, from)?,
        Expr::Function(it) if it.name.to_string().eq_ignore_ascii_case("count") => {
            ("count".to_owned(), Column::Count)
        }
        Expr::Function(it) => driver_function(&it.name.to_string())?,
        _ => ("?column?".to_owned(), Column::Constant(literal(expr)?)),
    };
    columns.push((alias.unwrap_or(name), column));
    Ok(())
}

/// Functions that drivers call after connecting.
fn driver_function(name: &str) -> Result<(String, Column), Refusal> {
    let value = match name.to_ascii_lowercase().as_str() {
        "version" => "PostgreSQL 15.0 (stand-in)",
        "current_schema" => "public",
        "current_database" => "booking",
        _ => return Err(unsupported("this function")),
    };
    let column = Column::Constant(Literal::Text(value.to_owned()));
    Ok((name.to_ascii_lowercase(), column))
}

fn column_by_name(name: &str, from: Option<usize>) -> Result<(String, Column), Refusal> {
    let names = TABLES[from.unwrap_or(0)].1;
    match names.iter().position(|known| *known == name) {
        Some(0) if from.is_some() => Ok((name.to_owned(), Column::Key)),
        Some(1) if from.is_some() => Ok((name.to_owned(), Column::Value)),
        _ => Err(("42703", format!("column \"{name}\" does not exist"))),
    }
}

fn literal(expr: &Expr) -> Result<Literal, Refusal> {
    match expr {
        Expr::Value(value) => match &value.value {
            Value::Number(text, _) => text
                .parse()
                .map(Literal::Int)
                .map_err(|_| unsupported("this number")),
            Value::SingleQuotedString(text) => Ok(Literal::Text(text.clone())),
            Value::Placeholder(text) => parameter(text).map(Literal::Parameter),
            _ => Err(unsupported("this constant")),
        },
        Expr::Cast { expr, .. } => literal(expr),
        Expr::UnaryOp {
            op: UnaryOperator::Minus,
            expr,
        } => match literal(expr)? {
            Literal::Int(number) => Ok(Literal::Int(-number)),
            other => Ok(other),
        },
        _ => Err(unsupported("this expression")),
    }
}

fn parameter(text: &str) -> Result<usize, Refusal> {
    let number = text.trim_start_matches('$').parse::<usize>().ok();
    number
        .and_then(|it| it.checked_sub(1))
        .ok_or(("42P02", format!("no parameter {text}")))
}

fn operand(expr: &Expr) -> Result<Operand, Refusal> {
    if let Expr::CompoundIdentifier(parts) = expr
        && parts
            .first()
            .is_some_and(|it| it.value.eq_ignore_ascii_case("excluded"))
    {
        return Ok(Operand::Excluded);
    }
    match literal(expr)? {
        Literal::Int(number) => Ok(Operand::Text(number.to_string())),
        Literal::Text(text) => Ok(Operand::Text(text)),
        Literal::Parameter(index) => Ok(Operand::Parameter(index)),
    }
}

/// Returns the operand of a condition `key = …`.
fn key(expr: &Expr, table: usize) -> Result<Operand, Refusal> {
    match expr {
        Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        } if left.to_string().trim_matches('"') == TABLES[table].1[0] => operand(right),
        Expr::Nested(inner) => key(inner, table),
        _ => Err(unsupported("this condition")),
    }
}

fn insert_plan(insert: &Insert) -> Result<Plan, Refusal> {
    let TableObject::TableName(name) = &insert.table else {
        return Err(unsupported("this INSERT"));
    };
    let table = table(&name.to_string())?;
    let source = insert.source.as_ref().map(|it| &*it.body);
    let Some(SetExpr::Values(values)) = source else {
        return Err(unsupported("this INSERT"));
    };
    let swapped = insert
        .columns
        .first()
        .is_some_and(|it| it.value == TABLES[table].1[1]);
    let mut rows = Vec::new();
    for row in &values.rows {
        let [first, second] = row.as_slice() else {
            return Err(("42601", "the table has two columns".to_owned()));
        };
        let (first, second) = (operand(first)?, operand(second)?);
        rows.push(if swapped {
            (second, first)
        } else {
            (first, second)
        });
    }
    Ok(Plan::Insert {
        table,
        rows,
        conflict: conflict(insert)?,
    })
}

fn conflict(insert: &Insert) -> Result<Conflict, Refusal> {
    let Some(on) = &insert.on else {
        return Ok(Conflict::Refuse);
    };
    let OnInsert::OnConflict(on) = on else {
        return Err(unsupported("this clause"));
    };
    match &on.action {
        OnConflictAction::DoNothing => Ok(Conflict::Nothing),
        OnConflictAction::DoUpdate(update) => {
            Ok(Conflict::Update(assigned_value(&update.assignments)?))
        }
    }
}

fn assigned_value(assignments: &[Assignment]) -> Result<Operand, Refusal> {
    match assignments {
        [
            Assignment {
                target: AssignmentTarget::ColumnName(_),
                value,
            },
        ] => operand(value),
        _ => Err(unsupported("these assignments")),
    }
}

fn update(
    relation: &TableFactor,
    assignments: &[Assignment],
    selection: Option<&Expr>,
) -> Result<Plan, Refusal> {
    let table = table_of(relation)?;
    let key = selection.map(|it| key(it, table)).transpose()?;
    Ok(Plan::Update {
        table,
        key,
        value: assigned_value(assignments)?,
    })
}

fn delete_plan(delete: &Delete) -> Result<Plan, Refusal> {
    let (FromTable::WithFromKeyword(from) | FromTable::WithoutKeyword(from)) = &delete.from;
    let [one] = from.as_slice() else {
        return Err(unsupported("this DELETE"));
    };
    let table = table_of(&one.relation)?;
    let key = delete
        .selection
        .as_ref()
        .map(|it| key(it, table))
        .transpose()?;
    Ok(Plan::Delete { table, key })
}
