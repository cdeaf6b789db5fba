//! Checks of the environment document.

use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::PoolKind;
use hawthornkeel_core::document::Stage;

use crate::checks::report_duplicates;
use crate::reader::Reader;

/// Sets defaults that depend on other keys: a stage that is not idempotent gets one attempt.
pub(crate) fn set_derived_defaults(reader: &Reader<'_>, document: &mut Document) {
    for (index, pipeline) in document.pipelines.iter_mut().enumerate() {
        for (stage_index, stage) in pipeline.stages.iter_mut().enumerate() {
            let key = format!("{}.max_attempts", stage_path(index, stage_index));
            if !stage.idempotent && !reader.is_set(&key) {
                stage.max_attempts = 1;
            }
        }
    }
}

/// Checks conditions that involve several keys of the document.
pub(crate) fn check(reader: &mut Reader<'_>, document: &Document) {
    check_lists_present(reader, document);
    let workspaces = document.workspaces.iter().map(|w| w.name.as_str());
    report_duplicates(
        reader,
        workspaces.enumerate().map(|(n, name)| (format!("workspace[{n}].name"), name)),
    );
    let pools = document.pools.iter().map(|p| p.name.as_str());
    report_duplicates(reader, pools.enumerate().map(|(n, name)| (format!("pool[{n}].name"), name)));
    let pipelines = document.pipelines.iter().map(|p| p.name.as_str());
    report_duplicates(
        reader,
        pipelines.enumerate().map(|(n, name)| (format!("pipeline[{n}].name"), name)),
    );
    for (index, pool) in document.pools.iter().enumerate() {
        check_pool(reader, &format!("pool[{index}]"), pool);
    }
    for (index, pipeline) in document.pipelines.iter().enumerate() {
        check_pipeline(reader, index, pipeline);
        for (stage_index, stage) in pipeline.stages.iter().enumerate() {
            check_stage(reader, &stage_path(index, stage_index), stage, document);
        }
    }
}

fn check_lists_present(reader: &mut Reader<'_>, document: &Document) {
    let lists = [
        ("workspace", document.workspaces.is_empty()),
        ("pool", document.pools.is_empty()),
        ("pipeline", document.pipelines.is_empty()),
    ];
    for (key, empty) in lists {
        if empty {
            reader.report(key, format!("no {key}"), &format!("at least one [[{key}]]"));
        }
    }
}

fn check_pool(reader: &mut Reader<'_>, path: &str, pool: &Pool) {
    if pool.cold_limit > pool.warm_limit && reader.is_valid(&format!("{path}.warm_limit")) {
        let message = format!("{} is above warm_limit, {}", pool.cold_limit, pool.warm_limit);
        let accepted = format!("1 to {}", pool.warm_limit);
        reader.report(&format!("{path}.cold_limit"), message, &accepted);
    }
    if !reader.is_valid(&format!("{path}.kind")) {
        return;
    }
    match (pool.kind, &pool.model) {
        (PoolKind::Engine, None) => {
            let accepted = "the name of the model that the engines serve";
            reader.report(&format!("{path}.model"), "missing".to_owned(), accepted);
        }
        (PoolKind::Service, Some(_)) => {
            let message = "a pool of plain services has no model".to_owned();
            reader.report(
                &format!("{path}.model"),
                message,
                "a model only where kind = \"engine\"",
            );
        }
        (PoolKind::Engine, Some(_)) | (PoolKind::Service, None) => {}
    }
}

fn check_pipeline(reader: &mut Reader<'_>, index: usize, pipeline: &Pipeline) {
    let path = format!("pipeline[{index}]");
    if pipeline.stages.is_empty() {
        let accepted = "at least one [[pipeline.stage]]";
        reader.report(&format!("{path}.stage"), "no stage".to_owned(), accepted);
    }
    let stages = pipeline.stages.iter().map(|s| s.name.as_str());
    let names = stages.enumerate().map(|(n, name)| (format!("{path}.stage[{n}].name"), name));
    report_duplicates(reader, names);
    let total_floor: Duration = pipeline.stages.iter().map(Stage::floor).sum();
    if pipeline.deadline() < total_floor {
        let total_floor = total_floor.as_millis();
        let message = format!(
            "{} ms is shorter than the floors of the stages together, {total_floor} ms",
            pipeline.deadline_ms
        );
        reader.report(&format!("{path}.deadline_ms"), message, &format!("at least {total_floor}"));
    }
}

fn check_stage(reader: &mut Reader<'_>, path: &str, stage: &Stage, document: &Document) {
    if !stage.pool.as_str().is_empty() && document.pool(stage.pool.as_str()).is_none() {
        let names: Vec<&str> = document.pools.iter().map(|p| p.name.as_str()).collect();
        let message = format!("no pool is called {:?}", stage.pool.as_str());
        let accepted = format!("the name of a [[pool]]: {}", names.join(", "));
        reader.report(&format!("{path}.pool"), message, &accepted);
    }
    if !stage.idempotent && stage.max_attempts > 1 {
        let message = format!("{} attempts at a stage that is not idempotent", stage.max_attempts);
        let accepted = "1, or idempotent = true where the stage may run again";
        reader.report(&format!("{path}.max_attempts"), message, accepted);
    }
}

fn stage_path(pipeline: usize, stage: usize) -> String {
    format!("pipeline[{pipeline}].stage[{stage}]")
}
