#include "access/key_access.h"

#include "internal/queue_tables.h"

namespace basilspread::internal::access {
namespace {

constexpr std::string_view kPart = "access";
/// Covers the drift of this clock against the store's over the longest
/// revocation time-out.
constexpr Duration kClockMargin = std::chrono::milliseconds(200);

const WorkspaceTable* TableOf(const Context& context) {
  const auto& tables = context.state.submissions.tables.tables;
  return tables && tables->workspaces ? &*tables->workspaces : nullptr;
}

/// Whether tables that were published a revocation time-out ago are in force
/// here, so that a key which they removed is not accepted.
bool AreTablesRecent(const Context& context) {
  return queue_tables::IsConfirmed(
      context,
      context.state.settings.admission.revocation_timeout - kClockMargin);
}

}  // namespace

ErrorKind Authenticate(const Context& context, const QueueRoute& route,
                       const std::string& key, WorkspaceName& workspace) {
  const WorkspaceTable* table = TableOf(context);
  if (table == nullptr) {
    return ErrorKind::kNone;
  }
  const auto found = table->by_key.find(key);
  const bool is_known = !key.empty() && found != table->by_key.end();
  if (is_known) {
    workspace = found->second;
  }
  if (route.allows_anonymous) {
    return ErrorKind::kNone;
  }
  const bool is_strict = context.state.settings.admission.strict_revocation;
  // An unknown key may be one of tables that this process has not read.
  const bool needs_recent_tables = is_strict || (!is_known && !key.empty());
  if (needs_recent_tables && !AreTablesRecent(context)) {
    return ErrorKind::kTablesUnconfirmed;
  }
  return is_known ? ErrorKind::kNone : ErrorKind::kUnknownKey;
}

bool MayUse(const SubmissionCall& call, const Submission& submission) {
  // What was accepted before the tables had workspaces belongs to none.
  return !submission.spec || submission.spec->workspace.value.empty() ||
         submission.spec->workspace == call.workspace;
}

void OnTimer(Context& context) {
  bool& is_logged = context.state.submissions.tables.is_unconfirmed_logged;
  const bool is_unconfirmed =
      TableOf(context) != nullptr &&
      context.state.settings.admission.strict_revocation &&
      !AreTablesRecent(context);
  if (is_unconfirmed == is_logged) {
    return;
  }
  is_logged = is_unconfirmed;
  const TablesVersion version = queue_tables::Version(context);
  context.Log(is_unconfirmed ? LogLevel::kWarning : LogLevel::kInfo, kPart,
              is_unconfirmed
                  ? "The tables are not confirmed to be the newest; calls with "
                    "keys are rejected."
                  : "The tables are confirmed again; keys are accepted.",
              {{"version", version.value}});
  context.Emit(
      SetGauge{Metric::kTablesUnconfirmed, is_unconfirmed ? 1.0 : 0.0});
}

}  // namespace basilspread::internal::access
