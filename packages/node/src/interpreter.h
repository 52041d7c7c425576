#ifndef BASILSPREAD_NODE_INTERPRETER_H_
#define BASILSPREAD_NODE_INTERPRETER_H_

#include <functional>
#include <string_view>

#include "admin.h"
#include "basilspread/clients/host_list_client.h"
#include "basilspread/clients/log_client.h"
#include "basilspread/clients/minion_client.h"
#include "basilspread/clients/worker_client.h"
#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "executor.h"
#include "front_end.h"
#include "metrics.h"
#include "peer_links.h"

namespace basilspread::node {

/// Components that the interpreter uses to execute effects.
struct Services {
  const clients::LogClient& log;
  clients::HostListClient& host_list;
  const clients::MinionClient& minions;
  const clients::WorkerClient& workers;
  FrontEnd& front_end;
  Admin& admin;
  PeerLinks& peers;
  Executor& platform_calls;
  Executor& minion_calls;
  Executor& worker_calls;
  Metrics& metrics;
};

/// Executes effects. Runs on the control thread and never blocks: blocking
/// calls run on traffic threads, which post their results as events.
class Interpreter {
 public:
  using Post = std::function<void(EventBody)>;

  Interpreter(const Services& node_services, Post event_hook);

  void Execute(const Effect& effect);

  void operator()(const AnswerCaller& effect);
  void operator()(const AnswerDump& effect);
  void operator()(const SendToPeer& effect);
  void operator()(const ConnectPeer& effect);
  void operator()(const ReopenLink& effect);
  void operator()(const DisconnectPeer& effect);
  void operator()(const SendToMinion& effect);
  void operator()(const AppendLog& effect);
  void operator()(const ReadLog& effect);
  void operator()(const ReadHosts& effect);
  void operator()(const WriteLogLine& effect);
  void operator()(const RefuseCallers& effect);
  void operator()(const AnswerJobCaller& effect);
  void operator()(const CallWorker& effect);
  /// Ignores the effects that only StoreNode executes.
  template <typename Other>
  void operator()(const Other& /*effect*/) {}
  /// The control loop handles these two itself.
  void operator()(const SetTimer& /*effect*/) {}
  void operator()(const ExitProcess& /*effect*/) {}

 private:
  /// Runs `call` on a thread of `executor` and posts the event that it returns.
  /// Posts `refused` if no thread is free.
  template <typename Call>
  void RunCall(Executor& executor, std::string_view service, Call call,
               EventBody refused);

  Services services;
  Post post;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_INTERPRETER_H_
