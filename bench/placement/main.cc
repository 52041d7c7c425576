// Measures placement: placement_bench [SEED]
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "basilspread/core/placement.h"
#include "basilspread/core/random.h"
#include "job_fixture.h"

namespace {

using basilspread::ChooseBestFit;
using basilspread::ChooseFirstFit;
using basilspread::ChooseRandomFit;
using basilspread::Fits;
using basilspread::JobSpec;
using basilspread::ListedTask;
using basilspread::PlacementIndex;
using basilspread::Random;
using basilspread::Resources;
using basilspread::TaskCondition;
using basilspread::WorkerAnswered;
using basilspread::WorkerChoice;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr int kRunning = 17000;
constexpr int kWaiting = 10000;
constexpr std::int64_t kWorkerCores = 64;
constexpr std::int64_t kMillicores = 1000;
constexpr std::int64_t kWorkerMemory = std::int64_t{256} * 1024;
constexpr int kDecisions = 20000;

double Quantile(std::vector<double>& values, double share) {
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

/// Large tasks, of which few fit beside each other.
Resources DrawLargeDemand(Random& random) {
  constexpr std::int64_t kCores[] = {4, 8, 12, 16, 20, 24, 28, 32, 40, 48};
  constexpr std::int64_t kGibibytesPerCore[] = {1, 2, 4, 5};
  const std::int64_t cores = kCores[random.NextBelow(std::size(kCores))];
  const std::int64_t memory =
      cores * kGibibytesPerCore[random.NextBelow(std::size(kGibibytesPerCore))];
  return Resources{cores * kMillicores, memory * 1024, 0};
}

/// Sizes as in a mixed cell: many small tasks and a few large ones.
Resources DrawDemand(Random& random) {
  constexpr std::int64_t kCores[] = {1, 1, 1, 2, 2, 4, 4, 8, 16, 24};
  constexpr std::int64_t kGibibytesPerCore[] = {1, 2, 4, 4, 8};
  const std::int64_t cores = kCores[random.NextBelow(std::size(kCores))];
  const std::int64_t memory =
      cores * kGibibytesPerCore[random.NextBelow(std::size(kGibibytesPerCore))];
  return Resources{cores * kMillicores, memory * 1024, 0};
}

/// Choice alone: a full index in which one task ends for each that starts.
void MeasureChoice(int workers, std::uint64_t seed) {
  Random random(seed);
  PlacementIndex index;
  std::vector<Resources> free(
      static_cast<std::size_t>(workers),
      Resources{kWorkerCores * kMillicores, kWorkerMemory, 0});
  for (const Resources& room : free) {
    index.SetFree(index.Add(room), room);
  }
  struct Placed {
    std::size_t slot;
    Resources demand;
  };
  std::vector<Placed> placed;
  const auto place = [&](const Resources& demand) {
    const auto slot = ChooseBestFit(index, demand, random);
    if (slot) {
      free[*slot] -= demand;
      index.SetFree(*slot, free[*slot]);
      placed.push_back(Placed{*slot, demand});
    }
    return slot.has_value();
  };
  while (place(DrawDemand(random))) {
  }
  std::vector<double> times;
  for (int i = 0; i < kDecisions; ++i) {
    const std::size_t victim = random.NextBelow(placed.size());
    const Placed ended = placed[victim];
    placed[victim] = placed.back();
    placed.pop_back();
    free[ended.slot] += ended.demand;
    index.SetFree(ended.slot, free[ended.slot]);
    const Resources demand = DrawDemand(random);
    const test::Duration start = test::ProcessorTime();
    place(demand);
    times.push_back(Microseconds(test::ProcessorTime() - start).count());
  }
  double total = 0;
  for (const double time : times) {
    total += time;
  }
  fmt::print(
      "choice   workers={:5} decisions/s={:9.0f} p50={:.1f}us "
      "p99={:.1f}us\n",
      workers, kDecisions / total * 1e6, Quantile(times, 0.5),
      Quantile(times, 0.99));
}

JobSpec SmallJob(const std::string& id, std::int64_t millicores) {
  JobSpec spec = test::JobFixture::Spec(id, 1, 1);
  spec.tasks[0].demand = Resources{millicores, 16, 0};
  return spec;
}

/// The reducer whole: the answer of a worker on which a task has ended, up to
/// the intent of the next one.
void MeasureReducer(int workers, std::uint64_t seed) {
  test::JobFixture fixture(1, 1);
  for (int i = 0; i < workers; ++i) {
    fixture.AddWorker(fmt::format("worker-{}", i),
                      static_cast<int>(kWorkerCores));
  }
  fixture.cluster.Start();
  fixture.cluster.RunFor(std::chrono::seconds(5));
  const std::int64_t per_worker = (kRunning + workers - 1) / workers;
  const std::int64_t millicores = kWorkerCores * kMillicores / per_worker;
  for (int i = 0; i < kRunning + kWaiting; ++i) {
    fixture.Submit(SmallJob(fmt::format("job-{}", i), millicores));
  }
  fixture.cluster.RunFor(std::chrono::seconds(20));
  Random random(seed);
  std::vector<std::string> names;
  int running = 0;
  for (const auto& [name, worker] : fixture.workers) {
    names.push_back(name.value);
    running += static_cast<int>(worker.runs.size());
  }
  std::vector<double> times;
  double total = 0;
  const std::size_t events = 4000;
  for (std::size_t i = 0; i < events; ++i) {
    test::VirtualWorker& worker =
        fixture.Worker(names[random.NextBelow(names.size())]);
    WorkerAnswered answer;
    answer.worker = worker.host.name;
    answer.shard = basilspread::ShardId{"workers#0"};
    answer.epoch = answer.worker_epoch = worker.epoch;
    answer.result = basilspread::WorkerResult::kAnswered;
    bool has_ended = false;
    for (auto& [attempt, run] : worker.runs) {
      if (!has_ended && run.condition == TaskCondition::kRunning) {
        run.condition = TaskCondition::kSucceeded;
        has_ended = true;
      }
      answer.tasks.push_back(ListedTask{attempt, run.condition, ""});
    }
    fixture.cluster.Post(0, std::move(answer));
    times.push_back(Microseconds(fixture.cluster.last_reduction).count());
    total += times.back();
  }
  fmt::print(
      "reducer  workers={:5} running={} waiting={} events/s={:9.0f} "
      "p50={:.1f}us p99={:.1f}us\n",
      workers, running, kWaiting, static_cast<double>(events) / total * 1e6,
      Quantile(times, 0.5), Quantile(times, 0.99));
}

/// Share of the cores and the memory that the placed tasks use.
double Pack(const std::vector<Resources>& tasks, int workers,
            const WorkerChoice& choice, std::uint64_t seed) {
  Random random(seed);
  PlacementIndex index;
  const Resources capacity{kWorkerCores * kMillicores, kWorkerMemory, 0};
  std::vector<Resources> free(static_cast<std::size_t>(workers), capacity);
  for (const Resources& room : free) {
    index.SetFree(index.Add(room), room);
  }
  Resources used;
  for (const Resources& demand : tasks) {
    const auto slot = choice(index, demand, random);
    if (slot) {
      free[*slot] -= demand;
      index.SetFree(*slot, free[*slot]);
      used += demand;
    }
  }
  const double cpu = static_cast<double>(used.cpu_millicores) /
                     static_cast<double>(capacity.cpu_millicores);
  const double memory = static_cast<double>(used.memory_mebibytes) /
                        static_cast<double>(capacity.memory_mebibytes);
  return (cpu + memory) / 2 / workers;
}

double DominantShare(const Resources& demand) {
  return std::max(static_cast<double>(demand.cpu_millicores) /
                      static_cast<double>(kWorkerCores * kMillicores),
                  static_cast<double>(demand.memory_mebibytes) /
                      static_cast<double>(kWorkerMemory));
}

/// Offline best-fit decreasing: all tasks known, largest first, each on the
/// worker that it leaves the least room on, among all.
double PackOffline(std::vector<Resources> tasks, int workers) {
  std::stable_sort(tasks.begin(), tasks.end(),
                   [](const Resources& left, const Resources& right) {
                     return DominantShare(left) > DominantShare(right);
                   });
  std::vector<Resources> free(
      static_cast<std::size_t>(workers),
      Resources{kWorkerCores * kMillicores, kWorkerMemory, 0});
  double used = 0;
  for (const Resources& demand : tasks) {
    Resources* best = nullptr;
    double least = 0;
    for (Resources& room : free) {
      if (!Fits(demand, room)) {
        continue;
      }
      const Resources left = room - demand;
      const double score = static_cast<double>(left.cpu_millicores) /
                               static_cast<double>(kWorkerCores * kMillicores) +
                           static_cast<double>(left.memory_mebibytes) /
                               static_cast<double>(kWorkerMemory);
      if (best == nullptr || score < least) {
        best = &room;
        least = score;
      }
    }
    if (best != nullptr) {
      *best -= demand;
      used += static_cast<double>(demand.cpu_millicores) /
              static_cast<double>(kWorkerCores * kMillicores);
      used += static_cast<double>(demand.memory_mebibytes) /
              static_cast<double>(kWorkerMemory);
    }
  }
  return used / 2 / workers;
}

/// More work than the workers hold, in the order in which it arrives.
void MeasurePacking(int workers, std::uint64_t seed) {
  Random random(seed);
  std::vector<Resources> tasks;
  double total = 0;
  while (total < 1.05 * workers) {
    tasks.push_back(DrawLargeDemand(random));
    total += DominantShare(tasks.back());
  }
  const double offline = PackOffline(tasks, workers);
  const double best = Pack(tasks, workers, ChooseBestFit, seed);
  const double first = Pack(tasks, workers, ChooseFirstFit, seed);
  const double any = Pack(tasks, workers, ChooseRandomFit, seed);
  fmt::print(
      "packing  workers={:5} best-fit={:.1f}% first-fit={:.1f}% "
      "random={:.1f}% of offline best-fit decreasing\n",
      workers, best / offline * 100, first / offline * 100,
      any / offline * 100);
}

/// Batches of the log at 910 starts a second over 24 shards.
void MeasureAppends(std::chrono::milliseconds interval) {
  constexpr std::uint32_t kShards = 24;
  constexpr int kStartsPerSecond = 910;
  constexpr int kSeconds = 5;
  test::JobFixture fixture(1, kShards);
  for (int i = 0; i < 240; ++i) {
    fixture.AddWorker(fmt::format("worker-{}", i),
                      static_cast<int>(kWorkerCores),
                      fmt::format("rack-{}", i / 2));
  }
  fixture.cluster.StateOf(0).settings.append_interval = interval;
  fixture.cluster.Start();
  fixture.cluster.RunFor(std::chrono::seconds(5));
  const auto count = [&fixture] {
    std::size_t batches = 0;
    for (std::uint32_t i = 0; i < kShards; ++i) {
      batches +=
          fixture.cluster.BatchesOf(fmt::format("shard-workers#{}", i)).size();
    }
    return batches;
  };
  const std::size_t before = count();
  for (int i = 0; i < kStartsPerSecond * kSeconds; ++i) {
    fixture.Submit(SmallJob(fmt::format("job-{}", i), kMillicores));
    fixture.cluster.RunFor(
        std::chrono::microseconds(1'000'000 / kStartsPerSecond));
    if (i >= kStartsPerSecond) {
      fixture.Finish(fmt::format("job-{}/0", i - kStartsPerSecond),
                     TaskCondition::kSucceeded);
    }
  }
  const std::size_t batches = count() - before;
  int starts = 0;
  for (const auto& [name, worker] : fixture.workers) {
    starts += static_cast<int>(worker.runs.size());
  }
  fmt::print("appends  interval={}ms starts/s={:.0f} batches/s={:.0f}\n",
             interval.count(), starts / static_cast<double>(kSeconds),
             static_cast<double>(batches) / kSeconds);
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
  for (const int workers : {100, 1000, 2900}) {
    MeasureChoice(workers, seed);
  }
  for (const int workers : {100, 1000, 2900}) {
    MeasurePacking(workers, seed);
  }
  for (const int interval : {20, 100}) {
    MeasureAppends(std::chrono::milliseconds(interval));
  }
  for (const int workers : {100, 1000, 2900}) {
    MeasureReducer(workers, seed);
  }
}
