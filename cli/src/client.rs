//! HTTP client for the nodes' API.

use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::Value;

use crate::error::CliError;

/// Client for the HTTP API of one node.
#[derive(Clone, Debug)]
pub struct NodeClient {
    address: Box<str>,
    token: Option<Box<str>>,
    client: Client,
}

impl NodeClient {
    /// A client for the API at `address` (IP number and port); without a token requests carry no
    /// authorization.
    pub fn new(address: &str, token: Option<&str>) -> Self {
        let client = Client::builder().no_proxy().build().unwrap_or_default();
        Self {
            address: address.into(),
            token: token.map(Into::into),
            client,
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let request = self
            .client
            .request(method, format!("http://{}{path}", self.address));
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, CliError> {
        let unreachable = |source| CliError::Unreachable {
            address: self.address.clone(),
            source,
        };
        let response = request.send().await.map_err(unreachable)?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let text = response.text().await.map_err(unreachable)?;
        let body = serde_json::from_str::<Value>(&text).ok();
        let message = body
            .as_ref()
            .and_then(|body| body.pointer("/error/message")?.as_str());
        let message = message.unwrap_or(text.trim()).into();
        Err(CliError::Refused {
            address: self.address.clone(),
            status: status.as_u16(),
            message,
        })
    }

    /// Sends a GET request and returns the JSON response; any status but success is an error.
    pub async fn get(&self, path: &str) -> Result<Value, CliError> {
        let response = self.send(self.request(Method::GET, path)).await?;
        let unreachable = |source| CliError::Unreachable {
            address: self.address.clone(),
            source,
        };
        response.json().await.map_err(unreachable)
    }

    /// Sends a JSON body with POST and returns the response text; any status but success is an
    /// error.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Box<str>, CliError> {
        let response = self
            .send(self.request(Method::POST, path).json(body))
            .await?;
        let unreachable = |source| CliError::Unreachable {
            address: self.address.clone(),
            source,
        };
        Ok(response.text().await.map_err(unreachable)?.into())
    }
}
