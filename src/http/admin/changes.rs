//! Endpoints that change the control state.

use std::sync::Arc;

use dropshot::ApiDescription;
use dropshot::ApiDescriptionRegisterError;
use dropshot::HttpResponseOk;
use dropshot::Path;
use dropshot::RequestContext;
use dropshot::TypedBody;
use dropshot::endpoint;

use crate::control::Action;
use crate::control::Change;
use crate::control::Command;
use crate::control::KeyHash;
use crate::control::Outcome;
use crate::control::Sha256Hash;
use crate::control::check_change_id;
use crate::control::key_id;
use crate::http::admin::AccountBody;
use crate::http::admin::ChangeRef;
use crate::http::admin::ChangeStatus;
use crate::http::admin::ChangeView;
use crate::http::admin::Context;
use crate::http::admin::GrantBody;
use crate::http::admin::NewAccountBody;
use crate::http::admin::RemovalBody;
use crate::http::admin::RouteBody;
use crate::http::admin::SharesBody;
use crate::http::admin::TemplateBody;
use crate::http::admin::VmRemovalBody;
use crate::http::admin::WithdrawalBody;
use crate::http::admin::control_plane::read;
use crate::http::admin::convert::check_key;
use crate::http::admin::error::AdminError;
use crate::http::admin::operators::authorize;
use crate::http::admin::progress;
use crate::http::admin::reads::NamePath;

type Reply = Result<HttpResponseOk<ChangeView>, AdminError>;
type Request = RequestContext<Context>;

pub(super) fn register(
    api: &mut ApiDescription<Context>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(set_template)?;
    api.register(create_account)?;
    api.register(set_account)?;
    api.register(set_shares)?;
    api.register(grant_key)?;
    api.register(withdraw_key)?;
    api.register(set_route)?;
    api.register(remove_route)?;
    api.register(remove_vm)
}

/// Creates or replaces a template. Accounts of the template follow the change.
#[endpoint { method = PUT, path = "/v1/templates/{name}" }]
async fn set_template(
    request: Request,
    path: Path<NamePath>,
    body: TypedBody<TemplateBody>,
) -> Reply {
    let body = body.into_inner();
    let action = Action::SetTemplate {
        name: path.into_inner().name.into(),
        parameters: body.parameters.into(),
    };
    change(&request, body.change, action).await
}

/// Creates an account from a template.
#[endpoint { method = POST, path = "/v1/accounts" }]
async fn create_account(request: Request, body: TypedBody<NewAccountBody>) -> Reply {
    let body = body.into_inner();
    let action = Action::CreateAccount {
        name: body.name.into(),
        template: body.template.into(),
        overrides: body.overrides.into(),
    };
    change(&request, body.change, action).await
}

/// Replaces the template and all overrides of an account.
#[endpoint { method = PUT, path = "/v1/accounts/{name}" }]
async fn set_account(
    request: Request,
    path: Path<NamePath>,
    body: TypedBody<AccountBody>,
) -> Reply {
    let body = body.into_inner();
    let action = Action::SetAccount {
        name: path.into_inner().name.into(),
        template: body.template.into(),
        overrides: body.overrides.into(),
    };
    change(&request, body.change, action).await
}

/// Sets the shares of an account per data centre.
#[endpoint { method = PUT, path = "/v1/accounts/{name}/shares" }]
async fn set_shares(request: Request, path: Path<NamePath>, body: TypedBody<SharesBody>) -> Reply {
    let body = body.into_inner();
    let shares = body.shares_ppm.into_iter();
    let action = Action::SetShares {
        account: path.into_inner().name.into(),
        shares_ppm: shares.map(|(name, ppm)| (name.into(), ppm)).collect(),
    };
    change(&request, body.change, action).await
}

/// Grants a key to an account. Only its hash is stored.
#[endpoint { method = POST, path = "/v1/accounts/{name}/keys" }]
async fn grant_key(request: Request, path: Path<NamePath>, body: TypedBody<GrantBody>) -> Reply {
    let body = body.into_inner();
    if let Some(key) = &body.key {
        check_key(key).map_err(|error| AdminError::invalid(&error))?;
    }
    let key = body.key.unwrap_or_else(draw_key);
    let key_hash = Sha256Hash::of(key.as_bytes());
    let action = Action::GrantKey {
        account: path.into_inner().name.into(),
        key_hash,
    };
    let HttpResponseOk(mut view) = change(&request, body.change, action).await?;
    view.key_id = view.object.strip_prefix("key/").map(str::to_owned);
    // A resend without a key draws a new key but returns the outcome of the first request, whose
    // key was different.
    if view.key_id.as_deref() == Some(key_id(&key_hash).as_str()) {
        view.key = Some(key);
    }
    Ok(HttpResponseOk(view))
}

