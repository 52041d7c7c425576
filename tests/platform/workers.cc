#include "platform/workers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "platform/bounds.h"

namespace standin {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kOtherLife = 421;
constexpr int kUnhealthy = 503;
/// Ends that one answer lists: PROTOCOL, running tasks.
constexpr std::size_t kListedEnds = 500;
/// Workers of a rack, and what one has: SYSTEM.md, workers of Loch Braan.
constexpr std::size_t kRackWorkers = 8;
constexpr Resources kCapacity{64000, 262144, 0};
constexpr std::size_t kZones = 3;
constexpr std::size_t kKinds = 3;
/// A run in this many fails by its own fault.
constexpr double kFailingShare = 0.02;
/// Real run times against the declared ones.
constexpr double kShortest = 0.7;
constexpr double kLongest = 1.6;
/// Silence after which an entry is dropped, in heartbeats: PROTOCOL, service
/// discovery.
constexpr int kSilentBeats = 3;
constexpr std::size_t kKeptStarts = 64;
/// Orders that are carried out late: PROTOCOL says "seconds later".
constexpr milliseconds kLongestLateness(4000);
constexpr milliseconds kShortestLateness(300);

}  // namespace

WorkerTime Worker::Clock(TimePoint now) const {
  return std::chrono::duration_cast<WorkerTime>((now - this->started) *
                                                this->clock_rate);
}

Workers::Workers(std::uint64_t seed, Hooks worker_hooks,
                 WorkerWatch worker_watch)
    : hooks(std::move(worker_hooks)),
      watch(std::move(worker_watch)),
      random(seed) {}

std::string_view NameOf(End end) {
  constexpr std::array<std::string_view, 6> kNames = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return kNames.at(static_cast<std::size_t>(end));
}

std::string ToText(const RunName& name) {
  return fmt::format("{}.{}.{}#{}", name.task.id, name.task.step,
                     name.task.index, name.run);
}

std::string ToText(const WorkerLife& life) {
  return fmt::format("{}/{}", life.worker, life.born);
}

RunName Workers::GangOf(const RunName& name) {
  return {{name.task.id, name.task.step, 0}, name.run};
}

void Workers::Add(const std::string& address, TimePoint now) {
  const std::size_t index = this->workers.size();
  Worker worker;
  worker.id = fmt::format("i-{:04}{:04x}", index, Below(this->random, 0x10000));
  worker.address = address;
  worker.zone = fmt::format("zone-{}", index % kZones);
  worker.rack = fmt::format("r1-{}", index / kRackWorkers);
  worker.kind = std::string(1, static_cast<char>('a' + index % kKinds));
  worker.machine = fmt::format("m-{:05}", index);
  worker.capacity = kCapacity;
  constexpr double kSlowest = 0.98;
  worker.clock_rate = Chance(this->random, 0.5) ? kSlowest : 1;
  this->by_address[address] = index;
  this->workers.push_back(std::move(worker));
  this->BeginLife(this->workers.back(), now);
}

void Workers::BeginLife(Worker& worker, TimePoint now) {
  const auto unix_time = std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  this->last_born = std::max(this->last_born + 1,
                             static_cast<std::uint64_t>(unix_time.count()));
  Worker fresh;
  fresh.id = worker.id;
  fresh.address = worker.address;
  fresh.zone = worker.zone;
  fresh.rack = worker.rack;
  fresh.kind = worker.kind;
  fresh.machine = worker.machine;
  fresh.capacity = worker.capacity;
  fresh.clock_rate = worker.clock_rate;
  fresh.born = this->last_born;
  fresh.started = now;
  fresh.notice_at = now;
  worker = std::move(fresh);
}

void Workers::EndLife(Worker& worker, TimePoint now) {
  for (const auto& [task, run] : worker.runs) {
    this->gangs[GangOf(run.name)].present.erase(task.index);
  }
  worker.is_up = false;
  worker.runs.clear();
  worker.looks.clear();
  worker.late.clear();
  this->watch.on_gone(worker.Life(), now);
}

void Workers::Crash(std::size_t index, Duration away, TimePoint now) {
  Worker& worker = this->At(index);
  if (!worker.is_up) {
    return;
  }
  std::vector<RunName> names;
  for (const auto& [task, run] : worker.runs) {
    names.push_back(run.name);
  }
  this->EndLife(worker, now);
  worker.returns_at = now + away;
  worker.entry_expires_at = now + kSilentBeats * bounds::kHeartbeat;
  for (const RunName& name : names) {
    const auto gang = this->gangs.find(GangOf(name));
    if (gang != this->gangs.end() && gang->second.works) {
      this->EndGang(gang->first, End::kBroken, now);
    }
  }
}

