//! Administrative actions. Each validates its values, changes the state and returns the object
//! before and after the change.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::control::Account;
use crate::control::AccountRecord;
use crate::control::Action;
use crate::control::FieldError;
use crate::control::Grant;
use crate::control::KeyHash;
use crate::control::MAX_ACCOUNTS;
use crate::control::MAX_GRANTS;
use crate::control::MAX_TEMPLATES;
use crate::control::Object;
use crate::control::Overrides;
use crate::control::Parameters;
use crate::control::Route;
use crate::control::State;
use crate::control::WHOLE_PPM;
use crate::control::apply::ActionResult;
use crate::control::apply::ObjectChange;
use crate::control::key_id;
use crate::control::names;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::TemplateName;
use crate::types::VmName;

impl State {
    pub(super) fn apply_action(&mut self, action: &Action) -> ActionResult {
        match action {
            Action::SetTemplate { name, parameters } => self.set_template(name, parameters),
            Action::CreateAccount {
                name,
                template,
                overrides,
            } => self.create_account(name, template, overrides),
            Action::SetAccount {
                name,
                template,
                overrides,
            } => self.set_account(name, template, overrides),
            Action::GrantKey { account, key_hash } => self.grant_key(account, key_hash),
            Action::WithdrawKey { key_hash } => Ok(self.withdraw_key(key_hash)),
            Action::SetRoute { name, route } => self.set_route(name, route),
            Action::RemoveRoute { name } => self.remove_route(name),
            Action::SetShares {
                account,
                shares_ppm,
            } => self.set_shares(account, shares_ppm),
            Action::RemoveVm { vm, force } => self.remove_vm(vm, *force),
        }
    }

    fn set_template(&mut self, name: &TemplateName, parameters: &Parameters) -> ActionResult {
        names::check("name", name.as_str())?;
        parameters.check()?;
        let before = self.templates.get(name).cloned();
        if before.is_none() && self.templates.len() >= MAX_TEMPLATES {
            return Err(too_many("name", name.as_str(), MAX_TEMPLATES, "templates"));
        }
        self.templates
            .insert(name.clone(), Arc::new(parameters.clone()));
        let dependents = self
            .accounts
            .values()
            .filter(|a| a.record.template == *name);
        let dependents: Vec<_> = dependents
            .map(|account| (account.name.clone(), account.record.clone()))
            .collect();
        for (account, record) in dependents {
            self.put_account(account, record);
        }
        object_change(
            format!("template/{name}"),
            before.map(|old| Object::Template((*old).clone())),
            Some(Object::Template(parameters.clone())),
        )
    }

    fn create_account(
        &mut self,
        name: &AccountName,
        template: &TemplateName,
        overrides: &Overrides,
    ) -> ActionResult {
        names::check("name", name.as_str())?;
        if self.accounts.contains_key(name) {
            let allowed = "the name of no existing account";
            return Err(FieldError::new("name", name.as_str(), allowed));
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            return Err(too_many("name", name.as_str(), MAX_ACCOUNTS, "accounts"));
        }
        let record = AccountRecord {
            template: template.clone(),
            overrides: overrides.clone(),
            shares_ppm: BTreeMap::new(),
        };
        self.replace_account(name, record)
    }

    fn set_account(
        &mut self,
        name: &AccountName,
        template: &TemplateName,
        overrides: &Overrides,
    ) -> ActionResult {
        let record = AccountRecord {
            template: template.clone(),
            overrides: overrides.clone(),
            shares_ppm: self.existing_account(name)?.record.shares_ppm.clone(),
        };
        self.replace_account(name, record)
    }

    fn replace_account(&mut self, name: &AccountName, record: AccountRecord) -> ActionResult {
        let Some(template) = self.templates.get(&record.template) else {
            let names = self.templates.keys().map(TemplateName::as_str);
            let allowed = format!("an existing template: {}", abbreviated_list(names));
            return Err(FieldError::new(
                "template",
                record.template.as_str(),
                allowed,
            ));
        };
        record.overrides.effective(template).check()?;
        let before = self.accounts.get(name).map(|a| a.record.clone());
        self.put_account(name.clone(), record.clone());
        object_change(
            format!("account/{name}"),
            before.map(Object::Account),
            Some(Object::Account(record)),
        )
    }

    /// Stores `record` with its effective parameters. Its template always exists, because templates
    /// are never removed and records are checked before they are stored.
    pub(super) fn put_account(&mut self, name: AccountName, record: AccountRecord) {
        let Some(template) = self.templates.get(&record.template) else {
            return;
        };
        let parameters = Arc::new(record.overrides.effective(template));
        let account = Account {
            name: name.clone(),
            record,
            parameters,
        };
        self.accounts.insert(name, account);
    }

    fn existing_account(&self, name: &AccountName) -> Result<&Account, FieldError> {
        self.accounts.get(name).ok_or_else(|| {
            let names = self.accounts.keys().map(AccountName::as_str);
            let allowed = format!("an existing account: {}", abbreviated_list(names));
            FieldError::new("account", name.as_str(), allowed)
        })
    }

