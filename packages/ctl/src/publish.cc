#include <fmt/format.h>

#include <random>

#include "await.h"
#include "commands.h"
#include "draft_check.h"
#include "in_force.h"
#include "json.h"
#include "report.h"

namespace basilspread::ctl {
namespace {

constexpr Duration kRetryInterval = std::chrono::seconds(2);

/// Each edit is a writer of its own, so that its batch can be found again.
LogBatch MakeBatch(LogRecord record) {
  std::random_device device;
  LogBatch batch;
  batch.writer.node.value = "basilctl";
  batch.writer.incarnation =
      (static_cast<std::uint64_t>(device()) << 32U) | device();
  batch.id = AppendId{1};
  batch.records.push_back(std::move(record));
  return batch;
}

/// Appends the batch and reads what became of it. An answer that was lost is
/// settled by reading, and a batch that is not found is appended again: the
/// second copy of an edit names a base that is no longer the newest.
Result<TablesDecision> AppendAndSettle(TablesLog& log, const LogBatch& batch,
                                       Duration timeout) {
  std::optional<TablesDecision> decision;
  std::optional<TimePoint> appended;
  Await(timeout, [&] {
    const TimePoint now = std::chrono::steady_clock::now();
    if (!appended || now - *appended >= kRetryInterval) {
      appended = now;
      log.Append(batch);
    }
    if (log.ReadToEnd()) {
      decision = log.DecisionOn(batch);
    }
    return decision.has_value();
  });
  if (!decision) {
    return Error{ErrorKind::kOutcomeUnknown,
                 "the log did not confirm the edit; see basilctl history "
                 "before it is published again"};
  }
  return *decision;
}

/// Who won against the edit, and what differs from it.
ExitStatus TellRace(const TablesLog& log, const Draft& draft, bool json) {
  const auto winner = log.WinnerOver(draft.record.base);
  const std::string author =
      winner ? winner->record.author : log.record().author;
  const auto differences = config::DiffTables(log.record(), draft.record);
  if (json) {
    Poco::JSON::Object root = NewObject();
    root.set("published", false);
    root.set("base", draft.record.base.value);
    root.set("winner", author);
    root.set("version", log.version().value);
    root.set("differences", ToJson(differences));
    Print(root);
    return ExitStatus::kLostRace;
  }
  fmt::print(stderr,
             "basilctl: not published: the edit was made against version {}, "
             "but {} was accepted first. winner={} newest={} author={}\n"
             "What this edit would change in version {}:\n{}",
             draft.record.base.value,
             winner ? "another edit" : "a newer version", author,
             log.version().value, log.record().author, log.version().value,
             ToText(differences));
  return ExitStatus::kLostRace;
}

ExitStatus TellPublished(const Arguments& arguments, TablesVersion version) {
  std::vector<InForce> entries;
  if (arguments.wait) {
    Result<std::vector<InForce>> awaited = AwaitInForce(arguments, version);
    if (!awaited) {
      return Fail(awaited.error());
    }
    entries = std::move(awaited).value();
  }
  bool all_reached = true;
  Poco::JSON::Array processes;
  for (const InForce& entry : entries) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(entry.after);
    all_reached = all_reached && entry.reached;
    Poco::JSON::Object object = NewObject();
    object.set("process", entry.process);
    object.set("in_force", entry.reached);
    object.set("after_ms", millis.count());
    object.set("fault", entry.fault);
    processes.add(object);
    if (!arguments.json) {
      fmt::print("{}: {}\n", entry.process,
                 entry.reached
                     ? fmt::format("in force after {} ms", millis.count())
                     : "not in force " + entry.fault);
    }
  }
  if (arguments.json) {
    Poco::JSON::Object root = NewObject();
    root.set("published", true);
    root.set("version", version.value);
    root.set("processes", processes);
    Print(root);
  } else {
    fmt::print("Published version {}.\n", version.value);
  }
  return all_reached ? ExitStatus::kOk : ExitStatus::kTimeout;
}

/// Puts tables back after the log lost every record of them.
ExitStatus Restore(const Arguments& arguments, const Draft& draft,
                   TablesLog& log) {
  if (log.version().value > 0) {
    return Fail(Error{ErrorKind::kConflict,
                      "the log still holds tables; publish with --base"});
  }
  TablesCheckpointRecord checkpoint;
  checkpoint.version = *arguments.restore;
  checkpoint.record = draft.record;
  checkpoint.covered = log.end();
  log.Append(MakeBatch(checkpoint));
  const bool is_stored = Await(arguments.timeout, [&log, &arguments] {
    return log.ReadToEnd() && log.version() == *arguments.restore;
  });
  if (!is_stored) {
    return Fail(Error{ErrorKind::kOutcomeUnknown,
                      "the log did not confirm the tables"});
  }
  return TellPublished(arguments, *arguments.restore);
}

}  // namespace

ExitStatus Publish(const Arguments& arguments) {
  if (!arguments.base && !arguments.restore) {
    return Fail(Error{ErrorKind::kBadRequest,
                      "--base VERSION is needed: the version that the edit "
                      "was made against, as basilctl show tells it"});
  }
  Result<Draft> draft = ReadDraft(arguments);
  if (!draft) {
    return Fail(draft.error());
  }
  for (const std::string& warning : WarningsOf(draft.value(), arguments)) {
    Warn(warning);
  }
  Result<TablesLog> log = ReadTablesLog(arguments);
  if (!log) {
    return Fail(log.error());
  }
  if (arguments.restore) {
    return Restore(arguments, draft.value(), log.value());
  }
  if (log.value().version() != draft.value().record.base) {
    return TellRace(log.value(), draft.value(), arguments.json);
  }
  const Result<void> follows = CheckFollows(draft.value(), log.value());
  if (!follows) {
    return Fail(follows.error());
  }
  const Result<void> drained =
      CheckDrained(draft.value(), log.value(), arguments);
  if (!drained) {
    return Fail(drained.error());
  }
  const Result<TablesDecision> decision = AppendAndSettle(
      log.value(), MakeBatch(draft.value().record), arguments.timeout);
  if (!decision) {
    return Fail(decision.error());
  }
  if (!decision.value().accepted) {
    return TellRace(log.value(), draft.value(), arguments.json);
  }
  return TellPublished(arguments, decision.value().version);
}

}  // namespace basilspread::ctl
