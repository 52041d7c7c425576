#ifndef BASILSPREAD_NODE_FRONT_END_H_
#define BASILSPREAD_NODE_FRONT_END_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "http_loop.h"
#include "metrics.h"

namespace basilspread::node {

/// HTTP front end for callers: converts requests to events and answers to
/// responses, see docs/API.md.
class FrontEnd {
 public:
  using Post = std::function<void(EventBody)>;

  FrontEnd(const config::NodeSettings& node_settings, Post event_hook,
           Metrics& answer_metrics, ConnectionBudgetPtr budget);

  /// Binds the address and starts serving. Throws Poco::Exception if the port
  /// is in use.
  void Start() { this->loop.Start(); }
  /// Stops accepting connections and closes each open one after its answer.
  void Drain() { this->loop.Drain(); }
  /// Sends the pending answers for at most `bound`, then ends the thread.
  void Stop(Duration bound) { this->loop.Stop(bound); }
  void Answer(const AnswerCaller& answer);
  void Answer(const AnswerJobCaller& effect);

  std::size_t ConnectionCount() const { return this->loop.ConnectionCount(); }

 private:
  /// A request that has not been answered yet.
  struct OpenRequest {
    RouteName route;
    TimePoint arrived;
  };

  void OnRequest(CallId call, const PayloadPtr& request);
  void OnJobRequest(CallId call, const Payload& request);
  void OnDisconnect(CallId call);
  std::optional<OpenRequest> TakeOpen(CallId call);

  Post post;
  Metrics& metrics;
  std::mutex mutex;
  std::map<CallId, OpenRequest> open;
  HttpLoop loop;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_FRONT_END_H_
