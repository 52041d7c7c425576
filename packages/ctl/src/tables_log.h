#ifndef BASILSPREAD_CTL_SRC_TABLES_LOG_H_
#define BASILSPREAD_CTL_SRC_TABLES_LOG_H_

#include <optional>
#include <vector>

#include "arguments.h"
#include "basilspread/clients/log_client.h"
#include "basilspread/core/record.h"
#include "basilspread/core/result.h"
#include "basilspread/core/tables_history.h"

namespace basilspread::ctl {

/// Reads the stream of table edits and decides the edits as an entry process
/// does.
class TablesLog {
 public:
  explicit TablesLog(const config::Endpoint& endpoint);

  /// Reads the rest of the stream. Errors: kLogUnavailable.
  Result<void> ReadToEnd();

  /// Returns the newest accepted version; 0 when there is none.
  TablesVersion version() const { return this->history.version(); }
  /// Returns the edit of that version.
  const TablesRecord& record() const { return this->history.record(); }
  /// Returns the decisions on all edits that could be decided, in log order.
  const TablesDecisions& decisions() const { return this->all; }

  /// Appends the batch once and ignores the answer; ReadToEnd shows whether it
  /// is stored.
  void Append(const LogBatch& batch);
  /// Returns the decision on the edit of a batch; unset until it has been read.
  std::optional<TablesDecision> DecisionOn(const LogBatch& batch) const;
  /// Returns the accepted edit that was made against `base`, if it has been
  /// read.
  std::optional<TablesDecision> AcceptedEditOn(TablesVersion base) const;
  /// Returns the offset after the last record read.
  Offset end() const { return this->next; }

 private:
  void Apply(const StoredBatch& stored);
  void AddDecisions(TablesDecisions decisions);

  clients::LogClient log;
  TablesHistory history;
  TablesDecisions all;
  std::vector<std::pair<ProcessId, Offset>> writers;
  Offset next;
};

/// Reads the whole stream.
/// Errors: kBadRequest without the log's address, kLogUnavailable.
Result<TablesLog> ReadTablesLog(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_TABLES_LOG_H_
