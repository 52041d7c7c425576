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

/// The callers' HTTP address: turns requests into events and answers into
/// responses, see docs/API.md.
class FrontEnd {
 public:
  using Post = std::function<void(EventBody)>;

  FrontEnd(const config::NodeSettings& node_settings, Post event_hook,
           Metrics& answer_metrics);

  /// Binds and serves. Throws Poco::Exception when the port is taken.
  void Start() { this->loop.Start(); }
  /// Refuses new connections; every answer ends its connection.
  void Drain() { this->loop.Drain(); }
  /// Gives the answers that are due, for at most `bound`, and ends.
  void Stop(Duration bound) { this->loop.Stop(bound); }
  void Answer(const AnswerCaller& answer);
  void Answer(const AnswerJobCaller& effect);

  std::size_t ConnectionCount() const { return this->loop.ConnectionCount(); }

 private:
  /// A request that waits for its answer.
  struct OpenRequest {
    RouteName route;
    TimePoint arrived;
  };

  void OnRequest(CallId call, const PayloadPtr& request);
  void OnJobRequest(CallId call, const Payload& request);
  void OnGone(CallId call);
  std::optional<OpenRequest> TakeOpen(CallId call);

  Post post;
  Metrics& metrics;
  std::mutex mutex;
  std::map<CallId, OpenRequest> open;
  HttpLoop loop;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_FRONT_END_H_
