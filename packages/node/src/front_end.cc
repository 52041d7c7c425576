#include "front_end.h"

#include <utility>

#include "basilspread/config/reader.h"
#include "http_message.h"
#include "job_api.h"

namespace basilspread::node {
namespace {

constexpr std::string_view kRoutePrefix = "/route/";
constexpr std::string_view kTeamHeader = "X-Team";
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "X-Deadline";
constexpr std::size_t kBytesPerKibibyte = 1024;

HttpLimits LimitsOf(const config::NodeSettings& settings) {
  HttpLimits limits;
  limits.max_connections = settings.max_connections;
  limits.max_body_bytes = settings.max_body_kibibytes * kBytesPerKibibyte;
  return limits;
}

struct RouteTarget {
  RouteName route;
  /// Path and query for the minion.
  std::string target;
};

/// Splits "/route/NAME/REST" into the route and the minion's target.
/// Errors: kUnknownRoute.
Result<RouteTarget> SplitTarget(const std::string& uri) {
  if (!uri.starts_with(kRoutePrefix)) {
    return Error{ErrorKind::kUnknownRoute, "the path is not /route/NAME"};
  }
  const std::string rest = uri.substr(kRoutePrefix.size());
  const std::size_t end = rest.find_first_of("/?");
  RouteTarget split;
  split.route = RouteName{rest.substr(0, end)};
  split.target = end == std::string::npos ? "" : rest.substr(end);
  if (!split.target.starts_with('/')) {
    split.target.insert(0, "/");
  }
  return split;
}

PayloadPtr MakeMinionRequest(const Payload& request, std::string target) {
  boost::intrusive_ptr<Payload> payload(new Payload);
  payload->method = request.method;
  payload->target = std::move(target);
  for (const Header& header : request.headers) {
    if (!IsHopHeader(header.name)) {
      payload->headers.push_back(header);
    }
  }
  payload->body = request.body;
  return payload;
}

/// Errors: kBadRequest, kUnknownRoute.
Result<RequestArrived> ReadRequest(CallId call, const Payload& request) {
  BOOST_OUTCOME_TRY(split, SplitTarget(request.target));
  RequestArrived arrived;
  arrived.call = call;
  arrived.route = split.route;
  arrived.team = TeamName{std::string(HeaderOf(request, kTeamHeader))};
  arrived.idempotency_key = HeaderOf(request, kKeyHeader);
  const std::string_view deadline_text = HeaderOf(request, kDeadlineHeader);
  if (!deadline_text.empty()) {
    const auto deadline = config::ParseDuration(deadline_text);
    if (!deadline) {
      return Error{ErrorKind::kBadRequest,
                   "X-Deadline is not a duration such as 500ms or 2s"};
    }
    arrived.deadline = *deadline;
  }
  arrived.payload = MakeMinionRequest(request, std::move(split.target));
  return arrived;
}

PayloadPtr MakeResponse(const AnswerCaller& answer) {
  if (answer.kind != ErrorKind::kNone || !answer.payload) {
    return MakeErrorResponse(answer.kind, answer.detail);
  }
  boost::intrusive_ptr<Payload> response(new Payload);
  response->status = answer.payload->status;
  response->headers = answer.payload->headers;
  response->headers.push_back(
      Header{"X-Execution", std::string(NameOf(Execution::kRan))});
  response->body = answer.payload->body;
  return response;
}

}  // namespace

FrontEnd::FrontEnd(const config::NodeSettings& node_settings, Post event_hook,
                   Metrics& answer_metrics, ConnectionBudgetPtr budget)
    : post(std::move(event_hook)),
      metrics(answer_metrics),
      loop(node_settings.http, LimitsOf(node_settings),
           HttpLoop::Hooks{[this](CallId call, const PayloadPtr& request) {
                             this->OnRequest(call, request);
                           },
                           [this](CallId call) { this->OnDisconnect(call); },
                           {},
                           NumberCallsAfter(CallBeforeFirst(
                               node_settings.core.self.incarnation))},
           std::move(budget)) {}

void FrontEnd::OnRequest(CallId call, const PayloadPtr& request) {
  if (IsJobTarget(request->target)) {
    this->OnJobRequest(call, *request);
    return;
  }
  Result<RequestArrived> arrived = ReadRequest(call, *request);
  if (!arrived) {
    this->loop.Answer(call, [error = arrived.error()] {
      return MakeErrorResponse(error.kind, error.detail);
    });
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->open.emplace(call, OpenRequest{arrived.value().route,
                                         std::chrono::steady_clock::now()});
  }
  this->post(std::move(arrived).value());
}

void FrontEnd::OnDisconnect(CallId call) {
  this->TakeOpen(call);
  this->post(CallerDisconnected{call});
}

void FrontEnd::OnJobRequest(CallId call, const Payload& request) {
  Result<JobArrived> arrived = ReadJobRequest(call, request);
  if (arrived) {
    this->post(std::move(arrived).value());
    return;
  }
  this->loop.Answer(call, [error = arrived.error()] {
    return MakeErrorResponse(error.kind, error.detail);
  });
}

void FrontEnd::Answer(const AnswerJobCaller& effect) {
  this->loop.Answer(effect.answer.call, [answer = effect.answer] {
    return MakeJobResponse(answer);
  });
}

void FrontEnd::Answer(const AnswerCaller& answer) {
  if (const auto request = this->TakeOpen(answer.call)) {
    this->metrics.AddAnswer(
        request->route, answer.kind,
        std::chrono::steady_clock::now() - request->arrived);
  }
  this->loop.Answer(answer.call, [answer] { return MakeResponse(answer); });
}

std::optional<FrontEnd::OpenRequest> FrontEnd::TakeOpen(CallId call) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->open.find(call);
  if (found == this->open.end()) {
    return std::nullopt;
  }
  const OpenRequest request = found->second;
  this->open.erase(found);
  return request;
}

}  // namespace basilspread::node