void Workers::Drain(std::size_t index, Duration lasts, TimePoint now) {
  Worker& worker = this->At(index);
  if (worker.is_up && !worker.drains_since) {
    worker.drains_since = now;
    worker.leaves_at = now + bounds::kDrainTime + lasts;
    this->Publish(worker, now);
  }
}

Worker* Workers::Find(const std::string& address) {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end() ? nullptr
                                         : &this->workers[found->second];
}

void Workers::Handle(const Context& context, const std::string& address,
                     const std::string& expected, CallId call,
                     const WorkerOrder& order) {
  Worker* worker = this->Find(address);
  if (worker == nullptr || !worker->is_up) {
    // The machine is off: the connection hangs.
    return;
  }
  WorkerAnswer answer;
  if (expected != worker->id) {
    answer.status = kOtherLife;
  } else if (worker->unhealthy_until > context.now) {
    answer.status = kUnhealthy;
  } else if (worker->late_until > context.now) {
    worker->late.push_back(
        {context.now +
             Between(this->random, kShortestLateness, kLongestLateness),
         order});
    return;
  } else {
    answer = this->Carry(*worker, order, context);
    const auto* look = std::get_if<LookOrder>(&order);
    const bool waits = look != nullptr && answer.status == kOk &&
                       answer.ended.empty() && look->wait > Duration::zero();
    if (waits) {
      worker->looks.push_back({call, context.now + look->wait});
      return;
    }
  }
  answer.clock = worker->Clock(context.now);
  answer.born = worker->born;
  context.answers.push_back(
      AnswerCall{call, Duration::zero(), this->hooks.encode(answer)});
}

WorkerAnswer Workers::Carry(Worker& worker, const WorkerOrder& order,
                            const Context& context) {
  if (const auto* start = std::get_if<StartOrder>(&order)) {
    return this->Start(worker, *start, context);
  }
  if (const auto* stop = std::get_if<StopOrder>(&order)) {
    return this->Stop(worker, *stop, context.now);
  }
  return this->Look(worker, std::get<LookOrder>(order), context.now);
}

void Workers::Extend(Worker& worker, WorkerTime lease_until, TimePoint now) {
  const WorkerTime longest = worker.Clock(now) + bounds::kMaxLease;
  worker.lease_until =
      std::max(worker.lease_until, std::min(lease_until, longest));
  if (worker.lease_until > worker.Clock(now)) {
    worker.has_lapsed = false;
  }
}

std::string Workers::RefuseStart(const Worker& worker, const StartOrder& order,
                                 const Context& context) const {
  if (order.fence < worker.fence && this->hooks.keeps_fence()) {
    return "fence";
  }
  const auto ended = worker.highest_ended.find(order.run.task);
  if (ended != worker.highest_ended.end() && order.run.run <= ended->second) {
    return "old";
  }
  if (order.lease_until <= worker.Clock(context.now)) {
    return "late";
  }
  if (!this->hooks.is_ticket_valid(order, worker.Life())) {
    return "ticket";
  }
  return "";
}

WorkerAnswer Workers::Start(Worker& worker, const StartOrder& order,
                            const Context& context) {
  WorkerAnswer answer;
  const auto running = worker.runs.find(order.run.task);
  const bool is_there = running != worker.runs.end() &&
                        running->second.name == order.run &&
                        order.fence >= worker.fence;
  answer.reason = is_there ? "" : this->RefuseStart(worker, order, context);
  if (answer.reason != "fence") {
    worker.fence = std::max(worker.fence, order.fence);
  }
  if (answer.reason.empty() || answer.reason == "old") {
    this->Extend(worker, order.lease_until, context.now);
  }
  if (!answer.reason.empty()) {
    answer.status = kConflict;
    return answer;
  }
  if (!is_there) {
    this->BeginRun(worker, order, context);
  }
  return answer;
}

void Workers::Deliver(std::size_t index, const StartOrder& order,
                      const Context& context) {
  if (this->At(index).is_up) {
    this->Start(this->At(index), order, context);
  }
}

