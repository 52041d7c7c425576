#ifndef BASILSPREAD_NODE_FRONT_END_H_
#define BASILSPREAD_NODE_FRONT_END_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "call_table.h"

namespace basilspread::node {

/// The callers' HTTP address: turns requests into events and answers into
/// responses, see docs/API.md.
class FrontEnd {
 public:
  using Post = std::function<void(EventBody)>;

  FrontEnd(const config::NodeSettings& node_settings, Post event_hook);

  /// Binds and serves. Throws Poco::Exception when the port is taken.
  void Start();
  /// Takes no new connections.
  void Stop();
  void Answer(const AnswerCaller& answer);

 private:
  const config::NodeSettings& settings;
  Post post;
  CallTable<AnswerCaller> calls;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_FRONT_END_H_