    fn grant_key(&mut self, account: &AccountName, hash: &KeyHash) -> ActionResult {
        let max_keys = self.existing_account(account)?.parameters.max_keys;
        let id = key_id(hash);
        if self.keys.is_withdrawn(hash) || self.keys.get(&id).is_some() {
            let allowed = "a key that was never granted or withdrawn";
            return Err(FieldError::new("key", id, allowed));
        }
        if self.keys.live_key_count(account) >= max_keys as usize {
            let allowed = format!("at most {max_keys} live keys of account {account}");
            return Err(FieldError::new("max_keys", max_keys.to_string(), allowed));
        }
        if self.keys.len() >= MAX_GRANTS {
            return Err(too_many("key", &id, MAX_GRANTS, "grants"));
        }
        let grant = Grant {
            hash: *hash,
            account: account.clone(),
        };
        self.keys.grant(id.clone(), grant);
        let after = key_object(Some(account), false);
        object_change(format!("key/{id}"), None, Some(after))
    }

    pub(super) fn withdraw_key(&mut self, hash: &KeyHash) -> Option<ObjectChange> {
        let id = key_id(hash);
        let account = self.keys.get(&id).map(|grant| grant.account.clone());
        if !self.keys.withdraw(*hash) {
            return None;
        }
        let is_granted = account.is_some();
        Some(ObjectChange {
            object: format!("key/{id}"),
            before: is_granted.then(|| key_object(account.as_ref(), false)),
            after: Some(key_object(account.as_ref(), true)),
        })
    }

    fn set_route(&mut self, name: &str, route: &Route) -> ActionResult {
        names::check("name", name)?;
        self.routes.check(name, route)?;
        let before = self.routes.set(name, route.clone());
        object_change(
            format!("route/{name}"),
            before.map(Object::Route),
            Some(Object::Route(route.clone())),
        )
    }

    fn remove_route(&mut self, name: &str) -> ActionResult {
        match self.routes.remove(name) {
            Some(route) => object_change(format!("route/{name}"), Some(Object::Route(route)), None),
            None => {
                let names = self.routes.iter().map(|(name, _)| name);
                let allowed = format!("an existing route: {}", abbreviated_list(names));
                Err(FieldError::new("name", name, allowed))
            }
        }
    }

    fn set_shares(
        &mut self,
        name: &AccountName,
        shares: &BTreeMap<DataCentre, u32>,
    ) -> ActionResult {
        let mut record = self.existing_account(name)?.record.clone();
        let data_centres = self.roster.data_centres();
        if let Some(unknown) = shares.keys().find(|d| !data_centres.contains(d)) {
            let names = data_centres.iter().map(|d| d.as_str());
            let allowed = format!("a data centre of the roster: {}", abbreviated_list(names));
            return Err(FieldError::new("shares_ppm", unknown.as_str(), allowed));
        }
        let sum: u64 = shares.values().map(|ppm| u64::from(*ppm)).sum();
        if sum > u64::from(WHOLE_PPM) {
            let allowed = format!("parts per million with a sum of at most {WHOLE_PPM}");
            return Err(FieldError::new(
                "shares_ppm",
                format!("a sum of {sum}"),
                allowed,
            ));
        }
        record.shares_ppm = shares.clone();
        self.replace_account(name, record)
    }

    fn remove_vm(&mut self, vm: &VmName, force: bool) -> ActionResult {
        let Some(known) = self.roster.get(vm.as_str()).cloned() else {
            let names = self.roster.iter().map(|(name, _)| name.as_str());
            let allowed = format!("a VM of the roster: {}", abbreviated_list(names));
            return Err(FieldError::new("vm", vm.as_str(), allowed));
        };
        let pending = self.roster.pending(known.data_centre.as_str());
        let other_leaves = pending.is_some_and(|p| p.is_removal && p.vm != *vm);
        if !force || other_leaves {
            self.check_no_pending(vm, &known.data_centre)?;
        }
        if force {
            self.roster.force_removal(vm);
        } else {
            self.roster.start_removal(vm, self.revisions.current() + 1);
        }
        let after = self.vm_object(vm);
        object_change(format!("vm/{vm}"), Some(Object::Vm(known)), after)
    }
}

pub(super) fn object_of(action: &Action) -> String {
    match action {
        Action::SetTemplate { name, .. } => format!("template/{name}"),
        Action::CreateAccount { name, .. } | Action::SetAccount { name, .. } => {
            format!("account/{name}")
        }
        Action::SetShares { account, .. } => format!("account/{account}"),
        Action::GrantKey { key_hash, .. } | Action::WithdrawKey { key_hash } => {
            format!("key/{}", key_id(key_hash))
        }
        Action::SetRoute { name, .. } | Action::RemoveRoute { name } => format!("route/{name}"),
        Action::RemoveVm { vm, .. } => format!("vm/{vm}"),
    }
}

fn object_change(object: String, before: Option<Object>, after: Option<Object>) -> ActionResult {
    Ok(Some(ObjectChange {
        object,
        before,
        after,
    }))
}

fn key_object(account: Option<&AccountName>, withdrawn: bool) -> Object {
    Object::Key {
        account: account.cloned(),
        withdrawn,
    }
}

pub(super) fn too_many(field: &str, value: &str, max: usize, what: &str) -> FieldError {
    FieldError::new(field, value, format!("at most {max} {what}"))
}

/// A list of at most 8 of `names`, which keeps errors short.
fn abbreviated_list<'a>(names: impl Iterator<Item = &'a str>) -> String {
    const SHOWN: usize = 8;
    let mut shown: Vec<&str> = names.take(SHOWN + 1).collect();
    if shown.is_empty() {
        return "none yet".to_owned();
    }
    if shown.len() > SHOWN {
        shown[SHOWN] = "...";
    }
    shown.join(", ")
}
