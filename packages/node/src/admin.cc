#include "admin.h"

#include <string>
#include <utility>

#include "http_server.h"
#include "report_format.h"

namespace basilspread::node {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kAdminThreads = 4;
constexpr Duration kDumpTimeout = std::chrono::seconds(5);
constexpr std::string_view kJsonSuffix = ".json";

void Write(HTTPServerResponse& response, const std::string& type,
           const std::string& body) {
  // Idle connections would occupy the few threads of this server.
  response.setKeepAlive(false);
  response.setContentType(type);
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  response.send() << body;
}

}  // namespace

Admin::Admin(config::Endpoint admin_endpoint, Hooks report_hooks)
    : endpoint(std::move(admin_endpoint)),
      hooks(std::move(report_hooks)),
      pool("admin", 1, kAdminThreads) {}

void Admin::Start() {
  this->server = MakeHttpServer(
      this->endpoint, this->pool, kAdminThreads,
      [this](HTTPServerRequest& request, HTTPServerResponse& response) {
        this->Handle(request, response);
      });
  this->server->start();
}

void Admin::Stop() { this->server->stopAll(false); }

void Admin::Answer(const AnswerDump& answer) {
  this->calls.Answer(answer.call, answer.report);
}

std::optional<StateReport> Admin::Dump() {
  auto call = this->calls.Open();
  this->hooks.post(DumpRequested{call.id});
  if (call.answer.wait_for(kDumpTimeout) != std::future_status::ready) {
    this->calls.Abandon(call.id);
    return std::nullopt;
  }
  StateReport report = call.answer.get();
  const StateReport node = this->hooks.describe_node();
  report.insert(report.end(), node.begin(), node.end());
  return report;
}

std::optional<StateReport> Admin::ReportFor(const std::string& page) {
  return page == "/metrics" ? this->hooks.describe_metrics() : this->Dump();
}

void Admin::Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
  std::string page = request.getURI();
  const bool is_json = page.ends_with(kJsonSuffix);
  if (is_json) {
    page.resize(page.size() - kJsonSuffix.size());
  }
  if (page != "/dump" && page != "/metrics") {
    response.setStatusAndReason(HTTPServerResponse::HTTP_NOT_FOUND);
    Write(response, "text/plain",
          "The pages are /dump, /dump.json, /metrics and /metrics.json.\n");
    return;
  }
  if (page == "/metrics" && !is_json) {
    Write(response, "text/plain; version=0.0.4", this->hooks.expose_metrics());
    return;
  }
  const std::optional<StateReport> report = this->ReportFor(page);
  if (!report) {
    response.setStatusAndReason(HTTPServerResponse::HTTP_SERVICE_UNAVAILABLE);
    Write(response, "text/plain", "The control thread gave no answer.\n");
    return;
  }
  if (is_json) {
    Write(response, "application/json", FormatJson(*report));
  } else {
    Write(response, "text/plain", FormatText(*report));
  }
}

}  // namespace basilspread::node
