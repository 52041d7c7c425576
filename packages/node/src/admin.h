#ifndef BASILSPREAD_NODE_ADMIN_H_
#define BASILSPREAD_NODE_ADMIN_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <functional>
#include <memory>

#include "basilspread/config/node_settings.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "call_table.h"

namespace basilspread::node {

/// The operators' HTTP address: the state dump, apart from callers' traffic.
class Admin {
 public:
  using Post = std::function<void(EventBody)>;

  Admin(const config::NodeSettings& node_settings, Post event_hook);

  /// Binds and serves. Throws Poco::Exception when the port is taken.
  void Start();
  void Stop();
  void Answer(const AnswerDump& answer);

 private:
  const config::NodeSettings& settings;
  Post post;
  CallTable<StateReport> calls;
  Poco::ThreadPool pool;
  std::unique_ptr<Poco::Net::HTTPServer> server;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_ADMIN_H_
