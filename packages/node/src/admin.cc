#include "admin.h"

#include <string>
#include <utility>

#include "http_message.h"
#include "report_format.h"

namespace basilspread::node {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/// Operators, basilctl and the collector of metrics use a connection each.
constexpr std::size_t kMaxConnections = 32;
/// The pages take no body.
constexpr std::size_t kMaxBodyBytes = std::size_t{16} << 10U;
constexpr Duration kDumpTimeout = std::chrono::seconds(5);
constexpr std::string_view kJsonSuffix = ".json";
constexpr const char* kPlainText = "text/plain";

HttpLimits Limits() {
  HttpLimits limits;
  limits.max_connections = kMaxConnections;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.answer_timeout = kDumpTimeout;
  return limits;
}

PayloadPtr MakePage(int status, const std::string& type, std::string body) {
  boost::intrusive_ptr<Payload> page(new Payload);
  page->status = status;
  page->headers = {Header{"Content-Type", type}};
  page->body = std::move(body);
  return page;
}

PayloadPtr MakeReport(const StateReport& report, bool is_json) {
  return is_json ? MakeJsonResponse(kOk, FormatJson(report))
                 : MakePage(kOk, kPlainText, FormatText(report));
}

}  // namespace

Admin::Admin(const config::Endpoint& admin_endpoint, Hooks report_hooks,
             ConnectionBudgetPtr budget)
    : hooks(std::move(report_hooks)),
      loop(admin_endpoint, Limits(),
           HttpLoop::Hooks{[this](CallId call, const PayloadPtr& request) {
                             this->OnRequest(call, request);
                           },
                           [this](CallId call) { this->OnDisconnect(call); },
                           [] {
                             return MakePage(
                                 kUnavailable, kPlainText,
                                 "The control thread gave no answer.\n");
                           }},
           std::move(budget), ConnectionPort::kAdmin) {}

void Admin::Start() { this->loop.Start(); }

void Admin::Stop() { this->loop.Stop(Duration::zero()); }

void Admin::Answer(const AnswerDump& answer) {
  bool is_json = false;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->dumps.find(answer.call);
    if (found == this->dumps.end()) {
      return;
    }
    is_json = found->second;
    this->dumps.erase(found);
  }
  this->loop.Answer(answer.call, [this, report = answer.report, is_json] {
    StateReport all = report;
    const StateReport node = this->hooks.describe_node();
    all.insert(all.end(), node.begin(), node.end());
    return MakeReport(all, is_json);
  });
}

void Admin::OnDisconnect(CallId call) {
  const std::lock_guard lock(this->mutex);
  this->dumps.erase(call);
}

void Admin::OnRequest(CallId call, const PayloadPtr& request) {
  std::string page = request->target;
  const bool is_json = page.ends_with(kJsonSuffix);
  if (is_json) {
    page.resize(page.size() - kJsonSuffix.size());
  }
  if (page == "/dump") {
    {
      const std::lock_guard lock(this->mutex);
      this->dumps.emplace(call, is_json);
    }
    this->hooks.post(DumpRequested{call});
  } else if (page == "/metrics") {
    this->loop.Answer(call, [this, is_json] {
      return is_json ? MakeReport(this->hooks.describe_metrics(), true)
                     : MakePage(kOk, "text/plain; version=0.0.4",
                                this->hooks.expose_metrics());
    });
  } else {
    this->loop.Answer(call, [] {
      return MakePage(
          kNotFound, kPlainText,
          "The pages are /dump, /dump.json, /metrics and /metrics.json.\n");
    });
  }
}

}  // namespace basilspread::node
