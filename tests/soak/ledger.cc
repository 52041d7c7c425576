#include "soak/ledger.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "platform/bounds.h"

namespace soak {
namespace {

constexpr std::size_t kMostHistory = 60;
/// Findings of one check beyond these are counted as one more only.
constexpr std::size_t kMostOfCheck = 20;

bool IsFinal(std::string_view state) {
  return state == "completed" || state == "failed" || state == "cancelled";
}

std::string Describe(const standin::WorkerLife& worker) {
  return fmt::format("{}/{}", worker.worker, worker.born);
}

}  // namespace

Ledger::Ledger(TimePoint start, Hooks ledger_hooks)
    : began(start), hooks(std::move(ledger_hooks)) {}

void Ledger::Report(std::string check, const std::string& id, std::string text,
                    TimePoint now) {
  const auto same = std::count_if(
      this->findings.begin(), this->findings.end(),
      [&check](const Finding& finding) { return finding.check == check; });
  if (static_cast<std::size_t>(same) > kMostOfCheck) {
    return;
  }
  Finding finding{now, std::move(check), id, std::move(text), {}};
  if (const Entry* entry = this->EntryOf(id); entry != nullptr) {
    finding.history = entry->history;
  }
  this->findings.push_back(std::move(finding));
}

void Ledger::Note(Entry& entry, std::string text, TimePoint now) {
  const std::chrono::duration<double> at = now - this->began;
  if (entry.history.size() < kMostHistory) {
    entry.history.push_back(fmt::format("{:.3f} {}", at.count(), text));
  }
}

Ledger::Entry* Ledger::EntryOf(const std::string& id) {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second;
}

Ledger::Task* Ledger::TaskOf(const standin::TaskName& name) {
  Entry* entry = this->EntryOf(name.id);
  const bool is_known = entry != nullptr && name.step < entry->steps.size() &&
                        name.index < entry->steps[name.step].size();
  return is_known ? &entry->steps[name.step][name.index] : nullptr;
}

const standin::Submission* Ledger::Find(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.submission;
}

bool Ledger::IsAccepted(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found != this->entries.end() && found->second.accepted_at;
}

void Ledger::OnSubmit(const standin::Submission& submission, TimePoint now) {
  auto [place, is_new] = this->entries.try_emplace(submission.id);
  Entry& entry = place->second;
  if (is_new) {
    entry.submission = submission;
    for (const standin::Step& step : submission.steps) {
      entry.steps.emplace_back(step.count);
    }
    ++this->totals.submitted;
  }
  ++entry.attempts;
  this->Note(entry, fmt::format("submit, attempt {}", entry.attempts), now);
}

void Ledger::OnSubmitAnswer(const std::string& id, CallOutcome outcome,
                            std::string_view detail, TimePoint now) {
  Entry& entry = *this->EntryOf(id);
  this->Note(entry, fmt::format("submit answered: {}", detail), now);
  AnswerCounts& counts =
      this->answers[std::chrono::floor<std::chrono::seconds>(now - this->began)
                        .count()];
  counts.accepted += outcome == CallOutcome::kAccepted ? 1 : 0;
  counts.refused += outcome == CallOutcome::kRefused ? 1 : 0;
  counts.unknown += outcome == CallOutcome::kUnknown ? 1 : 0;
  if (outcome == CallOutcome::kRefused) {
    ++entry.refused;
    return;
  }
  if (outcome == CallOutcome::kUnknown) {
    return;
  }
  if (!this->hooks.is_stored(id)) {
    // PROTOCOL, submissions: "accepted and is stored".
    this->Report("stored", id, "accepted, and the store has no record", now);
  }
  if (!entry.accepted_at) {
    entry.accepted_at = now;
    ++this->totals.accepted;
  }
}

void Ledger::OnGivenUp(const std::string& id, TimePoint now) {
  Entry& entry = *this->EntryOf(id);
  entry.is_given_up = true;
  const bool is_refused = entry.refused == entry.attempts;
  this->totals.refused += is_refused ? 1 : 0;
  this->totals.unknown += is_refused ? 0 : 1;
  this->Note(entry, is_refused ? "refused for good" : "outcome unknown", now);
  this->CheckRefusal(entry, now);
}

void Ledger::CheckRefusal(Entry& entry, TimePoint now) {
  // RULES, REFUSED.
  const bool was_refused = entry.is_given_up && entry.refused == entry.attempts;
  if (was_refused && entry.has_started && !entry.was_reported) {
    entry.was_reported = true;
    this->Report("false-refusal", entry.submission.id,
                 "every attempt was refused, and a task has started", now);
  }
}

void Ledger::OnCancelSent(const std::string& id, TimePoint now) {
  Entry& entry = *this->EntryOf(id);
  this->Note(entry, "cancel sent", now);
  if (!entry.cancel_sent_at) {
    entry.cancel_sent_at = now;
  }
}

void Ledger::OnCancelAnswered(const std::string& id, bool is_known,
                              std::string_view detail, TimePoint now) {
  Entry& entry = *this->EntryOf(id);
  this->Note(entry, fmt::format("cancel answered: {}", detail), now);
  if (!is_known) {
    return;
  }
  if (!entry.cancelled_at) {
    entry.cancelled_at = now;
    ++this->totals.cancelled;
    this->cancelled.insert(id);
  }
}

void Ledger::OnState(const std::string& id,
                     std::optional<std::string_view> state,
                     std::string_view detail, TimePoint now) {
  Entry& entry = *this->EntryOf(id);
  this->Note(entry,
             fmt::format("shown {}, {}", state.value_or("unknown id"), detail),
             now);
  if (!state) {
    // RULES, LOST; docs/PLATFORM-RUN.md promises it of every process.
    const bool is_lost = entry.accepted_at && !entry.cancel_sent_at &&
                         now > *entry.accepted_at + standin::bounds::kVisible;
    if (is_lost) {
      this->Report("lost", id, "accepted, and told as unknown", now);
    }
    return;
  }
  if (!entry.final_state.empty() && entry.final_state != *state) {
    this->Report("state", id,
                 fmt::format("shown {} after {}", *state, entry.final_state),
                 now);
  }
  if (IsFinal(*state) && entry.final_state.empty()) {
    this->CheckFinalState(entry, *state, now);
    entry.final_state = *state;
  }
}

void Ledger::CheckFinalState(Entry& entry, std::string_view state,
                             TimePoint now) {
  const std::string& id = entry.submission.id;
  if (state == "cancelled") {
    if (!entry.cancel_sent_at) {
      this->Report("state", id, "shown cancelled, and nobody cancelled", now);
    }
    return;
  }
  if (state == "completed") {
    ++this->totals.completed;
    for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
      if (!this->IsDone(entry, step)) {
        // RULES, MIXED.
        this->Report("state", id,
                     fmt::format("shown completed, step {} is not done", step),
                     now);
      }
    }
    return;
  }
  ++this->totals.failed;
  for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
    for (std::uint32_t index = 0; index < entry.steps[step].size(); ++index) {
      const auto any = [](const EndedRun&) { return true; };
      if (this->FailuresOf(entry, {id, step, index}, any) >=
          entry.submission.route.max_attempts) {
        return;
      }
    }
  }
  // RULES, LOST.
  this->Report("state", id, "shown failed without cause", now);
}

