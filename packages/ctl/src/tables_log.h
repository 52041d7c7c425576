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

/// The tables stream, read as an entry process reads it.
class TablesLog {
 public:
  explicit TablesLog(const config::Endpoint& endpoint);

  /// Reads on to the end of the stream. Errors: kLogUnavailable.
  Result<void> ReadToEnd();

  /// Newest accepted version; 0 when there is none.
  TablesVersion version() const { return this->history.version(); }
  /// The edit that made it.
  const TablesRecord& record() const { return this->history.record(); }
  /// Every edit that could be judged, in log order.
  const TablesDecisions& decisions() const { return this->all; }

  /// One append of the batch, whatever the answer; ReadToEnd tells.
  void Append(const LogBatch& batch);
  /// What became of the batch with one edit; unset while it is not read.
  std::optional<TablesDecision> DecisionOn(const LogBatch& batch) const;
  /// The accepted edit that was made against `base`, if it was read.
  std::optional<TablesDecision> WinnerOver(TablesVersion base) const;
  /// Offset after the last record read.
  Offset end() const { return this->next; }

 private:
  void Apply(const StoredBatch& stored);
  void Take(TablesDecisions decisions);

  clients::LogClient log;
  TablesHistory history;
  TablesDecisions all;
  std::vector<std::pair<ProcessId, Offset>> writers;
  Offset next;
};

/// Errors: kBadRequest without the log's address, kLogUnavailable.
Result<TablesLog> ReadTablesLog(const Arguments& arguments);

}  // namespace basilspread::ctl

#endif  // BASILSPREAD_CTL_SRC_TABLES_LOG_H_
