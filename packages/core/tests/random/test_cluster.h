#ifndef BASILSPREAD_CORE_TESTS_RANDOM_TEST_CLUSTER_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_TEST_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilspread/core/host.h"
#include "basilspread/core/random.h"
#include "random/fake_log.h"
#include "random/fake_minion.h"
#include "random/fake_network.h"
#include "random/fake_worker.h"
#include "random/ledger.h"
#include "random/scenario.h"
#include "random/schedule.h"
#include "random/test_process.h"

namespace random_test {

/// Counts of a run, to check that it exercises the system.
struct RunSummary {
  std::uint64_t answered = 0;
  std::uint64_t succeeded_calls = 0;
  std::uint64_t accepted_jobs = 0;
};

/// Which kinds of calls the callers of a run send.
struct Load {
  bool requests = false;
  bool jobs = false;
};

/// Simulation of entry processes, callers, operators and the platform in
/// virtual time.
class TestCluster {
 public:
  TestCluster(const Scenario& run_scenario, Load run_load);

  /// Runs the scenario; throws Violation when a guarantee is broken.
  RunSummary Run();

 private:
  // test_cluster.cc: setup, callers and operators.
  void AddProcesses();
  void AddHosts();
  void RunCallLoop();
  void Call(TestProcess& process);
  void RunSubmitLoop();
  void Submit(TestProcess& process);
  TestProcess* PickProcess();
  void PublishEdit(const std::string& author, Duration delay);

  // test_cluster_effects.cc: execution of effects.
  void Interpret(TestProcess& process, Effect effect);
  void SendToMinion(TestProcess& process,
                    const basilspread::SendToMinion& send);
  void DeliverToMinion(TestProcess& process,
                       const basilspread::SendToMinion& send);
  void CallWorker(TestProcess& process, const basilspread::CallWorker& call);
  void DeliverToWorker(TestProcess& process,
                       const basilspread::CallWorker& call);
  void ListHosts(TestProcess& process);
  void OnExit(TestProcess& process);

  // test_cluster_faults.cc: faults and checks.
  void ApplyFault(const Fault& fault);
  void ApplyProcessFault(const Fault& fault);
  void ApplyLogFault(const Fault& fault);
  void ApplyPeerFault(const Fault& fault);
  void ApplyMinionFault(const Fault& fault);
  void ApplyWorkerFault(const Fault& fault);
  void ActivateFor(int& counter, Duration duration);
  void Kill(TestProcess& process);
  void StartProcess(TestProcess& process);
  void CheckTables(const TestProcess& process);
  void CheckFinalState();
  void CheckOwners();

  TestProcess& ProcessAt(std::uint32_t index);
  TestProcess* ProcessNamed(const NodeName& node);
  FakeMinion& MinionAt(std::uint32_t index);
  FakeWorker& WorkerAt(std::uint32_t index);

  struct TablesSeen {
    std::uint64_t incarnation = 0;
    basilspread::TablesVersion version;
  };

  const Scenario scenario;
  const Load load;
  basilspread::Random random;
  Schedule schedule;
  Ledger ledger;
  FakeLog log;
  FakeNetwork network;
  std::vector<std::unique_ptr<TestProcess>> processes;
  std::map<HostName, std::unique_ptr<FakeMinion>> minions;
  std::map<HostName, std::unique_ptr<FakeWorker>> workers;
  std::vector<basilspread::Host> hosts;
  /// Unanswered calls of each process.
  std::map<NodeName, std::vector<CallId>> waiting;
  std::map<NodeName, TablesSeen> tables_seen;
  std::uint64_t next_call = 1;
  std::uint64_t next_edit = 1;
  int list_lag = 0;
  bool load_active = true;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_TEST_CLUSTER_H_
