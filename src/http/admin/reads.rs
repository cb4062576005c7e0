//! Endpoints that read the control state.

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::Query;
use dropshot::RequestContext;
use dropshot::endpoint;
use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::control::Job;
use crate::control::JobStatus;
use crate::control::Revisions;
use crate::control::State;
use crate::http::admin::AccountView;
use crate::http::admin::AccountsView;
use crate::http::admin::Context;
use crate::http::admin::DiffLineView;
use crate::http::admin::DiffView;
use crate::http::admin::HistoryEntryView;
use crate::http::admin::HistoryView;
use crate::http::admin::JobView;
use crate::http::admin::JobsView;
use crate::http::admin::KeyView;
use crate::http::admin::KeysView;
use crate::http::admin::RosterPendingView;
use crate::http::admin::RosterView;
use crate::http::admin::RosterVmView;
use crate::http::admin::RouteView;
use crate::http::admin::RoutesView;
use crate::http::admin::StatusView;
use crate::http::admin::TemplateView;
use crate::http::admin::TemplatesView;
use crate::http::admin::control_plane::read;
use crate::http::admin::convert::account_view;
use crate::http::admin::error::AdminError;
use crate::http::admin::operators::authorize;
use crate::http::admin::progress;

/// Default number of entries of a page.
const DEFAULT_PAGE: usize = 100;
/// Maximum number of entries of a page.
const MAX_PAGE: usize = 1_000;

type Reply<T> = Result<HttpResponseOk<T>, AdminError>;
type Request = RequestContext<Context>;

/// Name of an object in the path.
#[derive(Deserialize, JsonSchema)]
pub(super) struct NamePath {
    /// Name of the object.
    pub(super) name: String,
}

/// A page of the history.
#[derive(Deserialize, JsonSchema)]
struct HistoryQuery {
    /// Returns changes after this revision. Defaults to the latest changes.
    after: Option<u64>,
    /// Maximum number of changes, up to 1,000. Defaults to 100.
    limit: Option<usize>,
}

/// Two revisions.
#[derive(Deserialize, JsonSchema)]
struct DiffQuery {
    /// The earlier revision.
    from: u64,
    /// The later revision. Defaults to the current revision.
    to: Option<u64>,
}

/// A page of jobs.
#[derive(Deserialize, JsonSchema)]
struct JobsQuery {
    /// Returns jobs after this id.
    after: Option<String>,
    /// Maximum number of jobs, up to 1,000. Defaults to 100.
    limit: Option<usize>,
}

pub(super) fn register(
    api: &mut ApiDescription<Context>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(list_templates)?;
    api.register(show_template)?;
    api.register(list_accounts)?;
    api.register(show_account)?;
    api.register(list_keys)?;
    api.register(list_routes)?;
    api.register(show_roster)?;
    api.register(show_history)?;
    api.register(show_diff)?;
    api.register(list_jobs)?;
    api.register(show_status)
}

/// Lists all templates.
#[endpoint { method = GET, path = "/v1/templates" }]
async fn list_templates(request: Request) -> Reply<TemplatesView> {
    authorize(&request)?;
    let view = read(&*request.context().control_plane, |state| TemplatesView {
        revision: state.revision(),
        templates: state
            .templates()
            .map(|(name, parameters)| TemplateView {
                revision: state.revision(),
                name: name.to_string(),
                parameters: (&**parameters).into(),
            })
            .collect(),
    });
    Ok(HttpResponseOk(view))
}

/// Shows one template.
#[endpoint { method = GET, path = "/v1/templates/{name}" }]
async fn show_template(request: Request, path: Path<NamePath>) -> Reply<TemplateView> {
    authorize(&request)?;
    let name = path.into_inner().name;
    let view = read(&*request.context().control_plane, |state| {
        state.template(&name).map(|parameters| TemplateView {
            revision: state.revision(),
            name: name.clone(),
            parameters: (&**parameters).into(),
        })
    });
    found(view, "template", &name)
}

