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

/// HTTP server for operators, with an address of its own: state dump and
/// metrics.
class Admin {
 public:
  struct Hooks {
    /// Posts an event to the control thread.
    std::function<void(EventBody)> post;
    /// Sections of the state dump about the process and its thread pools.
    std::function<StateReport()> describe_node;
    std::function<StateReport()> describe_metrics;
    /// The metrics in the Prometheus text format.
    std::function<std::string()> expose_metrics;
  };

  Admin(config::Endpoint admin_endpoint, Hooks report_hooks);

  /// Binds the address and starts serving. Throws Poco::Exception if the port
  /// is in use.
  void Start();
  void Stop();
  void Answer(const AnswerDump& answer);

 private:
  /// Unset if the control thread does not answer in time.
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
