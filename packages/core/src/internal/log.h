#ifndef BASILSPREAD_CORE_INTERNAL_LOG_H_
#define BASILSPREAD_CORE_INTERNAL_LOG_H_

#include "basilspread/core/event.h"
#include "internal/context.h"

namespace basilspread::internal::log {

void Start(Context& context);
void OnReadTimer(Context& context);
void OnAppendTimer(Context& context);
void OnAppended(Context& context, const LogAppended& event);
void OnRead(Context& context, const LogRead& event);

/// Follows a stream from its oldest kept record on.
void Follow(Context& context, const StreamName& stream);

/// Adds a record to the stream's next batch. The record takes effect only
/// when it is read back.
void Append(Context& context, const StreamName& stream, LogRecord record);

}  // namespace basilspread::internal::log

#endif  // BASILSPREAD_CORE_INTERNAL_LOG_H_
