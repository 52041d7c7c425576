#ifndef BASILSPREAD_CORE_ACCESS_KEY_ACCESS_H_
#define BASILSPREAD_CORE_ACCESS_KEY_ACCESS_H_

#include <string>

#include "basilspread/core/error.h"
#include "basilspread/core/queue_tables.h"
#include "basilspread/core/submissions.h"
#include "internal/context.h"

/// Authenticates callers by the keys of workspaces.
namespace basilspread::internal::access {

/// Finds the workspace of the caller's key; left empty for an anonymous caller.
/// Errors: kUnknownKey; kTablesUnconfirmed if the tables in force may be too
/// old to tell.
ErrorKind Authenticate(const Context& context, const QueueRoute& route,
                       const std::string& key, WorkspaceName& workspace);

/// Whether the caller may read, cancel or repeat the submission.
bool MayUse(const SubmissionCall& call, const Submission& submission);

/// Logs when this process stops and starts to accept keys.
void OnTimer(Context& context);

}  // namespace basilspread::internal::access

#endif  // BASILSPREAD_CORE_ACCESS_KEY_ACCESS_H_