void Workers::BeginRun(Worker& worker, const StartOrder& order,
                       const Context& context) {
  const Submission* submission = this->hooks.find(order.run.task.id);
  const bool is_known =
      submission != nullptr && order.run.task.step < submission->steps.size();
  const Step step = is_known ? submission->steps[order.run.task.step] : Step{};
  worker.runs[order.run.task] = this->MakeRun(worker, order, step, context.now);
  if (step.gang) {
    Gang& gang = this->gangs[GangOf(order.run)];
    gang.present.insert(order.run.task.index);
    gang.total = std::max(gang.total, worker.runs[order.run.task].total);
    gang.works |= gang.present.size() == step.count;
  }
  this->starts.push_back(order);
  if (this->starts.size() > kKeptStarts) {
    this->starts.pop_front();
  }
  Started started;
  started.run = order.run;
  started.worker = worker.Life();
  started.command = order.command;
  started.checkpoint = order.checkpoint;
  started.labels = {worker.kind, worker.rack};
  Resources used;
  for (const auto& [task, run] : worker.runs) {
    const Submission* other = this->hooks.find(task.id);
    if (other != nullptr && task.step < other->steps.size()) {
      used += other->steps[task.step].demand;
    }
    const bool is_same_step =
        task.id == order.run.task.id && task.step == order.run.task.step;
    started.of_step += is_same_step ? 1 : 0;
  }
  started.is_over_capacity = !basilspread::Fits(used, worker.capacity);
  if (worker.drains_since) {
    started.draining_for = context.now - *worker.drains_since;
  }
  this->watch.on_started(started, context.now);
}

Worker::Run Workers::MakeRun(const Worker& worker, const StartOrder& order,
                             const Step& step, TimePoint now) {
  Worker::Run run;
  run.name = order.run;
  run.phase = step.gang ? Worker::Phase::kWaiting : Worker::Phase::kWorking;
  run.since = now;
  run.total = std::chrono::duration_cast<Duration>(
      step.run_time *
      std::uniform_real_distribution<>(kShortest, kLongest)(this->random));
  run.next_save = bounds::kCheckpointInterval;
  const bool fails = step.is_hopeless || worker.fails_until > now ||
                     Chance(this->random, kFailingShare);
  if (fails) {
    run.fails_at = run.total / 2;
  }
  run.checkpoint = order.checkpoint;
  if (!order.checkpoint.empty()) {
    // The checkpoint's text begins with the milliseconds of work it holds.
    run.done = std::min<Duration>(run.total,
                                  milliseconds(std::stoll(order.checkpoint)));
    run.saved = run.done;
    run.next_save = run.done + bounds::kCheckpointInterval;
    run.restoring = bounds::kRestoreTime;
  }
  return run;
}

WorkerAnswer Workers::Stop(Worker& worker, const StopOrder& order,
                           TimePoint now) {
  WorkerAnswer answer;
  if (order.fence < worker.fence && this->hooks.keeps_fence()) {
    answer.status = kConflict;
    answer.reason = "fence";
    return answer;
  }
  worker.fence = std::max(worker.fence, order.fence);
  std::uint32_t& highest = worker.highest_ended[order.run.task];
  highest = std::max(highest, order.run.run);
  const auto found = worker.runs.find(order.run.task);
  if (found != worker.runs.end() && found->second.name.run <= order.run.run &&
      found->second.phase != Worker::Phase::kStopping) {
    found->second.phase = Worker::Phase::kStopping;
    // Ends at this point.
    found->second.since = now + Between(this->random, Duration::zero(),
                                        bounds::kStopTime - milliseconds(50));
  }
  return answer;
}

WorkerAnswer Workers::Look(Worker& worker, const LookOrder& order,
                           TimePoint now) {
  if (order.fence < worker.fence && this->hooks.keeps_fence()) {
    WorkerAnswer answer;
    answer.status = kConflict;
    answer.reason = "fence";
    return answer;
  }
  worker.fence = std::max(worker.fence, order.fence);
  if (order.lease_until) {
    this->Extend(worker, *order.lease_until, now);
  }
  while (!worker.ends.empty() && worker.ends.front().number <= order.noted) {
    this->watch.on_noted(worker.ends.front().run, worker.Life(), now);
    worker.ends.pop_front();
  }
  return this->ListOf(worker, now);
}

WorkerAnswer Workers::ListOf(const Worker& worker, TimePoint now) const {
  WorkerAnswer answer;
  answer.has_lists = true;
  answer.clock = worker.Clock(now);
  answer.born = worker.born;
  constexpr int kWhole = 100;
  for (const auto& [task, run] : worker.runs) {
    const auto percent =
        run.total > Duration::zero() ? run.done * kWhole / run.total : 0;
    answer.running.push_back({run.name, run.checkpoint,
                              std::min(static_cast<int>(percent), kWhole)});
  }
  const std::size_t count = std::min(worker.ends.size(), kListedEnds);
  answer.ended.assign(worker.ends.begin(),
                      worker.ends.begin() + static_cast<std::ptrdiff_t>(count));
  return answer;
}

}  // namespace standin
