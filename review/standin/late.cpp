// An entry process is frozen as a client hands a submission in. The client
// leaves and cancels through another process, which acknowledges the cancel.
// Checks that nothing of the submission is started later than cancel_ms after.
#include "scene.hpp"

int main(int, char** argv) {
  constexpr std::int64_t kFreezeMs = 3500;
  constexpr std::int64_t kCancelMs = 3000;
  review::Scene scene(argv[1], argv[2]);
  const std::string id = "5c0e7a21d94b36f8";
  std::int64_t acked = 0;
  int late = 0;
  const auto started = scene.watch.started;
  scene.watch.started = [&](const std::string& minion, std::uint64_t born,
                            const std::string& task, int run,
                            const std::vector<std::string>& labels) {
    started(minion, born, task, run, labels);
    if (acked > 0 && review::NowMs() > acked + kCancelMs) {
      ++late;
      scene.Note("UNASKED: " + task + " was started " +
                 std::to_string(review::NowMs() - acked) +
                 " ms after the cancel was acknowledged");
    }
  };
  scene.WriteTables(1);
  scene.AddMinions(4, [](const std::string&) { return 3000; });
  scene.AddNodes(3);
  if (!scene.AwaitReady()) {
    return scene.Finish(review::kNotRun, "not run: the processes aren't ready");
  }
  scene.RunFor(1500);
  const int leader = scene.Leader();
  if (leader < 0) {
    return scene.Finish(review::kNotRun, "not run: no leader");
  }
  const std::size_t first = static_cast<std::size_t>(leader + 1) % 3;
  const std::size_t second = static_cast<std::size_t>(leader + 2) % 3;
  const std::string body =
      "{\"specification\":\"plan\",\"steps\":["
      "{\"count\":4,\"cpu\":2000,\"memoryRequestMb\":1024,\"estimatedMs\":3000},"
      "{\"count\":4,\"cpu\":2000,\"memoryRequestMb\":1024,\"estimatedMs\":3000,"
      "\"after\":[0]}]}";
  if (scene.trouble) {
    scene.Note("freeze of " + scene.nodes[first].name);
    scene.processes[first]->Signal(SIGSTOP);
    scene.loop.In(kFreezeMs, [&] {
      scene.Note("thaw of " + scene.nodes[first].name);
      scene.processes[first]->Signal(SIGCONT);
    });
  }
  // The client leaves after half a second.
  scene.Call(first, "POST", id, body, [](int, const std::string&) {}, 500);
  scene.RunFor(600);
  int status = 0;
  for (int attempt = 0; attempt < 4; ++attempt) {
    status = scene.CallAndWait(second, "DELETE", id, "");
    if (status == 410 || (status >= 200 && status < 300)) {
      break;
    }
    scene.RunFor(200);
  }
  if (status != 410 && (status < 200 || status >= 300)) {
    return scene.Finish(review::kNotRun, "not run: the cancel was not answered");
  }
  acked = review::NowMs();
  scene.Note("the cancel is acknowledged with " + std::to_string(status));
  scene.RunFor(12000);
  std::string state;
  scene.CallAndWait(second, "GET", id, "", &state);
  const std::string figures =
      std::to_string(late) +
      " tasks started later than cancel_ms after the cancel's ack, state " +
      state;
  return scene.Finish(late > 0 ? review::kBroken : review::kHeld,
                      (late > 0 ? "broken: " : "held: ") + figures);
}