bool Ledger::IsDone(const Entry& entry, std::uint32_t step) const {
  const auto has_done = [](const Task& task) {
    return std::any_of(
        task.ended.begin(), task.ended.end(),
        [](const EndedRun& ended) { return ended.end == standin::End::kDone; });
  };
  const std::vector<Task>& tasks = entry.steps.at(step);
  // One such end stands for a whole gang.
  return entry.submission.steps.at(step).gang
             ? std::any_of(tasks.begin(), tasks.end(), has_done)
             : std::all_of(tasks.begin(), tasks.end(), has_done);
}

bool Ledger::HasNotedDone(const Entry& entry,
                          const standin::TaskName& name) const {
  const bool is_gang = entry.submission.steps.at(name.step).gang;
  const std::vector<Task>& tasks = entry.steps.at(name.step);
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    for (const EndedRun& ended : tasks[index].ended) {
      const bool counts = is_gang || index == name.index;
      if (counts && ended.end == standin::End::kDone && ended.is_noted) {
        return true;
      }
    }
  }
  return false;
}

std::size_t Ledger::FailuresOf(
    const Entry& entry, const standin::TaskName& name,
    const std::function<bool(const EndedRun&)>& counts) {
  std::set<std::uint32_t> runs;
  const bool is_gang = entry.submission.steps.at(name.step).gang;
  const std::vector<Task>& tasks = entry.steps.at(name.step);
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (!is_gang && index != name.index) {
      continue;
    }
    for (const EndedRun& ended : tasks[index].ended) {
      if (ended.end == standin::End::kFailed && counts(ended)) {
        runs.insert(ended.run);
      }
    }
  }
  return runs.size();
}

