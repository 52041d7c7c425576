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

/// Makes a batch with one record. Each has a random writer, by which it is
/// found again in the log.
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

/// Appends the batch and reads the log for the decision on its edit. The answer
/// to an append may be lost, so a batch that is not found is appended again.
/// That is safe: a second copy of an accepted edit has a base that is no longer
/// the newest, and is rejected.
Result<TablesDecision> AppendAndConfirm(TablesLog& log, const LogBatch& batch,
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
                 "the log did not confirm the edit in time; check basilctl "
                 "history before publishing it again"};
  }
  return *decision;
}

/// Reports an edit that was rejected because another one was accepted first,
/// and its differences from the newest tables.
ExitStatus ReportConflict(const TablesLog& log, const Draft& draft, bool json) {
  const auto winner = log.AcceptedEditOn(draft.record.base);
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
    return ExitStatus::kEditConflict;
  }
  fmt::print(stderr,
             "basilctl: not published: the edit was made against version {}, "
             "but {} was accepted first. winner={} newest={} author={}\n"
             "What this edit would change in version {}:\n{}",
             draft.record.base.value,
             winner ? "another edit" : "a newer version", author,
             log.version().value, log.record().author, log.version().value,
             ToText(differences));
  return ExitStatus::kEditConflict;
}

ExitStatus ReportPublished(const Arguments& arguments, TablesVersion version) {
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
    object.set("fault", entry.error_text);
    processes.add(object);
    if (!arguments.json) {
      fmt::print("{}: {}\n", entry.process,
                 entry.reached
                     ? fmt::format("in force after {} ms", millis.count())
                     : "not in force " + entry.error_text);
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

/// Publishes the tables as a checkpoint after the log has lost all records of
/// them.
ExitStatus Restore(const Arguments& arguments, const Draft& draft,
                   TablesLog& log) {
  if (log.version().value > 0) {
    return Fail(Error{ErrorKind::kConflict,
                      "the log still has tables; publish with --base"});
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
                      "the log did not confirm the tables in time"});
  }
  return ReportPublished(arguments, *arguments.restore);
}

}  // namespace

ExitStatus Publish(const Arguments& arguments) {
  if (!arguments.base && !arguments.restore) {
    return Fail(Error{ErrorKind::kBadRequest,
                      "--base VERSION is required: the version that the edit "
                      "was made against, as basilctl show prints it"});
  }
  Result<Draft> draft = ReadDraft(arguments);
  if (!draft) {
    return Fail(draft.error());
  }
  for (const std::string& warning : FindWarnings(draft.value(), arguments)) {
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
    return ReportConflict(log.value(), draft.value(), arguments.json);
  }
  const Result<void> follows = CheckAgainstAccepted(draft.value(), log.value());
  if (!follows) {
    return Fail(follows.error());
  }
  const Result<void> drained =
      CheckRemovedPools(draft.value(), log.value(), arguments);
  if (!drained) {
    return Fail(drained.error());
  }
  const Result<TablesDecision> decision = AppendAndConfirm(
      log.value(), MakeBatch(draft.value().record), arguments.timeout);
  if (!decision) {
    return Fail(decision.error());
  }
  if (!decision.value().accepted) {
    return ReportConflict(log.value(), draft.value(), arguments.json);
  }
  return ReportPublished(arguments, decision.value().version);
}

}  // namespace basilspread::ctl
