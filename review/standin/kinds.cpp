// Minions crash and start again under the id that they had, as another kind,
// while the store is down. Checks that no task is started on a minion without its label.
#include "scene.hpp"

int main(int, char** argv) {
  constexpr std::size_t kMinions = 48;
  /// share 0.14 of the minions at once, as the site file has it.
  constexpr std::size_t kAtOnce = 6;
  constexpr std::int64_t kOutageMs = 4500;
  constexpr std::int64_t kCrashMs = 2500;
  review::Scene scene(argv[1], argv[2]);
  // The label that each submission needs.
  std::map<std::string, std::string> needed;
  int wrong = 0;
  int starts = 0;
  const auto started = scene.watch.started;
  scene.watch.started = [&](const std::string& minion, std::uint64_t born,
                            const std::string& task, int run,
                            const std::vector<std::string>& labels) {
    started(minion, born, task, run, labels);
    ++starts;
    const std::string& label = needed[task.substr(0, 16)];
    if (std::find(labels.begin(), labels.end(), label) == labels.end()) {
      ++wrong;
      scene.Note("ROUTE: " + task + " needs " + label + " and was started on " +
                 minion + " of kind " + labels.front() + ", life " +
                 std::to_string(born));
    }
  };
  bool is_away = false;
  scene.store.mode = [&is_away](std::size_t, const std::string&,
                                const review::Request&) {
    return is_away ? review::StoreMode::kSilent : review::StoreMode::kServe;
  };
  scene.WriteTables(1);
  scene.AddMinions(kMinions, [](const std::string&) { return 1500; });
  for (auto& minion : scene.minions) {
    minion->store_away = [&is_away] { return is_away; };
  }
  scene.AddNodes(3);
  if (!scene.AwaitReady()) {
    return scene.Finish(review::kNotRun, "not run: the processes aren't ready");
  }
  scene.RunFor(1500);
  int number = 0;
  int accepted = 0;
  const auto hand_in = [&] {
    char id[17];
    snprintf(id, sizeof(id), "5c0e7a21d94b%04x", ++number);
    const std::string label = number % 2 == 0 ? "a" : "b";
    needed[id] = label;
    scene.Call(static_cast<std::size_t>(number) % 3, "POST", id,
               "{\"specification\":\"plan\",\"steps\":[{\"count\":24,\"cpu\":16000,"
               "\"memoryRequestMb\":256,\"estimatedMs\":900,\"requirements\":\"" +
                   label + "\"}]}",
               [&accepted](int status, const std::string&) {
                 accepted += status == 200 ? 1 : 0;
               });
  };
  for (int i = 0; i < 70; ++i) {
    hand_in();
    scene.RunFor(20);
  }
  scene.RunFor(300);
  if (scene.trouble) {
    scene.Note("the store is down");
    is_away = true;
    scene.loop.In(1000, [&] {
      for (std::size_t i = 0; i < kAtOnce; ++i) {
        scene.Note("crash of " + scene.minions[i]->id + " of kind " +
                   scene.minions[i]->kind);
        scene.minions[i]->Crash();
      }
    });
    scene.loop.In(1000 + kCrashMs, [&] {
      for (std::size_t i = 0; i < kAtOnce; ++i) {
        review::Minion& minion = *scene.minions[i];
        minion.kind = minion.kind == "a" ? "b" : "a";
        scene.Note("new life of " + minion.id + " as kind " + minion.kind);
        minion.BeginLife();
      }
    });
    for (int i = 0; i < kOutageMs / 50; ++i) {
      scene.RunFor(50);
      scene.store.Postpone(50);
    }
    is_away = false;
    scene.Note("the store is back");
  }
  scene.RunFor(12000);
  const std::string figures = std::to_string(wrong) + " of " +
                              std::to_string(starts) +
                              " starts without the label, " +
                              std::to_string(accepted) + " of " +
                              std::to_string(number) + " accepted";
  if (wrong > 0) {
    return scene.Finish(review::kBroken, "broken: " + figures);
  }
  if (starts == 0) {
    return scene.Finish(review::kNotRun, "not run: " + figures);
  }
  return scene.Finish(review::kHeld, "held: " + figures);
}
