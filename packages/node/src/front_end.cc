#include "front_end.h"

#include <Poco/JSON/Object.h>
#include <Poco/StreamCopier.h>

#include <chrono>
#include <set>
#include <sstream>
#include <utility>

#include "basilspread/config/reader.h"
#include "http_server.h"

namespace basilspread::node {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view kRoutePrefix = "/route/";
constexpr const char* kTeamHeader = "X-Team";
constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kDeadlineHeader = "X-Deadline";
constexpr std::size_t kBytesPerKibibyte = 1024;

/// Headers that concern one connection only, or are set anew.
const std::set<std::string> kHopHeaders = {
    "connection", "content-length", "host",    "keep-alive",
    "te",         "trailer",        "upgrade", "transfer-encoding"};

bool IsHopHeader(const std::string& name) {
  return kHopHeaders.contains(Poco::toLower(name));
}

/// The request's body; unset when it is larger than the limit.
std::optional<std::string> ReadBody(HTTPServerRequest& request,
                                    std::size_t limit) {
  std::string body;
  std::istream& in = request.stream();
  char buffer[4096];
  while (in.good()) {
    in.read(buffer, sizeof(buffer));
    body.append(buffer, static_cast<std::size_t>(in.gcount()));
    if (body.size() > limit) {
      return std::nullopt;
    }
  }
  return body;
}

void WriteError(HTTPServerResponse& response, ErrorKind kind,
                const std::string& detail) {
  const ErrorAnswer& answer = AnswerFor(kind);
  Poco::JSON::Object object;
  object.set("error", std::string(answer.name));
  object.set("execution", std::string(NameOf(answer.execution)));
  object.set("retryable", answer.retryable);
  object.set("message", std::string(answer.sentence));
  object.set("detail", detail);
  std::ostringstream body;
  object.stringify(body);
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.http_status));
  response.set("X-Error", std::string(answer.name));
  response.set("X-Execution", std::string(NameOf(answer.execution)));
  response.setContentType("application/json");
  response.setContentLength(static_cast<std::streamsize>(body.str().size()));
  response.send() << body.str();
}

void WriteAnswer(HTTPServerResponse& response, const AnswerCaller& answer) {
  if (answer.kind != ErrorKind::kNone) {
    WriteError(response, answer.kind, answer.detail);
    return;
  }
  const Payload& payload = *answer.payload;
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(payload.status));
  for (const Header& header : payload.headers) {
    if (!IsHopHeader(header.name)) {
      response.set(header.name, header.value);
    }
  }
  response.set("X-Execution", std::string(NameOf(Execution::kRan)));
  response.setContentLength(static_cast<std::streamsize>(payload.body.size()));
  response.send() << payload.body;
}

/// Splits "/route/NAME/REST" into the route and the minion's target.
/// Errors: kUnknownRoute.
Result<std::pair<RouteName, std::string>> SplitTarget(const std::string& uri) {
  if (!uri.starts_with(kRoutePrefix)) {
    return Error{ErrorKind::kUnknownRoute, "the path is not /route/NAME"};
  }
  const std::string rest = uri.substr(kRoutePrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  const RouteName route{rest.substr(0, end)};
  std::string target = end == std::string::npos ? "" : rest.substr(end);
  if (!target.starts_with('/')) {
    target.insert(0, "/");
  }
  return std::make_pair(route, target);
}

PayloadPtr MakePayload(const HTTPServerRequest& request, std::string target,
                       std::string body) {
  boost::intrusive_ptr<Payload> payload(new Payload);
  payload->method = request.getMethod();
  payload->target = std::move(target);
  for (const auto& [name, value] : request) {
    if (!IsHopHeader(name)) {
      payload->headers.push_back(Header{name, value});
    }
  }
  payload->body = std::move(body);
  return payload;
}

/// Errors: kBadRequest, kTooLarge, kUnknownRoute.
Result<RequestArrived> ReadRequest(HTTPServerRequest& request,
                                   std::size_t body_limit) {
  BOOST_OUTCOME_TRY(target, SplitTarget(request.getURI()));
  RequestArrived arrived;
  arrived.route = target.first;
  arrived.team = TeamName{request.get(kTeamHeader, "")};
  arrived.idempotency_key = request.get(kKeyHeader, "");
  if (request.has(kDeadlineHeader)) {
    const auto deadline = config::ParseDuration(request.get(kDeadlineHeader));
    if (!deadline) {
      return Error{ErrorKind::kBadRequest, "X-Deadline is not a duration"};
    }
    arrived.deadline = *deadline;
  }
  std::optional<std::string> body = ReadBody(request, body_limit);
  if (!body) {
    return Error{ErrorKind::kTooLarge, "the body exceeds its limit"};
  }
  arrived.payload = MakePayload(request, target.second, *std::move(body));
  return arrived;
}

}  // namespace

FrontEnd::FrontEnd(const config::NodeSettings& node_settings, Post event_hook)
    : settings(node_settings),
      post(std::move(event_hook)),
      pool("http", 1, static_cast<int>(node_settings.max_connections)) {}

void FrontEnd::Start() {
  const auto handle = [this](HTTPServerRequest& request,
                             HTTPServerResponse& response) {
    Result<RequestArrived> arrived = ReadRequest(
        request, this->settings.max_body_kibibytes * kBytesPerKibibyte);
    if (!arrived) {
      response.setKeepAlive(false);
      WriteError(response, arrived.error().kind, arrived.error().detail);
      return;
    }
    auto call = this->calls.Open();
    arrived.value().call = call.id;
    this->post(std::move(arrived).value());
    WriteAnswer(response, call.answer.get());
  };
  this->server =
      MakeHttpServer(this->settings.http, this->pool,
                     static_cast<int>(this->settings.max_connections), handle);
  this->server->start();
}

void FrontEnd::Stop() { this->server->stopAll(false); }

void FrontEnd::Answer(const AnswerCaller& answer) {
  this->calls.Answer(answer.call, answer);
}

}  // namespace basilspread::node