/// Lists all accounts.
#[endpoint { method = GET, path = "/v1/accounts" }]
async fn list_accounts(request: Request) -> Reply<AccountsView> {
    authorize(&request)?;
    let view = read(&*request.context().control_plane, |state| AccountsView {
        revision: state.revision(),
        accounts: state.accounts().map(|a| account_view(state, a)).collect(),
    });
    Ok(HttpResponseOk(view))
}

/// Shows one account with its effective parameters and shares.
#[endpoint { method = GET, path = "/v1/accounts/{name}" }]
async fn show_account(request: Request, path: Path<NamePath>) -> Reply<AccountView> {
    authorize(&request)?;
    let name = path.into_inner().name;
    let view = read(&*request.context().control_plane, |state| {
        state.account(&name).map(|a| account_view(state, a))
    });
    found(view, "account", &name)
}

/// Lists the keys of one account by their public ids.
#[endpoint { method = GET, path = "/v1/accounts/{name}/keys" }]
async fn list_keys(request: Request, path: Path<NamePath>) -> Reply<KeysView> {
    authorize(&request)?;
    let name = path.into_inner().name;
    let view = read(&*request.context().control_plane, |state| {
        let account = state.account(&name)?;
        let keys = state.keys();
        let list = keys
            .grants_of_account(&account.name)
            .map(|(id, grant)| KeyView {
                key_id: id.to_owned(),
                withdrawn: keys.is_withdrawn(&grant.hash),
            });
        Some(KeysView {
            revision: state.revision(),
            account: name.clone(),
            keys: list.collect(),
        })
    });
    found(view, "account", &name)
}

/// Lists all routes of plain services.
#[endpoint { method = GET, path = "/v1/routes" }]
async fn list_routes(request: Request) -> Reply<RoutesView> {
    authorize(&request)?;
    let view = read(&*request.context().control_plane, |state| RoutesView {
        revision: state.revision(),
        routes: state
            .routes()
            .iter()
            .map(|(name, route)| RouteView {
                name: name.to_owned(),
                route: route.into(),
            })
            .collect(),
    });
    Ok(HttpResponseOk(view))
}

/// Shows the roster of VMs and its pending changes.
#[endpoint { method = GET, path = "/v1/roster" }]
async fn show_roster(request: Request) -> Reply<RosterView> {
    authorize(&request)?;
    Ok(HttpResponseOk(read(
        &*request.context().control_plane,
        roster_view,
    )))
}

fn roster_view(state: &State) -> RosterView {
    let roster = state.roster();
    let vms = roster.iter().map(|(name, vm)| RosterVmView {
        vm: name.to_string(),
        data_centre: vm.data_centre.to_string(),
        leaving: vm.leaving,
    });
    let pending = roster.data_centres().into_iter().filter_map(|data_centre| {
        let pending = roster.pending(data_centre.as_str())?;
        let missing = pending.old_vms.difference(&pending.acknowledged);
        Some(RosterPendingView {
            data_centre: data_centre.to_string(),
            vm: pending.vm.to_string(),
            is_removal: pending.is_removal,
            missing: missing.map(ToString::to_string).collect(),
        })
    });
    RosterView {
        revision: state.revision(),
        vms: vms.collect(),
        pending: pending.collect(),
    }
}

/// Lists entries of the change history.
#[endpoint { method = GET, path = "/v1/history" }]
async fn show_history(request: Request, query: Query<HistoryQuery>) -> Reply<HistoryView> {
    authorize(&request)?;
    let query = query.into_inner();
    let limit = page_limit(query.limit)?;
    let view = read(&*request.context().control_plane, |state| HistoryView {
        revision: state.revision(),
        changes: history(state.revisions(), query.after, limit),
    });
    Ok(HttpResponseOk(view))
}