/// Withdraws a key immediately on all reachable VMs, then in the log.
#[endpoint { method = POST, path = "/v1/withdrawals" }]
async fn withdraw_key(request: Request, body: TypedBody<WithdrawalBody>) -> Reply {
    let operator = authorize(&request)?;
    let body = body.into_inner();
    let control_plane = &*request.context().control_plane;
    // Checked before the local withdrawal, so that a refused request withdraws nothing.
    check_change_id(&body.change.change_id).map_err(|error| AdminError::invalid(&error))?;
    let key_hash = named_key(&request, &body)?;
    control_plane.withdraw_locally(key_hash).await;
    let change_id = body.change.change_id.clone();
    let action = Action::WithdrawKey { key_hash };
    let command = command(&request, &body.change, &operator, action);
    let object = format!("key/{}", key_id(&key_hash));
    match control_plane.propose(Command::Change(command)).await {
        Ok(Outcome::Applied { revision, object }) => {
            applied(&request, change_id, revision, object).await
        }
        Ok(other) => Err(AdminError::from_outcome(&other, 0)),
        Err(error) => {
            log::warn!(
                "admin: withdrawal of {object} is applied locally but not committed yet: {error}"
            );
            let vm_revisions = control_plane.vm_revisions().await;
            Ok(HttpResponseOk(ChangeView {
                change_id,
                status: ChangeStatus::Local,
                revision: None,
                object,
                vms: progress::views(&vm_revisions, None),
                key_id: None,
                key: None,
            }))
        }
    }
}

/// Creates or replaces a route of a plain service.
#[endpoint { method = PUT, path = "/v1/routes/{name}" }]
async fn set_route(request: Request, path: Path<NamePath>, body: TypedBody<RouteBody>) -> Reply {
    let body = body.into_inner();
    let action = Action::SetRoute {
        name: path.into_inner().name.into(),
        route: body.route.into(),
    };
    change(&request, body.change, action).await
}

/// Removes a route of a plain service.
#[endpoint { method = POST, path = "/v1/routes/{name}/removal" }]
async fn remove_route(
    request: Request,
    path: Path<NamePath>,
    body: TypedBody<RemovalBody>,
) -> Reply {
    let action = Action::RemoveRoute {
        name: path.into_inner().name.into(),
    };
    change(&request, body.into_inner().change, action).await
}

/// Removes a VM from the roster.
#[endpoint { method = POST, path = "/v1/roster/{name}/removal" }]
async fn remove_vm(
    request: Request,
    path: Path<NamePath>,
    body: TypedBody<VmRemovalBody>,
) -> Reply {
    let body = body.into_inner();
    let action = Action::RemoveVm {
        vm: path.into_inner().name.into(),
        force: body.force,
    };
    change(&request, body.change, action).await
}

async fn change(request: &Request, change: ChangeRef, action: Action) -> Reply {
    let operator = authorize(request)?;
    let control_plane = &*request.context().control_plane;
    let command = command(request, &change, &operator, action);
    let base_revision = command.base_revision;
    match control_plane.propose(Command::Change(command)).await? {
        Outcome::Applied { revision, object } => {
            applied(request, change.change_id, revision, object).await
        }
        other => Err(AdminError::from_outcome(&other, base_revision)),
    }
}

fn command(request: &Request, change: &ChangeRef, operator: &str, action: Action) -> Change {
    let context = request.context();
    let current = || read(&*context.control_plane, |state| state.revision());
    Change {
        change_id: Arc::from(change.change_id.as_str()),
        base_revision: change.base_revision.unwrap_or_else(current),
        at: context.clock.unix(),
        operator: Arc::from(operator),
        action,
    }
}

async fn applied(request: &Request, change_id: String, revision: u64, object: String) -> Reply {
    let (status, vms) = progress::wait(&*request.context().control_plane, revision).await;
    Ok(HttpResponseOk(ChangeView {
        change_id,
        status,
        revision: Some(revision),
        object,
        vms,
        key_id: None,
        key: None,
    }))
}

/// Returns the hash of the key that the body names.
fn named_key(request: &Request, body: &WithdrawalBody) -> Result<KeyHash, AdminError> {
    match (&body.key_id, &body.key_sha256, &body.key) {
        (Some(id), None, None) => {
            let hash = read(&*request.context().control_plane, |state| {
                state.keys().get(id).map(|grant| grant.hash)
            });
            let allowed = "the id of a key that was granted";
            hash.ok_or_else(|| AdminError::not_found("key_id", id, allowed))
        }
        (None, Some(digits), None) => Sha256Hash::from_hex(digits)
            .ok_or_else(|| AdminError::wrong("key_sha256", digits, "64 hexadecimal digits")),
        (None, None, Some(key)) => Ok(Sha256Hash::of(key.as_bytes())),
        _ => {
            let allowed = "exactly one of key_id, key_sha256 and key";
            Err(AdminError::wrong("key_id", "none or several", allowed))
        }
    }
}

fn draw_key() -> String {
    format!("mdl-{}", hex::encode(rand::random::<[u8; 32]>()))
}
