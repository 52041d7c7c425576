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

/// What a run was made of, to see that it exercises anything.
struct RunSummary {
  std::uint64_t answered = 0;
  std::uint64_t answered_well = 0;
  std::uint64_t accepted_jobs = 0;
};

/// What the callers of a run ask for.
struct Load {
  bool requests = false;
  bool jobs = false;
};

/// Entry processes, callers, operators and the platform in one run.
class TestCluster {
 public:
  TestCluster(const Scenario& run_scenario, Load run_load);

  /// Runs the scenario and checks every promise; throws Violation.
  RunSummary Run();

 private:
  // test_cluster.cc: the parts, callers and operators.
  void AddProcesses();
  void AddHosts();
  void CallAgain();
  void Call(TestProcess& process);
  void SubmitAgain();
  void Submit(TestProcess& process);
  TestProcess* PickProcess();
  void PublishEdit(const std::string& author, Duration delay);

  // test_cluster_effects.cc: carries effects out.
  void Interpret(TestProcess& process, Effect effect);
  void SendToMinion(TestProcess& process,
                    const basilspread::SendToMinion& send);
  void ReachMinion(TestProcess& process, const basilspread::SendToMinion& send);
  void CallWorker(TestProcess& process, const basilspread::CallWorker& call);
  void ReachWorker(TestProcess& process, const basilspread::CallWorker& call);
  void ListHosts(TestProcess& process);
  void OnExit(TestProcess& process);

  // test_cluster_faults.cc: brings faults about and checks the end.
  void Begin(const Fault& fault);
  void BeginProcessFault(const Fault& fault);
  void BeginLogFault(const Fault& fault);
  void BeginPeerFault(const Fault& fault);
  void BeginMinionFault(const Fault& fault);
  void BeginWorkerFault(const Fault& fault);
  void Hold(int& counter, Duration lasts);
  void Kill(TestProcess& process);
  void StartAgain(TestProcess& process);
  void CheckTables(const TestProcess& process);
  void CheckSettled();
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
  /// Callers of each process that wait for an answer.
  std::map<NodeName, std::vector<CallId>> waiting;
  std::map<NodeName, TablesSeen> tables_seen;
  std::uint64_t next_call = 1;
  std::uint64_t next_edit = 1;
  int list_lag = 0;
  bool calling = true;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_TEST_CLUSTER_H_
