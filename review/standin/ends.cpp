// The store is down for 4.5 s while minions work off accepted submissions, so
// that a minion has more than 500 ends that can't be taken note of. Checks that
// no task is started again after a run of it has ended `done`.
#include "scene.hpp"

namespace {

constexpr int kSubmissions = 120;
constexpr int kTasks = 20;
constexpr std::int64_t kRunMs = 600;
constexpr std::int64_t kOutageMs = 4500;

struct Seen {
  std::set<int> done;
  std::set<int> noted;
  /// Runs that were started after the run of the key had ended `done`.
  std::map<int, int> started_after;
  std::set<int> running;
};

}  // namespace

int main(int, char** argv) {
  review::Scene scene(argv[1], argv[2]);
  std::map<std::string, Seen> tasks;
  int doubles = 0;
  const auto started = scene.watch.started;
  scene.watch.started = [&](const std::string& minion, std::uint64_t born,
                            const std::string& task, int run,
                            const std::vector<std::string>& labels) {
    started(minion, born, task, run, labels);
    Seen& seen = tasks[task];
    for (const int done : seen.done) {
      seen.started_after[done] = run;
    }
    doubles += seen.running.empty() ? 0 : 1;
    seen.running.insert(run);
  };
  const auto ended = scene.watch.ended;
  scene.watch.ended = [&](const std::string& minion, const std::string& task,
                          int run, const std::string& how, std::int64_t number) {
    ended(minion, task, run, how, number);
    tasks[task].running.erase(run);
    if (how == "done") {
      tasks[task].done.insert(run);
    }
  };
  scene.watch.noted = [&](const std::string& minion, const std::string& task,
                          int run, const std::string& how, bool lapsed) {
    scene.Note("noted " + task + " run " + std::to_string(run) + " on " +
               minion + " " + how + (lapsed ? " (lapsed since)" : ""));
    if (how == "done" && !lapsed) {
      tasks[task].noted.insert(run);
    }
  };

  bool is_away = false;
  scene.store.mode = [&is_away](std::size_t, const std::string&,
                                const review::Request&) {
    return is_away ? review::StoreMode::kBusy : review::StoreMode::kServe;
  };
  scene.WriteTables(1);
  scene.AddMinions(2, [](const std::string&) { return kRunMs; });
  for (auto& minion : scene.minions) {
    minion->store_away = [&is_away] { return is_away; };
  }
  scene.AddNodes(3);
  if (!scene.AwaitReady()) {
    return scene.Finish(review::kNotRun, "not run: the processes aren't ready");
  }
  scene.RunFor(2000);
  const std::string body =
      "{\"specification\":\"plan\",\"steps\":[{\"count\":" +
      std::to_string(kTasks) +
      ",\"cpu\":500,\"memoryRequestMb\":256,\"estimatedMs\":900}]}";
  std::vector<std::string> ids;
  std::set<std::string> accepted;
  for (int i = 0; i < kSubmissions; ++i) {
    char id[17];
    snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i);
    ids.push_back(id);
  }
  for (int attempt = 0; attempt < 4 && accepted.size() < ids.size(); ++attempt) {
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (!accepted.contains(ids[i])) {
        scene.Call(i % 3, "POST", ids[i], body,
                   [&accepted, id = ids[i]](int status, const std::string&) {
                     if (status == 200) {
                       accepted.insert(id);
                     }
                   });
      }
    }
    scene.RunUntil([&] { return accepted.size() == ids.size(); }, 700);
  }
  if (accepted.size() < ids.size()) {
    return scene.Finish(review::kNotRun, "not run: not all were accepted");
  }
  std::size_t most = 0;
  if (scene.trouble) {
    scene.Note("the store is down");
    is_away = true;
    for (int i = 0; i < kOutageMs / 50; ++i) {
      scene.RunFor(50);
      scene.store.Postpone(50);
      for (auto& minion : scene.minions) {
        most = std::max(most, minion->Unnoted());
      }
    }
    is_away = false;
    scene.Note("the store is back");
  }
  scene.Note("most ends of a minion that weren't noted: " + std::to_string(most));
  // finish_s and some seconds more.
  std::set<std::string> complete;
  scene.RunUntil(
      [&] {
        for (const std::string& id : ids) {
          if (!complete.contains(id)) {
            scene.Call(0, "GET", id, "",
                       [&complete, id](int, const std::string& text) {
                         if (text.find("completed") != std::string::npos) {
                           complete.insert(id);
                         }
                       });
          }
        }
        scene.RunFor(500);
        return complete.size() == ids.size();
      },
      25000);
  scene.RunFor(2000);
  int again = 0;
  for (const auto& [task, seen] : tasks) {
    for (const auto& [done, run] : seen.started_after) {
      if (seen.noted.contains(done)) {
        scene.Note("TWICE: " + task + " run " + std::to_string(run) +
                   " was started after run " + std::to_string(done) +
                   " had ended done, an end that was taken note of");
        ++again;
      }
    }
  }
  const std::string figures =
      std::to_string(again) + " starts after an end `done` that was noted, " +
      std::to_string(doubles) + " runs beside another, " +
      std::to_string(complete.size()) + " of " + std::to_string(ids.size()) +
      " submissions completed, at most " + std::to_string(most) +
      " ends not noted on a minion";
  if (again + doubles > 0) {
    return scene.Finish(review::kBroken, "broken: " + figures);
  }
  if (complete.size() != ids.size()) {
    return scene.Finish(review::kNotRun, "not run: " + figures);
  }
  return scene.Finish(review::kHeld, "held: " + figures);
}
