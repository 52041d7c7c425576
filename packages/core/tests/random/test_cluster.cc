#include "random/test_cluster.h"

#include <fmt/format.h>

#include <iterator>

#include "basilspread/core/state.h"
#include "random/test_tables.h"

namespace random_test {
namespace {

using basilspread::JobArrived;
using basilspread::JobOperation;
using basilspread::JobSpec;
using basilspread::LogBatch;
using basilspread::Payload;
using basilspread::PayloadPtr;
using basilspread::RequestArrived;
using basilspread::RouteName;
using basilspread::Settings;
using basilspread::TaskGroup;
using basilspread::TeamName;

constexpr int kProcesses = 4;
/// Short, so that leases lapse during faults.
constexpr Duration kTaskLease = std::chrono::seconds(5);
constexpr Duration kCallInterval = std::chrono::milliseconds(60);
constexpr Duration kSubmitInterval = std::chrono::milliseconds(1500);
/// Time after the last fault within which the cluster must have recovered.
constexpr Duration kRecoveryTime = std::chrono::seconds(60);
constexpr Duration kAnswerTimeout = std::chrono::seconds(10);
/// Offset between the clocks of two processes, so that a comparison of time
/// points of different processes shows as an error.
constexpr Duration kClockSpread = std::chrono::hours(7);

NodeName NodeAt(int index) { return NodeName{fmt::format("entry-{}", index)}; }

}  // namespace

TestCluster::TestCluster(const Scenario& run_scenario, Load run_load)
    : scenario(run_scenario),
      load(run_load),
      random(run_scenario.seed),
      ledger(this->schedule),
      log(this->schedule, run_scenario.seed + 1),
      network(
          this->schedule, run_scenario.seed + 2,
          [this](const NodeName& to, EventBody body) {
            if (TestProcess* process = this->ProcessNamed(to)) {
              process->Post(std::move(body));
            }
          },
          [this](const NodeName& node) {
            const TestProcess* process = this->ProcessNamed(node);
            return process != nullptr && process->IsAlive();
          }) {
  this->AddHosts();
  this->AddProcesses();
}

TestProcess* TestCluster::ProcessNamed(const NodeName& node) {
  for (const auto& process : this->processes) {
    if (process->Node() == node) {
      return process.get();
    }
  }
  return nullptr;
}

void TestCluster::AddHosts() {
  this->hosts = MakeHosts();
  for (const basilspread::Host& host : this->hosts) {
    if (host.group == "minions") {
      this->minions[host.name] = std::make_unique<FakeMinion>(
          this->schedule, this->ledger, host.name, host.slots);
    } else {
      this->workers[host.name] = std::make_unique<FakeWorker>(
          this->schedule, this->ledger, host.name, host.capacity);
    }
  }
}

void TestCluster::AddProcesses() {
  for (int i = 0; i < kProcesses; ++i) {
    Settings settings;
    settings.self.node = NodeAt(i);
    settings.seed = this->random.Next();
    settings.task_lease = kTaskLease;
    for (int other = 0; other < kProcesses; ++other) {
      if (other != i) {
        settings.peers.push_back(NodeAt(other));
        this->network.AddLink(NodeAt(i), NodeAt(other));
      }
    }
    this->processes.push_back(std::make_unique<TestProcess>(
        this->schedule, settings, MakeHooks(),
        TimePoint(kClockSpread * (i + 1)),
        [this](TestProcess& process, Effect effect) {
          this->Interpret(process, std::move(effect));
        }));
  }
}

RunSummary TestCluster::Run() {
  this->PublishEdit("first", Duration{});
  for (const auto& process : this->processes) {
    this->StartProcess(*process);
  }
  for (const Fault& fault : this->scenario.faults) {
    this->schedule.After(fault.at, [this, fault] { this->ApplyFault(fault); });
  }
  if (this->load.requests) {
    this->RunCallLoop();
  }
  if (this->load.jobs) {
    this->RunSubmitLoop();
  }
  this->schedule.RunUntil(kFaultsEnd + kRecoveryTime / 2);
  this->load_active = false;
  this->schedule.RunUntil(kFaultsEnd + kRecoveryTime);
  this->CheckFinalState();
  return RunSummary{this->ledger.Answered(), this->ledger.Succeeded(),
                    this->ledger.AcceptedJobs()};
}

TestProcess* TestCluster::PickProcess() {
  TestProcess& process = this->ProcessAt(static_cast<std::uint32_t>(
      this->random.NextBelow(this->processes.size())));
  return process.IsAlive() && !process.stopping ? &process : nullptr;
}

void TestCluster::RunCallLoop() {
  if (!this->load_active) {
    return;
  }
  if (TestProcess* process = this->PickProcess()) {
    this->Call(*process);
  }
  this->schedule.After(kCallInterval, [this] { this->RunCallLoop(); });
}

void TestCluster::Call(TestProcess& process) {
  const RouteLoad& use =
      kRouteLoads[this->random.NextBelow(std::size(kRouteLoads))];
  RequestArrived request;
  request.call = CallId{this->next_call++};
  request.route = RouteName{use.route};
  request.team = TeamName{"team"};
  // Some callers reuse an idempotency key, often through another process.
  if (!use.idempotent && this->random.NextBelow(2) == 0) {
    request.idempotency_key =
        fmt::format("{}{}", kKeyPrefix, request.call.value / 16);
  }
  auto* payload = new Payload;
  payload->target = use.route;
  payload->body = request.idempotency_key.empty()
                      ? std::to_string(request.call.value)
                      : request.idempotency_key;
  request.payload = PayloadPtr(payload);
  this->ledger.OnCallSent(request.call, request.idempotency_key, use.idempotent,
                          this->schedule.Now() + kAnswerTimeout);
  this->waiting[process.Node()].push_back(request.call);
  process.Post(request);
}

void TestCluster::RunSubmitLoop() {
  if (this->schedule.Now() >= kFaultsEnd) {
    return;
  }
  if (TestProcess* process = this->PickProcess()) {
    this->Submit(*process);
  }
  this->schedule.After(kSubmitInterval, [this] { this->RunSubmitLoop(); });
}

void TestCluster::Submit(TestProcess& process) {
  JobArrived submit;
  submit.call = CallId{this->next_call++};
  submit.operation = JobOperation::kSubmit;
  submit.timeout = std::chrono::seconds(5);
  JobSpec& spec = submit.spec;
  spec.id = basilspread::JobId{fmt::format("job-{}", submit.call.value)};
  spec.route = RouteName{kJobRoute};
  spec.team = TeamName{"team"};
  spec.run = std::to_string(200 + this->random.NextBelow(9000));
  spec.gang = this->random.NextBelow(4) == 0;
  // Enough that a worker which fails its starts never ends a job for good.
  spec.max_attempts = 1000;
  TaskGroup group;
  group.count = static_cast<std::uint32_t>(1 + this->random.NextBelow(3));
  group.demand.cpu_millicores =
      static_cast<std::int64_t>(500 + this->random.NextBelow(2000));
  group.demand.memory_mebibytes =
      static_cast<std::int64_t>(256 + this->random.NextBelow(1500));
  spec.tasks.push_back(group);
  this->ledger.OnSubmitted(submit.call, spec.id, group.count,
                           this->schedule.Now() + kAnswerTimeout);
  this->waiting[process.Node()].push_back(submit.call);
  process.Post(submit);
}

void TestCluster::PublishEdit(const std::string& author, Duration delay) {
  // The edit is based on the version in force now, but may be stored later.
  basilspread::TablesVersion base;
  for (const StoredBatch& stored : this->log.History(StreamName{"tables"})) {
    for (const auto& record : stored.batch.records) {
      const auto* edit = std::get_if<basilspread::TablesRecord>(&record);
      if (edit != nullptr && edit->base == base) {
        ++base.value;
      }
    }
  }
  LogBatch batch;
  batch.writer.node = NodeName{author};
  batch.writer.incarnation = this->next_edit++;
  batch.id.value = 1;
  batch.records.emplace_back(MakeEdit(base, author));
  this->schedule.After(
      delay, [this, batch] { this->log.Store(StreamName{"tables"}, batch); });
}

}  // namespace random_test
