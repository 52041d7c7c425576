#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "internal/context.h"
#include "internal/ownership.h"
#include "random/test_cluster.h"
#include "random/test_tables.h"

namespace random_test {
namespace {

using basilspread::Host;
using basilspread::HostsListed;
using basilspread::MinionAnswered;
using basilspread::MinionResult;
using basilspread::SendToPeer;
using basilspread::WorkerResult;

constexpr Duration kLatency = std::chrono::milliseconds(1);
/// Time from a graceful exit to the start of the next incarnation.
constexpr Duration kRestartDelay = std::chrono::seconds(2);
constexpr Duration kListLatency = std::chrono::milliseconds(20);
/// Maximum delivery time of a call to a slow worker. It is less than the
/// setting `lapse_margin`, which is the delay that is assumed of the network.
constexpr Duration kMaxDeliveryDelay = std::chrono::seconds(4);

MinionAnswered AnswerOf(const basilspread::SendToMinion& send,
                        MinionResult result, PayloadPtr payload) {
  MinionAnswered answered;
  answered.request = send.request;
  answered.attempt = send.attempt;
  answered.host = send.host;
  answered.result = result;
  answered.payload = std::move(payload);
  return answered;
}

/// The host's shard and its epoch as the process knows it.
std::pair<ShardId, Epoch> ShardAndEpochFor(const TestProcess& process,
                                           const Host& host) {
  const basilspread::State& state = process.GetState();
  for (const auto& [name, pool] : state.configuration.tables.pools) {
    if (pool.group != host.group) {
      continue;
    }
    const ShardId shard = basilspread::internal::ownership::ShardOf(pool, host);
    const auto found = state.ownership.shards.find(shard);
    if (found != state.ownership.shards.end()) {
      return {shard, found->second.epoch};
    }
  }
  return {};
}

Duration WorkOf(const PayloadPtr& payload) {
  const auto* use = std::find_if(std::begin(kRouteLoads), std::end(kRouteLoads),
                                 [&payload](const RouteLoad& row) {
                                   return payload->target == row.route;
                                 });
  return use == std::end(kRouteLoads) ? Duration{} : use->work;
}

}  // namespace

void TestCluster::Interpret(TestProcess& process, Effect effect) {
  if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
    this->ledger.OnAnswered(*answer);
    std::erase(this->waiting[process.Node()], answer->call);
  } else if (const auto* answer_job = std::get_if<AnswerJobCaller>(&effect)) {
    this->ledger.OnJobAnswered(*answer_job);
    std::erase(this->waiting[process.Node()], answer_job->answer.call);
  } else if (const auto* minion =
                 std::get_if<basilspread::SendToMinion>(&effect)) {
    this->SendToMinion(process, *minion);
  } else if (const auto* worker =
                 std::get_if<basilspread::CallWorker>(&effect)) {
    this->CallWorker(process, *worker);
  } else if (const auto* peer = std::get_if<SendToPeer>(&effect)) {
    process.AfterWhenRunning(Duration{},
                             [this, from = process.Self(), send = *peer] {
                               this->network.Send(from, send);
                             });
  } else if (const auto* reopen =
                 std::get_if<basilspread::ReopenLink>(&effect)) {
    this->network.Reopen(process.Node(), reopen->peer);
  } else if (const auto* append = std::get_if<AppendLog>(&effect)) {
    process.AfterWhenRunning(kLatency, [this, &process, append = *append] {
      this->log.Append(process.Node(), append, process.Poster());
    });
  } else if (const auto* read = std::get_if<ReadLog>(&effect)) {
    process.AfterWhenRunning(kLatency, [this, &process, read = *read] {
      this->log.Read(process.Node(), read, process.Poster());
    });
  } else if (std::holds_alternative<basilspread::ReadHosts>(effect)) {
    this->ListHosts(process);
  } else if (std::holds_alternative<basilspread::ExitProcess>(effect)) {
    this->OnExit(process);
  }
  if (process.IsAlive()) {
    this->CheckTables(process);
  }
}

