// Two submissions that can never be done come among forty sound ones, at a small
// service beside a larger one. Checks that, finish_s after the traffic, no
// accepted submission has nothing running for 3 s while most of the service's
// capacity is free.
#include "scene.hpp"

int main(int, char** argv) {
  constexpr std::size_t kSmall = 6;
  constexpr std::size_t kLarge = 24;
  constexpr int kSound = 40;
  constexpr std::int64_t kFinishMs = 14000;
  constexpr std::int64_t kSpanMs = 3000;
  constexpr int kTaskCores = 2;
  review::Scene scene(argv[1], argv[2]);
  const std::set<std::string> lasting = {"5c0e7a21d94bfff1", "5c0e7a21d94bfff2"};
  const auto is_lasting = [&lasting](const std::string& task) {
    return lasting.contains(task.substr(0, 16));
  };
  std::map<std::string, int> running;
  std::map<std::string, int> done;
  const auto started = scene.watch.started;
  scene.watch.started = [&](const std::string& minion, std::uint64_t born,
                            const std::string& task, int run,
                            const std::vector<std::string>& labels) {
    started(minion, born, task, run, labels);
    ++running[task.substr(0, 16)];
  };
  const auto ended = scene.watch.ended;
  scene.watch.ended = [&](const std::string& minion, const std::string& task,
                          int run, const std::string& how, std::int64_t number) {
    ended(minion, task, run, how, number);
    --running[task.substr(0, 16)];
    done[task.substr(0, 16)] += how == "done" ? 1 : 0;
  };
  const std::string limits =
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  const auto route = [](const std::string& name, const std::string& service) {
    return "{\"name\":\"r-" + name + "\",\"hostname\":\"" + name +
           ".example\",\"pathPrefix\":\"/" + name +
           "/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,"
           "\"priority\":1,\"service\":\"" +
           service + "\",\"maxAttempts\":3,\"stretch\":2.2}";
  };
  scene.store.Write("keyed.op", "config",
                    "{\"version\":1,\"routes\":[" + route("plan", "planners") +
                        "," + route("quote", "quoters") +
                        "],\"services\":[{\"name\":\"planners\"},"
                        "{\"name\":\"quoters\"}]," +
                        limits);
  scene.AddMinions(kSmall + kLarge, [&](const std::string& task) {
    if (!is_lasting(task)) {
      return 500;
    }
    return scene.trouble ? 200 : 600000;
  });
  for (std::size_t i = 0; i < scene.minions.size(); ++i) {
    review::Minion& minion = *scene.minions[i];
    minion.outcome = [&](const std::string& task) {
      return is_lasting(task) ? "failed" : "done";
    };
    minion.percent = [&](const std::string& task) {
      return is_lasting(task) && !scene.trouble ? 100 : 50;
    };
    if (i >= kSmall) {
      minion.service = "quoters";
      minion.Publish();
    }
  }
  scene.AddNodes(3);
  if (!scene.AwaitReady()) {
    return scene.Finish(review::kNotRun, "not run: the processes aren't ready");
  }
  scene.RunFor(2000);
  std::set<std::string> accepted;
  const auto hand_in = [&](std::size_t node, const std::string& id,
                           const std::string& step) {
    scene.Call(node, "POST", id,
               "{\"specification\":\"plan\",\"steps\":[" + step + "]}",
               [&accepted, id](int status, const std::string&) {
                 if (status == 200) {
                   accepted.insert(id);
                 }
               });
  };
  std::size_t node = 0;
  for (const std::string& id : lasting) {
    hand_in(++node % 3, id,
            "{\"count\":12,\"cpu\":2000,\"memoryRequestMb\":1024,"
            "\"estimatedMs\":900,\"longRunning\":true,\"maxUnavailable\":1}");
  }
  for (int i = 0; i < kSound; ++i) {
    scene.RunFor(250);
    char id[17];
    snprintf(id, sizeof(id), "5c0e7a21d94b%04x", i);
    hand_in(++node % 3, id,
            "{\"count\":4,\"cpu\":2000,\"memoryRequestMb\":1024,"
            "\"estimatedMs\":500}");
  }
  scene.Note("the traffic ends");
  scene.RunFor(kFinishMs);
  scene.Note("finish_s after the end of the traffic");
  // Spans in which a submission has nothing running and there is room.
  std::map<std::string, std::int64_t> idle_since;
  std::set<std::string> starved;
  std::int64_t longest = 0;
  const std::int64_t until = review::NowMs() + 12000;
  while (review::NowMs() < until) {
    scene.RunFor(20);
    const std::int64_t now = review::NowMs();
    std::size_t used = 0;
    for (std::size_t i = 0; i < kSmall; ++i) {
      used += scene.minions[i]->Running() * kTaskCores;
    }
    const bool has_room = used * 2 < kSmall * 64;
    for (const std::string& id : accepted) {
      const bool waits =
          !lasting.contains(id) && done[id] < 4 && running[id] == 0 && has_room;
      if (!waits) {
        idle_since.erase(id);
        continue;
      }
      const std::int64_t span = now - idle_since.try_emplace(id, now).first->second;
      longest = std::max(longest, span);
      if (span >= kSpanMs && starved.insert(id).second) {
        scene.Note("LOST: " + id + " has had nothing running for " +
                   std::to_string(span) + " ms while " + std::to_string(used) +
                   " of " + std::to_string(kSmall * 64) + " cores are in use");
      }
    }
  }
  std::size_t complete = 0;
  for (const std::string& id : accepted) {
    complete += !lasting.contains(id) && done[id] >= 4 ? 1 : 0;
  }
  const std::string figures =
      std::to_string(starved.size()) + " of " +
      std::to_string(accepted.size() - lasting.size()) +
      " sound submissions had nothing running for 3 s with room (longest " +
      std::to_string(longest) + " ms), " + std::to_string(complete) +
      " had all tasks done";
  if (accepted.size() < kSound + lasting.size()) {
    return scene.Finish(review::kNotRun, "not run: not all were accepted");
  }
  return scene.Finish(starved.empty() ? review::kHeld : review::kBroken,
                      (starved.empty() ? "held: " : "broken: ") + figures);
}
