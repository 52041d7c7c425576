#ifndef BASILSPREAD_NODE_ADMIN_H_
#define BASILSPREAD_NODE_ADMIN_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>
#include <string>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "call_table.h"

namespace basilspread::node {

/// The operators' HTTP address, apart from callers' traffic: the state dump
/// and the metrics.
class Admin {
 public:
  struct Hooks {
    /// Hands an event to the control thread.
    std::function<void(EventBody)> post;
    /// What the traffic threads add to the state dump.
    std::function<StateReport()> describe_node;
    std::function<StateReport()> describe_metrics;
    /// The metrics as text in the Prometheus format.
    std::function<std::string()> expose_metrics;
  };

  Admin(config::Endpoint admin_endpoint, Hooks report_hooks);

  /// Binds and serves. Throws Poco::Exception when the port is taken.
  void Start();
  void Stop();
  void Answer(const AnswerDump& answer);

 private:
  /// Unset when the control thread gives no answer in time.
  std::optional<StateReport> Dump();
  std::optional<StateReport> ReportFor(const std::string& page);
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

  const config::Endpoint endpoint;
  const Hooks hooks;
  CallTable<StateReport> calls;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_ADMIN_H_
