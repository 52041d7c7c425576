#ifndef BASILSPREAD_CORE_INTERNAL_QUEUE_TABLES_H_
#define BASILSPREAD_CORE_INTERNAL_QUEUE_TABLES_H_

#include <string>

#include "basilspread/core/queue_tables.h"
#include "basilspread/core/store_call.h"
#include "internal/context.h"

/// Follows the stream of the operator's tables; runs in every process.
namespace basilspread::internal::queue_tables {

void Start(Context& context);
void OnRead(Context& context, const TablesRead& event);
void OnRetryTimer(Context& context);

/// Discards the confirmations from before a suspension, and reads again.
void OnResumed(Context& context);

bool IsKnown(const Context& context);
/// Whether the store has confirmed within `max_age` that it has no tables newer
/// than those in force.
bool IsConfirmed(const Context& context, Duration max_age);
/// The version in force; 0 while none is known.
TablesVersion Version(const Context& context);
/// Returns the route with this authority and the longest matching path prefix;
/// null when none matches.
const QueueRoute* Match(const Context& context, const std::string& authority,
                        const std::string& path);
const QueueRoute* Find(const Context& context, const RouteName& name);
/// Whether the tables in force have workspaces.
bool HasWorkspaces(const Context& context);
/// The workspace's row in the tables in force; null if it has none.
const Workspace* FindWorkspace(const Context& context,
                               const WorkspaceName& name);

}  // namespace basilspread::internal::queue_tables

#endif  // BASILSPREAD_CORE_INTERNAL_QUEUE_TABLES_H_
