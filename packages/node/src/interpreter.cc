#include "interpreter.h"

#include <utility>
#include <variant>

#include "line_log.h"

namespace basilspread::node {
namespace {

bool IsOk(const MinionAnswered& event) {
  return event.result == MinionResult::kAnswered;
}

bool IsOk(const LogAppended& event) {
  return event.result == AppendResult::kStored;
}

bool IsOk(const WorkerAnswered& event) {
  return event.result == WorkerResult::kAnswered;
}

bool IsOk(const LogRead& event) { return event.ok; }

bool IsOk(const HostsListed& event) { return event.ok; }

}  // namespace

Interpreter::Interpreter(const Services& node_services, Post event_hook)
    : services(node_services), post(std::move(event_hook)) {}

void Interpreter::Execute(const Effect& effect) { std::visit(*this, effect); }

template <typename Call>
void Interpreter::RunCall(Executor& executor, std::string_view service,
                          Call call, EventBody refused) {
  const bool is_started = executor.Run([this, service, call = std::move(call)] {
    const TimePoint start = std::chrono::steady_clock::now();
    auto event = call();
    this->services.metrics.AddExchange(
        service, IsOk(event), std::chrono::steady_clock::now() - start);
    this->post(std::move(event));
  });
  if (!is_started) {
    this->post(std::move(refused));
  }
}

void Interpreter::operator()(const AnswerCaller& effect) {
  this->services.front_end.Answer(effect);
}

void Interpreter::operator()(const AnswerDump& effect) {
  this->services.admin.Answer(effect);
}

void Interpreter::operator()(const SendToPeer& effect) {
  this->services.peers.Send(effect);
}

void Interpreter::operator()(const ConnectPeer& effect) {
  this->services.peers.Connect(effect);
}

void Interpreter::operator()(const ReopenLink& effect) {
  this->services.peers.Reopen(effect);
}

void Interpreter::operator()(const DisconnectPeer& effect) {
  this->services.peers.Disconnect(effect);
}

void Interpreter::operator()(const SendToMinion& effect) {
  MinionAnswered refused;
  refused.request = effect.request;
  refused.attempt = effect.attempt;
  refused.host = effect.host;
  refused.result = MinionResult::kNotSent;
  this->RunCall(
      this->services.minion_calls, "minion",
      [this, effect] { return this->services.minions.Send(effect); },
      std::move(refused));
}

void Interpreter::operator()(const AnswerJobCaller& effect) {
  this->services.front_end.Answer(effect);
}

void Interpreter::operator()(const CallWorker& effect) {
  WorkerAnswered refused;
  refused.worker = effect.worker;
  refused.shard = effect.shard;
  refused.epoch = effect.epoch;
  refused.result = WorkerResult::kNotSent;
  this->RunCall(
      this->services.worker_calls, "worker",
      [this, effect] { return this->services.workers.Call(effect); },
      std::move(refused));
}

void Interpreter::operator()(const AppendLog& effect) {
  this->RunCall(
      this->services.platform_calls, "log append",
      [this, effect] {
        return this->services.log.Append(effect.stream, effect.batch);
      },
      LogAppended{effect.stream, effect.batch.id, AppendResult::kRefused});
}

void Interpreter::operator()(const ReadLog& effect) {
  LogRead refused;
  refused.stream = effect.stream;
  refused.from = effect.from;
  this->RunCall(
      this->services.platform_calls, "log read",
      [this, effect] {
        return this->services.log.Read(effect.stream, effect.from);
      },
      std::move(refused));
}

void Interpreter::operator()(const ReadHosts& /*effect*/) {
  this->RunCall(
      this->services.platform_calls, "host list",
      [this] { return this->services.host_list.List(); }, HostsListed{});
}

void Interpreter::operator()(const WriteLogLine& effect) { Log(effect.line); }

void Interpreter::operator()(const RefuseCallers& /*effect*/) {
  this->services.front_end.Drain();
}

}  // namespace basilspread::node
