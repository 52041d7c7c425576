#include "tables_log.h"

#include <algorithm>
#include <utility>

namespace basilspread::ctl {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(3);

}  // namespace

TablesLog::TablesLog(const config::Endpoint& endpoint)
    : log(endpoint.host, endpoint.port, kCallTimeout) {}

Result<void> TablesLog::ReadToEnd() {
  bool at_end = false;
  while (!at_end) {
    const LogRead read = this->log.Read(TablesStream(), this->next);
    if (!read.ok) {
      return Error{ErrorKind::kLogUnavailable,
                   "the platform's log does not answer"};
    }
    this->history.BeginRead(this->next, read.first_kept);
    for (const StoredBatch& stored : read.batches) {
      this->Apply(stored);
    }
    this->next = read.next;
    at_end = read.at_end;
  }
  this->AddDecisions(this->history.OnEnd());
  return boost::outcome_v2::success();
}

void TablesLog::Append(const LogBatch& batch) {
  this->log.Append(TablesStream(), batch);
}

std::optional<TablesDecision> TablesLog::DecisionOn(
    const LogBatch& batch) const {
  const auto written = std::find_if(
      this->writers.begin(), this->writers.end(),
      [&batch](const auto& entry) { return entry.first == batch.writer; });
  if (written == this->writers.end()) {
    return std::nullopt;
  }
  for (const TablesDecision& decision : this->all) {
    if (decision.offset == written->second) {
      return decision;
    }
  }
  return std::nullopt;
}

std::optional<TablesDecision> TablesLog::AcceptedEditOn(
    TablesVersion base) const {
  for (const TablesDecision& decision : this->all) {
    if (decision.accepted && decision.record.base == base) {
      return decision;
    }
  }
  return std::nullopt;
}

void TablesLog::Apply(const StoredBatch& stored) {
  this->writers.emplace_back(stored.batch.writer, stored.offset);
  for (const LogRecord& record : stored.batch.records) {
    if (const auto* edit = std::get_if<TablesRecord>(&record)) {
      this->AddDecisions(this->history.OnEdit(stored.offset, *edit));
    } else if (const auto* checkpoint =
                   std::get_if<TablesCheckpointRecord>(&record)) {
      this->AddDecisions(this->history.OnCheckpoint(*checkpoint));
    }
  }
}

void TablesLog::AddDecisions(TablesDecisions decisions) {
  for (TablesDecision& decision : decisions) {
    this->all.push_back(std::move(decision));
  }
}

Result<TablesLog> ReadTablesLog(const Arguments& arguments) {
  if (!arguments.addresses.log) {
    return Error{ErrorKind::kBadRequest,
                 "the log's address is required: --log, or log in [cluster]"};
  }
  TablesLog log(*arguments.addresses.log);
  BOOST_OUTCOME_TRYV(log.ReadToEnd());
  return log;
}

}  // namespace basilspread::ctl
