// What happens at the workers by themselves, as time passes.
#include <fmt/format.h>

#include <algorithm>

#include "platform/bounds.h"
#include "platform/workers.h"

namespace standin {
namespace {

constexpr double kSlowFactor = 0.25;
/// Entries that lapsed are back this soon: PROTOCOL, service discovery, allows
/// two seconds.
constexpr std::chrono::milliseconds kReturnTime(1500);

/// A worker that left is back, as another life, after this.
constexpr std::chrono::seconds kReplaceTime(6);

}  // namespace

void Workers::Advance(const Context& context) {
  const Duration passed =
      this->advanced_at ? context.now - *this->advanced_at : Duration::zero();
  this->advanced_at = context.now;
  for (Worker& worker : this->workers) {
    if (worker.is_up) {
      this->AdvanceWorker(worker, context, passed);
      continue;
    }
    if (worker.entry_expires_at && *worker.entry_expires_at <= context.now &&
        this->hooks.publish(worker.id, std::nullopt)) {
      worker.entry_expires_at.reset();
    }
    if (worker.returns_at && *worker.returns_at <= context.now) {
      this->BeginLife(worker, context.now);
    }
  }
  this->AdvanceGangs(passed, context.now);
}

void Workers::AdvanceWorker(Worker& worker, const Context& context,
                            Duration passed) {
  const TimePoint now = context.now;
  for (const Worker::LateOrder& late : worker.late) {
    if (late.at <= now) {
      this->Carry(worker, late.order, context);
    }
  }
  std::erase_if(worker.late, [now](const Worker::LateOrder& late) {
    return late.at <= now;
  });
  if (!worker.has_lapsed && worker.Clock(now) >= worker.lease_until) {
    worker.has_lapsed = true;
    this->watch.on_lapsed(worker.Life());
    std::vector<TaskName> names;
    for (const auto& [task, run] : worker.runs) {
      names.push_back(task);
    }
    for (const TaskName& name : names) {
      this->EndRun(worker, name, End::kLapsed, now);
    }
  }
  std::vector<TaskName> names;
  for (const auto& [task, run] : worker.runs) {
    names.push_back(task);
  }
  for (const TaskName& name : names) {
    const auto run = worker.runs.find(name);
    if (run != worker.runs.end()) {
      this->AdvanceRun(worker, run->second, passed, now);
    }
  }
  std::erase_if(
      worker.looks, [this, &worker, &context](const Worker::WaitingLook& look) {
        const bool is_due = !worker.ends.empty() || look.until <= context.now;
        if (is_due) {
          context.answers.push_back(
              {look.call, Duration::zero(),
               this->hooks.encode(this->ListOf(worker, context.now))});
        }
        return is_due;
      });
  if (worker.notice_at <= now && worker.unlisted_until <= now) {
    this->Publish(worker, now);
  }
  if (worker.leaves_at && *worker.leaves_at <= now) {
    this->Crash(this->by_address.at(worker.address), kReplaceTime, now);
    worker.entry_expires_at = now;
  }
}

void Workers::AdvanceRun(Worker& worker, Worker::Run& run, Duration passed,
                         TimePoint now) {
  const TaskName name = run.name.task;
  if (run.phase == Worker::Phase::kStopping) {
    if (run.since <= now) {
      this->EndRun(worker, name, End::kStopped, now);
    }
    return;
  }
  if (run.phase == Worker::Phase::kWaiting) {
    const Gang& gang = this->gangs[GangOf(run.name)];
    if (gang.works) {
      run.phase = Worker::Phase::kWorking;
    } else if (run.since + bounds::kGangTimeout <= now) {
      this->EndRun(worker, name, End::kAlone, now);
    }
    return;
  }
  const Submission* submission = this->hooks.find(name.id);
  const bool is_known =
      submission != nullptr && name.step < submission->steps.size();
  const Step step = is_known ? submission->steps[name.step] : Step{};
  if (step.gang) {
    run.total = this->gangs[GangOf(run.name)].total;
  }
  const Duration restored = std::min(run.restoring, passed);
  run.restoring -= restored;
  run.done += this->Speed(worker, step, passed - restored, now);
  if (step.checkpoints && run.done >= run.next_save) {
    run.saved = run.done;
    run.next_save = run.done + bounds::kCheckpointInterval;
    run.checkpoint = fmt::format(
        "{:08}{:08x}",
        std::chrono::duration_cast<std::chrono::milliseconds>(run.saved)
            .count(),
        ++this->last_checkpoint);
    this->watch.on_checkpoint(run.name, run.checkpoint);
  }
  if (run.fails_at && run.done >= *run.fails_at) {
    this->EndRun(worker, name, End::kFailed, now);
  } else if (!step.gang && run.done >= run.total) {
    this->EndRun(worker, name, End::kDone, now);
  }
}

Duration Workers::Speed(const Worker& worker, const Step& step, Duration passed,
                        TimePoint now) const {
  if (worker.hangs_until > now) {
    return Duration::zero();
  }
  double speed = worker.slow_until > now ? kSlowFactor : 1;
  if (!step.data_rack.empty() && step.data_rack != worker.rack) {
    speed /= bounds::kRemoteFactor;
  }
  return std::chrono::duration_cast<Duration>(passed * speed);
}

void Workers::AdvanceGangs(Duration passed, TimePoint now) {
  std::vector<RunName> through;
  for (auto& [name, gang] : this->gangs) {
    if (gang.works) {
      gang.done += passed;
    }
    if (gang.works && gang.done >= gang.total) {
      through.push_back(name);
    }
  }
  for (const RunName& name : through) {
    this->EndGang(name, End::kDone, now);
  }
  std::erase_if(this->gangs,
                [](const auto& entry) { return entry.second.present.empty(); });
}

void Workers::EndGang(const RunName& name, End end, TimePoint now) {
  for (Worker& worker : this->workers) {
    std::vector<TaskName> members;
    for (const auto& [task, run] : worker.runs) {
      if (GangOf(run.name) == name) {
        members.push_back(task);
      }
    }
    for (const TaskName& task : members) {
      this->EndRun(worker, task, end, now);
    }
  }
}

void Workers::EndRun(Worker& worker, const TaskName& name, End end,
                     TimePoint now) {
  const auto found = worker.runs.find(name);
  if (found == worker.runs.end()) {
    return;
  }
  const Worker::Run run = found->second;
  worker.runs.erase(found);
  std::uint32_t& highest = worker.highest_ended[name];
  highest = std::max(highest, run.name.run);
  worker.ends.push_back({++worker.last_end, run.name, end, run.checkpoint});
  this->watch.on_ended(run.name, worker.Life(), end, now);
  const auto gang = this->gangs.find(GangOf(run.name));
  if (gang == this->gangs.end()) {
    return;
  }
  gang->second.present.erase(name.index);
  if (end == End::kDone || end == End::kBroken || !gang->second.works) {
    return;
  }
  this->EndGang(GangOf(run.name), End::kBroken, now);
}

void Workers::Publish(Worker& worker, TimePoint now) {
  WorkerNotice notice;
  notice.id = worker.id;
  notice.address = worker.address;
  notice.pool = "planners";
  notice.zone = worker.zone;
  notice.machine = worker.machine;
  notice.capacity = worker.capacity;
  notice.labels = {worker.kind, worker.rack};
  notice.drains = worker.drains_since.has_value();
  notice.sequence = ++worker.sequence;
  notice.born = worker.born;
  notice.clock = worker.Clock(now);
  const bool is_written = this->hooks.publish(worker.id, notice);
  worker.notice_at =
      now + (is_written ? Duration(bounds::kHeartbeat) : Duration(kReturnTime));
}

}  // namespace standin
