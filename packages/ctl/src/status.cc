#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "commands.h"
#include "entry_dump.h"
#include "json.h"
#include "report.h"

namespace basilspread::ctl {
namespace {

/// Limit of the waiting jobs that are listed, about one screen; the dumps
/// contain all of them.
constexpr std::size_t kMaxListedWaiting = 20;

struct Waiting {
  std::string job;
  std::string state;
  std::string reason;
};

/// State of the cluster, collected from the dumps of its processes.
struct ClusterStatus {
  std::vector<EntryDump> dumps;
  std::set<std::string> ownerless;
  std::uint64_t shards = 0;
  std::uint64_t slots = 0;
  std::uint64_t busy = 0;
  std::vector<Waiting> waiting;
};

void AddShards(const EntryDump& dump, ClusterStatus& status) {
  const auto& rows = dump.Rows("shards");
  status.shards = std::max<std::uint64_t>(status.shards, rows.size());
  for (const ReportRow& row : rows) {
    if (ValueOf(row, "owner") == "-") {
      status.ownerless.insert(ValueOf(row, "shard"));
    }
  }
}

void AddWork(const EntryDump& dump, ClusterStatus& status) {
  for (const ReportRow& row : dump.Rows("minions")) {
    status.slots += NumberOf(row, "slots");
    status.busy += NumberOf(row, "busy");
  }
  for (const ReportRow& row : dump.Rows("jobs")) {
    const std::string reason = ValueOf(row, "reason");
    if (!reason.empty() && reason != "-") {
      status.waiting.push_back(
          Waiting{ValueOf(row, "job"), ValueOf(row, "state"), reason});
    }
  }
}

ClusterStatus Summarise(std::vector<EntryDump> dumps) {
  ClusterStatus status;
  for (const EntryDump& dump : dumps) {
    AddShards(dump, status);
    AddWork(dump, status);
  }
  status.dumps = std::move(dumps);
  return status;
}

const ReportRow& FirstRow(const EntryDump& dump, const std::string& title) {
  static const ReportRow kNone;
  const auto& rows = dump.Rows(title);
  return rows.empty() ? kNone : rows.front();
}

void PrintProcesses(const ClusterStatus& status) {
  fmt::print("{:<20} {:<12} {:>8} {:>8} {:<6} {:<9} {}\n", "process", "zone",
             "in_force", "accepted", "ready", "stopping", "fault");
  for (const EntryDump& dump : status.dumps) {
    if (!dump.ok) {
      fmt::print("{:<20} does not answer: {}\n", dump.admin.ToString(),
                 dump.error_text);
      continue;
    }
    const ReportRow& process = FirstRow(dump, "process");
    const ReportRow& tables = FirstRow(dump, "configuration");
    fmt::print("{:<20} {:<12} {:>8} {:>8} {:<6} {:<9} {}\n",
               ValueOf(process, "node"), ValueOf(process, "zone"),
               ValueOf(tables, "in_force"), ValueOf(tables, "accepted"),
               ValueOf(tables, "ready"), ValueOf(process, "stopping"),
               ValueOf(tables, "fault"));
  }
}

void PrintText(const ClusterStatus& status) {
  PrintProcesses(status);
  fmt::print(
      "\nshards={} without_owner={} minion_slots={} busy={} waiting={}\n",
      status.shards, status.ownerless.size(), status.slots, status.busy,
      status.waiting.size());
  for (const std::string& shard : status.ownerless) {
    fmt::print("Shard has no owner. shard={}\n", shard);
  }
  for (std::size_t i = 0; i < status.waiting.size(); ++i) {
    if (i == kMaxListedWaiting) {
      fmt::print("... and {} more\n", status.waiting.size() - i);
      break;
    }
    const Waiting& job = status.waiting[i];
    fmt::print("Job waits. job={} state={} reason=\"{}\"\n", job.job, job.state,
               job.reason);
  }
}

void PrintJson(const ClusterStatus& status) {
  Poco::JSON::Array processes;
  for (const EntryDump& dump : status.dumps) {
    Poco::JSON::Object object = NewObject();
    object.set("admin", dump.admin.ToString());
    object.set("answers", dump.ok);
    object.set("node", dump.Node());
    const ReportRow& tables = FirstRow(dump, "configuration");
    object.set("in_force", NumberOf(tables, "in_force"));
    object.set("accepted", NumberOf(tables, "accepted"));
    object.set("ready", ValueOf(tables, "ready") == "yes");
    object.set("fault", dump.ok ? ValueOf(tables, "fault") : dump.error_text);
    processes.add(object);
  }
  Poco::JSON::Array ownerless;
  for (const std::string& shard : status.ownerless) {
    ownerless.add(shard);
  }
  Poco::JSON::Array waiting;
  for (const Waiting& job : status.waiting) {
    Poco::JSON::Object object = NewObject();
    object.set("job", job.job);
    object.set("state", job.state);
    object.set("reason", job.reason);
    waiting.add(object);
  }
  Poco::JSON::Object root = NewObject();
  root.set("processes", processes);
  root.set("shards", status.shards);
  root.set("without_owner", ownerless);
  root.set("minion_slots", status.slots);
  root.set("busy", status.busy);
  root.set("waiting", waiting);
  Print(root);
}

}  // namespace

ExitStatus Status(const Arguments& arguments) {
  Result<std::vector<EntryDump>> dumps = ReadDumps(arguments);
  if (!dumps) {
    return Fail(dumps.error());
  }
  const ClusterStatus status = Summarise(std::move(dumps).value());
  if (arguments.json) {
    PrintJson(status);
  } else {
    PrintText(status);
  }
  const bool any_answers =
      std::any_of(status.dumps.begin(), status.dumps.end(),
                  [](const EntryDump& dump) { return dump.ok; });
  return any_answers ? ExitStatus::kOk : ExitStatus::kUnreachable;
}

}  // namespace basilspread::ctl