void TestCluster::SendToMinion(TestProcess& process,
                               const basilspread::SendToMinion& send) {
  const auto host = std::find_if(
      this->hosts.begin(), this->hosts.end(),
      [&send](const Host& other) { return other.name == send.host; });
  const auto shard_and_epoch = ShardAndEpochFor(process, *host);
  process.AfterWhenRunning(kLatency, [this, &process, send, shard_and_epoch] {
    if (process.Clock() >= send.not_after) {
      process.Post(AnswerOf(send, MinionResult::kNotSent, nullptr));
      return;
    }
    this->ledger.OnOwnerActed(shard_and_epoch.first, shard_and_epoch.second);
    this->DeliverToMinion(process, send);
  });
}

void TestCluster::DeliverToMinion(TestProcess& process,
                                  const basilspread::SendToMinion& send) {
  FakeMinion& minion = *this->minions.at(send.host);
  if (minion.refusing > 0) {
    process.Post(AnswerOf(send, MinionResult::kRefused, nullptr));
    return;
  }
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, send, post = process.Poster()](
                          MinionResult result, const PayloadPtr& payload) {
    if (!std::exchange(*settled, true)) {
      post(AnswerOf(send, result, payload));
    }
  };
  const Duration time_left =
      std::max(Duration{}, Duration{send.deadline - process.Clock()});
  this->schedule.After(time_left,
                       [settle] { settle(MinionResult::kLost, nullptr); });
  this->schedule.After(kLatency, [&minion, send, settle] {
    minion.Run(WorkOf(send.payload), send.payload,
               [settle](const PayloadPtr& payload) {
                 settle(MinionResult::kAnswered, payload);
               });
  });
}

void TestCluster::CallWorker(TestProcess& process,
                             const basilspread::CallWorker& call) {
  process.AfterWhenRunning(kLatency, [this, &process, call] {
    const auto worker = this->workers.find(call.worker);
    const bool is_cut = worker == this->workers.end() ||
                        worker->second->unreachable > 0 ||
                        worker->second->cut.contains(process.Node());
    if (process.Clock() >= call.not_after || is_cut) {
      WorkerAnswered answer;
      answer.worker = call.worker;
      answer.shard = call.shard;
      answer.epoch = call.epoch;
      answer.result = WorkerResult::kNotSent;
      process.Post(answer);
      return;
    }
    this->DeliverToWorker(process, call);
  });
}

void TestCluster::DeliverToWorker(TestProcess& process,
                                  const basilspread::CallWorker& call) {
  FakeWorker& worker = *this->workers.at(call.worker);
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [settled,
                       post = process.Poster()](const WorkerAnswered& answer) {
    if (!std::exchange(*settled, true)) {
      post(answer);
    }
  };
  WorkerAnswered lost;
  lost.worker = call.worker;
  lost.shard = call.shard;
  lost.epoch = call.epoch;
  const Duration time_left =
      std::max(Duration{}, Duration{call.deadline - process.Clock()});
  this->schedule.After(time_left, [settle, lost] { settle(lost); });
  const auto slowest = static_cast<std::uint64_t>(kMaxDeliveryDelay.count());
  const Duration delay =
      worker.slow > 0
          ? Duration(static_cast<std::int64_t>(this->random.NextBelow(slowest)))
          : kLatency;
  this->schedule.After(delay, [this, &worker, call, settle] {
    const WorkerAnswered answer = worker.Handle(call);
    if (worker.dropping_answers == 0) {
      this->schedule.After(kLatency, [settle, answer] { settle(answer); });
    }
  });
}

void TestCluster::ListHosts(TestProcess& process) {
  // A lagging list is the present list, delivered late.
  HostsListed listed;
  listed.ok = true;
  listed.hosts = this->hosts;
  const Duration lag =
      this->list_lag > 0 ? std::chrono::seconds(2) : kListLatency;
  process.AfterWhenRunning(lag, [&process, listed] { process.Post(listed); });
}

void TestCluster::OnExit(TestProcess& process) {
  if (!this->waiting[process.Node()].empty()) {
    throw Violation(fmt::format(
        "A graceful stop leaves a request unanswered. node={} call={}",
        process.Node().value, this->waiting[process.Node()].front().value));
  }
  process.Kill();
  this->network.OnNodeChanged(process.Node());
  this->schedule.After(kRestartDelay, [this, &process] {
    if (!process.IsAlive()) {
      this->StartProcess(process);
    }
  });
}

}  // namespace random_test
