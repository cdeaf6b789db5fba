//! HTTP handler of the admin address: orders from operators, status and metrics.

use std::rc::Rc;

use http::Method;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::admin::AdminService;
use crate::control::admin::CentreRequest;
use crate::control::admin::CentreResponse;
use crate::control::admin::SubmitRequest;
use crate::control::orders::OrderRequest;
use crate::control::orders::OrderSender;
use crate::control::rollout_admin::RolloutAdmin;
use crate::control::rollout_admin::RolloutRequest;
use crate::entry::context::Context;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Handler;
use crate::metrics_server::METRICS_PATH;
use crate::metrics_server::metrics_page;
use crate::stop::StopRequest;

/// Largest request body, in bytes; it holds a submitted document.
const MAX_BODY: usize = 4 << 20;

/// Handles requests of operators and scrapes of metrics.
pub struct AdminHandler {
    admin: AdminService,
    metrics: PrometheusHandle,
    orders: Option<TargetOrders>,
    rollouts: Option<RolloutAdmin>,
    stop: StopRequest,
}

/// What orders to targets need.
pub struct TargetOrders {
    /// Entry role, which knows the targets and the document.
    pub context: Rc<Context>,
    /// Sends orders while this instance leads.
    pub orders: OrderSender,
}

impl AdminHandler {
    /// Creates the handler.
    ///
    /// Orders to targets need an instance with both the entry and the control role, and rollouts one
    /// that serves the platform's operators.
    pub fn new(
        admin: AdminService,
        metrics: PrometheusHandle,
        orders: Option<TargetOrders>,
        rollouts: Option<RolloutAdmin>,
        stop: StopRequest,
    ) -> Self {
        Self { admin, metrics, orders, rollouts, stop }
    }

    async fn route(&self, request: Request) -> Result<Response, Problem> {
        let method = request.head.method.clone();
        match (method, request.head.path.as_str()) {
            (Method::GET, METRICS_PATH) => Ok(metrics_page(&self.metrics)),
            (Method::GET, "/admin/status") => Ok(json(&self.admin.status().await)),
            (Method::POST, "/admin/submit") => self.submit(&request).await,
            (Method::POST, "/admin/take-out") => Ok(json(&self.take_out(parse(&request)?).await)),
            (Method::POST, "/admin/bring-back") => {
                Ok(json(&self.admin.bring_back(parse(&request)?).await))
            }
            (Method::POST, "/admin/order") => self.order(parse(&request)?).await,
            (Method::POST, "/admin/rollout") => self.begin_rollout(parse(&request)?).await,
            (Method::POST, "/admin/roll-back") => {
                Ok(json(&self.rollouts()?.roll_back(parse(&request)?).await))
            }
            (Method::GET, "/admin/rollouts") => match self.rollouts()?.list().await {
                Some(list) => Ok(json(&list)),
                None => Err(Problem::not_run(Code::NoQuorum)),
            },
            _ => Err(Problem::not_run(Code::NotFound)),
        }
    }

    fn rollouts(&self) -> Result<&RolloutAdmin, Problem> {
        self.rollouts.as_ref().ok_or_else(|| Problem::not_run(Code::NotFound))
    }

    async fn begin_rollout(&self, request: RolloutRequest) -> Result<Response, Problem> {
        match self.rollouts()?.begin(request).await {
            Ok(response) => Ok(json(&response)),
            Err(invalid) => Err(Problem::not_run(Code::Invalid).with_detail(invalid.to_string())),
        }
    }

    async fn take_out(&self, request: CentreRequest) -> CentreResponse {
        match self.admin.take_out(request).await {
            // An order that only this instance knows ends with its process.
            CentreResponse::Held if self.stop.count() > 0 => CentreResponse::Unknown,
            response => response,
        }
    }

    async fn order(&self, request: OrderRequest) -> Result<Response, Problem> {
        let Some(TargetOrders { context, orders }) = &self.orders else {
            return Err(Problem::not_run(Code::NotFound));
        };
        let target = context.order_target(&request.target);
        let target = target.ok_or_else(|| Problem::not_run(Code::NotFound))?;
        Ok(json(&orders.order(&target, request.order).await))
    }

    /// Submits a document if it passes all checks.
    async fn submit(&self, request: &Request) -> Result<Response, Problem> {
        let submit: SubmitRequest = parse(request)?;
        if let Err(findings) = hawthornkeel_config::parse_document("document", &submit.text) {
            let problem = Problem::not_run(Code::Invalid);
            return Err(problem.with_detail(findings.to_string()));
        }
        Ok(json(&self.admin.submit(submit).await))
    }
}

impl Handler for AdminHandler {
    async fn handle(&self, request: Request) -> Response {
        self.route(request).await.unwrap_or_else(Problem::into_response)
    }

    fn max_body(&self, _head: &crate::http::message::Head) -> Option<usize> {
        Some(MAX_BODY)
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, Problem> {
    serde_json::from_slice(&request.body)
        .map_err(|e| Problem::not_run(Code::BadRequest).with_detail(e.to_string()))
}

fn json<T: Serialize>(value: &T) -> Response {
    Response::json(serde_json::to_vec(value).unwrap_or_default())
}