fn history(revisions: &Revisions, after: Option<u64>, limit: usize) -> Vec<HistoryEntryView> {
    let span = u64::try_from(limit).unwrap_or(u64::MAX);
    let after = after.unwrap_or(revisions.current().saturating_sub(span));
    let entries = revisions.after(after).take(limit);
    entries
        .map(|entry| HistoryEntryView {
            revision: entry.revision,
            change_id: entry.change_id.to_string(),
            at_unix_ms: entry.at.0,
            operator: entry.operator.to_string(),
            object: entry.object.clone(),
        })
        .collect()
}

/// Shows the fields that differ between two revisions.
#[endpoint { method = GET, path = "/v1/diff" }]
async fn show_diff(request: Request, query: Query<DiffQuery>) -> Reply<DiffView> {
    authorize(&request)?;
    let query = query.into_inner();
    let (to, lines) = read(&*request.context().control_plane, |state| {
        let to = query.to.unwrap_or(state.revision());
        (to, state.revisions().diff(query.from, to))
    });
    let lines = lines.map_err(|error| AdminError::diff(&error))?;
    let lines = lines.into_iter().map(|line| DiffLineView {
        object: line.object,
        field: line.field,
        before: line.before,
        after: line.after,
    });
    Ok(HttpResponseOk(DiffView {
        from: query.from,
        to,
        lines: lines.collect(),
    }))
}

/// Lists patient jobs.
#[endpoint { method = GET, path = "/v1/jobs" }]
async fn list_jobs(request: Request, query: Query<JobsQuery>) -> Reply<JobsView> {
    authorize(&request)?;
    let query = query.into_inner();
    let limit = page_limit(query.limit)?;
    let after = query.after.unwrap_or_default();
    let view = read(&*request.context().control_plane, |state| JobsView {
        total: state.jobs().len() as u64,
        jobs: state
            .jobs()
            .after(&after)
            .take(limit)
            .map(job_view)
            .collect(),
    });
    Ok(HttpResponseOk(view))
}

fn job_view(job: &Job) -> JobView {
    let status = match job.status() {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "cancelled",
        JobStatus::Missed => "missed",
        JobStatus::Unknown => "unknown",
    };
    JobView {
        job: job.accept.job.to_string(),
        account: job.accept.account.to_string(),
        status: status.to_owned(),
        attempt: job.attempt,
        deadline_unix_ms: job.accept.deadline_unix_ms.0,
        keep_until_unix_ms: job.accept.keep_until_unix_ms.0,
    }
}

/// Shows the state of this VM and the progress of all VMs.
#[endpoint { method = GET, path = "/v1/status" }]
async fn show_status(request: Request) -> Reply<StatusView> {
    authorize(&request)?;
    let control_plane = &*request.context().control_plane;
    let vm_revisions = control_plane.vm_revisions().await;
    let view = read(control_plane, |state| StatusView {
        revision: state.revision(),
        applied_index: state.applied_index(),
        state_time_unix_ms: state.now().0,
        accounts: state.accounts().count() as u64,
        orders: state.orders().len() as u64,
        order_tombstones: state.orders().tombstones() as u64,
        jobs: state.jobs().len() as u64,
        vms: progress::views(&vm_revisions, Some(state.revision())),
    });
    Ok(HttpResponseOk(view))
}

fn page_limit(limit: Option<usize>) -> Result<usize, AdminError> {
    let limit = limit.unwrap_or(DEFAULT_PAGE);
    if (1..=MAX_PAGE).contains(&limit) {
        return Ok(limit);
    }
    let allowed = format!("a whole number from 1 to {MAX_PAGE}");
    Err(AdminError::wrong("limit", &limit.to_string(), &allowed))
}

fn found<T>(view: Option<T>, field: &str, name: &str) -> Result<HttpResponseOk<T>, AdminError>
where
    T: JsonSchema + Send + Serialize + Sync + 'static,
{
    let allowed = format!("an existing {field}");
    match view {
        Some(view) => Ok(HttpResponseOk(view)),
        None => Err(AdminError::not_found(field, name, &allowed)),
    }
}