void Ledger::OnStarted(const standin::Started& started, TimePoint now) {
  ++this->totals.starts;
  Entry* entry = this->EntryOf(started.run.task.id);
  Task* task = this->TaskOf(started.run.task);
  if (entry == nullptr || task == nullptr) {
    // RULES, UNASKED.
    this->Report(
        "unasked", started.run.task.id,
        "started what nobody handed in: " + standin::ToText(started.run), now);
    return;
  }
  this->Note(*entry,
             fmt::format("start {} on {}", standin::ToText(started.run),
                         Describe(started.worker)),
             now);
  this->CheckOnce(*entry, *task, started, now);
  this->CheckStart(*entry, started, now);
  this->CheckPlace(*entry, started, now);
  task->running.push_back({started.run.run, started.worker});
  task->last_start = now;
  this->tasks_on[started.worker].insert(started.run.task);
  entry->has_started = true;
  this->CheckRefusal(*entry, now);
}

void Ledger::CheckOnce(Entry& entry, const Task& task,
                       const standin::Started& started, TimePoint now) {
  // RULES, TWICE.
  if (!task.running.empty()) {
    this->Report("runs-twice", entry.submission.id,
                 fmt::format("{} starts on {} while #{} runs on {}",
                             standin::ToText(started.run),
                             Describe(started.worker), task.running.front().run,
                             Describe(task.running.front().worker)),
                 now);
  }
  if (this->HasNotedDone(entry, started.run.task)) {
    this->Report("runs-again", entry.submission.id,
                 standin::ToText(started.run) + " starts after a noted end",
                 now);
  }
}

void Ledger::CheckStart(Entry& entry, const standin::Started& started,
                        TimePoint now) {
  const std::string& id = entry.submission.id;
  const standin::Step& step = entry.submission.steps[started.run.task.step];
  const std::string run = standin::ToText(started.run);
  for (const std::uint32_t earlier : step.after) {
    if (!this->IsDone(entry, earlier)) {
      // RULES, ORDER.
      this->Report(
          "order", id,
          fmt::format("{} starts before step {} is done", run, earlier), now);
    }
  }
  const auto is_noted = [](const EndedRun& ended) { return ended.is_noted; };
  if (this->FailuresOf(entry, started.run.task, is_noted) >=
      entry.submission.route.max_attempts) {
    // RULES, BUDGET.
    this->Report("attempts", id, run + " starts after the last attempt", now);
  }
  // RULES, UNASKED.
  if (started.command != entry.submission.command) {
    this->Report("unasked", id, run + " carries another text", now);
  }
  if (!started.checkpoint.empty() &&
      !entry.checkpoints.contains(started.checkpoint)) {
    this->Report("unasked", id, run + " carries a foreign checkpoint", now);
  }
  const Duration bound = standin::bounds::kCancelTime;
  if (entry.cancelled_at && now > *entry.cancelled_at + bound &&
      this->hooks.is_calm(bound)) {
    this->Report("cancel", id, run + " starts after the cancel", now);
  }
}

void Ledger::CheckPlace(const Entry& entry, const standin::Started& started,
                        TimePoint now) {
  const std::string& id = entry.submission.id;
  const standin::Step& step = entry.submission.steps[started.run.task.step];
  const std::string where =
      standin::ToText(started.run) + " on " + Describe(started.worker);
  if (started.is_over_capacity) {
    // RULES, LIMIT.
    this->Report("capacity", id, where + " exceeds the capacity", now);
  }
  // RULES, ROUTE.
  const bool has_label = step.required_label.empty() ||
                         std::find(started.labels.begin(), started.labels.end(),
                                   step.required_label) != started.labels.end();
  if (!has_label) {
    this->Report("wrong-worker", id, where + " lacks the label", now);
  }
  if (step.max_per_worker > 0 && started.of_step > step.max_per_worker) {
    this->Report("wrong-worker", id, where + " has too many of the step", now);
  }
  if (started.draining_for &&
      *started.draining_for > standin::bounds::kDrainTime &&
      this->hooks.is_calm(standin::bounds::kDrainTime)) {
    // RULES, DRAIN.
    this->Report("draining", id, where + " drains", now);
  }
}

void Ledger::OnEnded(const standin::RunName& run,
                     const standin::WorkerLife& worker, standin::End end,
                     TimePoint now) {
  ++this->totals.ends;
  Entry* entry = this->EntryOf(run.task.id);
  Task* task = this->TaskOf(run.task);
  if (entry == nullptr || task == nullptr) {
    return;
  }
  this->Note(*entry,
             fmt::format("end {} on {}: {}", standin::ToText(run),
                         Describe(worker), NameOf(end)),
             now);
  std::erase_if(task->running, [&run, &worker](const PlacedRun& placed) {
    return placed.run == run.run && placed.worker == worker;
  });
  task->ended.push_back({run.run, worker, end, now});
  if (end == standin::End::kAlone && !entry->cancel_sent_at &&
      this->hooks.is_calm(standin::bounds::kGangTimeout)) {
    // RULES, GANG.
    this->Report("gang", run.task.id, standin::ToText(run) + " waited alone",
                 now);
  }
}

