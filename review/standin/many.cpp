// Machines are added to an installation of 100 until it has 150. Checks that,
// finish_s after the traffic, a submission that is asked for gets an answer.
#include "scene.hpp"

int main(int, char** argv) {
  constexpr std::size_t kBefore = 100;
  constexpr std::size_t kAdded = 50;
  constexpr std::int64_t kFinishMs = 14000;
  /// One call and the client's four retries, on its open channel.
  constexpr int kAttempts = 5;
  review::Scene scene(argv[1], argv[2]);
  scene.WriteTables(1);
  scene.AddMinions(6, [](const std::string&) { return 300; });
  scene.AddNodes(kBefore);
  if (!scene.AwaitReady(30000)) {
    return scene.Finish(review::kNotRun, "not run: the processes aren't ready");
  }
  scene.RunFor(2000);
  const std::string id = "5c0e7a21d94b36f8";
  if (!scene.Submit(0, id,
                    "{\"specification\":\"plan\",\"steps\":[{\"count\":2,"
                    "\"cpu\":500,\"memoryRequestMb\":256,\"estimatedMs\":900}]}")) {
    return scene.Finish(review::kNotRun, "not run: the submission wasn't accepted");
  }
  if (scene.trouble) {
    scene.Note("machines are added");
    scene.AddNodes(kAdded);
    if (!scene.AwaitReady(30000)) {
      return scene.Finish(review::kNotRun, "not run: not all are ready");
    }
  }
  scene.RunFor(kFinishMs);
  scene.Note("finish_s after the end of the traffic");
  std::set<std::size_t> waiting;
  std::map<std::size_t, int> last;
  for (std::size_t node = 0; node < scene.nodes.size(); ++node) {
    waiting.insert(node);
  }
  for (int attempt = 0; attempt < kAttempts && !waiting.empty(); ++attempt) {
    std::size_t open = 0;
    for (const std::size_t node : std::set<std::size_t>(waiting)) {
      ++open;
      scene.Call(node, "GET", id, "",
                 [&, node](int status, const std::string&) {
                   --open;
                   last[node] = status;
                   if (status == 200) {
                     waiting.erase(node);
                   }
                 });
      scene.RunFor(5);
    }
    scene.RunUntil([&open] { return open == 0; }, 4000);
    scene.RunFor(1000);
  }
  std::size_t ended = 0;
  for (auto& process : scene.processes) {
    ended += process->HasEnded() ? 1 : 0;
  }
  for (const std::size_t node : waiting) {
    scene.Note("LOST: " + scene.nodes[node].name + " is ready and gave " + id +
               " no answer in " + std::to_string(kAttempts) +
               " calls; the last ended with " + std::to_string(last[node]));
  }
  const std::string figures =
      std::to_string(waiting.size()) + " of " +
      std::to_string(scene.nodes.size()) + " processes give no answer, " +
      std::to_string(ended) + " processes have ended";
  if (ended > 0) {
    return scene.Finish(review::kNotRun, "not run: " + figures);
  }
  return scene.Finish(waiting.empty() ? review::kHeld : review::kBroken,
                      (waiting.empty() ? "held: " : "broken: ") + figures);
}