void Ledger::OnCheckpoint(const standin::RunName& run,
                          const std::string& checkpoint) {
  if (Entry* entry = this->EntryOf(run.task.id); entry != nullptr) {
    entry->checkpoints.insert(checkpoint);
  }
}

void Ledger::OnNoted(const standin::RunName& run,
                     const standin::WorkerLife& worker, TimePoint now) {
  Entry* entry = this->EntryOf(run.task.id);
  Task* task = this->TaskOf(run.task);
  if (entry == nullptr || task == nullptr) {
    return;
  }
  for (EndedRun& ended : task->ended) {
    if (ended.run == run.run && ended.worker == worker && !ended.is_noted &&
        !ended.is_void) {
      this->NoteEnd(*entry, run.task, ended, now);
    }
  }
}

void Ledger::NoteEnd(Entry& entry, const standin::TaskName& name,
                     EndedRun& ended, TimePoint now) {
  ended.is_noted = true;
  const Task& task = entry.steps[name.step][name.index];
  const bool started_since = task.last_start && *task.last_start > ended.at;
  if (!started_since) {
    return;
  }
  if (ended.end == standin::End::kDone) {
    // RULES, TWICE: "if that end is taken note of then or later".
    this->Report("runs-again", name.id,
                 fmt::format("{} was started again, and its end is noted now",
                             standin::ToText({name, ended.run})),
                 now);
  }
  const auto counts = [&task](const EndedRun& other) {
    return other.is_noted && other.at < *task.last_start;
  };
  if (ended.end == standin::End::kFailed &&
      this->FailuresOf(entry, name, counts) >=
          entry.submission.route.max_attempts) {
    this->Report("attempts", name.id,
                 standin::ToText({name, ended.run}) + " was the last attempt",
                 now);
  }
}

void Ledger::OnLapsed(const standin::WorkerLife& worker) {
  for (const standin::TaskName& name : this->tasks_on[worker]) {
    for (EndedRun& ended : this->TaskOf(name)->ended) {
      ended.is_void |= ended.worker == worker && !ended.is_noted;
    }
  }
}

void Ledger::OnGone(const standin::WorkerLife& worker, TimePoint now) {
  const auto found = this->tasks_on.find(worker);
  if (found == this->tasks_on.end()) {
    return;
  }
  for (const standin::TaskName& name : found->second) {
    const auto count = std::erase_if(
        this->TaskOf(name)->running,
        [&worker](const PlacedRun& placed) { return placed.worker == worker; });
    if (count > 0) {
      this->Note(*this->EntryOf(name.id), "gone with " + Describe(worker), now);
    }
  }
  this->tasks_on.erase(found);
}

void Ledger::Advance(TimePoint now) {
  for (auto id = this->cancelled.begin(); id != this->cancelled.end();) {
    Entry& entry = this->entries.at(*id);
    const Duration age = now - *entry.cancelled_at;
    if (age > standin::bounds::kCancelTime + standin::bounds::kStopTime) {
      this->CheckCancelled(entry, now);
    }
    const bool is_over =
        !entry.final_state.empty() && age > standin::bounds::kStatusRetention;
    id = is_over || entry.was_reported ? this->cancelled.erase(id)
                                       : std::next(id);
  }
}

void Ledger::CheckCancelled(Entry& entry, TimePoint now) {
  // RULES, UNASKED and "Acks".
  if (!this->hooks.is_calm(standin::bounds::kCancelTime +
                           standin::bounds::kStopTime)) {
    return;
  }
  for (const std::vector<Task>& tasks : entry.steps) {
    for (const Task& task : tasks) {
      if (!task.running.empty() && !entry.was_reported) {
        entry.was_reported = true;
        this->Report("cancel", entry.submission.id,
                     fmt::format("#{} runs on at {} after the cancel",
                                 task.running.front().run,
                                 Describe(task.running.front().worker)),
                     now);
      }
    }
  }
}

std::vector<std::string> Ledger::Unsettled() const {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : this->entries) {
    const bool is_owed = entry.accepted_at || entry.has_started;
    if (is_owed && !entry.cancel_sent_at && entry.final_state.empty()) {
      ids.push_back(id);
    }
  }
  return ids;
}

void Ledger::CheckSettled(TimePoint now) {
  for (const std::string& id : this->Unsettled()) {
    this->Report("settled", id, "has not ended in time", now);
  }
}

}  // namespace soak
